#ifndef CH_COMMON_HEDGE_H
#define CH_COMMON_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/budget.h"
#include "common/hist.h"

/* When a part of one instance is sent to a second replica. */
struct hdg {
    struct hst hist; /* latency of first attempts */
    struct bgt budget;
    uint32_t permille; /* percentile that starts a hedge */
    int64_t delay_us;  /* this and the next two: 0 if unknown */
    int64_t fast_us;   /* one first attempt in ten is faster */
    int64_t slow_us;   /* one first attempt in ten is slower */
    uint32_t noted;    /* samples since these were computed */
};

/* Without this many samples the delay is a share of the part's budget. */
#define HDG_MIN_SAMPLES 50

void hdg_init(struct hdg *hedge, uint32_t budget_permille);

/* Notes a first attempt. */
void hdg_on_start(struct hdg *hedge);

/*
 * Notes how long a first attempt took. A cancelled one counts with the time
 * until then: leaving it out would lower the delay with each hedge.
 */
void hdg_note(struct hdg *hedge, int64_t latency_us);

/* Delay after which a part with this budget (us) is hedged. */
int64_t hdg_delay_us(const struct hdg *hedge, int64_t budget_us);

/* Takes a token for a hedge; false when the extra-load budget is used up. */
bool hdg_spend(struct hdg *hedge);

#endif
