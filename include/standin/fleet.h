#ifndef CH_STANDIN_FLEET_H
#define CH_STANDIN_FLEET_H

#include <stdint.h>
#include <uv.h>

/*
 * The process of the stand-in backend servers: reads its command line, opens
 * the configured number of simulated servers (searchers, standin/searcher.h)
 * and the admin port that changes them during a test.
 */

/* Command line of standin-searcher. */
struct fleet_options {
    char *listen_host;
    int64_t base_port;
    int64_t admin_port; /* 0: the port after the last searcher's */
    int64_t count;
    int64_t shards;
    int64_t replicas;    /* searchers per shard */
    int64_t slots;       /* requests that a searcher serves at a time */
    int64_t queue;       /* requests that wait for a slot of a searcher */
    int64_t connections; /* limit per searcher */
    int64_t connect_cost_us;
    int64_t service_us; /* mean */
    char *service_dist; /* "fixed" or "exp" (exponential) */
    int64_t straggler_permille;
    int64_t straggler_factor;
    int64_t cold_factor;
    int64_t cold_ms;
    char *versions; /* index versions, separated by commas */
    char *zones;    /* names separated by commas, "" for none */
    int64_t seed;
    char *log_level;
};

/* Returns RC_OK, or RC_USAGE after printing what is wrong to stderr. */
int fleet_options_parse(struct fleet_options *options, int argc, char **argv);

/* All searchers of the process; searcher i listens on base_port + i. */
struct fleet;

/*
 * Starts all searchers and the admin port, which answers whatever state the
 * searchers are in. Returns RC_OK, RC_USAGE when an option has a bad value,
 * RC_INVALID when an address is malformed, or RC_IO when a port or a timer
 * can't be opened.
 */
int fleet_open(uv_loop_t *loop, const struct fleet_options *options,
               struct fleet **out);

#endif
