#ifndef CH_STANDIN_HITS_H
#define CH_STANDIN_HITS_H

#include <stddef.h>
#include <stdint.h>

/*
 * The stand-in's hits follow from version, shard and query alone, so that a
 * checker can compute a whole answer: ids are
 * "v<version>-s<shard>-<n>-<query>" and the score is XXH64 of the id modulo
 * SIH_SCORE_RANGE.
 */

#define SIH_PER_SHARD 3
#define SIH_SCORE_RANGE 1000000

struct sih_hit {
    int64_t score;
    char *id;
};

/* Name of one hit; free with g_free. */
char *sih_id(int64_t version, uint32_t shard, uint32_t n, const char *query);

int64_t sih_score(const char *id);

/* Fills `hits` with the shard's hits, highest score first; free each id. */
void sih_shard(int64_t version, uint32_t shard, const char *query,
               struct sih_hit hits[SIH_PER_SHARD]);

void sih_clear(struct sih_hit *hits, size_t count);

#endif
