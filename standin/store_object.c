#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "standin/store_object.h"

struct store_object {
    int64_t version;
    char *text; /* JSON, as sent in responses */
};

struct store_object_kind {
    int64_t version; /* of the last change of any object */
    GTree *objects;  /* name -> struct store_object */
};

struct store_objects {
    GHashTable *kinds; /* name -> struct store_object_kind */
};

static void
store_object_free(gpointer data)
{
    struct store_object *object = data;
    g_free(object->text);
    g_free(object);
}

static void
store_object_kind_free(gpointer data)
{
    struct store_object_kind *kind = data;
    g_tree_destroy(kind->objects);
    g_free(kind);
}

static gint
store_object_compare(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

struct store_objects *
store_objects_new(void)
{
    struct store_objects *store = g_new0(struct store_objects, 1);
    store->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                         store_object_kind_free);
    return store;
}

void
store_objects_free(struct store_objects *store)
{
    g_hash_table_destroy(store->kinds);
    g_free(store);
}

static struct store_object *
store_object_find(const struct store_objects *store, const char *kind,
                  const char *name)
{
    struct store_object_kind *found = g_hash_table_lookup(store->kinds, kind);
    return found == NULL ? NULL : g_tree_lookup(found->objects, name);
}

static struct store_object_kind *
store_object_ensure_kind(struct store_objects *store, const char *name)
{
    struct store_object_kind *kind = g_hash_table_lookup(store->kinds, name);
    if (kind == NULL) {
        kind = g_new0(struct store_object_kind, 1);
        kind->objects = g_tree_new_full(store_object_compare, NULL, g_free,
                                        store_object_free);
        g_hash_table_insert(store->kinds, g_strdup(name), kind);
    }
    return kind;
}

int64_t
store_object_kind_version(const struct store_objects *store, const char *kind)
{
    const struct store_object_kind *found =
        g_hash_table_lookup(store->kinds, kind);
    return found == NULL ? 0 : found->version;
}

int64_t
store_object_version(const struct store_objects *store, const char *kind,
                     const char *name)
{
    const struct store_object *object = store_object_find(store, kind, name);
    return object == NULL ? 0 : object->version;
}

const char *
store_object_get(const struct store_objects *store, const char *kind,
                 const char *name)
{
    const struct store_object *object = store_object_find(store, kind, name);
    return object == NULL ? NULL : object->text;
}

static gboolean
store_object_append(gpointer name, gpointer data, gpointer ctx)
{
    const struct store_object *object = data;
    GString *out = ctx;
    if (out->str[out->len - 1] != '[') {
        g_string_append_c(out, ',');
    }
    g_string_append(out, object->text);
    return FALSE;
}

char *
store_object_list(const struct store_objects *store, const char *kind)
{
    const struct store_object_kind *found =
        g_hash_table_lookup(store->kinds, kind);
    GString *out = g_string_new(NULL);
    g_string_printf(out, "{\"version\":%" PRId64 ",\"items\":[",
                    store_object_kind_version(store, kind));
    if (found != NULL) {
        g_tree_foreach(found->objects, store_object_append, out);
    }
    g_string_append(out, "]}");
    return g_string_free(out, FALSE);
}

static char *
store_object_text(const char *kind, const char *name, int64_t version,
                  const char *value)
{
    json_t *head = json_pack("{s:s, s:s, s:I}", "kind", kind, "name", name,
                             "version", (json_int_t)version);
    char *text = json_dumps(head, JSON_COMPACT);
    json_decref(head);
    text[strlen(text) - 1] = '\0';
    char *whole = g_strdup_printf("%s,\"value\":%s}", text, value);
    free(text);
    return whole;
}

int
store_object_put(struct store_objects *store, const char *kind,
                 const char *name, int64_t version, const json_t *value)
{
    const struct store_object *old = store_object_find(store, kind, name);
    if (version != (old == NULL ? 0 : old->version)) {
        return RC_CONFLICT;
    }
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    if (strlen(text) > STORE_OBJECT_VALUE_MAX_BYTES) {
        free(text);
        return RC_TOO_LARGE;
    }
    struct store_object_kind *owner = store_object_ensure_kind(store, kind);
    struct store_object *object = g_new0(struct store_object, 1);
    owner->version += 1;
    object->version = owner->version;
    object->text = store_object_text(kind, name, object->version, text);
    g_tree_replace(owner->objects, g_strdup(name), object);
    free(text);
    return RC_OK;
}

int
store_object_delete(struct store_objects *store, const char *kind,
                    const char *name, int64_t version)
{
    const struct store_object *object = store_object_find(store, kind, name);
    if (object == NULL) {
        return RC_NOT_FOUND;
    }
    if (version >= 0 && version != object->version) {
        return RC_CONFLICT;
    }
    struct store_object_kind *owner = store_object_ensure_kind(store, kind);
    owner->version += 1;
    g_tree_remove(owner->objects, name);
    return RC_OK;
}
