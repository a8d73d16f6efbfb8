#ifndef CH_ENTRY_FORWARD_H
#define CH_ENTRY_FORWARD_H

#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"
#include "common/msg.h"
#include "entry/running.h"

/*
 * Orders forwarded to the entries that issued their ids. Only the owner knows
 * whether an order ran, so this entry reports what the owner says, and
 * "unknown" whenever it hears nothing: an earlier request with the same id may
 * have reached the owner on another path.
 */

/* An ORDER that could not be sent is tried again after this time. */
#define FWD_RETRY_US (10 * 1000)

struct fwd;
struct fwd_order;

struct fwd_request {
    const char *machine; /* named in the id */
    struct run_order order;
    void *ctx;
};

struct fwd_callbacks {
    /* Returns RC_OK, or RC_AGAIN when nothing was sent. */
    int (*send)(void *ctx, const char *machine, const struct msg_order *order);
    /* Called once for each order that was not abandoned. */
    void (*finish)(void *ctx, void *request_ctx, int rc, const void *body,
                   size_t body_bytes);
    uint64_t (*next_qid)(void *ctx);
    void *ctx;
};

struct fwd *fwd_new(struct cnt_set *counters,
                    const struct fwd_callbacks *callbacks);

void fwd_free(struct fwd *fwd);

/* Forwards an order. The finish callback is not called before this returns. */
struct fwd_order *fwd_start(struct fwd *fwd, const struct fwd_request *request,
                            int64_t now_us);

/* The caller is gone; the owner is not told, it stores the outcome. */
void fwd_abandon(struct fwd *fwd, struct fwd_order *order);

void fwd_reply(struct fwd *fwd, const char *machine,
               const struct msg_order_reply *reply);

void fwd_tick(struct fwd *fwd, int64_t now_us);

/* When fwd_tick() has something to do; INT64_MAX for never. */
int64_t fwd_next_due(const struct fwd *fwd);

size_t fwd_running(const struct fwd *fwd);

#endif
