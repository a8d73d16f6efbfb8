#ifndef CH_GATEWAY_CONFIG_H
#define CH_GATEWAY_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/config.h"

/*
 * One version of the operators' configuration: routes, services and limits. It
 * is filled by its reader and does not change once the gateway has applied it;
 * it is reference counted, so that each request keeps the version that was in
 * force when it arrived. Times are durations in microseconds.
 */

/* A set of backend servers that can all serve the same requests. */
struct service {
    char *name;
    uint32_t connections_max; /* to one backend server, all VMs together */
    int64_t warmup_us;        /* how long a backend server is cold */
    /* Requests a second that a cold backend server can serve, 0: no limit. */
    double warmup_per_s;
    /* Extra sends (hedges and retries) as a share of the requests, 0: as set
     * for the process. */
    uint32_t extra_permille;
    bool is_unhedged; /* no hedges, only retries */
};

/* A service and its weight among the targets of a route. */
struct route_target {
    const struct service *service;
    uint32_t weight;
};

struct route {
    char *name;
    char *host;
    char *prefix; /* of the path, ends with a slash */
    bool is_idempotent;
    /* All targets are asked, and their parts are merged into the answer. Else
     * one target is chosen by weight. */
    bool is_gather;
    int64_t timeout_us;
    int64_t objective_us;  /* latency objective, 0 for none */
    uint32_t attempts_max; /* for each part */
    int32_t priority;      /* 0 is the highest */
    GArray *targets;       /* of struct route_target */
    int64_t snapshot;      /* index version of the targets, 0: unknown */
    /* Bodies of parts are records, of which the greatest are kept; else they
     * are concatenated. */
    bool has_records;
    uint32_t record_limit;
    /* Share of the parts that an answer must have. */
    uint32_t coverage_min_permille;
};

/* Limits on what callers send and how long they take. */
struct gateway_config_limits {
    uint64_t head_max_bytes; /* path and headers, 0: not set */
    int64_t head_timeout_us; /* for the whole head, 0: not set */
    uint64_t body_max_bytes;
    int64_t idle_timeout_us; /* of callers' connections, 0: not set */
};

struct gateway_config {
    uint32_t references;
    int64_t version;
    GHashTable *services;    /* name -> struct service */
    GHashTable *routes;      /* "host\nprefix" -> struct route */
    GHashTable *hosts;       /* set of names */
    size_t prefix_max_bytes; /* length of the longest prefix of a route */
    struct gateway_config_limits limits;
    /* The document that the native interface reads it from, else NULL. */
    struct config *document_config;
};

struct gateway_config *gateway_config_new(int64_t version);

struct gateway_config *gateway_config_ref(struct gateway_config *config);

void gateway_config_unref(struct gateway_config *config);

/* Takes ownership of the service; one with the same name is replaced. */
void gateway_config_add_service(struct gateway_config *config,
                                struct service *service);

/* Takes ownership of the route; one with the same host and prefix is replaced.
 */
void gateway_config_add_route(struct gateway_config *config,
                              struct route *route);

struct route *route_new(void);

void route_free(gpointer route);

const struct service *
gateway_config_find_service(const struct gateway_config *config,
                            const char *name);

/* Returns the route of the host with the longest prefix of `path`, or NULL. */
const struct route *
gateway_config_find_route(const struct gateway_config *config,
                          const char *host, const char *path);

#endif
