#ifndef CH_STANDIN_STORE_WATCH_H
#define CH_STANDIN_STORE_WATCH_H

#include <stdint.h>
#include <uv.h>

#include "common/http_server.h"

/* Long polls that wait for a change of a kind. */
struct wch;

/* Called once when the wait ends, by a change or by its time limit. */
typedef void (*wch_end_cb)(struct hsv_request *request, const char *kind,
                           void *ctx);

struct wch *wch_new(uv_loop_t *loop, wch_end_cb end, void *ctx);

/* Waits at most `wait_ms` for a change of the kind. */
void wch_add(struct wch *wch, struct hsv_request *request, const char *kind,
             int64_t wait_ms);

/* Ends all waits for the kind. */
void wch_notify(struct wch *wch, const char *kind);

/* Leaves all waiting calls without an answer for good. */
void wch_abandon(struct wch *wch);

#endif
