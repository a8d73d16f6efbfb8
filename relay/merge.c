#include <string.h>

#include "relay/merge.h"

static void
mrg_hit_clear(gpointer data)
{
    struct msg_hit *hit = data;
    g_free((char *)hit->id);
}

void
mrg_init(struct mrg *merge, uint32_t limit)
{
    merge->limit = limit;
    merge->hits = g_array_new(FALSE, FALSE, sizeof(struct msg_hit));
    g_array_set_clear_func(merge->hits, mrg_hit_clear);
}

void
mrg_clear(struct mrg *merge)
{
    g_array_free(merge->hits, TRUE);
    merge->hits = NULL;
}

static gint
mrg_compare(gconstpointer a, gconstpointer b)
{
    const struct msg_hit *left = a;
    const struct msg_hit *right = b;
    if (left->score != right->score) {
        return left->score > right->score ? -1 : 1;
    }
    return strcmp(left->id, right->id);
}

void
mrg_finish(struct mrg *merge)
{
    g_array_sort(merge->hits, mrg_compare);
    if (merge->hits->len > merge->limit) {
        g_array_set_size(merge->hits, merge->limit);
    }
}

void
mrg_add(struct mrg *merge, const struct msg_hit *hits, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct msg_hit hit = {
            .score = hits[i].score,
            .id = g_strdup(hits[i].id),
        };
        g_array_append_val(merge->hits, hit);
    }
    /* Bounds the memory of a query over many shards. */
    if (merge->hits->len > 4 * merge->limit) {
        mrg_finish(merge);
    }
}
