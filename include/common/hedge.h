#ifndef CH_COMMON_HEDGE_H
#define CH_COMMON_HEDGE_H

#include <stdint.h>

#include "common/histogram.h"

/*
 * Computes the delay after which a part of a request is sent to a second
 * replica, from a percentile of the latencies measured on its route. The owner
 * of the struct is the only user; times are durations in microseconds.
 */
struct hedge {
    struct histogram histogram; /* latency of parts */
    uint32_t permille;          /* the delay is this percentile, in 1/1000 */
    int64_t delay_us;           /* 0: too few samples */
    uint32_t new_samples;       /* since `delay_us` was computed */
};

/* With fewer samples the delay is a fixed share of the part's time budget. */
#define HEDGE_MIN_SAMPLES 50

/* `budget_permille` is the share of extra sends that is allowed. */
void hedge_init(struct hedge *hedge, uint32_t budget_permille);

/* Changes the allowed share of extra sends. The delay follows when it is
 * computed again, after some samples. */
void hedge_set_budget(struct hedge *hedge, uint32_t budget_permille);

/*
 * Adds the latency of a first attempt. A cancelled attempt counts with the
 * time until it was cancelled: leaving it out would lower the delay with each
 * hedge.
 */
void hedge_add_sample(struct hedge *hedge, int64_t latency_us);

/* Returns the delay after which a part is hedged; `budget_us` is the time that
 * the part may take in all. */
int64_t hedge_delay_us(const struct hedge *hedge, int64_t budget_us);

#endif
