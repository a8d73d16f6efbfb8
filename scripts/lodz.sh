# The deployment of examples/lodz on loopback addresses; after lib.sh.
# Searcher ports must match examples/lodz.

LODZ_ZONES=(widzew baluty gorna)
DISPATCH_ADMIN=127.0.0.1:24099
BILLING_ADMIN=127.0.0.1:24199
TANKER_ADMIN=127.0.0.1:24299
SHEETS_ADMIN=127.0.0.1:24399

# lodz_searchers [flags for the dispatch desk...]
lodz_searchers() {
    local searcher=$BIN/standin/standin-searcher
    dep_spawn dispatch "$searcher" --base-port 24000 \
        --admin-port 24099 --count 40 --shards 20 --replicas 2 --slots 2 --connections 25 \
        --connect-cost-us 6000 --zones widzew,baluty,gorna "$@"
    dep_spawn billing "$searcher" --base-port 24100 \
        --admin-port 24199 --count 60 --shards 30 --replicas 2 --slots 2 --connections 25 \
        --connect-cost-us 6000 --zones widzew,baluty,gorna
    dep_spawn tanker "$searcher" --base-port 24200 \
        --admin-port 24299 --count 5 --shards 1 --replicas 5 --slots 4 --connections 100 \
        --connect-cost-us 1000 --zones widzew,baluty,gorna
    dep_spawn sheets "$searcher" --base-port 24300 \
        --admin-port 24399 --count 3 --shards 1 --replicas 3 --slots 4 --connections 100 \
        --connect-cost-us 1000 --zones widzew,baluty,gorna
}

# lodz_start MACHINES [flags for the dispatch searchers...]: everything, with
# the configuration in force and every shard of each service reachable.
lodz_start() {
    local machines=$1 i
    shift
    store_start
    lodz_searchers "$@"
    machines_start "$machines" "${LODZ_ZONES[@]}"
    ctl --base examples/lodz/base.yaml --overlay examples/lodz/site.yaml \
        apply >"$RUN_DIR/apply.log"
    for ((i = 0; i < machines; i++)); do
        dep_wait 20 search_complete "$(entry_http "$i")" dispatch
        dep_wait 20 search_complete "$(entry_http "$i")" billing
    done
}
