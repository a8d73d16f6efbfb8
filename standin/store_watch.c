#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "standin/reply.h"
#include "standin/store_watch.h"

struct wch {
    uv_loop_t *loop;
    wch_end_cb end;
    void *ctx;
    GList *waits; /* struct wch_wait, oldest first */
};

struct wch_wait {
    uv_timer_t timer;
    struct wch *wch;
    struct hsv_request *request;
    char *kind;
};

struct wch *
wch_new(uv_loop_t *loop, wch_end_cb end, void *ctx)
{
    struct wch *wch = g_new0(struct wch, 1);
    wch->loop = loop;
    wch->end = end;
    wch->ctx = ctx;
    return wch;
}

static void
wch_on_closed(uv_handle_t *handle)
{
    struct wch_wait *wait = handle->data;
    g_free(wait->kind);
    g_free(wait);
}

static void
wch_remove(struct wch_wait *wait)
{
    wait->wch->waits = g_list_remove(wait->wch->waits, wait);
    wait->request->on_gone = NULL;
    uv_close((uv_handle_t *)&wait->timer, wch_on_closed);
}

static void
wch_end(struct wch_wait *wait)
{
    wch_remove(wait);
    wait->wch->end(wait->request, wait->kind, wait->wch->ctx);
}

static void
wch_on_timer(uv_timer_t *timer)
{
    wch_end(timer->data);
}

static void
wch_on_gone(struct hsv_request *request, void *ctx)
{
    wch_remove(ctx);
    hsv_respond(request, 503, "text/plain", "", 0);
}

void
wch_add(struct wch *wch, struct hsv_request *request, const char *kind,
        int64_t wait_ms)
{
    struct wch_wait *wait = g_new0(struct wch_wait, 1);
    wait->wch = wch;
    wait->request = request;
    wait->kind = g_strdup(kind);
    wait->timer.data = wait;
    request->on_gone = wch_on_gone;
    request->ctx = wait;
    uv_timer_init(wch->loop, &wait->timer);
    uv_timer_start(&wait->timer, wch_on_timer, (uint64_t)wait_ms, 0);
    wch->waits = g_list_append(wch->waits, wait);
}

void
wch_notify(struct wch *wch, const char *kind)
{
    GList *item = wch->waits;
    while (item != NULL) {
        struct wch_wait *wait = item->data;
        item = item->next;
        if (strcmp(wait->kind, kind) == 0) {
            wch_end(wait);
        }
    }
}

void
wch_abandon(struct wch *wch)
{
    while (wch->waits != NULL) {
        struct wch_wait *wait = wch->waits->data;
        struct hsv_request *request = wait->request;
        wch_remove(wait);
        rpl_never(request);
    }
}
