#include <inttypes.h>

#include "common/counter.h"

struct counter {
    char *name;
    char *reason;
    uint64_t value;
};

struct counter_set {
    GHashTable *by_key; /* "name\treason" -> struct counter */
};

static void
counter_free(gpointer data)
{
    struct counter *counter = data;
    g_free(counter->name);
    g_free(counter->reason);
    g_free(counter);
}

struct counter_set *
counter_set_new(void)
{
    struct counter_set *set = g_new0(struct counter_set, 1);
    set->by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, counter_free);
    return set;
}

void
counter_set_free(struct counter_set *set)
{
    if (set == NULL) {
        return;
    }
    g_hash_table_destroy(set->by_key);
    g_free(set);
}

uint64_t *
counter_get(struct counter_set *set, const char *name, const char *reason)
{
    char *key = g_strdup_printf("%s\t%s", name, reason != NULL ? reason : "");
    struct counter *counter = g_hash_table_lookup(set->by_key, key);
    if (counter != NULL) {
        g_free(key);
        return &counter->value;
    }
    counter = g_new0(struct counter, 1);
    counter->name = g_strdup(name);
    counter->reason = g_strdup(reason);
    g_hash_table_insert(set->by_key, key, counter);
    return &counter->value;
}

void
counter_add(struct counter_set *set, const char *name, const char *reason)
{
    *counter_get(set, name, reason) += 1;
}

static gint
counter_compare(gconstpointer a, gconstpointer b)
{
    return g_strcmp0(a, b);
}

void
counter_render(const struct counter_set *set, GString *out)
{
    GList *keys = g_hash_table_get_keys(set->by_key);
    keys = g_list_sort(keys, counter_compare);
    for (GList *item = keys; item != NULL; item = item->next) {
        const struct counter *counter =
            g_hash_table_lookup(set->by_key, item->data);
        g_string_append_printf(out, "carobhatch_%s", counter->name);
        if (counter->reason != NULL) {
            g_string_append_printf(out, "{reason=\"%s\"}", counter->reason);
        }
        g_string_append_printf(out, " %" PRIu64 "\n", counter->value);
    }
    g_list_free(keys);
}
