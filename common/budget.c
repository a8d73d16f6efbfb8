#include <glib.h>

#include "common/budget.h"
#include "common/invariant.h"

#define BUDGET_MILLI 1000U
/* Optional sends leave a reserve: `max_tokens` divided by this. */
#define BUDGET_RESERVE_DIVISOR 4

void
budget_init(struct budget *budget, uint32_t permille, uint32_t max_tokens)
{
    *budget = (struct budget){
        .permille = permille,
        .max_tokens = max_tokens,
    };
}

void
budget_init_full(struct budget *budget, uint32_t permille, uint32_t max_tokens)
{
    budget_init(budget, permille, max_tokens);
    budget->initial_tokens = max_tokens;
    budget->millitokens = (uint64_t)max_tokens * BUDGET_MILLI;
}

void
budget_set_limits(struct budget *budget, uint32_t permille,
                  uint32_t max_tokens)
{
    budget->permille = permille;
    budget->max_tokens = max_tokens;
    budget->millitokens =
        MIN(budget->millitokens, (uint64_t)max_tokens * BUDGET_MILLI);
}

void
budget_earn(struct budget *budget)
{
    uint64_t max = (uint64_t)budget->max_tokens * BUDGET_MILLI;
    budget->earned_millitokens += budget->permille;
    budget->millitokens += budget->permille;
    if (budget->millitokens > max) {
        budget->millitokens = max;
    }
}

bool
budget_spend(struct budget *budget)
{
    if (budget->millitokens < BUDGET_MILLI) {
        return false;
    }
    budget->millitokens -= BUDGET_MILLI;
    budget->spent_count += 1;
    /* Extra attempts never exceed their share of the first attempts. */
    CH_INVARIANT(budget->spent_count * BUDGET_MILLI <=
                 budget->earned_millitokens +
                     (uint64_t)budget->initial_tokens * BUDGET_MILLI);
    return true;
}

bool
budget_spend_optional(struct budget *budget)
{
    uint32_t reserved = MAX(budget->max_tokens / BUDGET_RESERVE_DIVISOR, 1);
    return budget->millitokens >= (uint64_t)(reserved + 1) * BUDGET_MILLI &&
           budget_spend(budget);
}
