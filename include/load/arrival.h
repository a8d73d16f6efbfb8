#ifndef CH_LOAD_ARRIVAL_H
#define CH_LOAD_ARRIVAL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Open-loop schedule: the times at which requests are meant to be sent, which
 * do not depend on the answers. A closed loop would send less while the system
 * is slow and hide its worst latencies.
 */
struct arrivals {
    int64_t start_us;
    int64_t end_us;
    double mean_gap_us; /* mean time between two arrivals */
    bool is_poisson;
    uint64_t random;
    double next_offset_us; /* offset from the start */
    uint64_t count;        /* arrivals taken */
};

/* Schedules `rate` arrivals per second for `seconds`. */
void arrival_init(struct arrivals *arrivals, int64_t rate, int64_t seconds,
                  bool is_poisson, uint64_t seed, int64_t start_us);

/* Time of the next arrival, or -1 when the schedule has ended. */
int64_t arrival_peek_us(const struct arrivals *arrivals);

/* Takes the next arrival if it is due. Returns its time or -1. */
int64_t arrival_pop_us(struct arrivals *arrivals, int64_t now_us);

#endif
