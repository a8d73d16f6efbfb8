#include <string.h>

#include "native/hits.h"

void
hit_append(GByteArray *encoded, int64_t score, const char *id)
{
    g_byte_array_append(encoded, (const guint8 *)&score, sizeof(score));
    g_byte_array_append(encoded, (const guint8 *)id, (guint)strlen(id) + 1);
}

static gint
hit_compare(gconstpointer a, gconstpointer b)
{
    const struct hit *left = a;
    const struct hit *right = b;
    if (left->score != right->score) {
        return left->score > right->score ? -1 : 1;
    }
    return strcmp(left->id, right->id);
}

GArray *
hit_best(const void *encoded, size_t encoded_bytes, size_t limit)
{
    GArray *hits = g_array_new(FALSE, FALSE, sizeof(struct hit));
    const char *pos = encoded;
    size_t remaining_bytes = encoded_bytes;
    while (remaining_bytes > sizeof(int64_t)) {
        struct hit hit;
        memcpy(&hit.score, pos, sizeof(hit.score));
        hit.id = pos + sizeof(hit.score);
        size_t bytes = sizeof(hit.score) + strlen(hit.id) + 1;
        g_array_append_val(hits, hit);
        pos += bytes;
        remaining_bytes -= bytes;
    }
    g_array_sort(hits, hit_compare);
    if (hits->len > limit) {
        g_array_set_size(hits, (guint)limit);
    }
    return hits;
}
