#ifndef CH_STANDIN_STORE_WATCH_H
#define CH_STANDIN_STORE_WATCH_H

#include <stdint.h>
#include <uv.h>

#include "common/http_server.h"

/* Long polls (watches) that wait for a change of a kind of objects. */
struct store_watches;

/*
 * Called once for each watch, on a change of its kind or after its time limit;
 * must respond to the request.
 */
typedef void (*store_watch_end_cb)(struct http_request *request,
                                   const char *kind, void *ctx);

struct store_watches *store_watch_new(uv_loop_t *loop, store_watch_end_cb end,
                                      void *ctx);

/*
 * Adds a watch that waits at most `wait_ms` for a change of the kind. If the
 * client closes the connection, the watch ends without the callback.
 */
void store_watch_add(struct store_watches *watches,
                     struct http_request *request, const char *kind,
                     int64_t wait_ms);

/* Ends all watches of the kind. */
void store_watch_notify(struct store_watches *watches, const char *kind);

/* Drops all watches; their requests never get a response. */
void store_watch_abandon(struct store_watches *watches);

#endif
