# Functions to run a small deployment on loopback addresses; sourced by the
# demo, the system tests and the benchmarks. Every process is started here,
# recorded with its id and ended by that id.
#
# RUN_DIR   directory of logs, made by dep_open
# BIN       build directory (default build)
# PORT_BASE first port of the machines (default 21000; machine I uses ten
#           ports from PORT_BASE + 10 * I, the store PORT_BASE - 10)

BIN=${BIN:-build}
PORT_BASE=${PORT_BASE:-21000}
STORE="127.0.0.1:$((PORT_BASE - 10))"
declare -A DEP_PIDS=()

dep_open() {
    RUN_DIR=$(mktemp -d)
    trap dep_close EXIT
}

# dep_spawn NAME COMMAND...: starts a process whose log is RUN_DIR/NAME.log.
dep_spawn() {
    local name=$1
    shift
    "$@" >>"$RUN_DIR/$name.log" 2>&1 &
    DEP_PIDS[$name]=$!
}

# dep_kill NAME [SIGNAL]: ends a process and waits for it.
dep_kill() {
    local pid=${DEP_PIDS[$1]:-}
    [ -n "$pid" ] || return 0
    kill -"${2:-TERM}" "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    unset "DEP_PIDS[$1]"
}

dep_signal() {
    kill -"$2" "${DEP_PIDS[$1]}"
}

dep_alive() {
    kill -0 "${DEP_PIDS[$1]:-0}" 2>/dev/null
}

# dep_check: fails and names the processes that have ended, for example because
# a port is in use.
dep_check() {
    local name status=0
    for name in "${!DEP_PIDS[@]}"; do
        if ! dep_alive "$name"; then
            echo "$name has ended: $(tail -n 1 "$RUN_DIR/$name.log")" >&2
            status=1
        fi
    done
    return "$status"
}

dep_close() {
    local name status=$?
    # The shell would report each killed process on stderr.
    {
        for name in "${!DEP_PIDS[@]}"; do
            kill -CONT "${DEP_PIDS[$name]}" || true
            kill -KILL "${DEP_PIDS[$name]}" || true
        done
        wait || true
    } 2>/dev/null
    if [ "$status" -eq 0 ] && [ -z "${KEEP_LOGS:-}" ]; then
        rm -rf "$RUN_DIR"
    else
        echo "logs are in $RUN_DIR" >&2
    fi
    return "$status"
}

machine_port() {
    echo $((PORT_BASE + 10 * $1 + $2))
}

agent_address() { echo "127.0.0.1:$(machine_port "$1" 0)"; }
agent_http() { echo "127.0.0.1:$(machine_port "$1" 1)"; }
entry_http() { echo "127.0.0.1:$(machine_port "$1" 2)"; }
entry_peer() { echo "127.0.0.1:$(machine_port "$1" 3)"; }
relay_address() { echo "127.0.0.1:$(machine_port "$1" 4)"; }
relay_http() { echo "127.0.0.1:$(machine_port "$1" 5)"; }

# dep_list FUNCTION COUNT: comma-separated addresses of machines 0..COUNT-1.
dep_list() {
    local i list=
    for ((i = 0; i < $2; i++)); do
        list+="${list:+,}$($1 "$i")"
    done
    echo "$list"
}

# dep_wait SECONDS COMMAND...: repeats the command until it succeeds.
dep_wait() {
    local tries=$(($1 * 20))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        if [ "$tries" -le 0 ]; then
            echo "gave up waiting for: $*" >&2
            dep_check || true
            return 1
        fi
        sleep 0.05
    done
}

http_get() {
    curl -sf --max-time 2 "http://$1"
}

store_start() {
    dep_spawn store "$BIN/standin/standin-store" --listen "$STORE" "$@"
    dep_wait 5 http_get "$STORE/v1/vms"
}

store_admin() {
    curl -sf --max-time 2 -d "$1" "http://$STORE/admin" >/dev/null
}

# vm_put MACHINE-INDEX ZONE STATE: entry in the platform's list of VMs.
vm_put() {
    curl -sf --max-time 2 -X PUT \
        -d "{\"zone\":\"$2\",\"address\":\"$(agent_address "$1")\",\"state\":\"$3\"}" \
        "http://$STORE/v1/vms/m$1" >/dev/null
}

# machine_start INDEX ZONE [agent flags...]: agent, entry and relay of a
# machine in the platform's list.
machine_start() {
    vm_put "$1" "$2" live
    machine_spawn "$@"
}

machine_spawn() {
    local i=$1 zone=$2
    shift 2
    dep_spawn "agent$i" "$BIN/agent/carobhatch-agent" --machine "m$i" \
        --zone "$zone" --listen "$(agent_address "$i")" \
        --http-listen "$(agent_http "$i")" --store "$STORE" \
        --entry-address "$(entry_http "$i")" \
        --peer-address "$(entry_peer "$i")" \
        --relay-address "$(relay_address "$i")" "$@"
    relay_start "$i" "$zone"
    entry_start "$i" "$zone"
}

relay_start() {
    dep_spawn "relay$1" "$BIN/relay/carobhatch-relay" --machine "m$1" \
        --zone "$2" --listen "$(relay_address "$1")" \
        --http-listen "$(relay_http "$1")" --agent "$(agent_address "$1")"
}

entry_start() {
    dep_spawn "entry$1" "$BIN/entry/carobhatch-entry" --machine "m$1" \
        --zone "$2" --http-listen "$(entry_http "$1")" \
        --peer-listen "$(entry_peer "$1")" --agent "$(agent_address "$1")"
}

# machine_signal INDEX SIGNAL
machine_signal() {
    local role
    for role in agent entry relay; do
        kill -"$2" "${DEP_PIDS[$role$1]}" 2>/dev/null || true
    done
}

# machine_wait INDEX: returns when all three have exited.
machine_wait() {
    local role
    for role in entry relay agent; do
        wait "${DEP_PIDS[$role$1]}" 2>/dev/null || true
        unset "DEP_PIDS[$role$1]"
    done
}

# machine_stop INDEX: planned stop; returns when all three have exited.
machine_stop() {
    machine_signal "$1" TERM
    machine_wait "$1"
}

# machine_kill INDEX: the VM fails without notice.
machine_kill() {
    machine_signal "$1" KILL
    machine_wait "$1"
}

# machines_start COUNT ZONE...: machines 0..COUNT-1, the zones in turn; returns
# when their agents answer.
machines_start() {
    local count=$1 i
    shift
    local zones=("$@")
    AGENTS=$(dep_list agent_http "$count")
    ENTRIES=$(dep_list entry_http "$count")
    for ((i = 0; i < count; i++)); do
        machine_start "$i" "${zones[$((i % ${#zones[@]}))]}"
    done
    for ((i = 0; i < count; i++)); do
        dep_wait 10 http_get "$(agent_http "$i")/status"
    done
    dep_check
}

ctl() {
    "$BIN/ctl/carobhatchctl" --store "$STORE" --agents "$AGENTS" "$@"
}

# search_complete ENTRY SERVICE: a search that reaches every shard.
search_complete() {
    curl -sf --max-time 2 -d '{"query":"probe","deadline_ms":500}' \
        "http://$1/v1/search/$2" | grep -q '"complete": *true'
}

# metric ADDRESS NAME: sum over all reasons of one counter.
metric() {
    http_get "$1/metrics" |
        awk -v n="carobhatch_$2" '$1 == n || index($1, n "{") == 1 { s += $2 }
                                  END { print s + 0 }'
}

TICKS_PER_S=$(getconf CLK_TCK)

# cpu_us NAME...: user and system time of processes of dep_spawn, summed.
cpu_us() {
    local name sum=0 fields
    for name in "$@"; do
        read -r -a fields <"/proc/${DEP_PIDS[$name]}/stat"
        sum=$((sum + fields[13] + fields[14]))
    done
    echo $((sum * 1000000 / TICKS_PER_S))
}

# rss_kb NAME...: resident memory of the largest of the processes.
rss_kb() {
    local name
    for name in "$@"; do
        awk '/^VmRSS/ { print $2 }' "/proc/${DEP_PIDS[$name]}/status"
    done | sort -n | tail -1
}

now_us() { echo $(($(date +%s%N) / 1000)); }

# names PREFIX COUNT: PREFIX0 ... PREFIX(COUNT-1)
names() {
    local i
    for ((i = 0; i < $2; i++)); do
        echo "$1$i"
    done
}

# metric_sum FUNCTION COUNT NAME: a counter summed over machines.
metric_sum() {
    local i sum=0
    for ((i = 0; i < $2; i++)); do
        sum=$((sum + $(metric "$($1 "$i")" "$3")))
    done
    echo "$sum"
}

# tcp_bytes NAME [PORTS]: `sent received connections` over the open TCP
# connections of a process, payload of TCP; with PORTS only those to these ports.
tcp_bytes() {
    ss -tinpH state established |
        awk -v key="pid=${DEP_PIDS[$1]}," -v ports="${2:-}" '
            BEGIN { few = split(ports, list); for (i in list) to[list[i]] = 1 }
            /^[^ \t]/ || /users:/ {
                ours = index($0, key) > 0
                if (few > 0) {
                    port = $4
                    sub(/.*:/, "", port)
                    ours = ours && port in to
                }
                n += ours
            }
            ours && /bytes_|segs_/ {
                for (i = 1; i <= NF; i++) {
                    if (split($i, part, ":") != 2) continue
                    if (part[1] == "bytes_sent") sent += part[2]
                    if (part[1] == "bytes_received") received += part[2]
                }
            }
            END { printf "%d %d %d\n", sent, received, n }'
}

store_calls() {
    http_get "$STORE/metrics" | awk '
        /store_calls_total/ {
            match($0, /method="[^"]*"/)
            method = substr($0, RSTART + 8, RLENGTH - 9)
            match($0, /kind="[^"]*"/)
            kind = substr($0, RSTART + 6, RLENGTH - 7)
            print method "_" kind, $2
        }'
}

# revisions_watch: records in RUN_DIR/revisions.log when the agents, entries and
# relays of machines 0..MACHINES-1 show which revision.
revisions_watch() {
    local i processes=()
    for ((i = 0; i < MACHINES; i++)); do
        processes+=("$(agent_http "$i")" "$(entry_http "$i")"
            "$(relay_http "$i")")
    done
    dep_spawn revisions "$BIN/bench/bench-revisions" 20 "${processes[@]}"
}

# in_force_us REVISION FUNCTION...: time in us since 1970 when the last machine
# showed the revision at the addresses of the functions (agent_http, ...);
# fails while one has not.
in_force_us() {
    local revision=$1 function
    shift
    awk -v revision="$revision" -v processes="$(for function in "$@"; do
        dep_list "$function" "$MACHINES"
        echo ,
    done | tr -d '\n')" '
        BEGIN {
            left = split(processes, names, ",") - 1
            for (i = 1; i <= left; i++) wanted[names[i]] = 1
        }
        wanted[$2] && $3 >= revision { wanted[$2] = 0; left--; last = $1 }
        END { if (left > 0) exit 1; print last }' "$RUN_DIR/revisions.log"
}

# revisions_back: how often a process showed a lower revision than before.
revisions_back() {
    awk '$3 < last[$2] { n++ } { last[$2] = $3 } END { print n + 0 }' \
        "$RUN_DIR/revisions.log"
}

# written_us: when the store's configuration last changed, in us since 1970.
written_us() {
    http_get "$STORE/metrics" |
        sed -n 's/^carobhatch_store_config_written_us //p'
}

# config_service NAME BASE-PORT INSTANCES REPLICAS SLOTS CONNECTIONS
#     CONNECT-COST-US [KEY: VALUE lines...]: one service as YAML, with the
# ports and zones that standin-searcher gives with --zones a,b,c.
config_service() {
    local name=$1 port=$2 instances=$3 replicas=$4 i r n=0
    echo "  - name: $name"
    echo "    slots: $5"
    echo "    connections: $6"
    echo "    connect_cost_us: $7"
    shift 7
    local line
    for line in "$@"; do
        echo "    $line"
    done
    echo "    instances:"
    for ((i = 0; i < instances; i++)); do
        echo "      - name: ${name:0:2}$i"
        echo "        searchers:"
        for ((r = 0; r < replicas; r++)); do
            echo "          - name: ${name:0:2}$i-$r"
            echo "            zone: ${CONFIG_ZONES[$((n % 3))]}"
            echo "            address: 127.0.0.1:$((port + n))"
            n=$((n + 1))
        done
    done
}

CONFIG_ZONES=(a b c)

# config_head: everything before the services.
config_head() {
    local zone
    echo "cluster: local"
    echo "zones:"
    for zone in "${CONFIG_ZONES[@]}"; do
        echo "  - name: $zone"
        echo "    state: in"
    done
    echo "callers:"
    echo "  - name: default"
    echo "    quota_per_s: 100000"
    echo "services:"
}
