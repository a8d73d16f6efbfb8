# Guards against a VM that does not serve after a restart during a store outage, or
# that disturbs service at the other VMs.
. "$(dirname "$0")/lib.sh"
system_start 3
load_start load 22 100 --order-permille 200
sleep 1
store_admin '{"down":true}'
vm_stop 2
vm_start 2 c
check "the restarted VM serves while the store is down" \
    wait_until 15 search_complete_at 2
sleep 3
for i in 0 1; do
    check "searches are complete at m$i while the store is down" search_complete_at "$i"
done
store_admin '{"down":false}'
load_wait load
check_answers load
check_no_loss load
check_orders load
check_recovery 0 1 2
