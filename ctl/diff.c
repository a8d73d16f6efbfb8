#include <stdlib.h>
#include <string.h>

#include "common/config_schema.h"
#include "ctl/diff.h"

static void
dif_change_free(gpointer data)
{
    struct dif_change *change = data;
    g_free(change->path);
    g_free(change->from);
    g_free(change->to);
    g_free(change);
}

static gint
dif_order(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

static struct dif_change *
dif_at(GTree *values, const char *path)
{
    struct dif_change *change = g_tree_lookup(values, path);
    if (change == NULL) {
        change = g_new0(struct dif_change, 1);
        change->path = g_strdup(path);
        g_tree_insert(values, change->path, change);
    }
    return change;
}

static void
dif_add(GTree *values, const char *path, const json_t *value, bool is_to)
{
    struct dif_change *change = dif_at(values, path);
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    *(is_to ? &change->to : &change->from) = g_strdup(text);
    free(text);
}

static void dif_collect(GTree *values, GString *path, const json_t *value,
                        bool is_to);

static void
dif_collect_map(GTree *values, GString *path, const json_t *map, bool is_to)
{
    const char *key = NULL;
    json_t *member = NULL;
    bool is_item = g_str_has_suffix(path->str, "]");
    json_object_foreach((json_t *)map, key, member)
    {
        /* The name of an item is part of its path. */
        if (is_item && strcmp(key, "name") == 0) {
            continue;
        }
        gsize back = path->len;
        g_string_append_printf(path, "%s%s", back > 0 ? "." : "", key);
        dif_collect(values, path, member, is_to);
        g_string_truncate(path, back);
    }
}

static void
dif_collect(GTree *values, GString *path, const json_t *value, bool is_to)
{
    if (json_is_object(value)) {
        dif_collect_map(values, path, value, is_to);
        return;
    }
    if (!json_is_array(value)) {
        dif_add(values, path->str, value, is_to);
        return;
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        const json_t *item = json_array_get(value, i);
        const char *name = json_string_value(json_object_get(item, "name"));
        gsize back = path->len;
        g_string_append_printf(path, "[%s]", name != NULL ? name : "?");
        dif_collect(values, path, item, is_to);
        g_string_truncate(path, back);
    }
}

static void
dif_collect_document(GTree *values, const json_t *document, bool is_to)
{
    if (document == NULL) {
        return;
    }
    json_t *whole = json_deep_copy(document);
    json_object_del(whole, "revision");
    cfg_set_defaults(whole);
    GString *path = g_string_new(NULL);
    dif_collect(values, path, whole, is_to);
    g_string_free(path, TRUE);
    json_decref(whole);
}

static gboolean
dif_keep(gpointer key, gpointer value, gpointer data)
{
    struct dif_change *change = value;
    if (g_strcmp0(change->from, change->to) == 0) {
        dif_change_free(change);
    }
    else {
        g_ptr_array_add(data, change);
    }
    return FALSE;
}

GPtrArray *
dif_compare(const json_t *from, const json_t *to)
{
    GTree *values = g_tree_new_full(dif_order, NULL, NULL, NULL);
    dif_collect_document(values, from, false);
    dif_collect_document(values, to, true);
    GPtrArray *changes = g_ptr_array_new_with_free_func(dif_change_free);
    g_tree_foreach(values, dif_keep, changes);
    g_tree_destroy(values);
    return changes;
}

char *
dif_line(const struct dif_change *change)
{
    if (change->from == NULL) {
        return g_strdup_printf("+ %s: %s", change->path, change->to);
    }
    if (change->to == NULL) {
        return g_strdup_printf("- %s: %s", change->path, change->from);
    }
    return g_strdup_printf("~ %s: %s -> %s", change->path, change->from,
                           change->to);
}

static void
dif_set(json_t *object, const char *key, const char *text)
{
    if (text != NULL) {
        json_object_set_new(object, key,
                            json_loads(text, JSON_DECODE_ANY, NULL));
    }
}

json_t *
dif_to_json(const GPtrArray *changes)
{
    json_t *list = json_array();
    for (guint i = 0; i < changes->len; i++) {
        const struct dif_change *change = g_ptr_array_index(changes, i);
        json_t *object = json_pack("{s:s}", "path", change->path);
        dif_set(object, "from", change->from);
        dif_set(object, "to", change->to);
        json_array_append_new(list, object);
    }
    return list;
}

typedef bool (*dif_searcher_cb)(const char *address, char *owner, char *path,
                                void *ctx);

/* Calls back with each address until that returns true; the callback gets the
 * strings. */
static bool
dif_each_searcher(const json_t *document, dif_searcher_cb call, void *ctx)
{
    const json_t *services = json_object_get(document, "services");
    for (size_t i = 0; i < json_array_size(services); i++) {
        const json_t *service = json_array_get(services, i);
        const json_t *instances = json_object_get(service, "instances");
        for (size_t j = 0; j < json_array_size(instances); j++) {
            const json_t *instance = json_array_get(instances, j);
            const json_t *searchers = json_object_get(instance, "searchers");
            for (size_t k = 0; k < json_array_size(searchers); k++) {
                const char *address = json_string_value(
                    json_object_get(json_array_get(searchers, k), "address"));
                char *owner = g_strdup_printf(
                    "%s.%s",
                    json_string_value(json_object_get(service, "name")),
                    json_string_value(json_object_get(instance, "name")));
                char *path = g_strdup_printf("services[%zu].instances[%zu]."
                                             "searchers[%zu].address",
                                             i, j, k);
                if (call(address != NULL ? address : "", owner, path, ctx)) {
                    return true;
                }
            }
        }
    }
    return false;
}

static bool
dif_note_owner(const char *address, char *owner, char *path, void *ctx)
{
    g_hash_table_insert(ctx, (gpointer)address, owner);
    g_free(path);
    return false;
}

struct dif_search {
    GHashTable *owners;
    struct dif_move *move;
};

static bool
dif_compare_owner(const char *address, char *owner, char *path, void *ctx)
{
    struct dif_search *search = ctx;
    const char *before = g_hash_table_lookup(search->owners, address);
    if (before == NULL || strcmp(before, owner) == 0) {
        g_free(owner);
        g_free(path);
        return false;
    }
    *search->move = (struct dif_move){
        .path = path,
        .address = g_strdup(address),
        .from = g_strdup(before),
        .to = owner,
    };
    return true;
}

bool
dif_find_move(const json_t *from, const json_t *to, struct dif_move *out)
{
    struct dif_search search = {
        .owners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free),
        .move = out,
    };
    dif_each_searcher(from, dif_note_owner, search.owners);
    bool is_found = dif_each_searcher(to, dif_compare_owner, &search);
    g_hash_table_destroy(search.owners);
    return is_found;
}

void
dif_move_clear(struct dif_move *move)
{
    g_free(move->path);
    g_free(move->address);
    g_free(move->from);
    g_free(move->to);
}
