#ifndef CH_STANDIN_SEARCHER_H
#define CH_STANDIN_SEARCHER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "standin/runs.h"
#include "standin/searcher_version.h"
#include "standin/service_model.h"
#include "standin/hrtimer.h"
#include "standin/http_conn.h"

/*
 * One simulated backend server (a searcher). It holds one shard of several
 * index versions, serves searches and executes orders in a limited number of
 * slots behind a queue, and shows the faults that a test asks for through the
 * admin calls. Times are CLOCK_MONOTONIC in microseconds (hrtimer_now_us).
 */

struct searcher_stats {
    uint64_t requests; /* searches and executes received */
    uint64_t executes; /* executes that got a slot */
    uint64_t statuses;
    uint64_t shed;         /* refused with 503: slots and queue full */
    uint64_t shed_cold;    /* of these, while cold */
    uint64_t version_gone; /* refused with 409: shard or version not held */
    uint64_t bad_requests;
    /* Requests that held a slot when their connection closed: by the gateway,
     * or by a restart or an outage of the searcher. */
    uint64_t cancelled;
    uint64_t aborted;
    uint64_t cold_requests; /* received while cold */
    uint64_t refused_connections;
    uint32_t max_in_use; /* slots */
    uint32_t cold_max_in_use;
    uint32_t max_connections;
};

/* State that all searchers of the process share. */
struct searcher_env {
    uv_loop_t *loop;
    struct hrtimer_set *timers;
    struct runs *runs;
    uint64_t random; /* generator state, see service_model_random() */
    /* Handles an admin call and responds to it. */
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
    uint32_t shards; /* of versions without an entry in `layouts` */
    uint32_t slots;
    uint32_t queue_max;      /* requests that wait for a slot */
    uint32_t connections;    /* limit */
    int64_t connect_cost_us; /* delay of a connection's first response */
    struct service_model model;
    struct searcher_versions versions;
    struct searcher_layout layouts[SEARCHER_VERSIONS_MAX];
    uint32_t layout_count;

    struct http_conn_server *server; /* NULL while the searcher is down */
    int64_t start_id;                /* random, new after each restart */
    uint32_t in_use;                 /* slots */
    GQueue queued;                   /* of struct searcher_call */
    bool is_frozen;
    bool is_draining;
    bool is_closing; /* the searcher itself is closing connections */
    int64_t reported_load_permille; /* negative: report the actual load */
    int64_t status_lag_ms;          /* maximum age of the cached status */
    int64_t status_cached_us;
    char *cached_status;
    /* Number of following responses with the fault, see standin-searcher(1).
     */
    int64_t truncate_next;
    int64_t duplicate_next;
    int64_t cross_next;
    int64_t oversize_next;
    struct searcher_stats stats;
};

/* Starts listening. Returns RC_OK, RC_INVALID or RC_IO (http_conn_listen). */
int searcher_open(struct searcher *searcher);

/* Closes the listener and all connections, which aborts their requests. */
void searcher_close(struct searcher *searcher);

/*
 * Simulates a restart of the process: new start id, cold caches, all
 * connections closed. The listener stays open.
 */
void searcher_restart(struct searcher *searcher);

/*
 * A frozen searcher accepts connections and requests but responds to nothing;
 * pending requests go on when it is unfrozen.
 */
void searcher_freeze(struct searcher *searcher, bool is_frozen);

/* The connections that are open now never get a response again. */
void searcher_silence(struct searcher *searcher);

#endif
