# Guards against a VM whose process is paused for 5 s and, when it is resumed,
# gives wrong answers or executes orders again.
. "$(dirname "$0")/lib.sh"
system_start 3
load_start load 16 100 --order-permille 300
sleep 3
process_signal vm1 STOP
sleep 5
process_signal vm1 CONT
check_recovery 0 1 2
load_wait load
check_answers load
check_orders load
