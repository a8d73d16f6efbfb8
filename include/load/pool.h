#ifndef CH_LOAD_POOL_H
#define CH_LOAD_POOL_H

#include <glib.h>
#include <stdint.h>
#include <uv.h>

#include "common/http_client.h"

/* Connections to entries, kept and used again. */
struct pool;

struct pool_conn;

/* `conn` is NULL when no connection could be made. */
typedef void (*pool_ready_cb)(struct pool_conn *conn, void *ctx);

/* A request for a connection, part of its owner's struct; zeroed at first. */
struct pool_waiter {
    GList link;
    struct pool_entry *entry; /* NULL while the waiter is not waiting */
    pool_ready_cb ready;
    void *ctx;
};

/* Keeps at most `max_per_address` connections to one address. */
struct pool *pool_new(uv_loop_t *loop, uint32_t max_per_address);

/*
 * Gets a connection to the address, an idle one if there is one; otherwise the
 * waiter waits for a new one or for one that is given back.
 */
void pool_acquire(struct pool *pool, const char *address,
                  struct pool_waiter *waiter, pool_ready_cb ready, void *ctx);

/* Gives up an waiter that may be waiting. */
void pool_cancel(struct pool_waiter *waiter);

/* The connection, for http_client_request. */
struct http_client_conn *pool_http(struct pool_conn *conn);

/* Gives back a connection that can carry another request. */
void pool_release(struct pool_conn *conn);

/* Closes a connection. */
void pool_discard(struct pool_conn *conn);

#endif
