# Functions that run a small deployment on loopback addresses; sourced by the
# demo, the system tests and the benchmarks. process_start starts every process
# and records its id; processes are ended by that id only.
#
# RUN_DIR   directory of logs, created by deployment_open
# BIN       build directory (default build)
# PORT_BASE first port of the VMs (default 21000; VM I uses two ports from
#           PORT_BASE + 10 * I, the store PORT_BASE - 10)

BIN=${BIN:-build}
PORT_BASE=${PORT_BASE:-21000}
STORE="127.0.0.1:$((PORT_BASE - 10))"
declare -A PROCESS_PIDS=()

# deployment_open: creates RUN_DIR; deployment_close runs when the shell exits.
deployment_open() {
    RUN_DIR=$(mktemp -d)
    trap deployment_close EXIT
}

# process_start NAME COMMAND...: starts a process in the background; its output
# is appended to RUN_DIR/NAME.log.
process_start() {
    local name=$1
    shift
    "$@" >>"$RUN_DIR/$name.log" 2>&1 &
    PROCESS_PIDS[$name]=$!
}

# process_kill NAME [SIGNAL]: sends the signal (default TERM) and waits until the
# process has ended.
process_kill() {
    local pid=${PROCESS_PIDS[$1]:-}
    [ -n "$pid" ] || return 0
    kill -"${2:-TERM}" "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    unset "PROCESS_PIDS[$1]"
}

# process_signal NAME SIGNAL
process_signal() {
    kill -"$2" "${PROCESS_PIDS[$1]}"
}

process_is_alive() {
    kill -0 "${PROCESS_PIDS[$1]:-0}" 2>/dev/null
}

# check_processes: fails if a process has ended, for example because a port is in
# use, and prints its name and last log line.
check_processes() {
    local name status=0
    for name in "${!PROCESS_PIDS[@]}"; do
        if ! process_is_alive "$name"; then
            echo "$name has ended: $(tail -n 1 "$RUN_DIR/$name.log")" >&2
            status=1
        fi
    done
    return "$status"
}

# deployment_close: kills all processes; removes RUN_DIR unless the exit status
# is not 0 or KEEP_LOGS is set.
deployment_close() {
    local name status=$?
    # stderr is discarded because bash reports each killed process there.
    {
        for name in "${!PROCESS_PIDS[@]}"; do
            kill -CONT "${PROCESS_PIDS[$name]}" || true
            kill -KILL "${PROCESS_PIDS[$name]}" || true
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

vm_http() { echo "127.0.0.1:$((PORT_BASE + 10 * $1))"; }
vm_peer_port() { echo $((PORT_BASE + 10 * $1 + 1)); }

# address_list FUNCTION COUNT: comma-separated addresses of VMs 0..COUNT-1, as
# FUNCTION (vm_http) prints them.
address_list() {
    local i list=
    for ((i = 0; i < $2; i++)); do
        list+="${list:+,}$($1 "$i")"
    done
    echo "$list"
}

# wait_until SECONDS COMMAND...: repeats the command every 50 ms until it
# succeeds; fails after SECONDS of pauses.
wait_until() {
    local tries=$(($1 * 20))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        if [ "$tries" -le 0 ]; then
            echo "timed out waiting for: $*" >&2
            check_processes || true
            return 1
        fi
        sleep 0.05
    done
}

http_get() {
    curl -sf --max-time 2 "http://$1"
}

store_start() {
    process_start store "$BIN/standin/standin-store" --listen "$STORE" "$@"
    wait_until 5 http_get "$STORE/v1/config"
}

# Ends the wait for a stand-in that does not answer its admin interface.
ADMIN_MAX_S=20

# store_admin JSON: sets faults of the stand-in store.
store_admin() {
    curl -sf --max-time "$ADMIN_MAX_S" -d "$1" "http://$STORE/admin" >/dev/null
}

# vm_start INDEX DATA-CENTRE [flags...]
vm_start() {
    local i=$1 dc=$2
    shift 2
    process_start "vm$i" "$BIN/gateway/carobhatch-gateway" --vm "m$i" \
        --data-centre "$dc" --listen "$(vm_http "$i")" \
        --peer-port "$(vm_peer_port "$i")" --store "$STORE" "$@"
}

# vm_wait INDEX: returns when the process has exited.
vm_wait() {
    wait "${PROCESS_PIDS[vm$1]}" 2>/dev/null || true
    unset "PROCESS_PIDS[vm$1]"
}

# vm_stop INDEX: planned stop (SIGTERM); returns when the process has exited.
vm_stop() {
    process_signal "vm$1" TERM
    vm_wait "$1"
}

# vm_kill INDEX: kills the process of the VM (SIGKILL); returns when it has exited.
vm_kill() {
    process_signal "vm$1" KILL
    vm_wait "$1"
}

# vms_start COUNT DATA-CENTRE...: starts VMs 0..COUNT-1, assigned to the data
# centres in turn, and sets VMS to their addresses; returns when all answer.
vms_start() {
    local count=$1 i
    shift
    local dcs=("$@")
    VMS=$(address_list vm_http "$count")
    for ((i = 0; i < count; i++)); do
        vm_start "$i" "${dcs[$((i % ${#dcs[@]}))]}"
    done
    for ((i = 0; i < count; i++)); do
        wait_until 10 http_get "$(vm_http "$i")/status"
    done
    check_processes
}

ctl() {
    "$BIN/ctl/carobhatchctl" --store "$STORE" --gateways "$VMS" "$@"
}

# search_complete ADDRESS SERVICE: whether a search gets results from every shard.
search_complete() {
    curl -sf --max-time 2 -d '{"query":"probe","deadline_ms":500}' \
        "http://$1/v1/search/$2" | grep -q '"complete": *true'
}

# metric ADDRESS NAME: a counter of one process, summed over its labels.
metric() {
    http_get "$1/metrics" |
        awk -v n="carobhatch_$2" '$1 == n || index($1, n "{") == 1 { s += $2 }
                                  END { print s + 0 }'
}

TICKS_PER_S=$(getconf CLK_TCK)

# cpu_us NAME...: user and system time in us, summed over these processes of
# process_start.
cpu_us() {
    local name sum=0 fields
    for name in "$@"; do
        read -r -a fields <"/proc/${PROCESS_PIDS[$name]}/stat"
        sum=$((sum + fields[13] + fields[14]))
    done
    echo $((sum * 1000000 / TICKS_PER_S))
}

# rss_kb NAME...: resident memory in KiB of the process that has the most.
rss_kb() {
    local name
    for name in "$@"; do
        awk '/^VmRSS/ { print $2 }' "/proc/${PROCESS_PIDS[$name]}/status"
    done | sort -n | tail -1
}

# now_us: time since 1970 in us.
now_us() { echo $(($(date +%s%N) / 1000)); }

# numbered_names PREFIX COUNT: PREFIX0 ... PREFIX(COUNT-1)
numbered_names() {
    local i
    for ((i = 0; i < $2; i++)); do
        echo "$1$i"
    done
}

# metric_sum FUNCTION COUNT NAME: a counter summed over VMs 0..COUNT-1, whose
# addresses FUNCTION prints.
metric_sum() {
    local i sum=0
    for ((i = 0; i < $2; i++)); do
        sum=$((sum + $(metric "$($1 "$i")" "$3")))
    done
    echo "$sum"
}

# store_calls: lines METHOD_KIND COUNT, the calls that the store has got.
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

# watch_revisions: starts a process that records the configuration revisions of
# VMs 0..MACHINES-1 in RUN_DIR/revisions.log, as lines TIME-US ADDRESS REVISION.
watch_revisions() {
    local addresses=()
    for ((i = 0; i < MACHINES; i++)); do
        addresses+=("$(vm_http "$i")")
    done
    process_start revisions "$BIN/bench/bench-revisions" 20 "${addresses[@]}"
}

# in_force_us REVISION: time in us since 1970 at which the last VM reported this
# or a later revision; fails as long as one has not.
in_force_us() {
    awk -v revision="$1" -v processes="$(address_list vm_http "$MACHINES")" '
        BEGIN {
            left = split(processes, names, ",")
            for (i = 1; i <= left; i++) wanted[names[i]] = 1
        }
        wanted[$2] && $3 >= revision { wanted[$2] = 0; left--; last = $1 }
        END { if (left > 0) exit 1; print last }' "$RUN_DIR/revisions.log"
}

# revision_decreases: how often a VM reported a lower revision than before.
revision_decreases() {
    awk '$3 < last[$2] { n++ } { last[$2] = $3 } END { print n + 0 }' \
        "$RUN_DIR/revisions.log"
}

# config_written_us: time in us since 1970 of the last write of the configuration
# in the store.
config_written_us() {
    http_get "$STORE/metrics" |
        sed -n 's/^carobhatch_store_config_written_us //p'
}

# config_service NAME BASE-PORT INSTANCES REPLICAS SLOTS CONNECTIONS
#     [KEY: VALUE lines...]: one service as YAML, with the ports and zones that
# standin-searcher assigns with --zones a,b,c.
config_service() {
    local name=$1 port=$2 instances=$3 replicas=$4 i r n=0
    echo "  - name: $name"
    echo "    slots: $5"
    echo "    connections: $6"
    echo "    index_version: 7"
    shift 6
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

# config_head: the configuration up to the list of services, as YAML.
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
