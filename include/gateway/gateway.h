#ifndef CH_GATEWAY_GATEWAY_H
#define CH_GATEWAY_GATEWAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/budget.h"
#include "common/counter.h"
#include "gateway/admit.h"
#include "gateway/backend.h"
#include "gateway/balancer.h"
#include "gateway/config.h"
#include "gateway/queue.h"
#include "common/hedge.h"

/*
 * The path of requests of one VM, without its I/O: what arrives is passed in
 * with the time, what is to be sent goes out through callbacks.
 */

struct request;
struct caller_answer;
struct attempt;

/* All targets of a gathering route are asked. */
#define REQUEST_ALL_TARGETS (-1)

/* A caller's request. The memory is the caller's until the answer. */
struct request_params {
    const char *method;
    const char *target; /* path and query as sent */
    const char *host;
    const char *id;     /* unique for each try of the caller */
    const char *fields; /* header lines to be passed on */
    const void *body;
    size_t body_bytes;
    int64_t deadline_us; /* the caller waits no longer; INT64_MAX: not told */
    /* Callers of a route all begin with the same time, so that a nearer
     * deadline tells what this one has spent. */
    bool estimate_spent;
    int32_t only_target; /* index of the only target asked, or
                          * REQUEST_ALL_TARGETS */
    int32_t priority;    /* added to that of the route, 0 is served first */
    /* Called once, also during gateway_ask(); the request is gone afterwards.
     */
    void (*on_answer)(const struct caller_answer *answer, void *ctx);
    void *ctx;
};

/* A request as it goes to one backend server. */
struct attempt_send {
    const struct request_params *request;
    const struct route *route;
    uint32_t target; /* index in the route */
    int64_t left_us; /* until the answer is of no use */
};

/* What a backend server answered. */
struct backend_answer {
    /* RC_OK for a success; RC_BACKEND_ERROR for another final status; RC_SHED
     * or RC_WRONG_BACKEND when it says that it did not run the request; else
     * why there is no usable answer. */
    int rc;
    int status;
    const char *stamp;  /* its signature, NULL if there is none */
    const char *fields; /* header lines to be passed on */
    const void *body;
    size_t body_bytes;
    bool is_reusable;     /* the link may carry another request */
    int64_t keepalive_us; /* how long it may stay idle */
    int64_t warmup_us;    /* how long it stays cold, -1 if not told */
    uint64_t start;       /* of its process, 0 if not told */
};

/* One part of an answer. */
struct answer_part {
    uint32_t target; /* index in the route */
    int rc;          /* RC_OK, or why it is missing */
    const char *stamp;
};

/* What the caller gets. */
struct caller_answer {
    int rc;
    int status;         /* of the backend server, 0 for the gateway's own */
    const char *fields; /* header lines of the backend server, or NULL */
    const void *body;
    size_t body_bytes;
    const struct route *route;       /* NULL for a refusal at arrival */
    const struct answer_part *parts; /* of a gathering route, else NULL */
    uint32_t part_count;
    uint32_t missing_parts;
    int64_t retry_after_us; /* with a refusal: when to come back */
};

struct gateway_calls {
    struct backend_callbacks link;
    /* Sends the attempt's request on its link. Returns RC_OK or
     * RC_LINK_FAILED. */
    int (*send)(struct backend_link *link, const struct attempt_send *send,
                void *ctx);
    /* Random number from 0 to 1. */
    double (*random)(void *ctx);
};

struct gateway_bounds {
    uint32_t extra_permille; /* extra sends of the requests for a service */
    uint32_t extra_count;    /* and this many more, all VMs together */
    double warmup_overshoot;
    uint32_t warmup_slack;
};

/* What is known of the requests on a route. */
struct route_stats {
    struct hedge hedge;
    int64_t
        average_us; /* moving average of the time of a part, 0: not known */
    /* The same without load: it falls at once and rises slowly, so that a
     * load on all backend servers shows against it. */
    int64_t baseline_us;
    int64_t wait_max_us; /* the longest that callers wait, 0: not told */
};

struct gateway {
    const struct gateway_calls *calls;
    void *ctx;
    struct counter_set *counters;
    char *dc;
    struct gateway_bounds bounds;
    uint32_t vms; /* VMs that may be sending, this one included */
    struct gateway_config *config; /* NULL until the first one */
    struct backend_set backends;
    GHashTable *drained_dcs;  /* set of names */
    GHashTable *routes;       /* route name -> struct route_stats */
    GHashTable *budgets;      /* service name -> struct budget */
    GHashTable *splits;       /* route name -> struct split */
    GQueue requests;          /* of struct request */
    struct queue queue;       /* parts that wait for a backend server */
    int64_t last_dispatch_us; /* when the whole queue was looked at */
    struct admit admit;
    uint64_t request_serial;
    bool is_config_stale; /* unknown routes are not refused for good */
    int64_t news_us; /* up to when the backend servers are known, for logs */
};

/* When a caller should return that came before the first configuration: an
 * outage of the store lasts for seconds, and callers repeat rarely. */
#define GATEWAY_NO_CONFIG_RETRY_US (1000 * 1000)
/* The same when no backend server can be used: entries come back within two
 * seconds of an outage. */
#define GATEWAY_NO_BACKEND_RETRY_US (500 * 1000)

void gateway_init(struct gateway *gateway, const char *dc,
                  const struct gateway_calls *calls, void *ctx,
                  struct counter_set *counters);

/* Open requests get no answer. */
void gateway_clear(struct gateway *gateway);

/* Takes over the configuration if its version is higher. Returns RC_OK or
 * RC_STALE. */
int gateway_adopt(struct gateway *gateway, struct gateway_config *config);

/* Whether a service that a route names has no backend server. */
bool gateway_lacks_backends(const struct gateway *gateway);

/* Starts a request. The answer may come before this returns; then NULL is
 * returned. */
struct request *gateway_ask(struct gateway *gateway,
                            const struct request_params *params,
                            int64_t now_us);

/* The caller is gone; no answer follows. */
void gateway_abandon(struct gateway *gateway, struct request *request,
                     int64_t now_us);

/* What happened on a link. */
void gateway_on_connected(struct gateway *gateway, struct backend_link *link,
                          int rc, int64_t now_us);
void gateway_on_answer(struct gateway *gateway, struct backend_link *link,
                       const struct backend_answer *answer, int64_t now_us);
/* The link ended without an answer; `rc` as of backend_answer. */
void gateway_on_lost(struct gateway *gateway, struct backend_link *link,
                     int rc, int64_t now_us);

/* The backend server was declared while others were in use, and does not tell
 * whether it is cold: it is taken to be. */
void gateway_on_new_backend(struct gateway *gateway, const char *id,
                            int64_t now_us);

/* The data centre gets requests again, and its backend servers do not tell
 * whether they are cold: they are taken to be. */
void gateway_on_dc_back(struct gateway *gateway, const char *dc,
                        int64_t now_us);

/* Does what is due; to be called at gateway_due_us(). */
void gateway_tick(struct gateway *gateway, int64_t now_us);

int64_t gateway_due_us(const struct gateway *gateway);

/* Ends all requests that are open, before the process exits. */
void gateway_end_all(struct gateway *gateway, int64_t now_us);

/* The request for a replica of the service, not yet tried anywhere. */
struct balancer_request gateway_balancer_request(struct gateway *gateway,
                                                 const struct service *service,
                                                 const struct route *route);

/* What is known of a route, kept across configurations. */
struct route_stats *gateway_route_stats(struct gateway *gateway,
                                        const struct route *route);

/* Notes how long a part took from its first attempt on. */
void gateway_add_sample(struct route_stats *stats, int64_t took_us);

/* The budget of extra sends to a service. */
struct budget *gateway_budget(struct gateway *gateway,
                              const struct service *service);

/* Index of the target of the next request on a split route. */
uint32_t gateway_pick_target(struct gateway *gateway,
                             const struct route *route);

#endif
