# Guards against answers that mix index versions or count the shards of another
# version, while the version and the number of shards change together.
. "$(dirname "$0")/lib.sh"
system_start 3
load_start load 14 200 --order-permille 50 --key-permille 200
searchers_admin '{"searcher":"all","shards":{"8":4}}'
snapshot_is() {
    local answer
    answer=$(curl -sf --max-time 2 -d '{"query":"x","deadline_ms":900}' \
        "http://$(vm_http 0)/v1/search/desk")
    grep -q "\"snapshot\": *$1,.*\"shards_total\": *$2,.*\"complete\": *true" \
        <<<"$answer" || {
        echo "answer: $answer" >&2
        return 1
    }
}
# roll VERSIONS: sets the index versions of the searchers, one after the other.
roll() {
    local i
    for i in {0..11}; do
        searchers_admin "{\"searcher\":$i,\"versions\":\"$1\"}"
        sleep 0.2
    done
}
# Version 8 has four shards on the searchers of the first four shards of version 7.
{
    config_head
    config_service desk "$SEARCHER_PORT" 4 2 "$SLOTS" 25 \
        "deadline_default_ms: 300" "deadline_max_ms: 2000"
} | sed 's/index_version: 7/index_version: 8/' >"$RUN_DIR/next.yaml"
sleep 1
check "before the change answers are of version 7 with 6 shards" \
    wait_until 5 snapshot_is 7 6
roll 7,8
quiet ctl --base "$RUN_DIR/next.yaml" apply
check "after the change answers are of version 8 with 4 shards" \
    wait_until 10 snapshot_is 8 4
roll 8
check "answers are of version 8 when no searcher holds version 7" \
    wait_until 10 snapshot_is 8 4
load_wait load
check_answers load
check "no answer was partial" load_is load partial -eq 0
check "no request failed" load_is load errors_total -eq 0
check_orders load
