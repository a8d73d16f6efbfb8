#ifndef CH_COMMON_BUDGET_H
#define CH_COMMON_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Budget of extra load: each first attempt earns `permille` thousandths of a
 * token, each hedge or retry spends one. `max_tokens` bounds a burst after a
 * quiet time.
 */
struct bgt {
    uint32_t permille;
    uint32_t max_tokens;
    uint64_t millitokens;
    uint32_t initial_tokens;
    uint64_t earned_count; /* first attempts */
    uint64_t spent_count;  /* extra attempts */
};

void bgt_init(struct bgt *budget, uint32_t permille, uint32_t max_tokens);

/* As bgt_init() with all tokens there at the start. */
void bgt_init_full(struct bgt *budget, uint32_t permille, uint32_t max_tokens);

/* Changes the largest number of tokens; those above it are lost. */
void bgt_set_max(struct bgt *budget, uint32_t max_tokens);

/* Notes one first attempt. */
void bgt_earn(struct bgt *budget);

/* Takes one token. Returns false and changes nothing when there is none. */
bool bgt_spend(struct bgt *budget);

/*
 * As bgt_spend() for an extra send that can be done without: a quarter of
 * `max_tokens`, one at least, stays for those that cannot.
 */
bool bgt_spend_spare(struct bgt *budget);

#endif
