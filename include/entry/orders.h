#ifndef CH_ENTRY_ORDERS_H
#define CH_ENTRY_ORDERS_H

#include "entry/app.h"

/* Called once with the outcome; `body` is set with RC_OK only. */
typedef void (*orders_done_cb)(void *ctx, int rc, const void *body,
                               size_t body_bytes);

/* Runs an order that another entry forwarded. */
void orders_run_for_peer(struct app *app, const struct msg_order *message,
                         orders_done_cb done, void *ctx);

/* Callback of order and forward: tells an outcome to whoever waits. */
void orders_on_finish(void *ctx, void *waiter_ctx, int rc, const void *body,
                      size_t body_bytes);

#endif
