# shellcheck shell=bash
# Tables of docs/CAPACITY.md from docs/capacity/*.tsv; sourced by
# scripts/capacity, which sets DATA and PAGE.

# For awk: whether the row is in no fit: fan-out with an incomplete answer, or in
# whose time a contract moved. `at` holds the columns by name.
# shellcheck disable=SC2016
UNFIT='
    function unfit() {
        return ("complete" in at) && $at["complete"] != $at["sent"] ||
            ("contract_writes" in at) && $at["contract_writes"] > 0
    }'

# pairs FILE X Y [WHERE-COLUMN MIN [WHERE-VALUE [MAX-X]]]: lines `x y` of two
# columns, of rows with WHERE-COLUMN at least MIN or equal to the text
# WHERE-VALUE, and with x at most MAX-X, and that are not unfit.
pairs() {
    awk -F'\t' -v x="$2" -v y="$3" -v where="${4:-}" -v low="${5:-0}" \
        -v text="${6:-}" -v high="${7:-0}" "$UNFIT"'
        NR == 1 { for (i = 1; i <= NF; i++) at[$i] = i; next }
        unfit() { next }
        where != "" && text != "" && $at[where] != text { next }
        where != "" && text == "" && $at[where] + 0 < low { next }
        high > 0 && $at[x] + 0 > high { next }
        { print $at[x], $at[y] }' "$DATA/$1.tsv"
}

# fit NAME UNIT FILE X Y [WHERE...]
fit() {
    local name=$1 unit=$2
    shift 2
    [ -f "$DATA/$1.tsv" ] || return 0
    printf '%s\t%s\t%s\t%s\n' "$name" "$unit" "$1" \
        "$(pairs "$@" | awk -f scripts/fit.awk | tr ' ' '\t')"
}

# All fitted slopes: name, unit, file, sizes, slope, intercept, r2.
fits() {
    local kind
    # The messages of the design carry up to some hundred parts. A line
    # through the large sizes has a useless intercept.
    for kind in encode_query decode_query encode_reply decode_reply; do
        fit "$kind" "ns per part" messages size value name 0 "$kind" 100
    done
    fit query_size "bytes per part" messages size value name 0 query_size 100
    fit reply_size "bytes per part" messages size value name 0 reply_size 100
    fit message "ns per byte" messages size value name 0 zsock 4096
    fit entry_part "us per part" fanout shards entry_us
    fit relay_part "us per part" fanout shards relay_us
    fit entry_part_2 "us per part" fanout2 shards entry_us
    fit relay_part_2 "us per part" fanout2 shards relay_us
    fit searcher_part "us per part (stand-in)" fanout shards searcher_us
    fit entry_idle "1/1000 core per instance" fanout shards entry_idle_permille
    fit relay_idle "1/1000 core per instance" fanout shards relay_idle_permille
    fit agent_idle "1/1000 core per contract" fanout shards agent_idle_permille
    fit entry_rss "kB per instance" fanout shards entry_rss_kb
    fit relay_rss "kB per instance" fanout shards relay_rss_kb
    fit agent_held_rss "kB per contract" fanout shards agent_rss_kb
    fit agent_held_bytes "bytes/s per contract" fanout shards \
        agent_sent_bytes_per_s
    fit machine_cpu "1/1000 core per machine" machines machines cpu_permille \
        machines 14
    fit machine_rss "kB per machine" machines machines rss_kb machines 14
    fit machine_payload "bytes/s per machine" machines machines \
        payload_bytes_per_s machines 14
    fit machine_sent "bytes/s per machine" machines machines tcp_sent_per_s \
        machines 14
    fit machine_received "bytes/s per machine" machines machines \
        tcp_received_per_s machines 14
    fit listed_cpu "1/1000 core per machine listed" listed machines \
        cpu_permille
    fit listed_rss "kB per machine listed" listed machines rss_kb
    fit listed_vms "bytes per machine listed" listed machines vms_bytes
    for kind in get_vms get_contract get_config get_cell; do
        fit "$kind" "calls/s per machine" machines machines "$kind"
    done
    fit searcher_cpu "1/1000 core per searcher" searchers searchers \
        cpu_permille
    fit searcher_rss "kB per searcher" searchers searchers rss_kb
    fit searcher_sent "bytes/s per searcher" searchers searchers tcp_sent_per_s
    fit searcher_received "bytes/s per searcher" searchers searchers \
        tcp_received_per_s
    fit contract_list "bytes per searcher" searchers searchers \
        contract_list_bytes
    fit zone_cpu "1/1000 core per zone" zones zones cpu_permille
    fit zone_rss "kB per zone" zones zones rss_kb
    fit zone_sent "bytes/s per zone" zones zones tcp_sent_per_s
    fit zone_received "bytes/s per zone" zones zones tcp_received_per_s
    fit zone_document "bytes per zone" zones zones document_bytes
    fit held_agent "1/1000 core per contract held" held instances \
        agent_permille
    fit held_relay "1/1000 core per contract held" held instances \
        relay_permille
    fit held_agent_rss "kB per contract held" held instances agent_rss_kb
    fit held_relay_rss "kB per contract held" held instances relay_rss_kb
    fit held_state "bytes/s of STATE per contract held" held instances \
        state_bytes_per_s
    fit held_store "bytes/s with the store per contract held" held instances \
        agent_store_bytes_per_s
    fit held_http "bytes/s of probes per contract held" held instances \
        relay_http_bytes_per_s
    for kind in agent entry relay; do
        fit "change_$kind" "us per change and document byte" change \
            document_bytes "${kind}_us"
    done
    fit change_bytes "bytes per change and document byte" change \
        document_bytes http_bytes
    for kind in 0.2 0.5 1; do
        fit "change_agent_at_$kind" "us per change and document byte" change \
            document_bytes agent_us rate_per_s 0 "$kind"
        fit "change_bytes_at_$kind" "bytes per change and document byte" \
            change document_bytes http_bytes rate_per_s 0 "$kind"
    done
    fit document "bytes per searcher" document searchers bytes bytes 1
    fit mesh_agent "1/1000 core per machine" mesh machines agent_permille
    fit mesh_entry "1/1000 core per machine" mesh machines entry_permille
    fit mesh_relay "1/1000 core per machine" mesh machines relay_permille
    fit mesh_sent "bytes/s per machine" mesh machines entry_tcp_sent_per_s
    fit mesh_received "bytes/s per machine" mesh machines \
        entry_tcp_received_per_s
}

# The p99 gap of the model at its largest size, in the form of a fit.
gossip_fact() {
    tail -1 "$DATA/gossip.tsv" |
        awk -F'\t' -v OFS='\t' '{ print "gossip_gap", "s", "gossip", $1, 0, $5, 1 }'
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

# means FILE KEYS [SPREAD]: means of the rows with equal values in the first KEYS
# columns (the run is left out), and the spread of the first cost column, or of
# the one SPREAD columns after it. Rows that pairs() leaves out are apart.
means() {
    awk -F'\t' -v OFS='\t' -v keys="$2" "$UNFIT"'
        function show(v) { return v >= 100 || v == int(v) ? sprintf("%.0f", v) \
            : v >= 1 ? sprintf("%.1f", v) : sprintf("%.3f", v) }
        NR == 1 {
            from = $1 == "run" ? 2 : 1
            out = "kind"
            for (i = from; i <= NF; i++) {
                out = out OFS $i
                at[$i] = i
            }
            print out, "runs", "spread"
            next
        }
        {
            key = unfit() ? "measured, in no fit" : "measured"
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
                worst = 0
                for (i = from + keys; i <= last; i++) {
                    mean = sum[key, i] / n[key]
                    line = line OFS show(mean)
                }
                c = from + keys + SPREAD
                mean = sum[key, c] / n[key]
                if (mean > 0) worst = (high[key, c] - low[key, c]) / mean
                print line, n[key],
                    (n[key] > 1 ? sprintf("%.0f %%", worst * 100) : "-")
            }
        }' SPREAD="${3:-0}" "$DATA/$1.tsv" | markdown
}

# For awk: sorts v[key, 1] to v[key, n].
# shellcheck disable=SC2016
SORT='
    function sort(v, key, n,    i, j, t) {
        for (i = 1; i <= n; i++)
            for (j = i + 1; j <= n; j++)
                if (v[key, j] + 0 < v[key, i] + 0) {
                    t = v[key, i]
                    v[key, i] = v[key, j]
                    v[key, j] = t
                }
    }'

table_assumed() { markdown <"$DATA/assumed.tsv"; }

table_messages() {
    awk -F'\t' -v OFS='\t' "$SORT"'
        NR == 1 { print "kind", "name", "size", "unit", "median", "lowest",
                      "highest"; next }
        {
            key = $2 OFS $3 OFS $5
            if (!(key in n)) order[++count] = key
            v[key, ++n[key]] = $4
        }
        END {
            for (k = 1; k <= count; k++) {
                key = order[k]
                sort(v, key, n[key])
                print "measured", key, v[key, int((n[key] + 1) / 2)],
                    v[key, 1], v[key, n[key]]
            }
        }' "$DATA/messages.tsv" | markdown
}

table_fanout() { means fanout 2 4; }
table_fanout2() { means fanout2 2 4; }
table_machines() { means machines 1; }
table_listed() { means listed 1 1; }
table_searchers() { means searchers 1 2; }
table_zones() { means zones 1 1; }
table_held() { means held 1; }
table_change() { means change 2 3; }
table_mesh() { means mesh 1 1; }
table_document() { sed 's/^/measured\t/;1s/^measured/kind/' "$DATA/document.tsv" | markdown; }
table_gossip() { sed 's/^/modelled\t/;1s/^modelled/kind/' "$DATA/gossip.tsv" | markdown; }

table_revision() {
    awk -F'\t' -v OFS='\t' "$SORT"'
        NR == 1 { print "kind", "machines", "path", "changes", "median ms",
                      "maximum ms"; next }
        {
            key = $1 OFS $2
            if (!(key in n)) order[++count] = key
            v[key, ++n[key]] = $4
        }
        END {
            for (k = 1; k <= count; k++) {
                key = order[k]
                sort(v, key, n[key])
                print "measured", key, n[key], v[key, int((n[key] + 1) / 2)],
                    v[key, n[key]]
            }
        }' "$DATA/revision.tsv" | markdown
}

table_fits() {
    {
        row kind name unit source sizes slope intercept "R squared"
        fits | sed 's/^/fitted\t/'
    } | markdown
}

# Tables that are computed from the fitted slopes and the assumptions.
derived() {
    { fits; gossip_fact; } | awk -F'\t' -v OFS='\t' -v table="$1" \
        -f bench/derive.awk "$DATA/assumed.tsv" - | markdown
}

table_store() { derived store; }
table_load() { derived load; }
table_tree() { derived tree; }
table_batch() { derived batch; }
table_roles() { derived roles; }
table_budget() { derived budget; }
table_failures() { derived failures; }
table_spread() { derived spread; }
table_furthest() { derived furthest; }

# Replaces what stands between `<!-- table: NAME -->` and `<!-- end -->`.
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
