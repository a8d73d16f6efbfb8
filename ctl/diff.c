#include <stdlib.h>
#include <string.h>

#include "common/config_schema.h"
#include "ctl/diff.h"

static void
diff_change_free(gpointer data)
{
    struct diff_change *change = data;
    g_free(change->path);
    g_free(change->from);
    g_free(change->to);
    g_free(change);
}

static gint
diff_order(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

/* The entry of `values` for a path, added when there is none. */
static struct diff_change *
diff_get_or_add(GTree *values, const char *path)
{
    struct diff_change *change = g_tree_lookup(values, path);
    if (change == NULL) {
        change = g_new0(struct diff_change, 1);
        change->path = g_strdup(path);
        g_tree_insert(values, change->path, change);
    }
    return change;
}

static void
diff_add(GTree *values, const char *path, const json_t *value, bool is_new)
{
    struct diff_change *change = diff_get_or_add(values, path);
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    *(is_new ? &change->to : &change->from) = g_strdup(text);
    free(text);
}

/* Adds the scalars below `value` to `values`, by path, as new or old values.
 */
static void diff_collect(GTree *values, GString *path, const json_t *value,
                         bool is_new);

static void
diff_collect_map(GTree *values, GString *path, const json_t *map, bool is_new)
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
        gsize saved_len = path->len;
        g_string_append_printf(path, "%s%s", saved_len > 0 ? "." : "", key);
        diff_collect(values, path, member, is_new);
        g_string_truncate(path, saved_len);
    }
}

static void
diff_collect(GTree *values, GString *path, const json_t *value, bool is_new)
{
    if (json_is_object(value)) {
        diff_collect_map(values, path, value, is_new);
        return;
    }
    if (!json_is_array(value)) {
        diff_add(values, path->str, value, is_new);
        return;
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        const json_t *item = json_array_get(value, i);
        const char *name = json_string_value(json_object_get(item, "name"));
        gsize saved_len = path->len;
        g_string_append_printf(path, "[%s]", name != NULL ? name : "?");
        diff_collect(values, path, item, is_new);
        g_string_truncate(path, saved_len);
    }
}

static void
diff_collect_document(GTree *values, const json_t *document, bool is_new)
{
    if (document == NULL) {
        return;
    }
    json_t *with_defaults = json_deep_copy(document);
    json_object_del(with_defaults, "revision");
    config_set_defaults(with_defaults);
    GString *path = g_string_new(NULL);
    diff_collect(values, path, with_defaults, is_new);
    g_string_free(path, TRUE);
    json_decref(with_defaults);
}

/* Moves a change to the result, or frees it if both values are equal. */
static gboolean
diff_add_if_changed(gpointer key, gpointer value, gpointer data)
{
    struct diff_change *change = value;
    if (g_strcmp0(change->from, change->to) == 0) {
        diff_change_free(change);
    }
    else {
        g_ptr_array_add(data, change);
    }
    return FALSE;
}

GPtrArray *
diff_compare(const json_t *from, const json_t *to)
{
    GTree *values = g_tree_new_full(diff_order, NULL, NULL, NULL);
    diff_collect_document(values, from, false);
    diff_collect_document(values, to, true);
    GPtrArray *changes = g_ptr_array_new_with_free_func(diff_change_free);
    g_tree_foreach(values, diff_add_if_changed, changes);
    g_tree_destroy(values);
    return changes;
}

char *
diff_format(const struct diff_change *change)
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
diff_set(json_t *object, const char *key, const char *text)
{
    if (text != NULL) {
        json_object_set_new(object, key,
                            json_loads(text, JSON_DECODE_ANY, NULL));
    }
}

json_t *
diff_to_json(const GPtrArray *changes)
{
    json_t *list = json_array();
    for (guint i = 0; i < changes->len; i++) {
        const struct diff_change *change = g_ptr_array_index(changes, i);
        json_t *object = json_pack("{s:s}", "path", change->path);
        diff_set(object, "from", change->from);
        diff_set(object, "to", change->to);
        json_array_append_new(list, object);
    }
    return list;
}
