# Guards against partial answers while one replica of each shard is down: from 1 s
# after the failure at least 99.99 % of the answers must be complete.
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
check "no answer is wrong while the replicas go down" \
    load_is first wrong_total -eq 0
check_answers load
share=$(grep -o '"coverage_full_share": *[0-9.]*' "$RUN_DIR/load.json" |
    grep -o '[0-9.]*$')
share_is_reached() { awk -v s="$share" 'BEGIN { exit !(s >= 0.9999) }'; }
check "99.99 % of the answers are complete" share_is_reached
check "no request failed" load_is load errors_total -eq 0
check_orders load
