#ifndef CH_COMMON_HEDGE_H
#define CH_COMMON_HEDGE_H

#include <stdint.h>

#include "common/histogram.h"

/* After which time a part of a route is sent to a second replica. */
struct hdg {
    struct hst hist;   /* latency of first attempts */
    uint32_t permille; /* percentile that starts a hedge */
    int64_t delay_us;  /* 0: unknown */
    uint32_t noted;    /* samples since it was computed */
};

/* Without this many samples the delay is a share of the part's budget. */
#define HDG_MIN_SAMPLES 50

/* `budget_permille` is the extra load that hedges may cause. */
void hdg_init(struct hdg *hedge, uint32_t budget_permille);

/*
 * Notes how long a first attempt took. A cancelled one counts with the time
 * until then: leaving it out would lower the delay with each hedge.
 */
void hdg_note(struct hdg *hedge, int64_t latency_us);

/* Delay after which a part with this budget (us) is hedged. */
int64_t hdg_delay_us(const struct hdg *hedge, int64_t budget_us);

#endif
