#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/counter.h"
#include "common/http_server.h"
#include "common/rc.h"
#include "standin/reply.h"
#include "standin/store.h"
#include "standin/store_fault.h"
#include "standin/store_object.h"
#include "standin/store_watch.h"

/* Room for the fields around a value of the largest size. */
#define STO_BODY_MAX_BYTES (SOB_VALUE_MAX_BYTES + 64 * 1024)
#define STO_WAIT_MAX_MS 60000

struct sto {
    uv_loop_t *loop;
    struct hsv_server *server;
    struct sob_store *objects;
    struct wch *watches;
    struct flt fault;
    struct cnt_set *counters;
};

/* An answer that waits for its delay. */
struct sto_answer {
    uv_timer_t timer;
    struct sto *store;
    struct hsv_request *request;
    int status;
    char *text;
};

static void
sto_on_closed(uv_handle_t *handle)
{
    struct sto_answer *answer = handle->data;
    g_free(answer->text);
    g_free(answer);
}

static void
sto_on_delay_over(uv_timer_t *timer)
{
    struct sto_answer *answer = timer->data;
    if (answer->store->fault.is_down) {
        rpl_never(answer->request);
    }
    else {
        rpl_text(answer->request, answer->status, answer->text);
    }
    uv_close((uv_handle_t *)timer, sto_on_closed);
}

static void
sto_answer(struct sto *store, struct hsv_request *request, int status,
           const char *text)
{
    if (store->fault.is_down) {
        rpl_never(request);
        return;
    }
    if (store->fault.delay_ms == 0) {
        rpl_text(request, status, text);
        return;
    }
    struct sto_answer *answer = g_new0(struct sto_answer, 1);
    answer->store = store;
    answer->request = request;
    answer->status = status;
    answer->text = g_strdup(text);
    answer->timer.data = answer;
    uv_timer_init(store->loop, &answer->timer);
    uv_timer_start(&answer->timer, sto_on_delay_over,
                   (uint64_t)store->fault.delay_ms, 0);
}

static void
sto_answer_error(struct sto *store, struct hsv_request *request, int rc)
{
    char *text = g_strdup_printf("{\"error\":\"%s\"}", rc_name(rc));
    sto_answer(store, request, rc_http_status(rc), text);
    g_free(text);
}

static void
sto_answer_conflict(struct sto *store, struct hsv_request *request,
                    const char *kind, const char *name)
{
    const char *current = sob_get(store->objects, kind, name);
    if (current != NULL) {
        sto_answer(store, request, 409, current);
        return;
    }
    json_t *none = json_pack("{s:s, s:s, s:i, s:n}", "kind", kind, "name",
                             name, "version", 0, "value");
    char *text = json_dumps(none, JSON_COMPACT);
    sto_answer(store, request, 409, text);
    free(text);
    json_decref(none);
}

static void
sto_go_down(struct sto *store)
{
    store->fault.is_down = true;
    wch_abandon(store->watches);
}

/* Ends a successful write: answers it and the watches of its kind. */
static void
sto_finish_write(struct sto *store, struct hsv_request *request,
                 const char *kind, const char *text)
{
    bool is_config = strcmp(kind, "config") == 0;
    if (is_config) {
        *cnt_get(store->counters, "store_config_written_us", NULL) =
            (uint64_t)g_get_real_time();
    }
    if (is_config && store->fault.is_down_after_watch) {
        store->fault.is_down_after_watch = false;
        wch_notify(store->watches, kind);
        sto_go_down(store);
    }
    if (flt_loses_reply(&store->fault)) {
        cnt_add(store->counters, "store_replies_lost_total", NULL);
        rpl_never(request);
    }
    else {
        sto_answer(store, request, 200, text);
    }
    if (is_config && store->fault.is_down_after_answer) {
        store->fault.is_down_after_answer = false;
        sto_go_down(store);
    }
    wch_notify(store->watches, kind);
}

static void
sto_answer_list(struct sto *store, struct hsv_request *request,
                const char *kind)
{
    char *text = sob_list(store->objects, kind);
    sto_answer(store, request, 200, text);
    g_free(text);
}

/* Query parameter as a number; `missing` when there is none. */
static int64_t
sto_query_number(struct hsv_request *request, const char *name,
                 int64_t missing)
{
    char *text = hsv_query_value(request, name);
    int64_t value = text == NULL ? missing : g_ascii_strtoll(text, NULL, 10);
    g_free(text);
    return value;
}

/* Answers a list, or a watch that ends: without the objects if none has
 * changed since the version that it asked for. */
static void
sto_answer_after(struct sto *store, struct hsv_request *request,
                 const char *kind)
{
    int64_t version = sob_version(store->objects, kind);
    if (version > sto_query_number(request, "after", -1)) {
        sto_answer_list(store, request, kind);
        return;
    }
    char *text = g_strdup_printf(
        "{\"version\":%" G_GINT64_FORMAT ",\"items\":[]}", version);
    sto_answer(store, request, 200, text);
    g_free(text);
}

static void
sto_on_watch_end(struct hsv_request *request, const char *kind, void *ctx)
{
    sto_answer_after(ctx, request, kind);
}

static void
sto_list(struct sto *store, struct hsv_request *request, const char *kind,
         const char *name)
{
    int64_t after = sto_query_number(request, "after", -1);
    int64_t wait_ms = sto_query_number(request, "wait_ms", 0);
    if (wait_ms > 0 && sob_version(store->objects, kind) <= after) {
        wch_add(store->watches, request, kind, MIN(wait_ms, STO_WAIT_MAX_MS));
        return;
    }
    sto_answer_after(store, request, kind);
}

static void
sto_get(struct sto *store, struct hsv_request *request, const char *kind,
        const char *name)
{
    const char *text = sob_get(store->objects, kind, name);
    if (text == NULL) {
        sto_answer_error(store, request, RC_NOT_FOUND);
        return;
    }
    sto_answer(store, request, 200, text);
}

/* Writes with the version of the body, or whatever is there without one. */
static int
sto_write(struct sto *store, const char *kind, const char *name,
          const json_t *body)
{
    const json_t *version = json_object_get(body, "version");
    const json_t *value = json_object_get(body, "value");
    if (value == NULL || (version != NULL && !json_is_integer(version))) {
        return RC_BAD_FIELD;
    }
    if (version != NULL) {
        return sob_put(store->objects, kind, name, json_integer_value(version),
                       value);
    }
    int64_t current = sob_object_version(store->objects, kind, name);
    return current > 0 ? sob_put(store->objects, kind, name, current, value)
                       : RC_NOT_FOUND;
}

static void
sto_answer_write(struct sto *store, struct hsv_request *request, int rc,
                 const char *kind, const char *name)
{
    if (rc == RC_OK) {
        sto_finish_write(store, request, kind,
                         sob_get(store->objects, kind, name));
    }
    else if (rc == RC_CONFLICT) {
        sto_answer_conflict(store, request, kind, name);
    }
    else {
        sto_answer_error(store, request, rc);
    }
}

static void
sto_put(struct sto *store, struct hsv_request *request, const char *kind,
        const char *name)
{
    json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);
    int rc = body != NULL ? sto_write(store, kind, name, body) : RC_BAD_JSON;
    json_decref(body);
    sto_answer_write(store, request, rc, kind, name);
}

/* Creates the object that the body names. */
static void
sto_post(struct sto *store, struct hsv_request *request, const char *kind,
         const char *no_name)
{
    json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);
    const char *name = json_string_value(json_object_get(body, "name"));
    const json_t *value = json_object_get(body, "value");
    int rc = RC_BAD_FIELD;
    if (name != NULL && value != NULL) {
        rc = sob_put(store->objects, kind, name, 0, value);
    }
    sto_answer_write(store, request, rc, kind, name);
    json_decref(body);
}

static void
sto_delete(struct sto *store, struct hsv_request *request, const char *kind,
           const char *name)
{
    int64_t version = sto_query_number(request, "version", -1);
    int rc = sob_delete(store->objects, kind, name, version);
    if (rc == RC_OK) {
        sto_finish_write(store, request, kind, "{}");
    }
    else if (rc == RC_CONFLICT) {
        sto_answer_conflict(store, request, kind, name);
    }
    else {
        sto_answer_error(store, request, rc);
    }
}

static void
sto_admin(struct sto *store, struct hsv_request *request)
{
    json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);
    int rc = body == NULL ? RC_BAD_JSON : flt_apply(&store->fault, body);
    json_decref(body);
    if (rc != RC_OK) {
        rpl_error(request, rc);
        return;
    }
    if (store->fault.is_down) {
        sto_go_down(store);
    }
    rpl_text(request, 200, "{}");
}

static void
sto_metrics(struct sto *store, struct hsv_request *request)
{
    GString *out = g_string_new(NULL);
    cnt_render(store->counters, out);
    hsv_respond(request, 200, "text/plain; version=0.0.4", out->str, out->len);
    g_string_free(out, TRUE);
}

struct sto_route {
    const char *method;
    bool has_name;
    void (*run)(struct sto *store, struct hsv_request *request,
                const char *kind, const char *name);
};

static const struct sto_route sto_routes[] = {
    {"GET", false, sto_list},     {"GET", true, sto_get},
    {"PUT", true, sto_put},       {"POST", false, sto_post},
    {"DELETE", true, sto_delete},
};

static void
sto_count_call(struct sto *store, const char *method, const char *kind)
{
    char *name = g_strdup_printf(
        "store_calls_total{method=\"%s\",kind=\"%s\"}", method, kind);
    cnt_add(store->counters, name, NULL);
    g_free(name);
}

static void
sto_run(struct sto *store, struct hsv_request *request,
        const struct sto_route *route, const char *kind, const char *name)
{
    sto_count_call(store, request->method, kind);
    if (store->fault.is_down && !store->fault.is_refusing) {
        rpl_never(request);
        return;
    }
    if (store->fault.is_down || flt_fails(&store->fault)) {
        cnt_add(store->counters, "store_refused_total", NULL);
        rpl_error(request, RC_STORE_DOWN);
        return;
    }
    route->run(store, request, kind, name);
}

static void
sto_dispatch(struct sto *store, struct hsv_request *request, char **path)
{
    bool has_name = path[1] != NULL;
    /* A name may hold slashes; quotes would break the metrics' labels. */
    bool is_path = path[0][0] != '\0' && strpbrk(path[0], "\"\\") == NULL &&
                   (!has_name || path[1][0] != '\0');
    if (!is_path) {
        rpl_error(request, RC_NO_ROUTE);
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(sto_routes); i++) {
        const struct sto_route *route = &sto_routes[i];
        if (route->has_name == has_name &&
            strcmp(route->method, request->method) == 0) {
            sto_run(store, request, route, path[0], path[1]);
            return;
        }
    }
    rpl_error(request, RC_BAD_METHOD);
}

static void
sto_on_request(struct hsv_request *request, void *ctx)
{
    struct sto *store = ctx;
    if (strcmp(request->path, "/admin") == 0) {
        sto_admin(store, request);
        return;
    }
    if (strcmp(request->path, "/metrics") == 0) {
        sto_metrics(store, request);
        return;
    }
    if (!g_str_has_prefix(request->path, "/v1/")) {
        rpl_error(request, RC_NO_ROUTE);
        return;
    }
    char **path = g_strsplit(request->path + strlen("/v1/"), "/", 2);
    if (path[0] == NULL) {
        rpl_error(request, RC_NO_ROUTE);
    }
    else {
        sto_dispatch(store, request, path);
    }
    g_strfreev(path);
}

int
sto_open(uv_loop_t *loop, const struct sto_options *options, struct sto **out)
{
    struct sto *store = g_new0(struct sto, 1);
    store->loop = loop;
    store->objects = sob_store_new();
    store->watches = wch_new(loop, sto_on_watch_end, store);
    store->fault.random = 1;
    store->counters = cnt_set_new();
    int rc = hsv_open(loop, options->listen, STO_BODY_MAX_BYTES,
                      sto_on_request, store, &store->server);
    *out = store;
    return rc;
}
