# Guards against a lost update: two operators apply changes to the same revision
# at the same time. One apply must succeed; the other one must be refused and have
# no effect.
. "$(dirname "$0")/lib.sh"
system_start 3
# With slow replies both read the same revision before either writes.
store_admin '{"delay_ms":300}'
declare -A pids status
for max in 1501 1601; do
    sed "s/deadline_max_ms: 2000/deadline_max_ms: $max/" \
        "$RUN_DIR/desk.yaml" >"$RUN_DIR/$max.yaml"
    ctl --base "$RUN_DIR/$max.yaml" --expect-revision 1 apply \
        >"$RUN_DIR/$max.out" 2>&1 &
    pids[$max]=$!
done
for max in 1501 1601; do
    status[$max]=0
    wait "${pids[$max]}" || status[$max]=$?
done
store_admin '{"delay_ms":0}'
check "one apply succeeded and the other one failed" \
    test "$(printf '%s\n' "${status[@]}" | sort | tr '\n' ' ')" = "0 1 "
accepted=1501
refused=1601
if [ "${status[1501]}" -ne 0 ]; then
    accepted=1601
    refused=1501
fi
check "the failed apply reports a conflict" grep -q '^conflict:' "$RUN_DIR/$refused.out"
stored_is() {
    http_get "$STORE/v1/config/current" | grep -q "\"deadline_max_ms\": *$1\b"
}
check "the store has the change of the apply that succeeded" stored_is "$accepted"
digests() {
    for i in 0 1 2; do
        http_get "$(vm_http "$i")/status" | grep -o '"digest": *"[^"]*"'
    done | sort -u | wc -l
}
check "all VMs have the same document" is "$(digests)" -eq 1
# deadline_max_is ADDRESS MS: whether the VM accepts a deadline of MS and refuses
# one of MS + 1.
deadline_max_is() {
    curl -s --max-time 3 -d "{\"query\":\"x\",\"deadline_ms\":$2}" \
        "http://$1/v1/search/desk" | grep -q '"snapshot"' &&
        curl -s --max-time 3 -d "{\"query\":\"x\",\"deadline_ms\":$(($2 + 1))}" \
            "http://$1/v1/search/desk" | grep -q '"bad_deadline"'
}
for i in 0 1 2; do
    check "the change is in force at m$i" \
        wait_until 10 deadline_max_is "$(vm_http "$i")" "$accepted"
done
