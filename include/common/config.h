#ifndef CH_COMMON_CONFIG_H
#define CH_COMMON_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The declarations in force: what operators wrote, merged, checked and
 * numbered. Immutable once parsed.
 */

struct config_zone {
    char *name;
    bool is_in;
};

struct config_caller {
    char *name;
    int64_t quota_per_s;
    int64_t burst;
    int64_t priority; /* 0 is served first */
};

struct config_searcher {
    char *name;
    char *zone;
    char *address; /* IPV4:PORT */
    bool is_leaving;
};

struct config_instance {
    char *name;
    struct config_searcher *searchers;
    size_t searcher_count;
};

struct config_service {
    char *name;
    int64_t slots;         /* per searcher, over all who use it */
    int64_t connections;   /* per searcher, over all who use it */
    int64_t index_version; /* that answers come from */
    int64_t cold_per_s;    /* requests that a cold searcher bears */
    int64_t cold_ramp_ms;
    int64_t deadline_default_ms;
    int64_t deadline_max_ms;
    int64_t hedge_budget_permille;
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
 * Returns RC_OK, RC_BAD_JSON, or RC_INVALID with a message that names the
 * field in `*error` (free with g_free). Nothing is returned on an error.
 */
int config_parse(const char *json, size_t json_bytes, struct config **out,
                 char **error);

void config_free(struct config *config);

/* The entries with these names, or NULL. */
const struct config_service *config_service_find(const struct config *config,
                                                 const char *name);
const struct config_caller *config_caller_find(const struct config *config,
                                               const char *name);

/* False for a zone that is out or not declared. */
bool config_zone_is_in(const struct config *config, const char *name);

/* Whether some searcher of the instance is neither leaving nor in a zone that
 * is out. */
bool config_instance_is_served(const struct config *config,
                               const struct config_instance *instance);

/* Instances of the service that are not served. */
size_t config_idle_instances(const struct config *config,
                             const struct config_service *service);

/* Digest of a document, the same on every machine. */
uint64_t config_digest(const char *json, size_t json_bytes);

#endif
