# Guards against full load on searchers that lost their caches, with a new
# start id (a whole zone at once) and without one.
. "$(dirname "$0")/lib.sh"
COLD_RAMP_MS=3000
system_start 3 --cold-ms 2500 --cold-factor 8
load_start load 16 200 --order-permille 50
sleep 2
searchers_admin '{"searcher":{"zone":"a"},"restart":true,"reset_stats":true}'
sleep 4
fact "restarted searchers got work" is "$(searcher_sum requests a)" -gt 0
fact "restarted searchers refused nothing" \
    is "$(searcher_sum shed_cold a)" -eq 0
fact "restarted searchers had at most half of their slots in use" \
    is "$(searcher_max cold_max_in_use a)" -le $((SLOTS / 2))

# Without a start id only slow answers tell; four in a row must be enough.
searchers_admin '{"searcher":1,"cold":true,"reset_stats":true}'
sleep 1
before=$(searcher_values shed_cold b | head -n 1)
sleep 1.2
fact "a searcher that turned cold is known as cold 1 s later" \
    is "$(searcher_values shed_cold b | head -n 1)" -eq "$before"
load_wait load
facts_of_answers load
facts_of_no_loss load
facts_of_orders load
