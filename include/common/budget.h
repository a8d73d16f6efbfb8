#ifndef CH_COMMON_BUDGET_H
#define CH_COMMON_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Token bucket that limits extra load: each first attempt earns `permille`
 * thousandths of a token, each hedge or retry spends one. `max_tokens` bounds
 * a burst after an idle time. The owner of the struct is the only user; it
 * involves no clock.
 */
struct budget {
    uint32_t permille;
    uint32_t max_tokens;
    uint64_t millitokens; /* available now, in thousandths of a token */
    uint32_t initial_tokens;
    uint64_t earned_millitokens; /* by all first attempts */
    uint64_t spent_count;        /* extra attempts */
};

/* Starts with no tokens. */
void budget_init(struct budget *budget, uint32_t permille,
                 uint32_t max_tokens);

/* As budget_init(), but starts with `max_tokens` tokens. */
void budget_init_full(struct budget *budget, uint32_t permille,
                      uint32_t max_tokens);

/* Changes what a first attempt earns from now on, and the largest number of
 * tokens; tokens above it are discarded. */
void budget_set_limits(struct budget *budget, uint32_t permille,
                       uint32_t max_tokens);

/* Adds the share of a token that one first attempt earns. */
void budget_earn(struct budget *budget);

/* Spends one token. Returns false and changes nothing if there is none. */
bool budget_spend(struct budget *budget);

/*
 * As budget_spend(), for an optional extra send: a quarter of `max_tokens`, at
 * least one, is reserved for the necessary ones.
 */
bool budget_spend_optional(struct budget *budget);

#endif
