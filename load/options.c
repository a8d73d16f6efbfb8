#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/opt.h"
#include "common/rc.h"
#include "load/options.h"

#define LOAD_INT(flag, field, low, high, about)                               \
    {                                                                         \
        .name = (flag), .kind = OPT_INT, .target = &options->field,           \
        .help = (about), .arg = "N", .min = (low), .max = (high)              \
    }

#define LOAD_TEXT(flag, field, argument, about)                               \
    {                                                                         \
        .name = (flag), .kind = OPT_STRING, .target = &options->field,        \
        .help = (about), .arg = (argument)                                    \
    }

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
    struct opt_spec specs[] = {
        LOAD_TEXT("entries", entries, "IPV4:PORT,...",
                  "Gateway addresses to start with"),
        LOAD_TEXT("service", services, "NAME=WEIGHT,...",
                  "Services with their weights"),
        LOAD_INT("rate", rate, 1, 1000000, "Requests per second (100)"),
        LOAD_INT("seconds", seconds, 1, 86400, "Length of the run in s (10)"),
        LOAD_INT("deadline-ms", deadline_ms, 1, 600000,
                 "Deadline of a request in ms (170)"),
        LOAD_INT("limit", limit, 1, 1000, "Hits per search (10)"),
        LOAD_INT("key-permille", key_permille, 0, 1000,
                 "Searches per 1000 with a key, for one shard (0)"),
        LOAD_INT("order-permille", order_permille, 0, 1000,
                 "Orders per 1000 requests (0)"),
        LOAD_INT("callers", callers, 1, 10000, "Number of callers (1)"),
        LOAD_TEXT("caller-prefix", caller_prefix, "TEXT",
                  "Prefix of the callers' names (caller-)"),
        LOAD_TEXT("zone", zone, "NAME", "Zone of the callers"),
        LOAD_INT("connections", connections, 1, 10000,
                 "Maximum number of connections per address (512)"),
        LOAD_TEXT("arrivals", arrivals, "KIND",
                  "poisson or even intervals (poisson)"),
        LOAD_INT("seed", seed, 0, INT64_MAX, "Seed of the random numbers (1)"),
        LOAD_TEXT("json", json, "FILE", "Write the results as JSON"),
        LOAD_TEXT("timeline", timeline, "FILE",
                  "Write a CSV row for each 100 ms"),
        LOAD_TEXT("order-log", order_log, "FILE",
                  "Write a CSV row for each order"),
    };
    specs[0].required = 1;
    specs[1].required = 1;
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
