#ifndef CH_STANDIN_FLEET_H
#define CH_STANDIN_FLEET_H

#include <stdint.h>
#include <uv.h>

struct fleet_options {
    char *listen_host;
    int64_t base_port;
    int64_t admin_port; /* 0: the one after the last searcher */
    int64_t count;
    int64_t shards;
    int64_t replicas;
    int64_t slots;
    int64_t queue;
    int64_t connections;
    int64_t connect_cost_us;
    int64_t service_us;
    char *service_dist; /* fixed or exp */
    int64_t straggler_permille;
    int64_t straggler_factor;
    int64_t cold_factor;
    int64_t cold_ms;
    char *versions;
    char *zones; /* names with commas, "" for none */
    int64_t seed;
    char *log_level;
};

int fleet_options_parse(struct fleet_options *options, int argc, char **argv);

/* The searchers of one process; searcher i listens on base_port + i. */
struct fleet;

/*
 * Starts all searchers and the admin port, which works whatever state the
 * searchers are in. Returns RC_OK, RC_USAGE, RC_INVALID or RC_IO.
 */
int fleet_open(uv_loop_t *loop, const struct fleet_options *options,
               struct fleet **out);

#endif
