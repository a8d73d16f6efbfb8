# Guards against wrong answers, orders that run twice, a false "not run" and
# instances without a holder or with two after a machine is lost under load.
. "$(dirname "$0")/lib.sh"
system_start 3
load_start load 14 100 --order-permille 300
sleep 3
machine_kill 1
complete_at() { search_complete "$(entry_http "$1")" desk; }
fact "searches are complete again at m0" dep_wait 20 complete_at 0
fact "searches are complete again at m2" dep_wait 20 complete_at 2
fact "each instance has one holder" dep_wait 20 held_once 0 2
load_wait load
facts_of_answers load
facts_of_orders load
