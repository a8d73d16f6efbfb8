# The deployments of examples/ on loopback addresses: their sizes, which
# scripts/generate-examples writes into the files, and functions that start
# them. To be sourced after lib.sh.

# A line for each service: name, instances, searchers per instance, slots and
# connections per searcher, cost of a new connection in us, first port.
LODZ_ZONES=(widzew baluty gorna)
LODZ_SERVICES="
dispatch      20 2 2  25 6000 24000
billing       30 2 2  25 6000 24100
tanker         1 5 4 100 1000 24200
safety-sheets  1 3 4 100 1000 24300"
PRAIRIE_ZONES=(regina saskatoon brandon)
PRAIRIE_SERVICES="
dispatch      20 2 2  25 6000 26000
member-portal 30 2 2  25 6000 26100
driver-cab     1 9 3  40 1000 26200
wash-yard      1 4 3  40 1000 26300"

# site_select NAME: sets the SITE variables for lodz or prairie.
site_select() {
    SITE=$1
    case $1 in
    lodz) SITE_ZONES=("${LODZ_ZONES[@]}") SITE_SERVICES=$LODZ_SERVICES ;;
    prairie) SITE_ZONES=("${PRAIRIE_ZONES[@]}") SITE_SERVICES=$PRAIRIE_SERVICES ;;
    esac
    SITE_NAMES=$(awk 'NF { print $1 }' <<<"$SITE_SERVICES")
    # The admin port of the stand-in of a service is 99 above its first port.
    SITE_ADMINS=$(awk 'NF { print "127.0.0.1:" $7 + 99 }' <<<"$SITE_SERVICES")
}

# site_searchers [searcher flags...]: starts the stand-in searchers of each
# service.
site_searchers() {
    local zones name instances replicas slots connections cost_us port
    zones=$(IFS=,; echo "${SITE_ZONES[*]}")
    while read -r name instances replicas slots connections cost_us port; do
        [ -n "$name" ] || continue
        process_start "$name" "$BIN/standin/standin-searcher" \
            --base-port "$port" --admin-port "$((port + 99))" \
            --count "$((instances * replicas))" --shards "$instances" \
            --replicas "$replicas" --slots "$slots" \
            --connections "$connections" --connect-cost-us "$cost_us" \
            --zones "$zones" "$@"
    done <<<"$SITE_SERVICES"
}

# site_start NAME VMS [searcher flags...]: starts the store, the searchers and
# the VMs and applies the configuration; returns when each VM gets complete
# answers from each service.
site_start() {
    local vms=$2 i name
    site_select "$1"
    shift 2
    store_start
    site_searchers "$@"
    vms_start "$vms" "${SITE_ZONES[@]}"
    ctl --base "examples/$SITE/base.yaml" --overlay "examples/$SITE/site.yaml" \
        apply >"$RUN_DIR/apply.log"
    for ((i = 0; i < vms; i++)); do
        for name in $SITE_NAMES; do
            wait_until 20 search_complete "$(vm_http "$i")" "$name"
        done
    done
}
