#!/usr/bin/env bash
# Guards against rows of a failed measurement that enter a fit, such as fan-out
# rows with partial answers, and against a failed measurement that replaces the
# rows of the last good one.
set -eu
cd "$(dirname "$0")/../.."
DATA=$(mktemp -d)
trap 'rm -r "$DATA"' EXIT
row() { local IFS=$'\t'; echo "$*"; }
. bench/tables.sh
eval "$(sed -n '/^measure() {/,/^}/p' scripts/capacity)"

expect() {
    [ "$2" = "$3" ] && return 0
    printf '%s:\nexpected:\n%s\ngot:\n%s\n' "$1" "$2" "$3" >&2
    exit 1
}

{
    row run shards complete sent gateway_us
    row 1 20 60 60 200
    row 1 40 60 60 400
    row 1 60 59 60 9000
} >"$DATA/fanout2.tsv"
expect "rows used for the fit" $'20 200\n40 400' "$(pairs fanout2 shards gateway_us)"
expect "slope" "$(row gateway us fanout2 20,40 10 0 1.0000)" \
    "$(fit gateway us fanout2 shards gateway_us)"
expect "rows that the table marks as not in the fit" 60 \
    "$(means fanout2 1 2 | awk -F' [|] ' '/in no fit/ { print $2 }')"

# Rows with partial answers are not averaged with complete rows.
{
    row run shards complete sent gateway_us
    row 1 20 60 60 200
    row 2 20 30 60 800
} >"$DATA/fanout.tsv"
expect "groups of rows" $'200\n800' \
    "$(means fanout 1 2 | awk -F' [|] ' 'NR > 2 { print $5 }')"

# A failed point leaves the rows of the last good measurement as they are.
measure_broken() {
    row run value
    (false; row 1 2)
    row 1 3
}
row run value >"$DATA/broken.tsv"
set +e
(set -e; measure broken) 2>"$DATA/stderr"
status=$?
set -e
expect "result of a failed point" 1 "$status"
expect "rows after a failed point" "run	value" "$(cat "$DATA/broken.tsv")"
