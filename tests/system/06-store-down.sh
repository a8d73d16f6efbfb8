# Guards against a store outage that stops service or keeps the VMs from spreading
# a configuration whose write took effect but whose reply was lost, and against a
# replaced VM that starts with an old configuration or none.
. "$(dirname "$0")/lib.sh"
system_start 3
load_start load 13 100 --order-permille 200
revision_is() {
    is "$(http_get "$(vm_http "$1")/status" | json_number revision)" -eq "$2"
}

# The write takes effect in the store, its reply is lost and the store goes down,
# so only the VMs can spread the change.
store_admin '{"lose_replies":1}'
http_get "$STORE/v1/config/current" >"$RUN_DIR/object"
tr -d '\n' <"$RUN_DIR/object" |
    sed 's/.*"value": *\(.*\)}$/\1/; s/"revision": *1\b/"revision":2/
         s/"deadline_default_ms": *300/"deadline_default_ms":400/' \
        >"$RUN_DIR/document"
curl -s --max-time 1 -X PUT -d "{\"version\":$(json_number version \
    <"$RUN_DIR/object"),\"value\":$(cat "$RUN_DIR/document")}" \
    "http://$STORE/v1/config/current" >&2 || true
store_admin '{"down":true}'
post_document() {
    curl -sf --max-time 1 -d "{\"revision\":2,\"document\":$(cat \
        "$RUN_DIR/document")}" "http://$(vm_http 0)/config" >&2
}
check "a VM accepts the document" wait_until 5 post_document
for i in 0 1 2; do
    check "the change is in force at m$i" wait_until 10 revision_is "$i" 2
done
sleep 10
load_wait load
check_answers load
check_no_loss load
check_orders load

vm_kill 2
vm_start 2 c
check "a replaced VM gets the change from its peers" \
    wait_until 20 revision_is 2 2
check "the replaced VM serves while the store is down" \
    wait_until 5 search_complete_at 2
store_admin '{"down":false}'
check_recovery 0 1 2
