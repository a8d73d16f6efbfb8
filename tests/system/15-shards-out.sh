# Guards against a wrong reason for missing shards: operators must see that all
# searchers of these shards are in zones that were taken out.
. "$(dirname "$0")/lib.sh"
system_start 3
quiet ctl zone out a
ctl zone out b >"$RUN_DIR/zone.log" 2>&1
warned() { is "$(grep -c '^warning: desk.de[0-9] has no searcher' "$RUN_DIR/zone.log")" -eq 2; }
sleep 3
curl -s --max-time 2 -d '{"query":"probe","deadline_ms":500}' \
    "http://$(vm_http 0)/v1/search/desk" >"$RUN_DIR/answer"
cat "$RUN_DIR/answer" >&2
reason_count_is() {
    is "$(grep -o "\"reason\": *\"$1\"" "$RUN_DIR/answer" | wc -l)" -eq "$2"
}
check "the tool warns about the instances without a searcher" warned
check "the answer is partial" grep -q '"complete": *false' "$RUN_DIR/answer"
check "the shards without a searcher are missing with the reason zone_out" \
    reason_count_is zone_out 2
check "no other shard is missing" \
    is "$(grep -o '"reason"' "$RUN_DIR/answer" | wc -l)" -eq 2
