#include <errno.h>
#include <string.h>

#include "ctl/tree.h"

struct tree_node *
tree_new(enum tree_kind kind, const char *file, int line)
{
    struct tree_node *node = g_new0(struct tree_node, 1);
    node->kind = kind;
    node->file = file;
    node->line = line;
    if (kind == TREE_MAP) {
        node->keys = g_ptr_array_new_with_free_func(g_free);
    }
    if (kind != TREE_SCALAR) {
        node->items =
            g_ptr_array_new_with_free_func((GDestroyNotify)tree_free);
    }
    return node;
}

struct tree_node *
tree_new_empty(const struct tree_node *node)
{
    return tree_new(node->kind, node->file, node->line);
}

void
tree_free(struct tree_node *node)
{
    if (node == NULL) {
        return;
    }
    if (node->keys != NULL) {
        g_ptr_array_free(node->keys, TRUE);
    }
    if (node->items != NULL) {
        g_ptr_array_free(node->items, TRUE);
    }
    g_free(node->text);
    g_free(node);
}

struct tree_node *
tree_get(const struct tree_node *map, const char *key)
{
    for (guint i = 0; i < map->keys->len; i++) {
        if (strcmp(g_ptr_array_index(map->keys, i), key) == 0) {
            return g_ptr_array_index(map->items, i);
        }
    }
    return NULL;
}

void
tree_add(struct tree_node *map, const char *key, struct tree_node *value)
{
    g_ptr_array_add(map->keys, g_strdup(key));
    g_ptr_array_add(map->items, value);
}

char *
tree_format_error(const struct tree_node *node, const char *path,
                  const char *what)
{
    return g_strdup_printf("%s:%d: %s: %s", node->file, node->line,
                           path[0] != '\0' ? path : "document", what);
}

/* Accepts integers in JSON notation only; 010 and 1_000 remain strings. */
static bool
tree_is_number(const char *text, int64_t *out)
{
    const char *digits = text[0] == '-' ? text + 1 : text;
    size_t length = strlen(digits);
    if (length == 0 || strspn(digits, "0123456789") != length ||
        (digits[0] == '0' && length > 1)) {
        return false;
    }
    errno = 0;
    *out = g_ascii_strtoll(text, NULL, 10);
    return errno == 0;
}

static json_t *
tree_scalar_to_json(const struct tree_node *node)
{
    int64_t number = 0;
    if (!node->is_plain) {
        return json_string(node->text);
    }
    if (tree_is_number(node->text, &number)) {
        return json_integer(number);
    }
    if (strcmp(node->text, "true") == 0 || strcmp(node->text, "false") == 0) {
        return json_boolean(node->text[0] == 't');
    }
    if (strcmp(node->text, "") == 0 || strcmp(node->text, "~") == 0 ||
        strcmp(node->text, "null") == 0) {
        return json_null();
    }
    return json_string(node->text);
}

static json_t *
tree_convert(const struct tree_node *node, GString *path,
             GHashTable *locations)
{
    g_hash_table_insert(locations, g_strdup(path->str),
                        g_strdup_printf("%s:%d", node->file, node->line));
    if (node->kind == TREE_SCALAR) {
        return tree_scalar_to_json(node);
    }
    bool is_map = node->kind == TREE_MAP;
    json_t *json = is_map ? json_object() : json_array();
    for (guint i = 0; i < node->items->len; i++) {
        const char *key = is_map ? g_ptr_array_index(node->keys, i) : NULL;
        gsize saved_len = path->len;
        if (is_map) {
            g_string_append_printf(path, "%s%s", saved_len > 0 ? "." : "",
                                   key);
        }
        else {
            g_string_append_printf(path, "[%u]", i);
        }
        json_t *value =
            tree_convert(g_ptr_array_index(node->items, i), path, locations);
        if (is_map) {
            json_object_set_new(json, key, value);
        }
        else {
            json_array_append_new(json, value);
        }
        g_string_truncate(path, saved_len);
    }
    return json;
}

json_t *
tree_to_json(const struct tree_node *node, GHashTable *locations)
{
    GString *path = g_string_new(NULL);
    json_t *json = tree_convert(node, path, locations);
    g_string_free(path, TRUE);
    return json;
}
