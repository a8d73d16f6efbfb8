#ifndef CH_COMMON_CONFIG_H
#define CH_COMMON_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A cluster configuration: zones, client accounts with their quotas, and
 * services with the backend servers of each replica set. Built from the JSON
 * document that the operators' files were merged into; immutable once parsed
 * and owned by whoever parsed it. Its fields are described in
 * carobhatch-config(5).
 */

struct config_zone {
    char *name;
    bool is_in_service;
};

/* A client account. */
struct config_caller {
    char *name;
    int64_t quota_per_s; /* requests */
    int64_t burst;       /* requests that may arrive at once */
    int64_t priority;    /* 0 is served first */
};

/* A backend server. */
struct config_searcher {
    char *name;
    char *zone;
    char *address;   /* IPV4:PORT */
    bool is_leaving; /* gets no new requests */
};

/* A replica set: searchers that hold the same data. */
struct config_instance {
    char *name;
    struct config_searcher *searchers;
    size_t searcher_count;
};

struct config_service {
    char *name;
    int64_t slots;         /* concurrent requests per searcher, from all VMs */
    int64_t connections;   /* open connections per searcher, from all VMs */
    int64_t index_version; /* answers from other versions are discarded */
    int64_t cold_per_s;    /* requests to a cold searcher, from all VMs */
    int64_t cold_ramp_ms;  /* how long a searcher is cold after its start */
    int64_t deadline_default_ms; /* of a request that names none */
    int64_t deadline_max_ms;
    int64_t hedge_budget_permille; /* extra load that hedges may cause */
    struct config_instance *instances;
    size_t instance_count;
};

struct config {
    uint64_t revision;
    char *cluster;
    struct config_zone *zones;
    size_t zone_count;
    struct config_caller *callers;
    size_t caller_count;
    struct config_service *services;
    size_t service_count;
};

/*
 * Parses and checks a configuration document as the store holds it (JSON).
 * Returns RC_OK with `*out`, to be freed with config_free(). Returns
 * RC_BAD_JSON with a message that names the line, or RC_INVALID with one that
 * names the field, in `*error` (free with g_free); `*out` is then not set.
 */
int config_parse(const char *json, size_t json_bytes, struct config **out,
                 char **error);

void config_free(struct config *config);

/* The entry with this name, or NULL. */
const struct config_service *config_service_find(const struct config *config,
                                                 const char *name);
const struct config_caller *config_caller_find(const struct config *config,
                                               const char *name);

/* False for a zone that is out or not declared. */
bool config_zone_is_in_service(const struct config *config, const char *name);

/*
 * Whether some searcher of the instance may get new requests: it is not
 * leaving, and its zone is in service.
 */
bool config_instance_is_available(const struct config *config,
                                  const struct config_instance *instance);

/* Number of the service's instances that are not available. */
size_t config_count_unavailable(const struct config *config,
                                const struct config_service *service);

/* Hash of a document's bytes, the same on every VM. Not cryptographic. */
uint64_t config_digest(const char *json, size_t json_bytes);

#endif
