# Guards against a planned stop that interrupts a request: each VM in turn is
# stopped and started again under load.
. "$(dirname "$0")/lib.sh"
system_start 5
load_start load 67 300 --order-permille 100 \
    --arrivals even
sleep 2
for i in 0 1 2 3 4; do
    vm_stop "$i"
    vm_start "$i" "${ZONES[$((i % 3))]}"
    wait_until 20 search_complete "$(vm_http "$i")" desk
done
check "all VMs were restarted before the load ended" process_is_alive load
load_wait load
check "at least 20,000 requests were sent" load_is load sent -ge 20000
check_answers load
check_no_loss load
check_orders load
