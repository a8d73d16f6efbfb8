#include <glib.h>

#include "common/budget.h"
#include "common/invariant.h"

#define BGT_MILLI 1000U
/* Spare sends leave this share of the largest number of tokens: 1 of 4. */
#define BGT_KEPT_DIVISOR 4

void
bgt_init(struct bgt *budget, uint32_t permille, uint32_t max_tokens)
{
    *budget = (struct bgt){
        .permille = permille,
        .max_tokens = max_tokens,
    };
}

void
bgt_init_full(struct bgt *budget, uint32_t permille, uint32_t max_tokens)
{
    bgt_init(budget, permille, max_tokens);
    budget->initial_tokens = max_tokens;
    budget->millitokens = (uint64_t)max_tokens * BGT_MILLI;
}

void
bgt_set_max(struct bgt *budget, uint32_t max_tokens)
{
    budget->max_tokens = max_tokens;
    budget->millitokens =
        MIN(budget->millitokens, (uint64_t)max_tokens * BGT_MILLI);
}

void
bgt_earn(struct bgt *budget)
{
    uint64_t max = (uint64_t)budget->max_tokens * BGT_MILLI;
    budget->earned_count += 1;
    budget->millitokens += budget->permille;
    if (budget->millitokens > max) {
        budget->millitokens = max;
    }
}

bool
bgt_spend(struct bgt *budget)
{
    if (budget->millitokens < BGT_MILLI) {
        return false;
    }
    budget->millitokens -= BGT_MILLI;
    budget->spent_count += 1;
    /* Extra load never exceeds its share of the first attempts. */
    CH_INVARIANT(budget->spent_count * BGT_MILLI <=
                 budget->earned_count * budget->permille +
                     (uint64_t)budget->initial_tokens * BGT_MILLI);
    return true;
}

bool
bgt_spend_spare(struct bgt *budget)
{
    uint32_t kept = MAX(budget->max_tokens / BGT_KEPT_DIVISOR, 1);
    return budget->millitokens >= (uint64_t)(kept + 1) * BGT_MILLI &&
           bgt_spend(budget);
}
