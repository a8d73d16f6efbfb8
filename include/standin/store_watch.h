#ifndef CH_STANDIN_STORE_WATCH_H
#define CH_STANDIN_STORE_WATCH_H

#include <stdint.h>
#include <uv.h>

#include "common/http_server.h"

/* Long polls that wait for a change of a kind. */
struct store_watches;

/* Called once when the wait ends, by a change or by its time limit. */
typedef void (*store_watch_end_cb)(struct http_request *request,
                                   const char *kind, void *ctx);

struct store_watches *store_watch_new(uv_loop_t *loop, store_watch_end_cb end,
                                      void *ctx);

/* Waits at most `wait_ms` for a change of the kind. */
void store_watch_add(struct store_watches *watches,
                     struct http_request *request, const char *kind,
                     int64_t wait_ms);

/* Ends all waits for the kind. */
void store_watch_notify(struct store_watches *watches, const char *kind);

/* Leaves all waiting calls without an answer for good. */
void store_watch_abandon(struct store_watches *watches);

#endif
