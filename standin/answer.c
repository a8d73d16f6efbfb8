#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "standin/answer.h"

char *
ans_id(int64_t version, uint32_t shard, uint32_t n, const char *query)
{
    return g_strdup_printf("v%" PRId64 "-s%u-%u-%s", version, shard, n, query);
}

int64_t
ans_score(const char *id)
{
    return (int64_t)(XXH64(id, strlen(id), 0) % ANS_SCORE_RANGE);
}

static int
ans_compare(const void *a, const void *b)
{
    const struct ans_hit *left = a;
    const struct ans_hit *right = b;
    if (left->score != right->score) {
        return left->score > right->score ? -1 : 1;
    }
    return strcmp(left->id, right->id);
}

void
ans_hits(int64_t version, uint32_t shard, const char *query,
         struct ans_hit hits[ANS_HITS_PER_SHARD])
{
    for (uint32_t n = 0; n < ANS_HITS_PER_SHARD; n++) {
        hits[n].id = ans_id(version, shard, n, query);
        hits[n].score = ans_score(hits[n].id);
    }
    qsort(hits, ANS_HITS_PER_SHARD, sizeof(hits[0]), ans_compare);
}

void
ans_hits_clear(struct ans_hit *hits, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_free(hits[i].id);
    }
}
