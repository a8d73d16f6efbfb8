#include <glib.h>
#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/rc.h"
#include "native/forward.h"

/* Limit of the response body, which is one outcome with a small result. */
#define FORWARD_BODY_MAX_BYTES (1024 * 1024)

struct forward_set {
    uv_loop_t *loop;
    struct resource_share *share;
    GQueue calls; /* in flight, of struct forward */
};

struct forward {
    struct forward_set *set;
    struct http_client_conn *conn;
    char *path;
    char *body;
    int64_t deadline_us;
    forward_done_cb done;
    void *ctx;
    GList link; /* in set->calls */
};

struct forward_set *
forward_set_new(uv_loop_t *loop, struct resource_share *share)
{
    struct forward_set *set = g_new0(struct forward_set, 1);
    set->loop = loop;
    set->share = share;
    g_queue_init(&set->calls);
    return set;
}

void
forward_cancel(struct forward *forward)
{
    http_client_close(forward->conn);
    g_queue_unlink(&forward->set->calls, &forward->link);
    g_free(forward->path);
    g_free(forward->body);
    g_free(forward);
}

void
forward_set_free(struct forward_set *set)
{
    while (!g_queue_is_empty(&set->calls)) {
        forward_cancel(set->calls.head->data);
    }
    g_free(set);
}

static void
forward_finish(struct forward *forward, int status, const char *body,
               size_t body_bytes)
{
    forward->done(status, body, body_bytes, forward->ctx);
    forward_cancel(forward);
}

static void
forward_on_response(struct http_client_conn *conn,
                    const struct http_response *response, void *ctx)
{
    int status = response->rc == RC_OK ? response->status : 0;
    forward_finish(ctx, status, response->body, response->body_bytes);
}

static void
forward_on_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    struct forward *forward = ctx;
    if (rc == RC_OK) {
        rc = http_client_request(conn, "POST", forward->path,
                                 FORWARD_HEADER ": 1\r\n", forward->body,
                                 strlen(forward->body), forward_on_response,
                                 forward);
    }
    if (rc != RC_OK) {
        log_sample("order",
                   "could not forward an order to the VM that issued its id, "
                   "its outcome is unknown path=%s rc=%s",
                   forward->path, rc_name(rc));
        forward_finish(forward, 0, NULL, 0);
    }
}

static void
forward_on_lost(struct http_client_conn *conn, void *ctx)
{
    forward_finish(ctx, 0, NULL, 0);
}

struct forward *
forward_start(struct forward_set *set, const struct forward_request *request)
{
    struct forward *forward = g_new0(struct forward, 1);
    forward->set = set;
    forward->path = g_strdup(request->path);
    forward->body = g_strdup(request->body);
    forward->deadline_us = request->deadline_us;
    forward->done = request->done;
    forward->ctx = request->ctx;
    forward->link.data = forward;
    g_queue_push_tail_link(&set->calls, &forward->link);
    forward->conn = http_client_connect(
        set->loop, request->address, FORWARD_BODY_MAX_BYTES, set->share,
        forward_on_connected, forward_on_lost, forward);
    return forward;
}

void
forward_tick(struct forward_set *set, int64_t now_us)
{
    GList *item = set->calls.head;
    while (item != NULL) {
        struct forward *forward = item->data;
        item = item->next;
        if (now_us >= forward->deadline_us) {
            forward_finish(forward, 0, NULL, 0);
        }
    }
}

uint32_t
forward_count(const struct forward_set *set)
{
    return set->calls.length;
}
