#ifndef CH_GATEWAY_REQUEST_H
#define CH_GATEWAY_REQUEST_H

#include "gateway/finish.h"
#include "gateway/gateway.h"

/* What the files of the request path share; others use gateway/gateway.h. */

#define PART_ATTEMPTS_MAX BALANCER_TRIED_MAX

/* A request on its way to one backend server. */
struct attempt {
    struct part *part;
    struct backend *backend;
    struct backend_link *link; /* NULL once settled */
    int64_t started_us;
    int64_t shed_us; /* when the backend server refused it, 0: it did not */
    bool is_sent;
    bool is_overdue; /* counted as a failure of the backend server */
    bool is_not_run;
};

enum part_state {
    PART_OPEN,
    PART_DONE,
    PART_FAILED,
};

/* One service that a request must ask: a shard, or the only service. */
struct part {
    struct request *request;
    uint32_t target; /* index in the route */
    const struct service *service;
    enum part_state state;
    int rc; /* why it failed, or the reason of the last attempt */
    struct attempt attempts[PART_ATTEMPTS_MAX];
    uint32_t attempt_count;
    struct queue_item queue_item; /* for a backend server */
    int64_t next_hedge_us;        /* no hedge before, after one was refused */
    char *stamp;
};

struct request {
    struct gateway *gateway;
    struct request_params params;
    uint64_t serial;
    struct gateway_config *config;
    const struct route *route;
    int64_t started_us;
    int64_t spent_us; /* by the caller before the request arrived */
    int64_t deadline_us;
    struct part *parts;
    uint32_t part_count;
    uint32_t done_count;
    uint32_t failed_count;
    uint32_t send_count;
    uint32_t hedge_count;
    uint32_t retry_count;
    GByteArray *records; /* of a gathering route */
    int64_t due_us;
    GList link;              /* in gateway->requests */
    struct admit_pool *pool; /* that it runs in */
    bool is_late;            /* cannot be answered in time */
    bool has_waited;         /* a part had to */
    bool is_closed;          /* answered or abandoned; freed by its holder */
    bool is_held;            /* in use up the call stack */
};

/* Sends the first attempt of the part. */
void part_start(struct part *part, int64_t now_us);

/* A part that waits may have its turn. Returns whether it no longer waits. */
bool part_dispatch_waiting(struct part *part, int64_t now_us);

/* Hedges and gives up what is due; returns when to call again. */
int64_t part_tick(struct part *part, int64_t now_us);

/* The attempt's link is up. */
void part_on_connected(struct attempt *attempt, int64_t now_us);

/*
 * The attempt ended without a usable answer; its link is already given back or
 * closed. May send another one.
 */
void part_on_failure(struct attempt *attempt, int rc, int64_t now_us);

/* The part has its answer; other attempts are abandoned. */
void part_on_success(struct attempt *attempt,
                     const struct backend_answer *answer, int64_t now_us);

/* No attempt is waited for any more. `keep_us` is how long a link stays that
 * is not answered. */
void part_abandon(struct part *part, int64_t keep_us, int64_t now_us);

/* The attempt that began last, or NULL; of two at the same time the one that
 * is open. */
const struct attempt *part_last_attempt(const struct part *part);

/* Whether any request of the part may have run. */
bool part_may_have_run(const struct part *part);

/* A part was settled: answers, fails or goes on. */
void request_advance(struct request *request, int64_t now_us);

/* Ends the request with the answer of one backend server. */
void request_answer_single(struct request *request,
                           const struct backend_answer *answer,
                           int64_t now_us);

/* Ends the request with an answer of the gateway's own. */
void request_fail(struct request *request, int rc, int64_t now_us);

/* Does what is due. */
void request_tick(struct request *request, int64_t now_us);

/* Keeps the memory of a closed request until request_release(). */
void request_hold(struct request *request);

/* Frees the request if it was closed meanwhile. */
void request_release(struct request *request);

/* Abandons all parts and ends the request without an answer. */
void request_close(struct request *request, int64_t keep_us, int64_t now_us);

#endif
