# Guards against new work in a zone 3 s after operators took it out, lost
# coverage meanwhile, and more work than the cold-start curve allows when it
# comes back.
. "$(dirname "$0")/lib.sh"
# The stand-ins are cold for less time than the curve takes, and cold they
# refuse what is above half of the slots.
COLD_RAMP_MS=3000
system_start 3 --cold-ms 2500 --cold-factor 2
load_start load 20 150 --order-permille 100
sleep 2
quiet ctl zone out a
sleep 3
before=$(searcher_sum requests a)
others_before=$(searcher_sum requests b)
sleep 4
fact "after 3 s the zone gets no new work" \
    is "$(searcher_sum requests a)" -eq "$before"
fact "the other zones go on" \
    is "$(searcher_sum requests b)" -gt "$others_before"

searchers_admin '{"searcher":{"zone":"a"},"cold":true,"reset_stats":true}'
quiet ctl zone in a
works() { is "$(searcher_sum requests a)" -gt 0; }
fact "work comes back with the zone" dep_wait 10 works
sleep 4
fact "cold searchers refused nothing" is "$(searcher_sum shed_cold a)" -eq 0
fact "cold searchers had at most half of their slots in use" \
    is "$(searcher_max cold_max_in_use a)" -le $((SLOTS / 2))
fact "no searcher had more requests than slots" \
    is "$(searcher_max max_in_use)" -le "$SLOTS"
load_wait load
facts_of_answers load
facts_of_no_loss load
facts_of_orders load
