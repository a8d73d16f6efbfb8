#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/opt.h"
#include "common/rc.h"
#include "load/options.h"

int
load_options_parse(struct load_options *options, int argc, char **argv)
{
    *options = (struct load_options){
        .caller_prefix = g_strdup("caller-"),
        .rate = 100,
        .seconds = 10,
        .deadline_ms = 170,
        .limit = 10,
        .callers = 1,
        .connections = 512,
        .seed = 1,
        .arrivals = g_strdup("poisson"),
    };
    const struct opt_spec specs[] = {
        {.name = "entries",
         .kind = OPT_STRING,
         .target = &options->entries,
         .help = "Gateway addresses to start with",
         .arg = "IPV4:PORT,...",
         .required = 1},
        {.name = "service",
         .kind = OPT_STRING,
         .target = &options->services,
         .help = "Services with their weights",
         .arg = "NAME=WEIGHT,...",
         .required = 1},
        OPT_SPEC_INT("rate", &options->rate, 1, 1000000, "N",
                     "Requests per second (100)"),
        OPT_SPEC_INT("seconds", &options->seconds, 1, 86400, "N",
                     "Length of the run in s (10)"),
        OPT_SPEC_INT("deadline-ms", &options->deadline_ms, 1, 600000, "N",
                     "Deadline of a request in ms (170)"),
        OPT_SPEC_INT("limit", &options->limit, 1, 1000, "N",
                     "Hits per search (10)"),
        OPT_SPEC_INT("key-permille", &options->key_permille, 0, 1000, "N",
                     "Searches per 1000 with a key, for one shard (0)"),
        OPT_SPEC_INT("order-permille", &options->order_permille, 0, 1000, "N",
                     "Orders per 1000 requests (0)"),
        OPT_SPEC_INT("callers", &options->callers, 1, 10000, "N",
                     "Number of callers (1)"),
        OPT_SPEC_STRING("caller-prefix", &options->caller_prefix, "TEXT",
                        "Prefix of the callers' names (caller-)"),
        OPT_SPEC_STRING("zone", &options->zone, "NAME", "Zone of the callers"),
        OPT_SPEC_INT("connections", &options->connections, 1, 10000, "N",
                     "Maximum number of connections per address (512)"),
        OPT_SPEC_STRING("arrivals", &options->arrivals, "KIND",
                        "poisson or even intervals (poisson)"),
        OPT_SPEC_INT("seed", &options->seed, 0, INT64_MAX, "N",
                     "Seed of the random numbers (1)"),
        OPT_SPEC_STRING("json", &options->json, "FILE",
                        "Write the results as JSON"),
        OPT_SPEC_STRING("timeline", &options->timeline, "FILE",
                        "Write a CSV row for each 100 ms"),
        OPT_SPEC_STRING("order-log", &options->order_log, "FILE",
                        "Write a CSV row for each order"),
    };
    int rc = opt_parse(&argc, &argv, specs, G_N_ELEMENTS(specs), NULL,
                       "Sends requests at a given rate to gateways with "
                       "simulated backend servers and checks each response");
    if (rc == RC_OK && strcmp(options->arrivals, "poisson") != 0 &&
        strcmp(options->arrivals, "even") != 0) {
        (void)fprintf(stderr,
                      "usage: --arrivals: '%s' is neither poisson nor even\n",
                      options->arrivals);
        return RC_USAGE;
    }
    return rc;
}
