# Guards against a search that mixes snapshots or misses a shard, a lookup that
# asks other shards than the one of its key, an order that is executed again when
# it is repeated at another VM, and invalid input that is accepted, gets the wrong
# error code or has an effect.
. "$(dirname "$0")/lib.sh"
system_start 3
cat >"$RUN_DIR/quota.yaml" <<YAML
callers:
  - name: small
    quota_per_s: 1
    burst: 1
YAML
quiet ctl --base "$RUN_DIR/desk.yaml" --overlay "$RUN_DIR/quota.yaml" apply
entry=$(vm_http 0)
other=$(vm_http 1)

post() { curl -s --max-time 2 -d "$2" "http://$1"; }
new_id() { post "$entry/v1/ids" "" | json_text id; }
order() {
    post "$1/v1/orders/desk" \
        "{\"id\":\"$2\",\"key\":\"k\",\"body\":{\"n\":1},\"deadline_ms\":900}"
}
execution_count() { http_get "$SEARCHER_ADMIN/runs?id=$1" | json_number runs; }
contains() { grep -q "$2" <<<"$1"; }

answer=$(post "$entry/v1/search/desk" '{"query":"fog","deadline_ms":900}')
check "a search is complete" contains "$answer" '"complete": *true'
check "its snapshot is the configured index version" \
    contains "$answer" '"snapshot": *7,'
check "it covers all six shards" contains "$answer" '"shards_total": *6,'
answer=$(post "$entry/v1/search/desk" \
    '{"query":"fog","deadline_ms":900,"key":"customer"}')
check "a lookup covers one shard" contains "$answer" '"shards_total": *1,'
check "a lookup is complete" contains "$answer" '"complete": *true'

id=$(new_id)
first=$(order "$entry" "$id")
second=$(order "$other" "$id")
check "an order is answered" contains "$first" '"result"'
check "the order repeated at another VM has the same outcome" \
    test "$first" = "$second"
check "the order was executed once" is "$(execution_count "$id")" -eq 1

# refused NAME STATUS METHOD PATH [BODY or @FILE]
refused() {
    local answer
    answer=$(curl -s --max-time 2 -w ' %{http_code}' -X "$3" \
        ${5+--data-binary "$5"} "http://$entry$4")
    contains "$answer" "\"name\": *\"$1\"" &&
        contains "$answer" '"run": *"no"' &&
        contains "$answer" " $2\$" && return
    echo "answer: $answer" >&2
    return 1
}

id=$(new_id)
before=$(searcher_sum requests)
ids_before=$(http_get "$SEARCHER_ADMIN/runs" | json_number ids)
head -c 300000 /dev/zero | tr '\0' x >"$RUN_DIR/large"
search=/v1/search/desk
orders=/v1/orders/desk
key='"key":"k","body":{},"deadline_ms":900'
check "truncated JSON" refused bad_json 400 POST $search '{"query":"x"'
check "empty body" refused bad_json 400 POST $search ''
check "JSON that is no object" refused bad_field 400 POST $search '[]'
check "missing query" refused bad_field 400 POST $search '{"deadline_ms":900}'
check "query of a wrong type" refused bad_field 400 POST $search \
    '{"query":5,"deadline_ms":900}'
check "unknown field" refused bad_field 400 POST $search '{"query":"x","y":1}'
check "limit out of range" refused bad_field 400 POST $search \
    '{"query":"x","limit":-1}'
check "deadline of zero" refused bad_deadline 400 POST $search \
    '{"query":"x","deadline_ms":0}'
check "deadline above the maximum" refused bad_deadline 400 POST $search \
    '{"query":"x","deadline_ms":2001}'
check "body that is too large" refused too_large 413 POST $search \
    "@$RUN_DIR/large"
check "unknown service" refused unknown_service 404 POST /v1/search/none \
    '{"query":"x"}'
check "unknown path" refused unknown_path 404 POST /v1/nothing '{}'
check "wrong method" refused bad_method 405 GET $search
check "order with a malformed id" refused bad_id 400 POST $orders \
    "{\"id\":\"x\",$key}"
check "order with an id never issued" refused bad_id 400 POST $orders \
    "{\"id\":\"${id%.*}.ffffff\",$key}"
check "order without a key" refused bad_field 400 POST $orders \
    "{\"id\":\"$id\",\"body\":{},\"deadline_ms\":900}"
check "order with a deadline of zero" refused bad_deadline 400 POST $orders \
    "{\"id\":\"$id\",\"key\":\"k\",\"body\":{},\"deadline_ms\":0}"
check "order of an unknown service" refused unknown_service 404 POST \
    /v1/orders/none "{\"id\":\"$id\",$key}"
check "nothing reached a searcher" is "$(searcher_sum requests)" -eq "$before"
check "no order was executed" is "$(http_get "$SEARCHER_ADMIN/runs" |
    json_number ids)" -eq "$ids_before"
check "the id can still be used" contains "$(order "$entry" "$id")" '"result"'
check "the order with this id was executed once" \
    is "$(execution_count "$id")" -eq 1

over_quota() {
    curl -s --max-time 2 -H 'X-Caller: small' -d '{"query":"x"}' \
        "http://$entry$search" | grep -q '"name": *"quota"'
}
check "a caller over its quota is refused" wait_until 5 over_quota
