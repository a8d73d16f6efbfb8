# shellcheck shell=bash
# Tables of docs/CAPACITY.md from docs/capacity/*.tsv; sourced by
# scripts/capacity, which sets DATA and PAGE.

# awk code: whether the fits exclude the row because some of its searches got
# incomplete responses (fan-out only). `column` maps names to column numbers.
# shellcheck disable=SC2016
EXCLUDED='
    function is_excluded() {
        return ("complete" in column) && $column["complete"] != $column["sent"]
    }'

# pairs FILE X Y [WHERE-COLUMN MIN [WHERE-VALUE [MAX-X]]]: lines `x y` of two
# columns. Only rows that are not excluded, whose WHERE-COLUMN is at least MIN
# or, if WHERE-VALUE is given, equal to it, and whose x is at most MAX-X.
pairs() {
    awk -F'\t' -v x="$2" -v y="$3" -v where="${4:-}" -v low="${5:-0}" \
        -v text="${6:-}" -v high="${7:-0}" "$EXCLUDED"'
        NR == 1 { for (i = 1; i <= NF; i++) column[$i] = i; next }
        is_excluded() { next }
        where != "" && text != "" && $column[where] != text { next }
        where != "" && text == "" && $column[where] + 0 < low { next }
        high > 0 && $column[x] + 0 > high { next }
        { print $column[x], $column[y] }' "$DATA/$1.tsv"
}

# fit NAME UNIT FILE X Y [WHERE...]: one line of fits(), from pairs().
fit() {
    local name=$1 unit=$2
    shift 2
    [ -f "$DATA/$1.tsv" ] || return 0
    printf '%s\t%s\t%s\t%s\n' "$name" "$unit" "$1" \
        "$(pairs "$@" | awk -f scripts/fit.awk | tr ' ' '\t')"
}

# All fitted lines: name, unit, file, sizes, slope, intercept, r2.
fits() {
    fit part "us per part" fanout shards gateway_us
    fit searcher_part "us per part (stand-in)" fanout shards searcher_us
    fit part_rss "kB per shard" fanout shards rss_kb
    fit vm_cpu "1/1000 core per VM" vms vms cpu_permille
    fit vm_rss "kB per VM" vms vms rss_kb
    fit get_config "calls/s per VM" vms vms get_config
    fit get_vms "calls/s per VM" vms vms get_vms
    fit searcher_cpu "1/1000 core per searcher" searchers searchers \
        cpu_permille
    fit searcher_rss "kB per searcher" searchers searchers rss_kb
    fit change "us per change and document byte" change document_bytes cpu_us
    fit document "bytes per searcher" document searchers bytes bytes 1
}

# markdown: tab-separated lines as a table; the first line is the header.
markdown() {
    awk -F'\t' '{
        printf "|"
        for (i = 1; i <= NF; i++) printf " %s |", $i
        print ""
        if (NR == 1) {
            printf "|"
            for (i = 1; i <= NF; i++) printf " --- |"
            print ""
        }
    }'
}

# means FILE KEYS [SPREAD]: table of the means of the rows with equal values in
# the first KEYS columns (without the column `run`), and the spread of the first
# column after these, or of the one SPREAD columns further. Excluded rows are
# averaged separately.
means() {
    awk -F'\t' -v OFS='\t' -v keys="$2" "$EXCLUDED"'
        function format_value(v) {
            return v >= 100 || v == int(v) ? sprintf("%.0f", v) \
                : v >= 1 ? sprintf("%.1f", v) : sprintf("%.3f", v)
        }
        NR == 1 {
            from = $1 == "run" ? 2 : 1
            out = "kind"
            for (i = from; i <= NF; i++) {
                out = out OFS $i
                column[$i] = i
            }
            print out, "runs", "spread"
            next
        }
        {
            key = is_excluded() ? "measured, in no fit" : "measured"
            for (i = from; i < from + keys; i++) key = key OFS $i
            if (!(key in n)) order[++count] = key
            n[key] += 1
            for (i = from + keys; i <= NF; i++) {
                sum[key, i] += $i
                if (n[key] == 1 || $i < low[key, i]) low[key, i] = $i
                if (n[key] == 1 || $i > high[key, i]) high[key, i] = $i
            }
            last = NF
        }
        END {
            for (k = 1; k <= count; k++) {
                key = order[k]
                line = key
                spread = 0
                for (i = from + keys; i <= last; i++) {
                    mean = sum[key, i] / n[key]
                    line = line OFS format_value(mean)
                }
                c = from + keys + SPREAD
                mean = sum[key, c] / n[key]
                if (mean > 0) spread = (high[key, c] - low[key, c]) / mean
                print line, n[key],
                    (n[key] > 1 ? sprintf("%.0f %%", spread * 100) : "-")
            }
        }' SPREAD="${3:-0}" "$DATA/$1.tsv" | markdown
}

table_assumed() { markdown <"$DATA/assumed.tsv"; }
table_fanout() { means fanout 2 3; }
table_vms() { means vms 1; }
table_searchers() { means searchers 1 1; }
table_change() { means change 1 1; }
table_document() { sed 's/^/measured\t/;1s/^measured/kind/' "$DATA/document.tsv" | markdown; }

table_fits() {
    {
        row kind name unit source sizes slope intercept "R squared"
        fits | sed 's/^/fitted\t/'
    } | markdown
}

# Figures at the design size from the fitted lines and the assumptions.
table_design() {
    fits | awk -F'\t' -v OFS='\t' -f bench/derive.awk "$DATA/assumed.tsv" - |
        markdown
}

# Replaces the text of PAGE between `<!-- table: NAME -->` and `<!-- end -->`
# with the table NAME.
tables_write() {
    local line name skip=
    while IFS= read -r line; do
        if [[ $line =~ ^'<!-- table: '([a-z0-9]+)' -->'$ ]]; then
            name=${BASH_REMATCH[1]}
            printf '%s\n\n' "$line"
            "table_$name" || echo "no data for $name" >&2
            echo
            skip=1
        elif [ "$line" = '<!-- end -->' ]; then
            skip=
            printf '%s\n' "$line"
        elif [ -z "$skip" ]; then
            printf '%s\n' "$line"
        fi
    done <"$PAGE" >"$PAGE.new"
    mv "$PAGE.new" "$PAGE"
}
