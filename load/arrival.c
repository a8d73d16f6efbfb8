#include <math.h>

#include "load/arrival.h"
#include "standin/service_model.h"

static double
arrival_gap_us(struct arrivals *arrivals)
{
    if (!arrivals->is_poisson) {
        return arrivals->mean_gap_us;
    }
    /* 53 random bits in (0, 1] */
    double unit =
        (double)((service_model_random(&arrivals->random) >> 11) + 1) *
        0x1p-53;
    return -log(unit) * arrivals->mean_gap_us;
}

void
arrival_init(struct arrivals *arrivals, int64_t rate, int64_t seconds,
             bool is_poisson, uint64_t seed, int64_t start_us)
{
    *arrivals = (struct arrivals){
        .start_us = start_us,
        .end_us = start_us + seconds * 1000000,
        .mean_gap_us = 1e6 / (double)rate,
        .is_poisson = is_poisson,
        .random = seed,
    };
    if (is_poisson) {
        arrivals->next_offset_us = arrival_gap_us(arrivals);
    }
}

int64_t
arrival_peek_us(const struct arrivals *arrivals)
{
    int64_t next_us = arrivals->start_us + (int64_t)arrivals->next_offset_us;
    return next_us < arrivals->end_us ? next_us : -1;
}

int64_t
arrival_pop_us(struct arrivals *arrivals, int64_t now_us)
{
    int64_t next_us = arrival_peek_us(arrivals);
    if (next_us < 0 || next_us > now_us) {
        return -1;
    }
    arrivals->next_offset_us += arrival_gap_us(arrivals);
    arrivals->count += 1;
    return next_us;
}
