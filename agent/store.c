#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "agent/store.h"
#include "common/http_client.h"
#include "common/rc.h"

/* Connections besides those of watches. */
#define STO_CONNECTIONS_MAX 16
/* A slow store takes 2 s per reply and must still be usable. */
#define STO_TIMEOUT_MS 5000
#define STO_WATCH_WAIT_MS 20000
#define STO_WATCH_TIMEOUT_MS (STO_WATCH_WAIT_MS + STO_TIMEOUT_MS)
#define STO_BACKOFF_MIN_MS 100
#define STO_BACKOFF_MAX_MS 5000
#define STO_SCAN_MS 50
/* A list of some thousand contracts. */
#define STO_BODY_MAX (16U << 20)

struct sto_call {
    const char *method;
    char *path;
    char *body; /* NULL without one */
    uint64_t deadline_ms;
    sto_reply_cb reply;
    void *ctx;
    bool is_watch;
};

struct sto_conn {
    struct sto *store;
    struct hcl_conn *http;
    struct sto_call *call; /* NULL when idle */
};

struct sto_watch {
    struct sto *store;
    char *kind;
    uint64_t version;
    sto_reply_cb reply;
    void *ctx;
    bool is_running;
};

struct sto {
    uv_loop_t *loop;
    char *address;
    struct cnt_set *counters;
    uv_timer_t timer;
    uv_prepare_t prepare;
    GPtrArray *conns;
    GQueue *queue; /* struct sto_call */
    GPtrArray *watches;
    uint32_t failures; /* in a row */
    uint64_t usable_ms;
    bool is_closed;
};

static void
sto_call_free(struct sto_call *call)
{
    g_free(call->path);
    g_free(call->body);
    g_free(call);
}

/* Answers a call and frees it. */
static void
sto_finish(struct sto *store, struct sto_call *call, int rc, json_t *body)
{
    if (rc == RC_STORE_DOWN) {
        uint64_t backoff_ms = (uint64_t)STO_BACKOFF_MIN_MS
                              << MIN(store->failures, 6);
        backoff_ms = MIN(backoff_ms, STO_BACKOFF_MAX_MS);
        /* Jitter keeps the agents from returning all at once. */
        uint32_t jitter_ms =
            (uint32_t)g_random_int_range(0, (gint32)backoff_ms);
        store->failures += 1;
        store->usable_ms = uv_now(store->loop) + backoff_ms / 2 + jitter_ms;
        cnt_add(store->counters, "store_failures_total", NULL);
    }
    else {
        store->failures = 0;
        store->usable_ms = 0;
    }
    const struct sto_reply reply = {.rc = rc, .body = body};
    call->reply(call->ctx, &reply);
    sto_call_free(call);
}

static void
sto_conn_free(struct sto_conn *conn)
{
    hcl_close(conn->http);
    g_free(conn);
}

static void
sto_conn_close(struct sto_conn *conn)
{
    g_ptr_array_remove_fast(conn->store->conns, conn);
    sto_conn_free(conn);
}

static int
sto_rc_of_status(int status)
{
    switch (status) {
    case 200:
    case 201:
        return RC_OK;
    case 404:
        return RC_NOT_FOUND;
    case 409:
        return RC_CONFLICT;
    case 400:
    case 405:
    case 413:
        return RC_INVALID;
    default:
        return RC_STORE_DOWN;
    }
}

static void
sto_on_response(struct hcl_conn *http, const struct hcl_response *response,
                void *ctx)
{
    struct sto_conn *conn = ctx;
    struct sto *store = conn->store;
    struct sto_call *call = conn->call;
    conn->call = NULL;
    json_t *body = NULL;
    int rc = RC_STORE_DOWN;
    if (response->rc == RC_OK) {
        rc = sto_rc_of_status(response->status);
        body = json_loadb(response->body, response->body_bytes,
                          JSON_DECODE_ANY, NULL);
        if (body == NULL && (rc == RC_OK || rc == RC_CONFLICT)) {
            rc = RC_STORE_DOWN;
        }
    }
    if (response->rc != RC_OK || !response->is_keepalive) {
        sto_conn_close(conn);
    }
    sto_finish(store, call, rc, body);
    json_decref(body);
}

static void
sto_send(struct sto_conn *conn)
{
    struct sto_call *call = conn->call;
    int rc = hcl_request(
        conn->http, call->method, call->path, NULL, call->body,
        call->body != NULL ? strlen(call->body) : 0, sto_on_response, conn);
    if (rc != RC_OK) {
        struct sto *store = conn->store;
        sto_conn_close(conn);
        sto_finish(store, call, RC_STORE_DOWN, NULL);
    }
}

static void
sto_on_connected(struct hcl_conn *http, int rc, void *ctx)
{
    struct sto_conn *conn = ctx;
    if (rc == RC_OK) {
        sto_send(conn);
        return;
    }
    struct sto *store = conn->store;
    struct sto_call *call = conn->call;
    sto_conn_close(conn);
    sto_finish(store, call, RC_STORE_DOWN, NULL);
}

static void
sto_on_lost(struct hcl_conn *http, void *ctx)
{
    sto_conn_close(ctx);
}

static struct sto_conn *
sto_idle_conn(struct sto *store)
{
    for (guint i = 0; i < store->conns->len; i++) {
        struct sto_conn *conn = g_ptr_array_index(store->conns, i);
        if (conn->call == NULL) {
            return conn;
        }
    }
    return NULL;
}

static void
sto_start(struct sto *store, struct sto_call *call)
{
    struct sto_conn *conn = sto_idle_conn(store);
    if (conn != NULL) {
        conn->call = call;
        sto_send(conn);
        return;
    }
    conn = g_new0(struct sto_conn, 1);
    conn->store = store;
    conn->call = call;
    if (hcl_connect(store->loop, store->address, STO_BODY_MAX,
                    sto_on_connected, sto_on_lost, conn,
                    &conn->http) != RC_OK) {
        g_free(conn);
        sto_finish(store, call, RC_STORE_DOWN, NULL);
        return;
    }
    g_ptr_array_add(store->conns, conn);
}

static void
sto_run(struct sto *store)
{
    while (!store->is_closed && !g_queue_is_empty(store->queue) &&
           (sto_idle_conn(store) != NULL ||
            store->conns->len < STO_CONNECTIONS_MAX + store->watches->len)) {
        sto_start(store, g_queue_pop_head(store->queue));
    }
}

static void
sto_call(struct sto *store, const char *method, char *path, char *body,
         uint64_t timeout_ms, sto_reply_cb reply, void *ctx)
{
    struct sto_call *call = g_new0(struct sto_call, 1);
    call->method = method;
    call->path = path;
    call->body = body;
    call->deadline_ms = uv_now(store->loop) + timeout_ms;
    call->reply = reply;
    call->ctx = ctx;
    if (store->is_closed) {
        sto_finish(store, call, RC_STORE_DOWN, NULL);
        return;
    }
    /* Sent before the loop sleeps, so that no callback runs in this call. */
    g_queue_push_tail(store->queue, call);
}

static char *
sto_path(const char *kind, const char *name)
{
    if (name == NULL) {
        return g_strdup_printf("/v1/%s", kind);
    }
    char *escaped = g_uri_escape_string(name, ":", FALSE);
    char *path = g_strdup_printf("/v1/%s/%s", kind, escaped);
    g_free(escaped);
    return path;
}

void
sto_get(struct sto *store, const char *kind, const char *name,
        sto_reply_cb reply, void *ctx)
{
    char *label =
        g_strdup_printf("%s_%s", name != NULL ? "get" : "list", kind);
    cnt_add(store->counters, "store_calls_total", label);
    g_free(label);
    sto_call(store, "GET", sto_path(kind, name), NULL, STO_TIMEOUT_MS, reply,
             ctx);
}

void
sto_put(struct sto *store, const char *kind, const char *name,
        uint64_t version, json_t *value, sto_reply_cb reply, void *ctx)
{
    char *label = g_strdup_printf("put_%s", kind);
    cnt_add(store->counters, "store_calls_total", label);
    g_free(label);
    json_t *body = json_pack("{s:I, s:o}", "version", (json_int_t)version,
                             "value", value);
    char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(body);
    sto_call(store, "PUT", sto_path(kind, name), text, STO_TIMEOUT_MS, reply,
             ctx);
}

static void
sto_on_watch(void *ctx, const struct sto_reply *reply)
{
    struct sto_watch *watch = ctx;
    watch->is_running = false;
    if (reply->rc != RC_OK) {
        return;
    }
    json_int_t version =
        json_integer_value(json_object_get(reply->body, "version"));
    if (version > 0 && (uint64_t)version != watch->version) {
        watch->version = (uint64_t)version;
        watch->reply(watch->ctx, reply);
    }
}

static void
sto_watch_run(struct sto_watch *watch)
{
    struct sto *store = watch->store;
    char *label = g_strdup_printf("watch_%s", watch->kind);
    cnt_add(store->counters, "store_calls_total", label);
    g_free(label);
    watch->is_running = true;
    sto_call(store, "GET",
             g_strdup_printf("/v1/%s?after=%" PRIu64 "&wait_ms=%d",
                             watch->kind, watch->version, STO_WATCH_WAIT_MS),
             NULL, STO_WATCH_TIMEOUT_MS, sto_on_watch, watch);
}

void
sto_watch(struct sto *store, const char *kind, sto_reply_cb reply, void *ctx)
{
    struct sto_watch *watch = g_new0(struct sto_watch, 1);
    watch->store = store;
    watch->kind = g_strdup(kind);
    watch->reply = reply;
    watch->ctx = ctx;
    g_ptr_array_add(store->watches, watch);
    sto_watch_run(watch);
}

static void
sto_expire_queued(struct sto *store)
{
    while (!g_queue_is_empty(store->queue)) {
        struct sto_call *call = g_queue_peek_head(store->queue);
        if (uv_now(store->loop) < call->deadline_ms) {
            return;
        }
        (void)g_queue_pop_head(store->queue);
        sto_finish(store, call, RC_STORE_DOWN, NULL);
    }
}

static void
sto_on_timer(uv_timer_t *timer)
{
    struct sto *store = timer->data;
    for (guint i = store->conns->len; i > 0; i--) {
        struct sto_conn *conn = g_ptr_array_index(store->conns, i - 1);
        struct sto_call *call = conn->call;
        if (call != NULL && uv_now(store->loop) >= call->deadline_ms) {
            cnt_add(store->counters, "store_timeouts_total", NULL);
            sto_conn_close(conn);
            sto_finish(store, call, RC_STORE_DOWN, NULL);
            /* The callback may have changed the list. */
            break;
        }
    }
    sto_expire_queued(store);
    for (guint i = 0; i < store->watches->len; i++) {
        struct sto_watch *watch = g_ptr_array_index(store->watches, i);
        if (!watch->is_running && sto_is_usable(store)) {
            sto_watch_run(watch);
        }
    }
}

static void
sto_on_prepare(uv_prepare_t *prepare)
{
    sto_run(prepare->data);
}

int
sto_open(uv_loop_t *loop, const char *address, struct cnt_set *counters,
         struct sto **out)
{
    struct sto *store = g_new0(struct sto, 1);
    store->loop = loop;
    store->address = g_strdup(address);
    store->counters = counters;
    store->conns = g_ptr_array_new();
    store->queue = g_queue_new();
    store->watches = g_ptr_array_new();
    uv_timer_init(loop, &store->timer);
    store->timer.data = store;
    uv_timer_start(&store->timer, sto_on_timer, STO_SCAN_MS, STO_SCAN_MS);
    uv_prepare_init(loop, &store->prepare);
    store->prepare.data = store;
    uv_prepare_start(&store->prepare, sto_on_prepare);
    *out = store;
    return RC_OK;
}

bool
sto_is_usable(const struct sto *store)
{
    return uv_now(store->loop) >= store->usable_ms;
}

static void
sto_on_closed(uv_handle_t *handle)
{
    struct sto *store = handle->data;
    for (guint i = 0; i < store->watches->len; i++) {
        struct sto_watch *watch = g_ptr_array_index(store->watches, i);
        g_free(watch->kind);
        g_free(watch);
    }
    g_ptr_array_free(store->watches, TRUE);
    g_ptr_array_free(store->conns, TRUE);
    g_queue_free(store->queue);
    g_free(store->address);
    g_free(store);
}

static void
sto_on_timer_closed(uv_handle_t *handle)
{
    struct sto *store = handle->data;
    uv_close((uv_handle_t *)&store->prepare, sto_on_closed);
}

void
sto_close(struct sto *store)
{
    if (store == NULL) {
        return;
    }
    store->is_closed = true;
    for (guint i = 0; i < store->conns->len; i++) {
        struct sto_conn *conn = g_ptr_array_index(store->conns, i);
        struct sto_call *call = conn->call;
        sto_conn_free(conn);
        if (call != NULL) {
            sto_finish(store, call, RC_STORE_DOWN, NULL);
        }
    }
    g_ptr_array_set_size(store->conns, 0);
    while (!g_queue_is_empty(store->queue)) {
        sto_finish(store, g_queue_pop_head(store->queue), RC_STORE_DOWN, NULL);
    }
    uv_close((uv_handle_t *)&store->timer, sto_on_timer_closed);
}
