#include <string.h>

#include "common/rc.h"
#include "ctl/merge.h"

struct merge_state {
    GString *path;
    char *error;
};

static int merge_node(struct merge_state *state, struct tree_node *base,
                      struct tree_node *overlay);

static int
merge_fail(struct merge_state *state, const struct tree_node *node,
           const char *what)
{
    state->error = tree_format_error(node, state->path->str, what);
    return RC_INVALID;
}

/* The name of a list item, or NULL. */
static const char *
merge_name(const struct tree_node *item)
{
    if (item->kind != TREE_MAP) {
        return NULL;
    }
    const struct tree_node *name = tree_get(item, "name");
    return name != NULL && name->kind == TREE_SCALAR ? name->text : NULL;
}

/* Position of the item with this name, or -1. */
static int
merge_find(const struct tree_node *list, const char *name)
{
    for (guint i = 0; i < list->items->len; i++) {
        const char *other = merge_name(g_ptr_array_index(list->items, i));
        if (other != NULL && strcmp(other, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static int
merge_map(struct merge_state *state, struct tree_node *base,
          struct tree_node *overlay)
{
    int rc = RC_OK;
    for (guint i = 0; rc == RC_OK && i < overlay->items->len; i++) {
        const char *key = g_ptr_array_index(overlay->keys, i);
        struct tree_node *value = g_ptr_array_index(overlay->items, i);
        gsize saved_len = state->path->len;
        g_string_append_printf(state->path, "%s%s", saved_len > 0 ? "." : "",
                               key);
        struct tree_node *target = tree_get(base, key);
        if (target == NULL) {
            target = tree_new_empty(value);
            tree_add(base, key, target);
        }
        rc = merge_node(state, target, value);
        g_string_truncate(state->path, saved_len);
    }
    return rc;
}

static int
merge_remove(struct merge_state *state, struct tree_node *base,
             const struct tree_node *item, const char *name)
{
    const struct tree_node *flag = tree_get(item, "remove");
    if (flag->kind != TREE_SCALAR || !flag->is_plain ||
        strcmp(flag->text, "true") != 0) {
        return merge_fail(state, flag, "remove must be true");
    }
    if (item->items->len != 2) {
        return merge_fail(state, item,
                          "an item with remove holds only its name");
    }
    int at = merge_find(base, name);
    if (at < 0) {
        return merge_fail(state, item, "the base has no item of this name");
    }
    g_ptr_array_remove_index(base->items, (guint)at);
    return RC_OK;
}

static int
merge_item(struct merge_state *state, struct tree_node *base,
           struct tree_node *item)
{
    const char *name = merge_name(item);
    if (name == NULL) {
        return merge_fail(state, item, "an item must be a map with a name");
    }
    if (tree_get(item, "remove") != NULL) {
        return merge_remove(state, base, item, name);
    }
    int at = merge_find(base, name);
    if (at < 0) {
        g_ptr_array_add(base->items, tree_new_empty(item));
        at = (int)base->items->len - 1;
    }
    return merge_node(state, g_ptr_array_index(base->items, (guint)at), item);
}

static int
merge_list(struct merge_state *state, struct tree_node *base,
           struct tree_node *overlay)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    int rc = RC_OK;
    for (guint i = 0; rc == RC_OK && i < overlay->items->len; i++) {
        struct tree_node *item = g_ptr_array_index(overlay->items, i);
        const char *name = merge_name(item);
        gsize saved_len = state->path->len;
        g_string_append_printf(state->path, "[%u]", i);
        /* With two items of a name the result would depend on their order. */
        if (name != NULL && !g_hash_table_add(seen, (gpointer)name)) {
            rc = merge_fail(state, item, "name is used twice in this list");
        }
        else {
            rc = merge_item(state, base, item);
        }
        g_string_truncate(state->path, saved_len);
    }
    g_hash_table_destroy(seen);
    return rc;
}

static int
merge_node(struct merge_state *state, struct tree_node *base,
           struct tree_node *overlay)
{
    static const char *const kinds[] = {
        [TREE_SCALAR] = "the base has a scalar here",
        [TREE_MAP] = "the base has a map here",
        [TREE_LIST] = "the base has a list here",
    };
    if (base->kind != overlay->kind) {
        return merge_fail(state, overlay, kinds[base->kind]);
    }
    if (base->kind == TREE_MAP) {
        return merge_map(state, base, overlay);
    }
    /* Errors in a value that the overlay sets name the overlay's line. */
    base->file = overlay->file;
    base->line = overlay->line;
    if (base->kind == TREE_LIST) {
        return merge_list(state, base, overlay);
    }
    g_free(base->text);
    base->text = g_strdup(overlay->text);
    base->is_plain = overlay->is_plain;
    return RC_OK;
}

int
merge_apply(struct tree_node *base, struct tree_node *overlay, char **error)
{
    struct merge_state state = {.path = g_string_new(NULL)};
    int rc = merge_node(&state, base, overlay);
    g_string_free(state.path, TRUE);
    tree_free(overlay);
    *error = state.error;
    return rc;
}
