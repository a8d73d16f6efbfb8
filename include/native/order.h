#ifndef CH_NATIVE_ORDER_H
#define CH_NATIVE_ORDER_H

#include <stdint.h>

#include "common/counter.h"
#include "native/request_id.h"

/*
 * Orders with ids that this process issued: starts at most one run per id at
 * a time and gives its outcome to all waiters. Does no I/O. The state of each
 * id and the invariants are in native/request_id. Times are on the monotonic
 * clock, in microseconds.
 */

struct orders;
struct order_waiter;

struct order_request {
    uint64_t seq; /* sequence number of `id`, issued by this process */
    const char *id;
    const char *service;
    const char *key;  /* selects the shard */
    const char *body; /* JSON */
    int64_t deadline_us;
    int32_t priority; /* 0 is served first */
};

struct order_callbacks {
    /* Starts a run. order_on_result() must follow once, possibly before this
     * returns. */
    void (*run)(const struct order_request *request, int64_t now_us,
                void *ctx);
    /* Called once for each waiter that was not abandoned. `rc` is the outcome
     * of the order, the result of request_id_lookup(), or RC_RUNNING if the
     * waiter's deadline passed first. `body` is set with RC_OK only. Must not
     * call into this module. */
    void (*on_outcome)(void *waiter_ctx, int rc, const void *body,
                       size_t body_bytes, void *ctx);
    void *ctx;
};

struct orders *order_new(struct request_ids *ids, struct counter_set *counters,
                         const struct order_callbacks *callbacks);

void order_free(struct orders *orders);

/*
 * Starts a run of the order, or joins the run of the same id that is in
 * progress, or reports the stored outcome. Returns the waiter, or NULL if
 * on_outcome was called already.
 */
struct order_waiter *order_submit(struct orders *orders,
                                  const struct order_request *request,
                                  void *waiter_ctx, int64_t now_us);

/* Removes and frees the waiter without a callback; the run continues and its
 * outcome is stored. */
void order_abandon(struct orders *orders, struct order_waiter *waiter);

/* Ends the run: stores the outcome and reports it to all waiters. `rc` is as
 * for request_id_end_run(). */
void order_on_result(struct orders *orders, uint64_t seq, int rc,
                     const void *body, size_t body_bytes, int64_t now_us);

/* Reports RC_RUNNING to waiters whose deadline has passed; the runs continue.
 */
void order_tick(struct orders *orders, int64_t now_us);

/* Number of runs in progress. */
size_t order_running_count(const struct orders *orders);

#endif
