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

/* The largest value and the JSON fields around it. */
#define STORE_BODY_MAX_BYTES (STORE_OBJECT_VALUE_MAX_BYTES + 64 * 1024)
/* Limit of wait_ms of a watch. */
#define STORE_WAIT_MAX_MS 60000

struct store {
    uv_loop_t *loop;
    struct http_server *server;
    struct store_objects *objects;
    struct store_watches *watches;
    struct store_fault fault;
    struct counter_set *counters;
};

/* A response that is sent after the delay of store_fault. */
struct store_delayed_response {
    uv_timer_t timer;
    struct store *store;
    struct http_request *request;
    int status;
    char *text;
};

static void
store_on_closed(uv_handle_t *handle)
{
    struct store_delayed_response *response = handle->data;
    g_free(response->text);
    g_free(response);
}

static void
store_on_delay_end(uv_timer_t *timer)
{
    struct store_delayed_response *response = timer->data;
    if (response->store->fault.is_down) {
        reply_withhold(response->request);
    }
    else {
        reply_text(response->request, response->status, response->text);
    }
    uv_close((uv_handle_t *)timer, store_on_closed);
}

static void
store_respond(struct store *store, struct http_request *request, int status,
              const char *text)
{
    if (store->fault.is_down) {
        reply_withhold(request);
        return;
    }
    if (store->fault.delay_ms == 0) {
        reply_text(request, status, text);
        return;
    }
    struct store_delayed_response *response =
        g_new0(struct store_delayed_response, 1);
    response->store = store;
    response->request = request;
    response->status = status;
    response->text = g_strdup(text);
    response->timer.data = response;
    uv_timer_init(store->loop, &response->timer);
    uv_timer_start(&response->timer, store_on_delay_end,
                   (uint64_t)store->fault.delay_ms, 0);
}

static void
store_respond_error(struct store *store, struct http_request *request, int rc)
{
    char *text = g_strdup_printf("{\"error\":\"%s\"}", rc_name(rc));
    store_respond(store, request, rc_http_status(rc), text);
    g_free(text);
}

static void
store_respond_conflict(struct store *store, struct http_request *request,
                       const char *kind, const char *name)
{
    const char *current = store_object_get(store->objects, kind, name);
    if (current != NULL) {
        store_respond(store, request, 409, current);
        return;
    }
    json_t *none = json_pack("{s:s, s:s, s:i, s:n}", "kind", kind, "name",
                             name, "version", 0, "value");
    char *text = json_dumps(none, JSON_COMPACT);
    store_respond(store, request, 409, text);
    free(text);
    json_decref(none);
}

/* Simulates an outage: no response to pending watches and later calls. */
static void
store_go_down(struct store *store)
{
    store->fault.is_down = true;
    store_watch_abandon(store->watches);
}

/*
 * Ends a successful write: responds to it and notifies the watches of its
 * kind, unless a fault prevents one of these.
 */
static void
store_finish_write(struct store *store, struct http_request *request,
                   const char *kind, const char *text)
{
    bool is_config = strcmp(kind, "config") == 0;
    if (is_config) {
        *counter_get(store->counters, "store_config_written_us", NULL) =
            (uint64_t)g_get_real_time();
    }
    if (is_config && store->fault.is_down_after_watch) {
        store->fault.is_down_after_watch = false;
        store_watch_notify(store->watches, kind);
        store_go_down(store);
    }
    if (store_fault_loses_reply(&store->fault)) {
        counter_add(store->counters, "store_replies_lost_total", NULL);
        reply_withhold(request);
    }
    else {
        store_respond(store, request, 200, text);
    }
    if (is_config && store->fault.is_down_after_answer) {
        store->fault.is_down_after_answer = false;
        store_go_down(store);
    }
    store_watch_notify(store->watches, kind);
}

static void
store_respond_list(struct store *store, struct http_request *request,
                   const char *kind)
{
    char *text = store_object_list(store->objects, kind);
    store_respond(store, request, 200, text);
    g_free(text);
}

/* Query parameter as a number, `fallback` if there is none. */
static int64_t
store_query_number(struct http_request *request, const char *name,
                   int64_t fallback)
{
    char *text = http_server_query_value(request, name);
    int64_t value = text == NULL ? fallback : g_ascii_strtoll(text, NULL, 10);
    g_free(text);
    return value;
}

/* Responds to a list call or an ended watch: with all objects of the kind if
 * it has changed since the version `after` of the request, else with none. */
static void
store_respond_changes(struct store *store, struct http_request *request,
                      const char *kind)
{
    int64_t version = store_object_kind_version(store->objects, kind);
    if (version > store_query_number(request, "after", -1)) {
        store_respond_list(store, request, kind);
        return;
    }
    char *text = g_strdup_printf(
        "{\"version\":%" G_GINT64_FORMAT ",\"items\":[]}", version);
    store_respond(store, request, 200, text);
    g_free(text);
}

static void
store_on_watch_end(struct http_request *request, const char *kind, void *ctx)
{
    store_respond_changes(ctx, request, kind);
}

static void
store_list(struct store *store, struct http_request *request, const char *kind,
           const char *name)
{
    int64_t after = store_query_number(request, "after", -1);
    int64_t wait_ms = store_query_number(request, "wait_ms", 0);
    if (wait_ms > 0 &&
        store_object_kind_version(store->objects, kind) <= after) {
        store_watch_add(store->watches, request, kind,
                        MIN(wait_ms, STORE_WAIT_MAX_MS));
        return;
    }
    store_respond_changes(store, request, kind);
}

static void
store_get(struct store *store, struct http_request *request, const char *kind,
          const char *name)
{
    const char *text = store_object_get(store->objects, kind, name);
    if (text == NULL) {
        store_respond_error(store, request, RC_NOT_FOUND);
        return;
    }
    store_respond(store, request, 200, text);
}

/* Writes if the version in the body matches; without a version replaces an
 * existing object. */
static int
store_write(struct store *store, const char *kind, const char *name,
            const json_t *body)
{
    const json_t *version = json_object_get(body, "version");
    const json_t *value = json_object_get(body, "value");
    if (value == NULL || (version != NULL && !json_is_integer(version))) {
        return RC_BAD_FIELD;
    }
    if (version != NULL) {
        return store_object_put(store->objects, kind, name,
                                json_integer_value(version), value);
    }
    int64_t current = store_object_version(store->objects, kind, name);
    return current > 0
               ? store_object_put(store->objects, kind, name, current, value)
               : RC_NOT_FOUND;
}

static void
store_respond_write(struct store *store, struct http_request *request, int rc,
                    const char *kind, const char *name)
{
    if (rc == RC_OK) {
        store_finish_write(store, request, kind,
                           store_object_get(store->objects, kind, name));
    }
    else if (rc == RC_CONFLICT) {
        store_respond_conflict(store, request, kind, name);
    }
    else {
        store_respond_error(store, request, rc);
    }
}

static void
store_put(struct store *store, struct http_request *request, const char *kind,
          const char *name)
{
    json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);
    int rc = body != NULL ? store_write(store, kind, name, body) : RC_BAD_JSON;
    json_decref(body);
    store_respond_write(store, request, rc, kind, name);
}

/* Creates the object; its name is in the body. */
static void
store_post(struct store *store, struct http_request *request, const char *kind,
           const char *unused_name)
{
    json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);
    const char *name = json_string_value(json_object_get(body, "name"));
    const json_t *value = json_object_get(body, "value");
    int rc = RC_BAD_FIELD;
    if (name != NULL && value != NULL) {
        rc = store_object_put(store->objects, kind, name, 0, value);
    }
    store_respond_write(store, request, rc, kind, name);
    json_decref(body);
}

static void
store_delete(struct store *store, struct http_request *request,
             const char *kind, const char *name)
{
    int64_t version = store_query_number(request, "version", -1);
    int rc = store_object_delete(store->objects, kind, name, version);
    if (rc == RC_OK) {
        store_finish_write(store, request, kind, "{}");
    }
    else if (rc == RC_CONFLICT) {
        store_respond_conflict(store, request, kind, name);
    }
    else {
        store_respond_error(store, request, rc);
    }
}

static void
store_admin(struct store *store, struct http_request *request)
{
    json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);
    int rc =
        body == NULL ? RC_BAD_JSON : store_fault_apply(&store->fault, body);
    json_decref(body);
    if (rc != RC_OK) {
        reply_error(request, rc);
        return;
    }
    if (store->fault.is_down) {
        store_go_down(store);
    }
    reply_text(request, 200, "{}");
}

static void
store_metrics(struct store *store, struct http_request *request)
{
    GString *out = g_string_new(NULL);
    counter_render(store->counters, out);
    http_server_respond(request, 200, "text/plain; version=0.0.4", out->str,
                        out->len);
    g_string_free(out, TRUE);
}

struct store_route {
    const char *method;
    bool has_name;
    void (*handle)(struct store *store, struct http_request *request,
                   const char *kind, const char *name);
};

static const struct store_route store_routes[] = {
    {"GET", false, store_list},     {"GET", true, store_get},
    {"PUT", true, store_put},       {"POST", false, store_post},
    {"DELETE", true, store_delete},
};

static void
store_count_call(struct store *store, const char *method, const char *kind)
{
    char *name = g_strdup_printf(
        "store_calls_total{method=\"%s\",kind=\"%s\"}", method, kind);
    counter_add(store->counters, name, NULL);
    g_free(name);
}

static void
store_handle(struct store *store, struct http_request *request,
             const struct store_route *route, const char *kind,
             const char *name)
{
    store_count_call(store, request->method, kind);
    if (store->fault.is_down && !store->fault.is_refusing) {
        reply_withhold(request);
        return;
    }
    if (store->fault.is_down || store_fault_fails(&store->fault)) {
        counter_add(store->counters, "store_refused_total", NULL);
        reply_error(request, RC_STORE_DOWN);
        return;
    }
    route->handle(store, request, kind, name);
}

static void
store_dispatch(struct store *store, struct http_request *request, char **path)
{
    bool has_name = path[1] != NULL;
    /* A name may contain slashes. Quotes and backslashes in a kind would break
     * the labels of the metrics. */
    bool is_path = path[0][0] != '\0' && strpbrk(path[0], "\"\\") == NULL &&
                   (!has_name || path[1][0] != '\0');
    if (!is_path) {
        reply_error(request, RC_NO_ROUTE);
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(store_routes); i++) {
        const struct store_route *route = &store_routes[i];
        if (route->has_name == has_name &&
            strcmp(route->method, request->method) == 0) {
            store_handle(store, request, route, path[0], path[1]);
            return;
        }
    }
    reply_error(request, RC_BAD_METHOD);
}

static void
store_on_request(struct http_request *request, void *ctx)
{
    struct store *store = ctx;
    if (strcmp(request->path, "/admin") == 0) {
        store_admin(store, request);
        return;
    }
    if (strcmp(request->path, "/metrics") == 0) {
        store_metrics(store, request);
        return;
    }
    if (!g_str_has_prefix(request->path, "/v1/")) {
        reply_error(request, RC_NO_ROUTE);
        return;
    }
    char **path = g_strsplit(request->path + strlen("/v1/"), "/", 2);
    if (path[0] == NULL) {
        reply_error(request, RC_NO_ROUTE);
    }
    else {
        store_dispatch(store, request, path);
    }
    g_strfreev(path);
}

int
store_open(uv_loop_t *loop, const struct store_options *options,
           struct store **out)
{
    struct store *store = g_new0(struct store, 1);
    store->loop = loop;
    store->objects = store_objects_new();
    store->watches = store_watch_new(loop, store_on_watch_end, store);
    store->fault.random = 1;
    store->counters = counter_set_new();
    int rc = http_server_open(loop, options->listen, STORE_BODY_MAX_BYTES,
                              store_on_request, store, &store->server);
    *out = store;
    return rc;
}
