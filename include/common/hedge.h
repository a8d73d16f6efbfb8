#ifndef CH_COMMON_HEDGE_H
#define CH_COMMON_HEDGE_H

#include <stdint.h>

#include "common/histogram.h"

/* After which time a part of a route is sent to a second replica. */
struct hedge {
    struct histogram histogram; /* latency of first attempts */
    uint32_t permille;          /* percentile that starts a hedge */
    int64_t delay_us;           /* 0: unknown */
    uint32_t new_samples;       /* samples since it was computed */
};

/* Without this many samples the delay is a share of the part's budget. */
#define HEDGE_MIN_SAMPLES 50

/* `budget_permille` is the extra load that hedges may cause. */
void hedge_init(struct hedge *hedge, uint32_t budget_permille);

/*
 * Notes how long a first attempt took. A cancelled one counts with the time
 * until then: leaving it out would lower the delay with each hedge.
 */
void hedge_add_sample(struct hedge *hedge, int64_t latency_us);

/* Delay after which a part with this budget (us) is hedged. */
int64_t hedge_delay_us(const struct hedge *hedge, int64_t budget_us);

#endif
