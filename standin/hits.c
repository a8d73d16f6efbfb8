#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "standin/hits.h"

char *
sih_id(int64_t version, uint32_t shard, uint32_t n, const char *query)
{
    return g_strdup_printf("v%" PRId64 "-s%u-%u-%s", version, shard, n, query);
}

int64_t
sih_score(const char *id)
{
    return (int64_t)(XXH64(id, strlen(id), 0) % SIH_SCORE_RANGE);
}

static int
sih_compare(const void *a, const void *b)
{
    const struct sih_hit *left = a;
    const struct sih_hit *right = b;
    if (left->score != right->score) {
        return left->score > right->score ? -1 : 1;
    }
    return strcmp(left->id, right->id);
}

void
sih_shard(int64_t version, uint32_t shard, const char *query,
          struct sih_hit hits[SIH_PER_SHARD])
{
    for (uint32_t n = 0; n < SIH_PER_SHARD; n++) {
        hits[n].id = sih_id(version, shard, n, query);
        hits[n].score = sih_score(hits[n].id);
    }
    qsort(hits, SIH_PER_SHARD, sizeof(hits[0]), sih_compare);
}

void
sih_clear(struct sih_hit *hits, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_free(hits[i].id);
    }
}
