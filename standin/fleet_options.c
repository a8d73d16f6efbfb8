#include <glib.h>

#include "common/opt.h"
#include "common/rc.h"
#include "standin/fleet.h"

#define FLEET_INT(flag, field, low, high, about)                              \
    {                                                                         \
        .name = (flag), .kind = OPT_INT, .target = &options->field,           \
        .help = (about), .arg = "N", .min = (low), .max = (high)              \
    }

#define FLEET_TEXT(flag, field, about)                                        \
    {                                                                         \
        .name = (flag), .kind = OPT_STRING, .target = &options->field,        \
        .help = (about), .arg = "TEXT"                                        \
    }

int
fleet_options_parse(struct fleet_options *options, int argc, char **argv)
{
    *options = (struct fleet_options){
        .listen_host = g_strdup("127.0.0.1"),
        .count = 1,
        .shards = 1,
        .replicas = 1,
        .slots = 2,
        .queue = 12,
        .connections = 25,
        .service_us = 1000,
        .service_dist = g_strdup("exp"),
        .straggler_factor = 20,
        .cold_factor = 1,
        .versions = g_strdup("7"),
        .zones = g_strdup(""),
        .seed = 1,
        .log_level = g_strdup("info"),
    };
    struct opt_spec specs[] = {
        FLEET_TEXT("listen-host", listen_host, "IPv4 address (127.0.0.1)"),
        FLEET_INT("base-port", base_port, 1, 65535, "Port of searcher 0"),
        FLEET_INT("admin-port", admin_port, 0, 65535,
                  "Port for admin calls (0: the one after the last searcher)"),
        FLEET_INT("count", count, 1, 20000, "Number of searchers (1)"),
        FLEET_INT("shards", shards, 1, 100000,
                  "Shards of an index version (1)"),
        FLEET_INT("replicas", replicas, 1, 1000,
                  "Searchers per shard; searcher i serves shard i / N (1)"),
        FLEET_INT("slots", slots, 1, 10000,
                  "Requests that a searcher serves at a time (2)"),
        FLEET_INT("queue", queue, 0, 10000,
                  "Requests that wait for a slot; more are refused (12)"),
        FLEET_INT("connections", connections, 1, 100000,
                  "Connections of a searcher; more are closed (25)"),
        FLEET_INT("connect-cost-us", connect_cost_us, 0, 10000000,
                  "Delay of a new connection's first response in us (0)"),
        FLEET_INT("service-us", service_us, 0, 60000000,
                  "Mean service time in us (1000)"),
        FLEET_TEXT("service-dist", service_dist, "fixed or exp (exp)"),
        FLEET_INT("straggler-permille", straggler_permille, 0, 1000,
                  "Slow requests per 1000 (0)"),
        FLEET_INT("straggler-factor", straggler_factor, 1, 10000,
                  "Factor on the service time of slow requests (20)"),
        FLEET_INT("cold-factor", cold_factor, 1, 10000,
                  "Factor on the service time after a start (1)"),
        FLEET_INT("cold-ms", cold_ms, 0, 600000,
                  "Time in which that factor falls to 1 in ms (0)"),
        FLEET_TEXT("versions", versions,
                   "Index versions held, such as 6,7 (7)"),
        FLEET_TEXT("zones", zones, "Zones; searcher i is in zone i % zones"),
        FLEET_INT("seed", seed, 0, INT64_MAX,
                  "Seed of the random numbers (1)"),
        FLEET_TEXT("log-level", log_level,
                   "error, warn, info or debug (info)"),
    };
    specs[1].required = 1;
    return opt_parse(&argc, &argv, specs, G_N_ELEMENTS(specs), NULL,
                     "Simulated backend servers (searchers) in one process");
}
