# Guards against wrong answers, orders that are executed twice and orders that are
# reported as not executed but were, when a VM's process is killed under load.
. "$(dirname "$0")/lib.sh"
system_start 3
load_start load 14 100 --order-permille 300
sleep 3
vm_kill 1
check_recovery 0 2
load_wait load
check_answers load
check_orders load
