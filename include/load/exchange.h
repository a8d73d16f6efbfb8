#ifndef CH_LOAD_EXCHANGE_H
#define CH_LOAD_EXCHANGE_H

#include <stddef.h>
#include <stdint.h>

#include "load/pool.h"
#include "standin/hrtimer.h"

/*
 * One HTTP request and its response on a connection of the pool, with a
 * timeout. The exchange is embedded in its owner's struct.
 */

struct exchange_result {
    /*
     * RC_OK; RC_LINK_FAILED: no connection, nothing was sent; RC_DEADLINE: no
     * response within the timeout; RC_LINK_LOST, RC_BAD_REPLY or
     * RC_REPLY_TOO_LARGE: no complete response.
     */
    int rc;
    int status;
    const char *body; /* valid during the callback */
    size_t body_bytes;
};

typedef void (*exchange_done_cb)(const struct exchange_result *result,
                                 void *ctx);

/* Zeroed before the first use. */
struct exchange {
    struct pool_waiter waiter;
    struct pool_conn *conn;
    struct hrtimer timer;
    const char *address; /* set by the owner, as the next four fields */
    const char *method;
    char *path;
    char *headers;
    char *body; /* NULL: none */
    exchange_done_cb done;
    void *ctx;
};

/*
 * Sends the request and calls `done` once, after the connection is back in the
 * pool or closed. Takes ownership of path, headers and body (g_free).
 */
void exchange_start(struct exchange *exchange, struct pool *pool,
                    struct hrtimer_set *timers, int64_t timeout_us,
                    exchange_done_cb done, void *ctx);

#endif
