# Guards against a store outage that stops service, moves contracts or keeps a
# configuration from spreading that the store accepted without a reply, and
# against a replaced machine that starts with an old configuration or none, or
# that does not vote because it knows no cell.
. "$(dirname "$0")/lib.sh"
system_start 3
load_start load 13 100 --order-permille 200
holders() {
    http_get "$STORE/v1/contract" | tr -d ' \n' |
        grep -o '"value":{[^}]*}' | sort
}
revision_is() {
    is "$(http_get "$(agent_http "$1")/status" | json_number revision)" -eq "$2"
}
before=$(holders)

# The change takes effect in the store, its reply is lost and the store stops
# to answer: only the agents can spread it.
sed 's/deadline_default_ms: 300/deadline_default_ms: 400/' \
    "$RUN_DIR/desk.yaml" >"$RUN_DIR/second.yaml"
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
        "$RUN_DIR/document")}" "http://$(agent_http 0)/config" >&2
}
fact "an agent takes the document" dep_wait 5 post_document
for i in 0 1 2; do
    fact "the change is in force at m$i" dep_wait 10 revision_is "$i" 2
done
sleep 10
load_wait load
store_admin '{"down":false}'
fact "no contract changed in 10 s of outage" test "$(holders)" = "$before"
facts_of_answers load
facts_of_no_loss load
facts_of_orders load

store_admin '{"down":true}'
machine_kill 2
machine_spawn 2 c --peers "$(dep_list agent_address 2)"
fact "a replaced machine gets the change from its peers" \
    dep_wait 20 revision_is 2 2
lease_left() {
    http_get "$(agent_http "$1")/status" | json_number lease_ms_left
}
has_lease() { is "$(lease_left "$1")" -gt 0; }
fact "it gets the cell from its peers" dep_wait 10 has_lease 2
# Now m0 needs the vote of the replaced machine.
sleep 2
machine_signal 1 STOP
sleep 3
fact "it votes: m0 keeps its lease without m1" has_lease 0
machine_signal 1 CONT
store_admin '{"down":false}'
facts_of_recovery 0 1 2
