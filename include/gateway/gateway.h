#ifndef CH_GATEWAY_GATEWAY_H
#define CH_GATEWAY_GATEWAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/budget.h"
#include "common/buffer.h"
#include "common/counter.h"
#include "gateway/admit.h"
#include "gateway/backend.h"
#include "gateway/balancer.h"
#include "gateway/config.h"
#include "gateway/queue.h"
#include "gateway/stop.h"
#include "common/hedge.h"

/*
 * The request path of one VM, without its I/O: admits requests, sends their
 * parts to backend servers with hedges and retries, and merges the answers.
 * Events are passed in with the current time, I/O goes out through callbacks.
 * `struct gateway` owns all state and is used on the event loop only. Times
 * are microseconds of one monotonic clock. The clock must not read 0, since a
 * time of 0 means "not set" in many fields.
 */

struct request;
struct caller_answer;
struct attempt;

/* Value of `only_target`: all targets of a gathering route are asked. */
#define REQUEST_ALL_TARGETS (-1)

/* A caller's request. What it points to must stay valid until the answer. */
struct request_params {
    const char *method;
    const char *target; /* path and query as sent */
    const char *host;
    const char *id;     /* unique for each try of the caller */
    const char *fields; /* header lines to forward */
    const void *body;
    size_t body_bytes;
    /* Holds the body, so that it is sent without a copy; NULL: the encoder
     * puts the body into the request. */
    struct buffer *body_buffer;
    int64_t deadline_us; /* the caller waits no longer; INT64_MAX: unknown */
    /* Whether the time that the caller has spent on earlier tries is estimated
     * from its deadline: callers of a route all start with the same timeout.
     */
    bool estimate_spent;
    int32_t only_target; /* index of the only target asked, or
                          * REQUEST_ALL_TARGETS */
    int32_t priority;    /* added to that of the route, 0 is the highest */
    /* Whether the caller has disconnected, asked before the request is sent
     * on; NULL: the request is served whether it has or not. */
    bool (*has_left)(void *ctx);
    /* Called once, possibly during gateway_submit(); the request is freed
     * afterwards. */
    void (*on_answer)(const struct caller_answer *answer, void *ctx);
    void *ctx;
};

/* A request as it goes to one backend server. */
struct attempt_send {
    const struct request_params *request;
    const struct route *route;
    uint32_t target; /* index in the route */
    int64_t left_us; /* time left until the deadline */
};

/* An answer of a backend server. */
struct backend_answer {
    /* RC_OK for a success; RC_BACKEND_ERROR for another final status; else why
     * there is no usable answer. */
    int rc;
    /* The backend server states in a whole answer to this request that it did
     * not run the request; `rc` is not RC_OK. */
    bool says_not_run;
    int status;
    const char *stamp;  /* signature of the answer, NULL if there is none */
    const char *fields; /* header lines to forward */
    const void *body;
    size_t body_bytes;
    struct buffer *body_buffer; /* holds the body, or NULL */
    bool is_reusable;           /* the link may carry another request */
    int64_t keepalive_us;       /* how long the link may stay idle */
    int64_t warmup_us;          /* how long it stays cold, -1: unknown */
    bool is_leaving; /* it will shut down and wants no new requests */
    /* With a rejection: it wants no requests for this time, 0: not given. */
    int64_t retry_after_us;
    uint64_t start; /* start id of its process, 0: unknown */
};

/* One part of a gathered answer. */
struct answer_part {
    uint32_t target; /* index in the route */
    int rc;          /* RC_OK, or why it is missing */
    const char *stamp;
};

/* The answer to a caller. */
struct caller_answer {
    int rc;
    int status;         /* of the backend server, 0 for the gateway's own */
    const char *fields; /* header lines of the backend server, or NULL */
    const void *body;
    size_t body_bytes;
    struct buffer *body_buffer;      /* holds the body, or NULL */
    const struct route *route;       /* NULL for a refusal at arrival */
    const struct answer_part *parts; /* of a gathering route, else NULL */
    uint32_t part_count;
    uint32_t missing_parts;
    int64_t retry_after_us; /* with a refusal: delay until a retry */
};

struct gateway_callbacks {
    struct backend_callbacks link;
    /* Sends the attempt's request on its link. Returns RC_OK, RC_LINK_FAILED,
     * or RC_NO_MEMORY if this VM has no room for it; the link stays usable. */
    int (*send)(struct backend_link *link, const struct attempt_send *send,
                void *ctx);
    /* Returns a random number from 0 to 1. */
    double (*random)(void *ctx);
};

struct gateway_bounds {
    /* Extra sends (hedges and retries) to a service: this share of its
     * requests, plus this many for all VMs together. */
    uint32_t extra_permille;
    uint32_t extra_count;
    double warmup_overshoot;
    uint32_t warmup_slack;
    /* A leaving backend server may be used for this time after its notice if
     * no other replica can serve. */
    int64_t leaving_use_us;
};

/* Statistics of the requests on a route. */
struct route_stats {
    struct hedge hedge;
    int64_t average_us; /* moving average of a part's time, 0: unknown */
    /* The same without load: it falls at once and rises slowly, so that load
     * on all backend servers is noticed by comparison. */
    int64_t baseline_us;
    int64_t wait_max_us; /* longest wait of a caller seen, 0: unknown */
};

struct gateway {
    const struct gateway_callbacks *callbacks;
    void *ctx;
    struct counter_set *counters;
    char *dc;
    struct gateway_bounds bounds;
    uint32_t vms;             /* VMs that may be sending, this one included */
    struct share_place place; /* of this VM among the strong ones */
    struct gateway_config *config; /* NULL before the first one */
    struct backend_set backends;
    GHashTable *drained_dcs;  /* set of names */
    GHashTable *routes;       /* route name -> struct route_stats */
    GHashTable *budgets;      /* service name -> struct budget */
    GHashTable *splits;       /* see split_table_new() */
    GQueue requests;          /* of struct request */
    struct queue queue;       /* parts that wait for a backend server */
    int64_t last_dispatch_us; /* when all queued parts were last tried */
    struct admit admit;
    struct stop stop;
    /* Shares of the process's account, NULL: no limit. */
    struct resource_share *request_share; /* requests in progress */
    struct resource_share *answer_share;  /* merged answers */
    uint32_t request_max;                 /* requests in progress */
    uint64_t request_serial;
    bool is_config_stale; /* unknown routes may exist: callers should retry */
    int64_t backends_as_of_us; /* time up to which `backends` is current, for
                                  logs */
};

/* Retry delay for callers while there is no configuration or only a stale one:
 * an outage of the store lasts for seconds, and callers retry rarely. */
#define GATEWAY_NO_CONFIG_RETRY_US (1000 * 1000)
/* Retry delay for callers whose request has no room. */
#define GATEWAY_NO_ROOM_RETRY_US (1000 * 1000)
/* Retry delay for callers while no backend server can be used: entries are
 * written again within two seconds after an outage. */
#define GATEWAY_NO_BACKEND_RETRY_US (500 * 1000)

void gateway_init(struct gateway *gateway, const char *dc,
                  const struct gateway_callbacks *callbacks, void *ctx,
                  struct counter_set *counters);

/* Frees everything. Open requests get no answer. */
void gateway_clear(struct gateway *gateway);

/* Replaces the configuration if the new one has a higher version. Takes
 * ownership of `config` in any case. Returns RC_OK or RC_STALE. */
int gateway_apply_config(struct gateway *gateway,
                         struct gateway_config *config);

/* Whether some backend server is in a data centre that is not drained. */
bool gateway_has_dc_in_use(const struct gateway *gateway);

/* Whether some service of a route has no usable backend server. */
bool gateway_lacks_backends(const struct gateway *gateway, int64_t now_us);

/* Starts a request. Returns NULL if it was answered before the return. */
struct request *gateway_submit(struct gateway *gateway,
                               const struct request_params *params,
                               int64_t now_us);

/* Cancels a request whose caller has disconnected; no answer follows. */
void gateway_cancel(struct gateway *gateway, struct request *request,
                    int64_t now_us);

/* The link is connected, or failed to connect for the reason `rc`. */
void gateway_on_connected(struct gateway *gateway, struct backend_link *link,
                          int rc, int64_t now_us);

/* The link got the answer to its request. */
void gateway_on_answer(struct gateway *gateway, struct backend_link *link,
                       const struct backend_answer *answer, int64_t now_us);

/* The link was closed without an answer; `rc` as in backend_answer. */
void gateway_on_lost(struct gateway *gateway, struct backend_link *link,
                     int rc, int64_t now_us);

/* The backend server was declared while others were in use. It does not report
 * whether it is cold, so it is treated as cold. */
void gateway_on_new_backend(struct gateway *gateway, const char *id,
                            int64_t now_us);

/* Another VM was told by the process of a backend server, known by its start
 * time, that it is leaving. */
void gateway_on_peer_leaving(struct gateway *gateway, const char *id,
                             int64_t started_unix_ms, int64_t now_us);

/* The data centre is no longer drained. Its backend servers do not report
 * whether they are cold, so they are treated as cold. */
void gateway_on_dc_undrained(struct gateway *gateway, const char *dc,
                             int64_t now_us);

/* Runs the timers that are due; to be called at gateway_due_us(). */
void gateway_tick(struct gateway *gateway, int64_t now_us);

/* Returns when gateway_tick() is due, INT64_MAX for never. */
int64_t gateway_due_us(const struct gateway *gateway);

/* Answers all open requests with an error, before the process exits. */
void gateway_fail_all(struct gateway *gateway, int64_t now_us);

/* Returns a request to the balancer for a replica of the service, with none
 * tried yet. */
struct balancer_request gateway_balancer_request(struct gateway *gateway,
                                                 const struct service *service,
                                                 const struct route *route);

/*
 * Returns the time until enough of the route's targets, from `first_target`
 * on, have a backend server that wants requests: 0 for now, INT64_MAX if they
 * have none.
 */
int64_t gateway_coverage_in_us(const struct gateway *gateway,
                               const struct route *route,
                               uint32_t first_target, uint32_t target_count,
                               int64_t now_us);

/* Returns the statistics of a route, which are kept when the configuration
 * changes; creates them if needed. */
struct route_stats *gateway_route_stats(struct gateway *gateway,
                                        const struct route *route);

/* Adds the time that a part took since its first attempt. */
void gateway_add_sample(struct route_stats *stats, int64_t took_us);

/* Returns the budget of extra sends to a service; creates it if needed. */
struct budget *gateway_budget(struct gateway *gateway,
                              const struct service *service);

/* Returns the index of the target of the next request on a split route. */
uint32_t gateway_pick_target(struct gateway *gateway,
                             const struct route *route);

#endif
