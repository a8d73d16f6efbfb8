# Guards against requests to a zone more than 3 s after it was taken out, partial
# answers meanwhile, and overload of its cold searchers when it is taken in again.
. "$(dirname "$0")/lib.sh"
# The stand-ins are cold for a shorter time than the configuration says. While
# cold they use half of their slots and refuse requests that do not fit into their
# queue.
COLD_RAMP_MS=3000
COLD_MS=2500
system_start 3 --cold-ms $COLD_MS --cold-factor 2
load_start load 20 150 --order-permille 100
sleep 2
quiet ctl zone out a
sleep 3
before=$(searcher_sum requests a)
others_before=$(searcher_sum requests b)
sleep 4
check "the zone gets no requests from 3 s after it was taken out" \
    is "$(searcher_sum requests a)" -eq "$before"
check "the other zones still get requests" \
    is "$(searcher_sum requests b)" -gt "$others_before"

searchers_admin '{"searcher":{"zone":"a"},"cold":true,"reset_stats":true}'
quiet ctl zone in a
zone_gets_requests() { is "$(searcher_sum requests a)" -gt 0; }
check "the zone gets requests after it was taken in" \
    wait_until 10 zone_gets_requests
sleep 4
check "cold searchers refused nothing" is "$(searcher_sum shed_cold a)" -eq 0
check "cold searchers got no more requests than their limit" \
    cold_requests_within_limit a
load_wait load
check_answers load
check_no_loss load
check_orders load
