#ifndef CH_STANDIN_ANSWER_H
#define CH_STANDIN_ANSWER_H

#include <stddef.h>
#include <stdint.h>

/*
 * The stand-in's hits follow from version, shard and query alone, so that a
 * checker can compute a whole answer: ids are
 * "v<version>-s<shard>-<n>-<query>" and the score is XXH64 of the id modulo
 * ANS_SCORE_RANGE.
 */

#define ANS_HITS_PER_SHARD 3
#define ANS_SCORE_RANGE 1000000

struct ans_hit {
    int64_t score;
    char *id;
};

/* Name of one hit; free with g_free. */
char *ans_id(int64_t version, uint32_t shard, uint32_t n, const char *query);

int64_t ans_score(const char *id);

/* Fills `hits` with the shard's hits, highest score first; free each id. */
void ans_hits(int64_t version, uint32_t shard, const char *query,
              struct ans_hit hits[ANS_HITS_PER_SHARD]);

void ans_hits_clear(struct ans_hit *hits, size_t count);

#endif
