#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define SST_SLOW_MS 400
#define SST_PATH "/carobhatch/objects/"
/* Events that are kept for watches. */
#define SST_HISTORY_MAX 500

struct sst_object {
    char *key; /* KIND/NAME */
    int64_t revision;
    json_t *spec; /* NULL: deleted */
};

/* A watch that waits for an event. */
struct sst_watch {
    struct sst *store;
    struct hsv_request *http;
    char *kind;
    int64_t revision;
    int64_t until_us;
    bool is_gone;
};

/* An answer that is sent later. */
struct sst_late {
    struct sst *store;
    struct hsv_request *http;
    uv_timer_t timer;
    int status;
    char *body;
};

struct sst {
    struct sok *sok;
    struct hsv_server *server;
    enum sst_mode mode;
    int64_t revision;
    int64_t floor;       /* the history before is forgotten */
    GHashTable *objects; /* key -> struct sst_object */
    GQueue history;      /* of struct sst_object, latest last */
    GPtrArray *watches;
    uv_timer_t timer;
};

static void
sst_send(struct hsv_request *http, int status, const char *body)
{
    hsv_respond(http, status, "application/json", body, strlen(body));
}

static void
sst_on_late_closed(uv_handle_t *handle)
{
    struct sst_late *late = handle->data;
    sst_send(late->http, late->status, late->body);
    g_free(late->body);
    g_free(late);
}

static void
sst_on_late(uv_timer_t *timer)
{
    uv_close((uv_handle_t *)timer, sst_on_late_closed);
}

static void
sst_answer(struct sst *store, struct hsv_request *http, int status,
           const char *body)
{
    if (store->mode != SST_SLOW) {
        sst_send(http, status, body);
        return;
    }
    struct sst_late *late = g_new0(struct sst_late, 1);
    late->store = store;
    late->http = http;
    late->status = status;
    late->body = g_strdup(body);
    uv_timer_init(&store->sok->loop, &late->timer);
    late->timer.data = late;
    uv_timer_start(&late->timer, sst_on_late, SST_SLOW_MS, 0);
}

static json_t *
sst_object_json(const struct sst_object *object)
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

static char *
sst_dump(json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    char *copy = g_strdup(text);
    free(text);
    json_decref(json);
    return copy;
}

static bool
sst_is_of(const struct sst_object *object, const char *kind)
{
    size_t bytes = strlen(kind);
    return strncmp(object->key, kind, bytes) == 0 && object->key[bytes] == '/';
}

static int
sst_compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

static char *
sst_list(struct sst *store, const char *kind)
{
    json_t *items = json_array();
    GList *keys =
        g_list_sort(g_hash_table_get_keys(store->objects), sst_compare_keys);
    for (GList *key = keys; key != NULL; key = key->next) {
        const struct sst_object *object =
            g_hash_table_lookup(store->objects, key->data);
        if (sst_is_of(object, kind)) {
            json_array_append_new(items, sst_object_json(object));
        }
    }
    g_list_free(keys);
    return sst_dump(json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
                              "current_rev", (json_int_t)store->revision));
}

/* The events of the kind after the revision, NULL for none. */
static char *
sst_events(struct sst *store, const char *kind, int64_t revision)
{
    json_t *events = json_array();
    for (const GList *item = store->history.head; item != NULL;
         item = item->next) {
        const struct sst_object *object = item->data;
        if (object->revision > revision && sst_is_of(object, kind)) {
            json_array_append_new(
                events, json_pack("{s:b,s:o}", "deleted", object->spec == NULL,
                                  "object", sst_object_json(object)));
        }
    }
    if (json_array_size(events) == 0) {
        json_decref(events);
        return NULL;
    }
    return sst_dump(json_pack("{s:o,s:I}", "events", events, "current_rev",
                              (json_int_t)store->revision));
}

static void
sst_end_watch(struct sst_watch *watch, int status, const char *body)
{
    watch->http->on_gone = NULL;
    g_ptr_array_remove_fast(watch->store->watches, watch);
    sst_answer(watch->store, watch->http, status, body);
    g_free(watch->kind);
    g_free(watch);
}

static void
sst_on_watch_gone(struct hsv_request *http, void *ctx)
{
    sst_end_watch(ctx, 503, "{}");
}

/* Answers the watches that have events or have waited long enough. */
static void
sst_wake(struct sst *store)
{
    int64_t now_us = sok_now_us();
    for (guint i = store->watches->len; i > 0; i--) {
        struct sst_watch *watch = g_ptr_array_index(store->watches, i - 1);
        char *body = sst_events(store, watch->kind, watch->revision);
        if (store->mode == SST_BUSY) {
            sst_end_watch(watch, 503, "{}");
        }
        else if (body != NULL) {
            sst_end_watch(watch, 200, body);
        }
        else if (now_us >= watch->until_us) {
            char *empty = g_strdup_printf(
                "{\"events\":[],\"current_rev\":%" G_GINT64_FORMAT "}",
                store->revision);
            sst_end_watch(watch, 200, empty);
            g_free(empty);
        }
        g_free(body);
    }
}

static void
sst_on_timer(uv_timer_t *timer)
{
    sst_wake(timer->data);
}

static void
sst_object_free(gpointer data)
{
    struct sst_object *object = data;
    g_free(object->key);
    json_decref(object->spec);
    g_free(object);
}

static struct sst_object *
sst_object_new(const char *key, int64_t revision, json_t *spec)
{
    struct sst_object *object = g_new0(struct sst_object, 1);
    object->key = g_strdup(key);
    object->revision = revision;
    object->spec = json_incref(spec);
    return object;
}

static void
sst_change(struct sst *store, const char *key, json_t *spec)
{
    store->revision += 1;
    struct sst_object *object = sst_object_new(key, store->revision, spec);
    if (spec == NULL) {
        g_hash_table_remove(store->objects, key);
    }
    else {
        g_hash_table_replace(store->objects, object->key, object);
        object = sst_object_new(key, store->revision, spec);
    }
    g_queue_push_tail(&store->history, object);
    if (store->history.length > SST_HISTORY_MAX) {
        struct sst_object *oldest = g_queue_pop_head(&store->history);
        store->floor = oldest->revision;
        sst_object_free(oldest);
    }
    sst_wake(store);
}

void
sst_put(struct sst *store, const char *kind, const char *name, json_t *spec)
{
    char *key = g_strdup_printf("%s/%s", kind, name);
    sst_change(store, key, spec);
    g_free(key);
}

void
sst_delete(struct sst *store, const char *kind, const char *name)
{
    char *key = g_strdup_printf("%s/%s", kind, name);
    if (g_hash_table_contains(store->objects, key)) {
        sst_change(store, key, NULL);
    }
    g_free(key);
}

/* A write of a VM. Returns the HTTP status. */
static int
sst_write(struct sst *store, const struct hsv_request *http, const char *key)
{
    json_t *root = json_loadb(http->body, http->body_bytes, 0, NULL);
    json_t *spec = json_object_get(root, "spec");
    bool is_create = strcmp(http->method, "POST") == 0;
    const char *name = json_string_value(
        json_object_get(json_object_get(root, "meta"), "name"));
    char *full =
        is_create ? g_strdup_printf("%s/%s", key, name) : g_strdup(key);
    bool exists = g_hash_table_contains(store->objects, full);
    int status = 200;
    if (strcmp(http->method, "DELETE") == 0) {
        status = exists ? 200 : 404;
        if (exists) {
            sst_change(store, full, NULL);
        }
    }
    else if (is_create == exists) {
        status = is_create ? 409 : 404;
    }
    else {
        sst_change(store, full, spec);
    }
    g_free(full);
    json_decref(root);
    return status;
}

static void
sst_watch(struct sst *store, struct hsv_request *http, const char *kind,
          const char *revision)
{
    int64_t from = g_ascii_strtoll(revision, NULL, 10);
    char *wait = hsv_query_value(http, "wait_ms");
    if (from < store->floor) {
        sst_answer(store, http, 410, "{}");
    }
    else {
        struct sst_watch *watch = g_new0(struct sst_watch, 1);
        watch->store = store;
        watch->http = http;
        watch->kind = g_strdup(kind);
        watch->revision = from;
        watch->until_us =
            sok_now_us() +
            (wait != NULL ? g_ascii_strtoll(wait, NULL, 10) * 1000 : 0);
        http->on_gone = sst_on_watch_gone;
        http->ctx = watch;
        g_ptr_array_add(store->watches, watch);
        sst_wake(store);
    }
    g_free(wait);
}

static void
sst_on_request(struct hsv_request *http, void *ctx)
{
    struct sst *store = ctx;
    if (store->mode == SST_BUSY || !g_str_has_prefix(http->path, SST_PATH)) {
        sst_answer(store, http, 503, "{}");
        return;
    }
    const char *key = http->path + strlen(SST_PATH);
    if (strcmp(http->method, "GET") != 0) {
        int status = sst_write(store, http, key);
        if (store->mode == SST_LOST) {
            /* Done, and the caller never learns of it. */
            return;
        }
        sst_answer(store, http, status, "{}");
        return;
    }
    char *revision = hsv_query_value(http, "watch");
    if (revision != NULL) {
        sst_watch(store, http, key, revision);
    }
    else {
        char *body = sst_list(store, key);
        sst_answer(store, http, 200, body);
        g_free(body);
    }
    g_free(revision);
}

void
sst_set_mode(struct sst *store, enum sst_mode mode)
{
    store->mode = mode;
    sst_wake(store);
}

void
sst_compact(struct sst *store)
{
    while (!g_queue_is_empty(&store->history)) {
        sst_object_free(g_queue_pop_head(&store->history));
    }
    store->revision += 1;
    store->floor = store->revision;
    for (guint i = store->watches->len; i > 0; i--) {
        sst_end_watch(g_ptr_array_index(store->watches, i - 1), 410, "{}");
    }
}

struct sst *
sst_new(struct sok *sok)
{
    struct sst *store = g_new0(struct sst, 1);
    store->sok = sok;
    store->revision = 1;
    store->objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, sst_object_free);
    store->watches = g_ptr_array_new();
    g_queue_init(&store->history);
    char listen[SOK_ADDRESS_BYTES];
    sok_address(sok, SOK_HOST, SOK_STORE_PORT, listen);
    g_assert_cmpint(hsv_open(&sok->loop, listen, 1 << 20, sst_on_request,
                             store, &store->server),
                    ==, 0);
    uv_timer_init(&sok->loop, &store->timer);
    store->timer.data = store;
    uv_timer_start(&store->timer, sst_on_timer, 100, 100);
    return store;
}
