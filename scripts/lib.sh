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
