#include "common/hedge.h"

/* Bounds of the percentile: a delay below p90 wastes the budget, one above
 * p98.5 waits for the stragglers themselves (1 request in 100). */
#define HEDGE_MIN_PERMILLE 900
#define HEDGE_MAX_PERMILLE 985
/* Share of the budget that the percentile is chosen to use. If hedges used all
 * of it, there would often be no token left when a straggler occurs. */
#define HEDGE_BUDGET_USED_PERMILLE 750
/* The delay is computed again after this many samples. */
#define HEDGE_RECOMPUTE_SAMPLES 32
/* With this many samples all counts are halved, so that old ones lose weight.
 */
#define HEDGE_DECAY_TOTAL 4096
/* With too few samples the delay is the part's time budget divided by this. */
#define HEDGE_DEFAULT_DIVISOR 4
#define HEDGE_DELAY_MIN_US 500

void
hedge_set_budget(struct hedge *hedge, uint32_t budget_permille)
{
    uint32_t used = budget_permille * HEDGE_BUDGET_USED_PERMILLE / 1000;
    uint32_t permille = used < 1000 ? 1000 - used : 0;
    if (permille < HEDGE_MIN_PERMILLE) {
        permille = HEDGE_MIN_PERMILLE;
    }
    if (permille > HEDGE_MAX_PERMILLE) {
        permille = HEDGE_MAX_PERMILLE;
    }
    hedge->permille = permille;
}

void
hedge_init(struct hedge *hedge, uint32_t budget_permille)
{
    histogram_reset(&hedge->histogram);
    hedge_set_budget(hedge, budget_permille);
    hedge->delay_us = 0;
    hedge->new_samples = 0;
}

void
hedge_add_sample(struct hedge *hedge, int64_t latency_us)
{
    histogram_add(&hedge->histogram, latency_us);
    hedge->new_samples += 1;
    if (hedge->histogram.total < HEDGE_MIN_SAMPLES ||
        (hedge->delay_us > 0 &&
         hedge->new_samples < HEDGE_RECOMPUTE_SAMPLES)) {
        return;
    }
    hedge->new_samples = 0;
    hedge->delay_us = histogram_value_at(&hedge->histogram, hedge->permille);
    if (hedge->delay_us < HEDGE_DELAY_MIN_US) {
        hedge->delay_us = HEDGE_DELAY_MIN_US;
    }
    if (hedge->histogram.total >= HEDGE_DECAY_TOTAL) {
        histogram_decay(&hedge->histogram);
    }
}

int64_t
hedge_delay_us(const struct hedge *hedge, int64_t budget_us)
{
    return hedge->delay_us > 0 ? hedge->delay_us
                               : budget_us / HEDGE_DEFAULT_DIVISOR;
}
