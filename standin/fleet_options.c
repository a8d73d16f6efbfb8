#include <glib.h>

#include "common/opt.h"
#include "common/rc.h"
#include "standin/fleet.h"

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
    const struct opt_spec specs[] = {
        OPT_SPEC_STRING("listen-host", &options->listen_host, "TEXT",
                        "IPv4 address (127.0.0.1)"),
        {.name = "base-port",
         .kind = OPT_INT,
         .target = &options->base_port,
         .help = "Port of searcher 0",
         .arg = "N",
         .min = 1,
         .max = 65535,
         .required = 1},
        OPT_SPEC_INT(
            "admin-port", &options->admin_port, 0, 65535, "N",
            "Port for admin calls (0: the one after the last searcher)"),
        OPT_SPEC_INT("count", &options->count, 1, 20000, "N",
                     "Number of searchers (1)"),
        OPT_SPEC_INT("shards", &options->shards, 1, 100000, "N",
                     "Shards of an index version (1)"),
        OPT_SPEC_INT("replicas", &options->replicas, 1, 1000, "N",
                     "Searchers per shard; searcher i serves shard i / N (1)"),
        OPT_SPEC_INT("slots", &options->slots, 1, 10000, "N",
                     "Requests that a searcher serves at a time (2)"),
        OPT_SPEC_INT("queue", &options->queue, 0, 10000, "N",
                     "Requests that wait for a slot; more are refused (12)"),
        OPT_SPEC_INT("connections", &options->connections, 1, 100000, "N",
                     "Connections of a searcher; more are closed (25)"),
        OPT_SPEC_INT("connect-cost-us", &options->connect_cost_us, 0, 10000000,
                     "N",
                     "Delay of a new connection's first response in us (0)"),
        OPT_SPEC_INT("service-us", &options->service_us, 0, 60000000, "N",
                     "Mean service time in us (1000)"),
        OPT_SPEC_STRING("service-dist", &options->service_dist, "TEXT",
                        "fixed or exp (exp)"),
        OPT_SPEC_INT("straggler-permille", &options->straggler_permille, 0,
                     1000, "N", "Slow requests per 1000 (0)"),
        OPT_SPEC_INT("straggler-factor", &options->straggler_factor, 1, 10000,
                     "N", "Factor on the service time of slow requests (20)"),
        OPT_SPEC_INT("cold-factor", &options->cold_factor, 1, 10000, "N",
                     "Factor on the service time after a start (1)"),
        OPT_SPEC_INT("cold-ms", &options->cold_ms, 0, 600000, "N",
                     "Time in which that factor falls to 1 in ms (0)"),
        OPT_SPEC_STRING("versions", &options->versions, "TEXT",
                        "Index versions held, such as 6,7 (7)"),
        OPT_SPEC_STRING("zones", &options->zones, "TEXT",
                        "Zones; searcher i is in zone i % zones"),
        OPT_SPEC_INT("seed", &options->seed, 0, INT64_MAX, "N",
                     "Seed of the random numbers (1)"),
        OPT_SPEC_STRING("log-level", &options->log_level, "TEXT",
                        "error, warn, info or debug (info)"),
    };
    return opt_parse(&argc, &argv, specs, G_N_ELEMENTS(specs), NULL,
                     "Simulated backend servers (searchers) in one process");
}
