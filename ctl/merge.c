#include <string.h>

#include "common/rc.h"
#include "ctl/merge.h"

struct mrg_merger {
    GString *path;
    char *error;
};

static int mrg_node(struct mrg_merger *merger, struct tre_node *base,
                    struct tre_node *overlay);

static int
mrg_fail(struct mrg_merger *merger, const struct tre_node *node,
         const char *what)
{
    merger->error = tre_fault(node, merger->path->str, what);
    return RC_INVALID;
}

static const char *
mrg_name(const struct tre_node *item)
{
    if (item->kind != TRE_MAP) {
        return NULL;
    }
    const struct tre_node *name = tre_get(item, "name");
    return name != NULL && name->kind == TRE_SCALAR ? name->text : NULL;
}

/* Position of the item with this name, or -1. */
static int
mrg_find(const struct tre_node *list, const char *name)
{
    for (guint i = 0; i < list->items->len; i++) {
        const char *other = mrg_name(g_ptr_array_index(list->items, i));
        if (other != NULL && strcmp(other, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static int
mrg_map(struct mrg_merger *merger, struct tre_node *base,
        struct tre_node *overlay)
{
    int rc = RC_OK;
    for (guint i = 0; rc == RC_OK && i < overlay->items->len; i++) {
        const char *key = g_ptr_array_index(overlay->keys, i);
        struct tre_node *value = g_ptr_array_index(overlay->items, i);
        gsize back = merger->path->len;
        g_string_append_printf(merger->path, "%s%s", back > 0 ? "." : "", key);
        struct tre_node *target = tre_get(base, key);
        if (target == NULL) {
            target = tre_new_like(value);
            tre_put(base, key, target);
        }
        rc = mrg_node(merger, target, value);
        g_string_truncate(merger->path, back);
    }
    return rc;
}

static int
mrg_remove(struct mrg_merger *merger, struct tre_node *base,
           const struct tre_node *item, const char *name)
{
    const struct tre_node *flag = tre_get(item, "remove");
    if (flag->kind != TRE_SCALAR || !flag->is_plain ||
        strcmp(flag->text, "true") != 0) {
        return mrg_fail(merger, flag, "remove must be true");
    }
    if (item->items->len != 2) {
        return mrg_fail(merger, item,
                        "an item with remove holds only its name");
    }
    int at = mrg_find(base, name);
    if (at < 0) {
        return mrg_fail(merger, item, "the base has no item of this name");
    }
    g_ptr_array_remove_index(base->items, (guint)at);
    return RC_OK;
}

static int
mrg_item(struct mrg_merger *merger, struct tre_node *base,
         struct tre_node *item)
{
    const char *name = mrg_name(item);
    if (name == NULL) {
        return mrg_fail(merger, item, "an item must be a map with a name");
    }
    if (tre_get(item, "remove") != NULL) {
        return mrg_remove(merger, base, item, name);
    }
    int at = mrg_find(base, name);
    if (at < 0) {
        g_ptr_array_add(base->items, tre_new_like(item));
        at = (int)base->items->len - 1;
    }
    return mrg_node(merger, g_ptr_array_index(base->items, (guint)at), item);
}

static int
mrg_list(struct mrg_merger *merger, struct tre_node *base,
         struct tre_node *overlay)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    int rc = RC_OK;
    for (guint i = 0; rc == RC_OK && i < overlay->items->len; i++) {
        struct tre_node *item = g_ptr_array_index(overlay->items, i);
        const char *name = mrg_name(item);
        gsize back = merger->path->len;
        g_string_append_printf(merger->path, "[%u]", i);
        /* The result would depend on the order of the two. */
        if (name != NULL && !g_hash_table_add(seen, (gpointer)name)) {
            rc = mrg_fail(merger, item, "name is used twice in this list");
        }
        else {
            rc = mrg_item(merger, base, item);
        }
        g_string_truncate(merger->path, back);
    }
    g_hash_table_destroy(seen);
    return rc;
}

static int
mrg_node(struct mrg_merger *merger, struct tre_node *base,
         struct tre_node *overlay)
{
    static const char *const kinds[] = {
        [TRE_SCALAR] = "the base has a scalar here",
        [TRE_MAP] = "the base has a map here",
        [TRE_LIST] = "the base has a list here",
    };
    if (base->kind != overlay->kind) {
        return mrg_fail(merger, overlay, kinds[base->kind]);
    }
    if (base->kind == TRE_MAP) {
        return mrg_map(merger, base, overlay);
    }
    /* The overlay is where to correct a value that it changed. */
    base->file = overlay->file;
    base->line = overlay->line;
    if (base->kind == TRE_LIST) {
        return mrg_list(merger, base, overlay);
    }
    g_free(base->text);
    base->text = g_strdup(overlay->text);
    base->is_plain = overlay->is_plain;
    return RC_OK;
}

int
mrg_apply(struct tre_node *base, struct tre_node *overlay, char **error)
{
    struct mrg_merger merger = {.path = g_string_new(NULL)};
    int rc = mrg_node(&merger, base, overlay);
    g_string_free(merger.path, TRUE);
    tre_free(overlay);
    *error = merger.error;
    return rc;
}
