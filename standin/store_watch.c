#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "standin/reply.h"
#include "standin/store_watch.h"

struct store_watches {
    uv_loop_t *loop;
    store_watch_end_cb end;
    void *ctx;
    GList *waits; /* struct store_watch_wait, in order of arrival */
};

struct store_watch_wait {
    uv_timer_t timer;
    struct store_watches *watches;
    struct http_request *request;
    char *kind;
};

struct store_watches *
store_watch_new(uv_loop_t *loop, store_watch_end_cb end, void *ctx)
{
    struct store_watches *watches = g_new0(struct store_watches, 1);
    watches->loop = loop;
    watches->end = end;
    watches->ctx = ctx;
    return watches;
}

static void
store_watch_on_closed(uv_handle_t *handle)
{
    struct store_watch_wait *wait = handle->data;
    g_free(wait->kind);
    g_free(wait);
}

static void
store_watch_remove(struct store_watch_wait *wait)
{
    wait->watches->waits = g_list_remove(wait->watches->waits, wait);
    wait->request->on_disconnect = NULL;
    uv_close((uv_handle_t *)&wait->timer, store_watch_on_closed);
}

static void
store_watch_end(struct store_watch_wait *wait)
{
    store_watch_remove(wait);
    wait->watches->end(wait->request, wait->kind, wait->watches->ctx);
}

static void
store_watch_on_timer(uv_timer_t *timer)
{
    store_watch_end(timer->data);
}

/* The client has left; responding only releases the request. */
static void
store_watch_on_gone(struct http_request *request, void *ctx)
{
    store_watch_remove(ctx);
    http_server_respond(request, 503, "text/plain", "", 0);
}

void
store_watch_add(struct store_watches *watches, struct http_request *request,
                const char *kind, int64_t wait_ms)
{
    struct store_watch_wait *wait = g_new0(struct store_watch_wait, 1);
    wait->watches = watches;
    wait->request = request;
    wait->kind = g_strdup(kind);
    wait->timer.data = wait;
    request->on_disconnect = store_watch_on_gone;
    request->ctx = wait;
    uv_timer_init(watches->loop, &wait->timer);
    uv_timer_start(&wait->timer, store_watch_on_timer, (uint64_t)wait_ms, 0);
    watches->waits = g_list_append(watches->waits, wait);
}

void
store_watch_notify(struct store_watches *watches, const char *kind)
{
    GList *item = watches->waits;
    while (item != NULL) {
        struct store_watch_wait *wait = item->data;
        item = item->next;
        if (strcmp(wait->kind, kind) == 0) {
            store_watch_end(wait);
        }
    }
}

void
store_watch_abandon(struct store_watches *watches)
{
    while (watches->waits != NULL) {
        struct store_watch_wait *wait = watches->waits->data;
        struct http_request *request = wait->request;
        store_watch_remove(wait);
        reply_withhold(request);
    }
}
