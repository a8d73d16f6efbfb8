#include <glib.h>

#include "standin/runs.h"

struct runs {
    GHashTable *by_id; /* id -> number of executions */
    uint32_t max;      /* highest of these */
};

struct runs *
runs_new(void)
{
    struct runs *runs = g_new0(struct runs, 1);
    runs->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return runs;
}

void
runs_add(struct runs *runs, const char *id)
{
    uint32_t count = runs_count(runs, id) + 1;
    g_hash_table_replace(runs->by_id, g_strdup(id), GUINT_TO_POINTER(count));
    runs->max = MAX(runs->max, count);
}

uint32_t
runs_count(const struct runs *runs, const char *id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(runs->by_id, id));
}

uint32_t
runs_ids(const struct runs *runs)
{
    return g_hash_table_size(runs->by_id);
}

uint32_t
runs_max(const struct runs *runs)
{
    return runs->max;
}
