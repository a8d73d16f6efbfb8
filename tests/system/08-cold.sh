# Guards against full load on searchers with cold caches: all searchers of a zone
# restart at once, with new start ids.
. "$(dirname "$0")/lib.sh"
COLD_RAMP_MS=3000
COLD_MS=2500
system_start 3 --cold-ms $COLD_MS --cold-factor 8
load_start load 16 200 --order-permille 50
sleep 2
searchers_admin '{"searcher":{"zone":"a"},"restart":true,"reset_stats":true}'
sleep 4
check "restarted searchers got requests" is "$(searcher_sum requests a)" -gt 0
check "restarted searchers refused nothing" \
    is "$(searcher_sum shed_cold a)" -eq 0
check "restarted searchers got no more requests than their limit" \
    cold_requests_within_limit a
load_wait load
check_answers load
check_no_loss load
check_orders load
