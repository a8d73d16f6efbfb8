#ifndef CH_STANDIN_HITS_H
#define CH_STANDIN_HITS_H

#include <stddef.h>
#include <stdint.h>

/*
 * The stand-in's hits follow from version, shard and query alone, so that a
 * checker can compute a whole answer: ids are
 * "v<version>-s<shard>-<n>-<query>" and the score is XXH64 of the id modulo
 * STANDIN_HIT_SCORE_RANGE.
 */

#define STANDIN_HIT_PER_SHARD 3
#define STANDIN_HIT_SCORE_RANGE 1000000

struct standin_hit {
    int64_t score;
    char *id;
};

/* Name of one hit; free with g_free. */
char *standin_hit_id(int64_t version, uint32_t shard, uint32_t n,
                     const char *query);

int64_t standin_hit_score(const char *id);

/* Fills `hits` with the shard's hits, highest score first; free each id. */
void standin_hit_shard(int64_t version, uint32_t shard, const char *query,
                       struct standin_hit hits[STANDIN_HIT_PER_SHARD]);

void standin_hit_clear(struct standin_hit *hits, size_t count);

#endif
