#ifndef CH_LOAD_EXCHANGE_H
#define CH_LOAD_EXCHANGE_H

#include <stddef.h>
#include <stdint.h>

#include "load/pool.h"
#include "standin/hrtimer.h"

/* One HTTP request and its answer over a connection of the pool. */

struct exchange_result {
    /*
     * RC_OK; RC_LINK_FAILED: no connection, nothing was sent; RC_DEADLINE: no
     * answer in time; RC_LINK_LOST, RC_BAD_REPLY, RC_TOO_LARGE: no whole
     * answer.
     */
    int rc;
    int status;
    const char *body;
    size_t body_bytes;
};

typedef void (*exchange_done_cb)(const struct exchange_result *result,
                                 void *ctx);

/* Part of its owner's struct; zeroed before the first use. */
struct exchange {
    struct pool_waiter waiter;
    struct pool_conn *conn;
    struct hrtimer timer;
    const char *address;
    const char *method;
    char *path;
    char *headers;
    char *body; /* NULL: none */
    exchange_done_cb done;
    void *ctx;
};

/*
 * Sends the request and calls `done` once, with the connection given back.
 * Takes over path, headers and body (g_free).
 */
void exchange_start(struct exchange *exchange, struct pool *pool,
                    struct hrtimer_set *timers, int64_t timeout_us,
                    exchange_done_cb done, void *ctx);

#endif
