#ifndef CH_GATEWAY_REQUEST_H
#define CH_GATEWAY_REQUEST_H

#include "gateway/attempt.h"
#include "gateway/finish.h"
#include "gateway/gateway.h"

/*
 * Internal interface of the request path: requests, their parts (one per
 * shard) and the attempts of each part. Only gateway.c, link_event.c,
 * request.c, request_start.c, part.c, part_send.c and part_timer.c include it;
 * other files use gateway/gateway.h.
 * A request belongs to its gateway and is used on the event loop only. Times
 * are microseconds of the gateway's monotonic clock.
 */

#define PART_ATTEMPTS_MAX BALANCER_TRIED_MAX

enum part_state {
    PART_OPEN,
    PART_DONE,
    PART_FAILED,
};

/* The share of a request that one service answers: one shard of a search, or
 * the whole request. */
struct part {
    struct request *request;
    uint32_t target; /* index in the route */
    const struct service *service;
    enum part_state state;
    int rc; /* why the part or its last attempt failed, RC_OK if none did */
    struct attempt attempts[PART_ATTEMPTS_MAX];
    uint32_t attempt_count;
    struct queue_item queue_item; /* queued while no backend server is free */
    int64_t next_hedge_us; /* not hedged again before, after a refusal */
    char *stamp;           /* signature of the answer */
};

/* A request of a caller, from its admission to its answer. */
struct request {
    struct gateway *gateway;
    struct request_params params;
    uint64_t serial;
    struct gateway_config *config; /* in force when it arrived */
    const struct route *route;
    int64_t started_us;
    int64_t spent_us; /* spent by the caller before the request arrived */
    int64_t deadline_us;
    struct part *parts;
    uint32_t part_count;
    uint32_t done_count;
    uint32_t failed_count;
    uint32_t send_count;
    uint32_t hedge_count;
    uint32_t retry_count;
    uint64_t reserved_bytes; /* of the gateway's request share */
    struct buffer *records; /* merged answer of a gathering route, else NULL */
    int64_t due_us;         /* when request_tick() is due */
    GList link;             /* in gateway->requests */
    struct admit_pool *pool;
    int64_t caller_seen_us; /* when the caller was last found connected */
    bool has_caller_left;   /* see request_is_wanted() */
    bool is_late;           /* can no longer meet its objective */
    bool has_waited;        /* at least one part was queued */
    bool is_closed;         /* answered or cancelled; freed when not held */
    bool is_held;           /* in use up the call stack, see request_hold() */
};

/* An attempt unanswered for this long, which is longer than the usual pauses
 * of a backend server, counts as a failure of that server. */
#define PART_OVERDUE_US (250 * 1000)

/* Sends the first attempt of the part, or queues the part. */
void part_start(struct part *part, int64_t now_us);

/* Tries to send a queued part. Returns whether it has left the queue: it was
 * sent or has failed. */
bool part_dispatch_waiting(struct part *part, int64_t now_us);

/* Sends a hedge that is due and ends attempts that timed out while connecting.
 * Returns when to call again, INT64_MAX for never. */
int64_t part_tick(struct part *part, int64_t now_us);

/* The attempt's link is connected: sends the request on it. */
void part_on_connected(struct attempt *attempt, int64_t now_us);

/*
 * The attempt ended without a usable answer, for the reason `rc`. Its link was
 * released or closed before. May send another attempt or fail the part. If the
 * backend server rejected it, attempt_on_rejected() was called before.
 */
void part_on_failure(struct attempt *attempt, int rc, int64_t now_us);

/* The part got its answer; its other attempts are abandoned. */
void part_on_success(struct attempt *attempt,
                     const struct backend_answer *answer, int64_t now_us);

struct attempt *part_get_attempt(struct part *part, uint32_t i);

/* Whether a backend server may still work on an attempt of the part. */
bool part_is_worked_on(const struct part *part);

/* Whether any attempt of the part was sent. */
bool part_was_sent(const struct part *part);

/* Returns RC_OK if its request allows that the part is sent now, or why not.
 */
int part_check(const struct part *part, int64_t now_us);

/* Whether the route's limit on attempts allows another one. */
bool part_may_attempt(const struct part *part);

/* As balancer_choose() for the next attempt of the part. */
int part_choose(struct part *part, bool is_hedge, int64_t now_us,
                struct backend **out);

/* Sends an attempt to the backend server on an idle link, or connects for it.
 */
void part_start_attempt(struct part *part, struct backend *backend,
                        int64_t now_us);

/* Closes the attempt's link. */
void part_drop_link(struct attempt *attempt);

/* Abandons all open attempts of the part and removes it from the queue.
 * Links that get no answer, also those of attempts that were abandoned before,
 * are closed after `keep_us` at the latest. */
void part_abandon(struct part *part, int64_t keep_us, int64_t now_us);

/* Returns the attempt that started last, or NULL. If several started at the
 * same time, one that is still open is preferred. */
const struct attempt *part_last_attempt(const struct part *part);

/* Whether a backend server may have run an attempt of the part. */
bool part_may_have_run(const struct part *part);

/* Whether a backend server may have run any part of the request. */
bool request_may_have_run(const struct request *request);

/*
 * Whether the request may be sent for the first time: in a planned stop only
 * if it will be answered before the end, by the usual time of its route.
 */
bool request_may_start(const struct request *request, int64_t now_us);

/*
 * Whether the caller still waits for the answer. Nothing is sent to a backend
 * server without asking: after a pause of the process, requests are read and
 * sent before the periodic check of the callers' connections runs. Once the
 * caller has left, request_advance() cancels the request.
 */
bool request_is_wanted(struct request *request, int64_t now_us);

/* A part has changed: answers the request, fails it, or sets when the next
 * step is due. */
void request_advance(struct request *request, int64_t now_us);

/* Ends the request with the answer of one backend server. */
void request_answer_single(struct request *request,
                           const struct backend_answer *answer,
                           int64_t now_us);

/*
 * Ends the request with an error of the gateway itself: `rc`, or another one
 * if `rc` would be untrue of whether a backend server may have run the
 * request.
 */
void request_fail(struct request *request, int rc, int64_t now_us);

/* Runs the timers of the request and of its parts that are due. */
void request_tick(struct request *request, int64_t now_us);

/* Advances a request after one of its parts has changed, and makes its timers
 * due: when they run next may depend on the part. */
void gateway_advance(struct request *request, int64_t now_us);

/* Sends queued parts of the service to backend servers that are free now. */
void gateway_dispatch(struct gateway *gateway, const char *service,
                      int64_t now_us);

/* Returns NULL if no configuration declares the service. */
const struct service *gateway_find_service(const struct gateway *gateway,
                                           const char *name);

/* Returns how long a backend server of the service is cold after its start, 0
 * if the service is not configured. */
int64_t gateway_warmup_us(const struct gateway *gateway, const char *service);

/* Keeps the memory of the request until request_release(), also if the request
 * is closed meanwhile. Holds do not nest. */
void request_hold(struct request *request);

/* Ends request_hold(); frees the request if it was closed meanwhile. */
void request_release(struct request *request);

/* Abandons all parts and ends the request without an answer. Links that get no
 * answer are closed after `keep_us`. */
void request_close(struct request *request, int64_t keep_us, int64_t now_us);

#endif
