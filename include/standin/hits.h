#ifndef CH_STANDIN_HITS_H
#define CH_STANDIN_HITS_H

#include <stddef.h>
#include <stdint.h>

/*
 * The hits that a searcher returns. They are a function of version, shard and
 * query only, so that the load tool can compute the expected result of any
 * search: the id is "v<version>-s<shard>-<n>-<query>" and the score is XXH64
 * of the id modulo STANDIN_HIT_SCORE_RANGE.
 */

#define STANDIN_HIT_PER_SHARD 3
#define STANDIN_HIT_SCORE_RANGE 1000000

struct standin_hit {
    int64_t score;
    char *id;
};

/* Id of the shard's hit number `n`; free with g_free. */
char *standin_hit_id(int64_t version, uint32_t shard, uint32_t n,
                     const char *query);

int64_t standin_hit_score(const char *id);

/*
 * Fills `hits` with the shard's hits, highest score first, equal scores by id.
 * Release with standin_hit_clear().
 */
void standin_hit_shard(int64_t version, uint32_t shard, const char *query,
                       struct standin_hit hits[STANDIN_HIT_PER_SHARD]);

/* Frees the ids. */
void standin_hit_clear(struct standin_hit *hits, size_t count);

#endif
