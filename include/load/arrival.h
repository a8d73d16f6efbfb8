#ifndef CH_LOAD_ARRIVAL_H
#define CH_LOAD_ARRIVAL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Open-loop schedule of send times, independent of the responses. A closed
 * loop would send less while the system is slow and so hide its worst
 * latencies. Times are in microseconds on the clock of `start_us`.
 */
struct arrivals {
    int64_t start_us;
    int64_t end_us;
    double mean_gap_us; /* mean time between two arrivals */
    bool is_poisson;
    uint64_t random;       /* generator state, see service_model_random() */
    double next_offset_us; /* of the next arrival, from start_us */
    uint64_t count;        /* arrivals returned by arrival_pop_us() */
};

/*
 * Schedules `rate` arrivals per second for `seconds` from `start_us` on, as a
 * Poisson process or with equal gaps.
 */
void arrival_init(struct arrivals *arrivals, int64_t rate, int64_t seconds,
                  bool is_poisson, uint64_t seed, int64_t start_us);

/* Time of the next arrival, or -1 after the end of the schedule. */
int64_t arrival_peek_us(const struct arrivals *arrivals);

/* Removes the next arrival if it is due. Returns its time, or -1. */
int64_t arrival_pop_us(struct arrivals *arrivals, int64_t now_us);

#endif
