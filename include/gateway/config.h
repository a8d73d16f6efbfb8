#ifndef CH_GATEWAY_CONFIG_H
#define CH_GATEWAY_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/config.h"

/* One version of the operators' configuration: routes, services and limits. It
 * does not change once it is sealed and is shared by reference. */

struct service {
    char *name;
    uint32_t connections_max; /* of one backend server, all VMs together */
    int64_t warmup_us;
    double
        warmup_per_s; /* requests a cold backend server bears, 0: no bound */
    uint32_t extra_permille; /* extra sends of its requests, 0: as set for the
                              * process */
    bool is_unhedged;        /* only failed requests are sent again */
};

/* A service and its share of a route's requests. */
struct route_target {
    const struct service *service;
    uint32_t weight;
};

struct route {
    char *name;
    char *host;
    char *prefix;
    bool is_idempotent;
    /* All targets are asked, and their parts make up the answer. */
    bool is_gather;
    int64_t timeout_us;
    int64_t objective_us; /* latency objective, 0 for none */
    uint32_t attempts_max;
    int32_t priority; /* 0 is the highest */
    GArray *targets;  /* of struct route_target */
    int64_t snapshot; /* index version of the targets, 0: not told */
    /* Bodies of parts are records, of which the greatest are kept; else they
     * are joined as they are. */
    bool has_records;
    uint32_t record_limit;
    uint32_t coverage_min_permille;
};

struct gateway_config_limits {
    uint64_t body_max_bytes;
    int64_t idle_timeout_us; /* of callers' connections, 0: not told */
};

struct gateway_config {
    uint32_t references;
    int64_t version;
    GHashTable *services; /* name -> struct service */
    GHashTable *routes;   /* "host\nprefix" -> struct route */
    GHashTable *hosts;    /* set of names */
    struct gateway_config_limits limits;
    struct config *declared; /* of the product's own interface, or NULL */
};

struct gateway_config *gateway_config_new(int64_t version);

struct gateway_config *gateway_config_ref(struct gateway_config *config);

void gateway_config_unref(struct gateway_config *config);

/* Takes over the service; one with the same name is replaced. */
void gateway_config_add_service(struct gateway_config *config,
                                struct service *service);

/* Takes over the route. */
void gateway_config_add_route(struct gateway_config *config,
                              struct route *route);

struct route *route_new(void);

void route_free(gpointer route);

const struct service *
gateway_config_find_service(const struct gateway_config *config,
                            const char *name);

/* The route of this host with the longest prefix of `path`, or NULL. */
const struct route *
gateway_config_find_route(const struct gateway_config *config,
                          const char *host, const char *path);

#endif
