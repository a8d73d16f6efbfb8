#ifndef CH_LOAD_POOL_H
#define CH_LOAD_POOL_H

#include <glib.h>
#include <stdint.h>
#include <uv.h>

#include "common/http_client.h"

/*
 * Pool of keep-alive connections to the gateways, limited per address.
 * Requests that find no idle connection wait in order of arrival.
 */
struct pool;

struct pool_conn;

/* `conn` is NULL if the connection failed. */
typedef void (*pool_ready_cb)(struct pool_conn *conn, void *ctx);

/* One wait for a connection; zeroed before the first use. */
struct pool_waiter {
    GList link;
    struct pool_entry *entry; /* NULL while it is not queued */
    pool_ready_cb ready;
    void *ctx;
};

/* Opens at most `max_per_address` connections to one address. */
struct pool *pool_new(uv_loop_t *loop, uint32_t max_per_address);

/*
 * Calls `ready` with an idle connection to the address, at once if there is
 * one; otherwise when a new one is open or another request has released one.
 */
void pool_acquire(struct pool *pool, const char *address,
                  struct pool_waiter *waiter, pool_ready_cb ready, void *ctx);

/* Stops waiting; does nothing if the waiter is not queued. */
void pool_cancel(struct pool_waiter *waiter);

/* The connection for http_client_request(). */
struct http_client_conn *pool_http(struct pool_conn *conn);

/* Returns a connection that can carry another request to the pool. */
void pool_release(struct pool_conn *conn);

/* Closes a connection instead of returning it. */
void pool_discard(struct pool_conn *conn);

#endif
