#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "standin/reply.h"
#include "standin/store_watch.h"

struct store_watches {
    uv_loop_t *loop;
    store_watch_end_cb end;
    void *ctx;
    GList *list; /* struct store_watch, in order of arrival */
};

struct store_watch {
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
    struct store_watch *watch = handle->data;
    g_free(watch->kind);
    g_free(watch);
}

static void
store_watch_remove(struct store_watch *watch)
{
    watch->watches->list = g_list_remove(watch->watches->list, watch);
    watch->request->on_disconnect = NULL;
    uv_close((uv_handle_t *)&watch->timer, store_watch_on_closed);
}

static void
store_watch_end(struct store_watch *watch)
{
    store_watch_remove(watch);
    watch->watches->end(watch->request, watch->kind, watch->watches->ctx);
}

static void
store_watch_on_timer(uv_timer_t *timer)
{
    store_watch_end(timer->data);
}

/* The client has disconnected; responding only releases the request. */
static void
store_watch_on_disconnect(struct http_request *request, void *ctx)
{
    store_watch_remove(ctx);
    http_server_respond(request, 503, "text/plain", "", 0);
}

void
store_watch_add(struct store_watches *watches, struct http_request *request,
                const char *kind, int64_t wait_ms)
{
    struct store_watch *watch = g_new0(struct store_watch, 1);
    watch->watches = watches;
    watch->request = request;
    watch->kind = g_strdup(kind);
    watch->timer.data = watch;
    request->on_disconnect = store_watch_on_disconnect;
    request->ctx = watch;
    uv_timer_init(watches->loop, &watch->timer);
    uv_timer_start(&watch->timer, store_watch_on_timer, (uint64_t)wait_ms, 0);
    watches->list = g_list_append(watches->list, watch);
}

void
store_watch_notify(struct store_watches *watches, const char *kind)
{
    GList *item = watches->list;
    while (item != NULL) {
        struct store_watch *watch = item->data;
        item = item->next;
        if (strcmp(watch->kind, kind) == 0) {
            store_watch_end(watch);
        }
    }
}

void
store_watch_abandon(struct store_watches *watches)
{
    while (watches->list != NULL) {
        struct store_watch *watch = watches->list->data;
        struct http_request *request = watch->request;
        store_watch_remove(watch);
        reply_withhold(request);
    }
}
