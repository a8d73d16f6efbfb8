# Reports tests whose output is compared with an expected one; sourced by the
# runners of the system tests and of the crowd tests. A test with an entry in
# KNOWN-RED.txt is run and its differences are printed, but it does not count as
# failed.

passed=0
failed=0

# report TEST STATUS OUT: prints the result of TEST (path without ending, as in
# KNOWN-RED.txt). OUT.diff holds the differences, OUT.err what it wrote to
# standard error.
report() {
    local name=$1 status=$2 out=$3
    if [ "$status" -eq 0 ]; then
        echo "ok          ${name##*/}"
        passed=$((passed + 1))
    elif grep -q "^$name\( \|\$\)" KNOWN-RED.txt 2>/dev/null; then
        echo "known red   ${name##*/}"
        grep -E '^[-+][^-+]|: no$' "$out.diff" || true
    else
        echo "FAILED      ${name##*/}"
        cat "$out.diff"
        tail -n 40 "$out.err"
        failed=$((failed + 1))
    fi
}
