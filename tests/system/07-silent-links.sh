# Guards against connections to searchers that stay open but pass no more bytes:
# parts of searches that wait for them until the deadline, orders that are executed
# again over another connection, and connections that are not replaced.
. "$(dirname "$0")/lib.sh"
system_start 3
connect_count() { metric_sum vm_http 3 gateway_connects; }
before=$(connect_count)
load_start load 14 100 --order-permille 200 --deadline-ms 2000
for zone in a b c; do
    sleep 3
    searchers_admin "{\"searcher\":{\"zone\":\"$zone\"},\"silent\":true}"
done
sleep 3
# Each of the 12 searchers had at least one connection.
connections_replaced() { is "$(connect_count)" -ge $((before + 12)); }
check "silent connections were replaced" wait_until 10 connections_replaced
load_wait load
check_answers load
check "no answer was partial" load_is load partial -eq 0
check "no request failed" load_is load errors_total -eq 0
check_orders load
check_recovery 0 1 2
