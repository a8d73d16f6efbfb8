#ifndef CH_STANDIN_SEARCHER_H
#define CH_STANDIN_SEARCHER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "standin/runs.h"
#include "standin/service_model.h"
#include "standin/hrtimer.h"
#include "standin/http_conn.h"

#define SEARCHER_VERSIONS_MAX 16

/* Index versions that one searcher holds. */
struct searcher_versions {
    int64_t items[SEARCHER_VERSIONS_MAX];
    uint32_t count;
};

/* Number of shards of a version; versions without one use the default. */
struct searcher_layout {
    int64_t version;
    uint32_t shards;
};

struct searcher_stats {
    uint64_t requests; /* searches and executes */
    uint64_t executes;
    uint64_t statuses;
    uint64_t shed;
    uint64_t shed_cold; /* of these, while cold */
    uint64_t version_gone;
    uint64_t bad_requests;
    uint64_t cancelled; /* the caller closed the connection */
    uint64_t aborted;   /* the searcher restarted or went down */
    uint64_t cold_requests;
    uint64_t refused_connections;
    uint32_t max_in_use;
    uint32_t cold_max_in_use;
    uint32_t max_connections;
};

/* What all searchers of the process share. */
struct searcher_env {
    uv_loop_t *loop;
    struct hrtimer_set *timers;
    struct runs *runs;
    uint64_t random;
    /* Handles a path that belongs to the test; answers the request. */
    void (*admin)(struct http_conn *conn,
                  const struct http_conn_request *request, void *ctx);
    void *admin_ctx;
};

struct searcher {
    struct searcher_env *env;
    const char *host;
    const char *zone; /* NULL without zones */
    uint32_t port;
    uint32_t shard;
    uint32_t shards; /* default layout */
    uint32_t slots;
    uint32_t queue_max; /* requests that wait for a slot */
    uint32_t connections;
    int64_t connect_cost_us;
    struct service_model model;
    struct searcher_versions versions;
    struct searcher_layout layouts[SEARCHER_VERSIONS_MAX];
    uint32_t layout_count;

    struct http_conn_server *server; /* NULL while the searcher is down */
    int64_t start;
    uint32_t in_use;
    GQueue queued; /* of struct searcher_call */
    bool is_frozen;
    bool is_draining;
    bool is_closing; /* connections end by the searcher's own decision */
    int64_t load_shown_permille; /* negative: the true load */
    int64_t status_lag_ms;
    int64_t status_at_us;
    char *status_text; /* what a lagging status shows */
    int64_t truncate_next;
    int64_t duplicate_next;
    int64_t cross_next;
    int64_t oversize_next;
    struct searcher_stats stats;
};

/* Starts listening. Returns RC_OK, RC_INVALID or RC_IO. */
int searcher_open(struct searcher *searcher);

/* Closes the listener and all connections; running requests are aborted. */
void searcher_close(struct searcher *searcher);

/* New start id, cold, all connections closed. */
void searcher_restart(struct searcher *searcher);

/* Frozen, a searcher accepts connections and answers nothing. */
void searcher_freeze(struct searcher *searcher, bool is_frozen);

/* Open connections get no more answers for good. */
void searcher_silence(struct searcher *searcher);

/* Shards of the version's layout. */
uint32_t searcher_shards_of(const struct searcher *searcher, int64_t version);

/* Whether the searcher holds its shard of the version. */
bool searcher_serves(const struct searcher *searcher, int64_t version);

/* [{version, shard, shards}] of all versions it serves. */
json_t *searcher_version_list(const struct searcher *searcher);

/* Reads "7" or "6,7". Returns RC_OK or RC_BAD_FIELD with no change. */
int searcher_versions_parse(const char *text, struct searcher_versions *out);

#endif
