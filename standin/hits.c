#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "standin/hits.h"

char *
standin_hit_id(int64_t version, uint32_t shard, uint32_t n, const char *query)
{
    return g_strdup_printf("v%" PRId64 "-s%u-%u-%s", version, shard, n, query);
}

int64_t
standin_hit_score(const char *id)
{
    return (int64_t)(XXH64(id, strlen(id), 0) % STANDIN_HIT_SCORE_RANGE);
}

static int
standin_hit_compare(const void *a, const void *b)
{
    const struct standin_hit *left = a;
    const struct standin_hit *right = b;
    if (left->score != right->score) {
        return left->score > right->score ? -1 : 1;
    }
    return strcmp(left->id, right->id);
}

void
standin_hit_shard(int64_t version, uint32_t shard, const char *query,
                  struct standin_hit hits[STANDIN_HIT_PER_SHARD])
{
    for (uint32_t n = 0; n < STANDIN_HIT_PER_SHARD; n++) {
        hits[n].id = standin_hit_id(version, shard, n, query);
        hits[n].score = standin_hit_score(hits[n].id);
    }
    qsort(hits, STANDIN_HIT_PER_SHARD, sizeof(hits[0]), standin_hit_compare);
}

void
standin_hit_clear(struct standin_hit *hits, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_free(hits[i].id);
    }
}
