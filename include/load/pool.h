#ifndef CH_LOAD_POOL_H
#define CH_LOAD_POOL_H

#include <glib.h>
#include <stdint.h>
#include <uv.h>

#include "common/http_client.h"

/* Connections to entries, kept and used again. */
struct pol;

struct pol_conn;

/* `conn` is NULL when no connection could be made. */
typedef void (*pol_ready_cb)(struct pol_conn *conn, void *ctx);

/* A request for a connection, part of its owner's struct; zeroed at first. */
struct pol_ask {
    GList link;
    struct pol_entry *entry; /* NULL while the ask is not waiting */
    pol_ready_cb ready;
    void *ctx;
};

/* Keeps at most `max_per_entry` connections to one address. */
struct pol *pol_new(uv_loop_t *loop, uint32_t max_per_entry);

/*
 * Gets a connection to the address, an idle one if there is one; otherwise the
 * ask waits for a new one or for one that is given back.
 */
void pol_get(struct pol *pool, const char *address, struct pol_ask *ask,
             pol_ready_cb ready, void *ctx);

/* Gives up an ask that may be waiting. */
void pol_cancel(struct pol_ask *ask);

/* The connection, for hcl_request. */
struct hcl_conn *pol_http(struct pol_conn *conn);

/* Gives back a connection that can carry another request. */
void pol_put(struct pol_conn *conn);

/* Closes a connection. */
void pol_drop(struct pol_conn *conn);

#endif
