# Guards against lost coverage while one replica of each shard is down: from
# 1 s on at least 99.99 % of the answers must be complete.
. "$(dirname "$0")/lib.sh"
system_start 3
load_start first 6 200 --order-permille 100
sleep 2
for i in 0 2 4 6 8 10; do
    searchers_admin "{\"searcher\":$i,\"down\":true}"
done
sleep 1
load_start load 12 300 --order-permille 100 --seed 2
load_wait first
load_wait load
fact "at the moment of the loss no answer is wrong" \
    load_is first wrong_total -eq 0
facts_of_answers load
share=$(grep -o '"coverage_full_share": *[0-9.]*' "$RUN_DIR/load.json" |
    grep -o '[0-9.]*$')
enough() { awk -v s="$share" 'BEGIN { exit !(s >= 0.9999) }'; }
fact "99.99 % of the answers are complete" enough
fact "no request failed" load_is load errors_total -eq 0
facts_of_orders load
