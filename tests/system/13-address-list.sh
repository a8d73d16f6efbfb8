# Guards against an address list for callers that keeps a VM whose process was
# killed or is being stopped, or that lacks a VM that was started again.
. "$(dirname "$0")/lib.sh"
system_start 3
load_start load 16 100 --order-permille 300
lists_vm() {
    http_get "$(vm_http "$1")/v1/entries" | grep -q "$(vm_http "$2")"
}
# succeeds_within_ms MS COMMAND...: repeats the command until it succeeds; fails if
# that is more than MS after SINCE_MS.
succeeds_within_ms() {
    local limit=$1 passed_ms
    shift
    until "$@"; do
        passed_ms=$(($(date +%s%3N) - SINCE_MS))
        is "$passed_ms" -le "$limit" || return 1
        sleep 0.05
    done
    passed_ms=$(($(date +%s%3N) - SINCE_MS))
    echo "$* after $passed_ms ms" >&2
    is "$passed_ms" -le "$limit"
}
delisted() { ! lists_vm 0 "$1" && ! lists_vm 1 "$1"; }

check "the VM to be killed is listed" wait_until 5 lists_vm 0 2
SINCE_MS=$(date +%s%3N)
vm_kill 2
check "the killed VM leaves the list within 5 s" \
    succeeds_within_ms 5000 delisted 2
for i in 0 1; do
    check "searches are complete at m$i" wait_until 5 search_complete_at "$i"
done
vm_start 2 c
check "the VM is listed after it was started again" wait_until 10 lists_vm 0 2
SINCE_MS=$(date +%s%3N)
process_signal vm2 TERM
check "a VM that stops leaves the list within 1 s" \
    succeeds_within_ms 1000 delisted 2
vm_wait 2
load_wait load
check_answers load
check_orders load
