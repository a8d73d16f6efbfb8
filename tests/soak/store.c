#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define STORE_SLOW_MS 400
#define STORE_PATH "/carobhatch/objects/"
/* Number of events kept for watches; older ones are dropped. */
#define STORE_HISTORY_MAX 500
/* Most writes of all VMs in one second. */
#define STORE_WRITES_MAX_PER_S 60

struct store_object {
    char *key; /* KIND/NAME */
    int64_t revision;
    json_t *spec; /* NULL: deleted */
    char *raw;    /* bytes that stand for the spec, or NULL */
};

/* A long poll for events of a kind after a revision. */
struct store_watch {
    struct store *store;
    struct http_request *http;
    char *kind;
    int64_t revision;
    int64_t until_us;
    bool is_gone;
};

/* An answer that is sent after STORE_SLOW_MS. */
struct store_delayed_reply {
    struct store *store;
    struct http_request *http;
    uv_timer_t timer;
    int status;
    char *body;
};

struct store {
    struct soak *soak;
    struct http_server *server;
    enum store_mode mode;
    int64_t revision;
    int64_t compacted_revision; /* a watch from an earlier one gets 410 */
    GHashTable *objects;        /* key -> struct store_object */
    GQueue history;             /* of struct store_object, latest last */
    GPtrArray *watches;
    uv_timer_t timer;
    int64_t write_second; /* in which `write_count` writes came */
    uint32_t write_count;
};

static void
store_send(struct http_request *http, int status, const char *body)
{
    http_server_respond(http, status, "application/json", body, strlen(body));
}

static void
store_on_delay_closed(uv_handle_t *handle)
{
    struct store_delayed_reply *reply = handle->data;
    store_send(reply->http, reply->status, reply->body);
    g_free(reply->body);
    g_free(reply);
}

static void
store_on_delay(uv_timer_t *timer)
{
    uv_close((uv_handle_t *)timer, store_on_delay_closed);
}

static void
store_answer(struct store *store, struct http_request *http, int status,
             const char *body)
{
    if (store->mode != STORE_SLOW) {
        store_send(http, status, body);
        return;
    }
    struct store_delayed_reply *reply = g_new0(struct store_delayed_reply, 1);
    reply->store = store;
    reply->http = http;
    reply->status = status;
    reply->body = g_strdup(body);
    uv_timer_init(&store->soak->loop, &reply->timer);
    reply->timer.data = reply;
    uv_timer_start(&reply->timer, store_on_delay, STORE_SLOW_MS, 0);
}

static json_t *
store_object_json(const struct store_object *object)
{
    const char *name = strchr(object->key, '/') + 1;
    json_t *json =
        json_pack("{s:{s:s,s:I,s:I,s:[],s:b}}", "meta", "name", name,
                  "revision", (json_int_t)object->revision, "created",
                  (json_int_t)1, "finalizers", "deleting", 0);
    json_object_set_new(json, "status", json_null());
    json_object_set(json, "spec",
                    object->spec != NULL ? object->spec : json_null());
    return json;
}

/* Puts the bytes of an object in the place of its spec. */
static void
store_insert_raw(const struct store_object *object, GString *text)
{
    if (object->raw != NULL) {
        char *placeholder =
            g_strdup_printf("\"%s\"", json_string_value(object->spec));
        g_string_replace(text, placeholder, object->raw, 0);
        g_free(placeholder);
    }
}

static char *
store_dump(const struct store *store, json_t *json)
{
    char *dumped = json_dumps(json, JSON_COMPACT);
    GString *text = g_string_new(dumped);
    free(dumped);
    json_decref(json);
    GHashTableIter iter;
    gpointer object = NULL;
    g_hash_table_iter_init(&iter, store->objects);
    while (g_hash_table_iter_next(&iter, NULL, &object)) {
        store_insert_raw(object, text);
    }
    for (const GList *item = store->history.head; item != NULL;
         item = item->next) {
        store_insert_raw(item->data, text);
    }
    return g_string_free(text, FALSE);
}

static bool
store_has_kind(const struct store_object *object, const char *kind)
{
    size_t bytes = strlen(kind);
    return strncmp(object->key, kind, bytes) == 0 && object->key[bytes] == '/';
}

static int
store_compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

static char *
store_list(struct store *store, const char *kind)
{
    json_t *items = json_array();
    GList *keys =
        g_list_sort(g_hash_table_get_keys(store->objects), store_compare_keys);
    for (GList *key = keys; key != NULL; key = key->next) {
        const struct store_object *object =
            g_hash_table_lookup(store->objects, key->data);
        if (store_has_kind(object, kind)) {
            json_array_append_new(items, store_object_json(object));
        }
    }
    g_list_free(keys);
    return store_dump(store,
                      json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
                                "current_rev", (json_int_t)store->revision));
}

/* The events of the kind after the revision as JSON, NULL for none. */
static char *
store_events(struct store *store, const char *kind, int64_t revision)
{
    json_t *events = json_array();
    for (const GList *item = store->history.head; item != NULL;
         item = item->next) {
        const struct store_object *object = item->data;
        if (object->revision > revision && store_has_kind(object, kind)) {
            json_array_append_new(
                events, json_pack("{s:b,s:o}", "deleted", object->spec == NULL,
                                  "object", store_object_json(object)));
        }
    }
    if (json_array_size(events) == 0) {
        json_decref(events);
        return NULL;
    }
    return store_dump(store,
                      json_pack("{s:o,s:I}", "events", events, "current_rev",
                                (json_int_t)store->revision));
}

static void
store_end_watch(struct store_watch *watch, int status, const char *body)
{
    watch->http->on_disconnect = NULL;
    g_ptr_array_remove_fast(watch->store->watches, watch);
    store_answer(watch->store, watch->http, status, body);
    g_free(watch->kind);
    g_free(watch);
}

static void
store_on_watch_disconnect(struct http_request *http, void *ctx)
{
    store_end_watch(ctx, 503, "{}");
}

/* Answers the watches that have events or whose wait has expired; in
 * STORE_BUSY all of them with 503. */
static void
store_answer_watches(struct store *store)
{
    int64_t now_us = soak_now_us();
    for (guint i = store->watches->len; i > 0; i--) {
        struct store_watch *watch = g_ptr_array_index(store->watches, i - 1);
        char *body = store_events(store, watch->kind, watch->revision);
        if (store->mode == STORE_BUSY) {
            store_end_watch(watch, 503, "{}");
        }
        else if (body != NULL) {
            store_end_watch(watch, 200, body);
        }
        else if (now_us >= watch->until_us) {
            char *empty = g_strdup_printf(
                "{\"events\":[],\"current_rev\":%" G_GINT64_FORMAT "}",
                store->revision);
            store_end_watch(watch, 200, empty);
            g_free(empty);
        }
        g_free(body);
    }
}

static void
store_on_timer(uv_timer_t *timer)
{
    store_answer_watches(timer->data);
}

static void
store_object_free(gpointer data)
{
    struct store_object *object = data;
    g_free(object->key);
    g_free(object->raw);
    json_decref(object->spec);
    g_free(object);
}

static struct store_object *
store_object_new(const char *key, int64_t revision, json_t *spec,
                 const char *raw)
{
    struct store_object *object = g_new0(struct store_object, 1);
    object->key = g_strdup(key);
    object->revision = revision;
    object->spec = json_incref(spec);
    object->raw = g_strdup(raw);
    return object;
}

/* Sets the object, or deletes it if `spec` is NULL, under the next revision
 * and adds the event to the history. */
static void
store_commit(struct store *store, const char *key, json_t *spec,
             const char *raw)
{
    store->revision += 1;
    struct store_object *object =
        store_object_new(key, store->revision, spec, raw);
    if (spec == NULL) {
        g_hash_table_remove(store->objects, key);
    }
    else {
        g_hash_table_replace(store->objects, object->key, object);
        object = store_object_new(key, store->revision, spec, raw);
    }
    g_queue_push_tail(&store->history, object);
    if (store->history.length > STORE_HISTORY_MAX) {
        struct store_object *oldest = g_queue_pop_head(&store->history);
        store->compacted_revision = oldest->revision;
        store_object_free(oldest);
    }
    store_answer_watches(store);
}

void
store_put(struct store *store, const char *kind, const char *name,
          json_t *spec)
{
    char *key = g_strdup_printf("%s/%s", kind, name);
    store_commit(store, key, spec, NULL);
    g_free(key);
}

void
store_put_raw(struct store *store, const char *kind, const char *name,
              const char *raw)
{
    char *key = g_strdup_printf("%s/%s", kind, name);
    json_t *placeholder =
        json_sprintf("raw %s %" G_GINT64_FORMAT, key, store->revision + 1);
    store_commit(store, key, placeholder, raw);
    json_decref(placeholder);
    g_free(key);
}

void
store_delete(struct store *store, const char *kind, const char *name)
{
    char *key = g_strdup_printf("%s/%s", kind, name);
    if (g_hash_table_contains(store->objects, key)) {
        store_commit(store, key, NULL, NULL);
    }
    g_free(key);
}

/* A VM that is told no pauses before it writes again. */
static void
store_check_write_rate(struct store *store)
{
    int64_t second = soak_now_us() / SOAK_SECOND_US;
    if (second != store->write_second) {
        store->write_second = second;
        store->write_count = 0;
    }
    store->write_count += 1;
    if (store->write_count == STORE_WRITES_MAX_PER_S) {
        soak_violation(store->soak, "store writes",
                       "%d writes of the VMs in one second",
                       STORE_WRITES_MAX_PER_S);
    }
}

/* Applies a write of a VM: POST creates, PUT replaces. Returns the HTTP
 * status. */
static int
store_write(struct store *store, const struct http_request *http,
            const char *key)
{
    store_check_write_rate(store);
    if (store->mode == STORE_CONTRADICT) {
        return strcmp(http->method, "POST") == 0 ? 409 : 404;
    }
    json_t *root = json_loadb(http->body, http->body_bytes, 0, NULL);
    json_t *spec = json_object_get(root, "spec");
    bool is_create = strcmp(http->method, "POST") == 0;
    const char *name = json_string_value(
        json_object_get(json_object_get(root, "meta"), "name"));
    char *object_key =
        is_create ? g_strdup_printf("%s/%s", key, name) : g_strdup(key);
    bool exists = g_hash_table_contains(store->objects, object_key);
    int status = 200;
    if (strcmp(http->method, "DELETE") == 0) {
        status = exists ? 200 : 404;
        if (exists) {
            store_commit(store, object_key, NULL, NULL);
        }
    }
    else if (is_create == exists) {
        status = is_create ? 409 : 404;
    }
    else {
        store_commit(store, object_key, spec, NULL);
    }
    g_free(object_key);
    json_decref(root);
    return status;
}

static void
store_watch(struct store *store, struct http_request *http, const char *kind,
            const char *revision)
{
    int64_t from_revision = g_ascii_strtoll(revision, NULL, 10);
    char *wait = http_server_query_value(http, "wait_ms");
    if (from_revision < store->compacted_revision) {
        store_answer(store, http, 410, "{}");
    }
    else {
        struct store_watch *watch = g_new0(struct store_watch, 1);
        watch->store = store;
        watch->http = http;
        watch->kind = g_strdup(kind);
        watch->revision = from_revision;
        watch->until_us =
            soak_now_us() +
            (wait != NULL ? g_ascii_strtoll(wait, NULL, 10) * 1000 : 0);
        http->on_disconnect = store_on_watch_disconnect;
        http->ctx = watch;
        g_ptr_array_add(store->watches, watch);
        store_answer_watches(store);
    }
    g_free(wait);
}

static void
store_on_request(struct http_request *http, void *ctx)
{
    struct store *store = ctx;
    if (store->mode == STORE_BUSY ||
        !g_str_has_prefix(http->path, STORE_PATH)) {
        store_answer(store, http, 503, "{}");
        return;
    }
    const char *key = http->path + strlen(STORE_PATH);
    if (strcmp(http->method, "GET") != 0) {
        int status = store_write(store, http, key);
        if (store->mode == STORE_LOSE_REPLIES) {
            /* The write is applied, but the VM gets no answer. */
            return;
        }
        store_answer(store, http, status, "{}");
        return;
    }
    char *revision = http_server_query_value(http, "watch");
    if (revision != NULL) {
        store_watch(store, http, key, revision);
    }
    else {
        char *body = store_list(store, key);
        store_answer(store, http, 200, body);
        g_free(body);
    }
    g_free(revision);
}

void
store_set_mode(struct store *store, enum store_mode mode)
{
    store->mode = mode;
    store_answer_watches(store);
}

void
store_compact(struct store *store)
{
    while (!g_queue_is_empty(&store->history)) {
        store_object_free(g_queue_pop_head(&store->history));
    }
    store->revision += 1;
    store->compacted_revision = store->revision;
    for (guint i = store->watches->len; i > 0; i--) {
        store_end_watch(g_ptr_array_index(store->watches, i - 1), 410, "{}");
    }
}

struct store *
store_new(struct soak *soak)
{
    struct store *store = g_new0(struct store, 1);
    store->soak = soak;
    store->revision = 1;
    store->objects = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                           store_object_free);
    store->watches = g_ptr_array_new();
    g_queue_init(&store->history);
    char listen[SOAK_ADDRESS_BYTES];
    soak_address(soak, SOAK_STANDIN_HOST, SOAK_STORE_PORT, listen);
    g_assert_cmpint(http_server_open(&soak->loop, listen, 1 << 20,
                                     store_on_request, store, &store->server),
                    ==, 0);
    uv_timer_init(&soak->loop, &store->timer);
    store->timer.data = store;
    uv_timer_start(&store->timer, store_on_timer, 100, 100);
    return store;
}
