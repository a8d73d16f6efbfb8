#ifndef CH_ENTRY_ORDER_H
#define CH_ENTRY_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"
#include "common/msg.h"
#include "entry/plan.h"
#include "entry/reqid.h"
#include "entry/running.h"

/*
 * Running orders of the ids that this process issued. The rules on ids are in
 * entry/reqid; this module decides where an EXEC goes, when it is tried again
 * and who waits for the outcome.
 */

/* A try that certainly did not run is repeated after this time. */
#define ORD_RETRY_US (10 * 1000)

struct ord;
struct ord_waiter;

struct ord_request {
    uint64_t seq; /* of a valid own id, see rid_look() */
    struct run_order order;
};

struct ord_callbacks {
    /* Returns RC_OK, or RC_AGAIN when nothing was sent. */
    int (*send)(void *ctx, uint32_t relay, const struct msg_exec *exec);
    /* Called once for each waiter that was not abandoned. `body` is set with
     * RC_OK only. Must not call into this module. */
    void (*finish)(void *ctx, void *waiter_ctx, int rc, const void *body,
                   size_t body_bytes);
    /* Returns a number that is used once in this process. */
    uint64_t (*next_qid)(void *ctx);
    void *ctx;
};

struct ord *ord_new(struct rid *rid, struct pln *plan,
                    struct cnt_set *counters,
                    const struct ord_callbacks *callbacks);

void ord_free(struct ord *ord);

/*
 * Runs the order, or waits for a run of the same id, or reports the stored
 * outcome. Returns NULL if the finish callback has run already.
 */
struct ord_waiter *ord_submit(struct ord *ord,
                              const struct ord_request *request,
                              void *waiter_ctx, int64_t now_us);

/* The waiter is gone; the run goes on and its outcome is stored. */
void ord_abandon(struct ord *ord, struct ord_waiter *waiter);

void ord_reply(struct ord *ord, uint32_t relay,
               const struct msg_exec_reply *reply, int64_t now_us);

/* The relay process is gone; its outstanding orders may have run. */
void ord_relay_lost(struct ord *ord, uint32_t relay, int64_t now_us);

/* To be called after the map changed. */
void ord_map_changed(struct ord *ord, int64_t now_us);

/* Ends runs and waits at their deadline; repeats tries. */
void ord_tick(struct ord *ord, int64_t now_us);

/* When ord_tick() has something to do; INT64_MAX for never. */
int64_t ord_next_due(const struct ord *ord);

/* Orders that are running now. */
size_t ord_running(const struct ord *ord);

#endif
