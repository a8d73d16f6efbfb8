#ifndef CH_COMMON_BUDGET_H
#define CH_COMMON_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Budget of extra load: each first attempt earns `permille` thousandths of a
 * token, each hedge or retry spends one. `max_tokens` bounds a burst after a
 * quiet time.
 */
struct budget {
    uint32_t permille;
    uint32_t max_tokens;
    uint64_t millitokens;
    uint32_t initial_tokens;
    uint64_t earned_count; /* first attempts */
    uint64_t spent_count;  /* extra attempts */
};

void budget_init(struct budget *budget, uint32_t permille,
                 uint32_t max_tokens);

/* As budget_init() with all tokens there at the start. */
void budget_init_full(struct budget *budget, uint32_t permille,
                      uint32_t max_tokens);

/* Changes the largest number of tokens; those above it are lost. */
void budget_set_max(struct budget *budget, uint32_t max_tokens);

/* Notes one first attempt. */
void budget_earn(struct budget *budget);

/* Takes one token. Returns false and changes nothing when there is none. */
bool budget_spend(struct budget *budget);

/*
 * As budget_spend() for an extra send that can be done without: a quarter of
 * `max_tokens`, one at least, stays for those that cannot.
 */
bool budget_spend_spare(struct budget *budget);

#endif
