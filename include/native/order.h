#ifndef CH_NATIVE_ORDER_H
#define CH_NATIVE_ORDER_H

#include <stdint.h>

#include "common/counter.h"
#include "native/request_id.h"

/*
 * Orders of the ids that this process issued: which of them runs, and who
 * waits for its outcome. The rules on ids are in native/request_id.
 */

struct orders;
struct order_waiter;

/* What a caller wants to be run, and until when. */
struct order_request {
    uint64_t seq; /* of an own id */
    const char *id;
    const char *service;
    const char *key;
    const char *body; /* JSON */
    int64_t deadline_us;
    int32_t priority; /* 0 is served first */
};

struct order_callbacks {
    /* Runs the order; order_on_result() follows, perhaps during the call. */
    void (*run)(const struct order_request *request, int64_t now_us,
                void *ctx);
    /* Called once for each waiter that was not abandoned. `body` is set with
     * RC_OK only. Must not call into this module. */
    void (*finish)(void *waiter_ctx, int rc, const void *body,
                   size_t body_bytes, void *ctx);
    void *ctx;
};

struct orders *order_new(struct request_ids *ids, struct counter_set *counters,
                         const struct order_callbacks *callbacks);

void order_free(struct orders *orders);

/*
 * Runs the order, or waits for a run of the same id, or reports the stored
 * outcome. Returns NULL if the finish callback has run already.
 */
struct order_waiter *order_submit(struct orders *orders,
                                  const struct order_request *request,
                                  void *waiter_ctx, int64_t now_us);

/* The waiter is gone; the run goes on and its outcome is stored. */
void order_abandon(struct orders *orders, struct order_waiter *waiter);

/* The run of the order has ended. */
void order_on_result(struct orders *orders, uint64_t seq, int rc,
                     const void *body, size_t body_bytes, int64_t now_us);

/* Ends waits at their deadline. */
void order_tick(struct orders *orders, int64_t now_us);

/* Orders that are running now. */
size_t order_running(const struct orders *orders);

#endif
