#ifndef CH_COMMON_HISTOGRAM_H
#define CH_COMMON_HISTOGRAM_H

#include <stdint.h>

/*
 * Histogram with a relative error of at most 1/32: values below 32 have a
 * bucket each, larger ones 32 buckets per power of two, up to 2^40; values
 * above share the last bucket. The unit is the user's choice, in general
 * microseconds. The owner of the struct is the only user.
 */
#define HISTOGRAM_SUB_BITS 5
#define HISTOGRAM_SUB_COUNT (1 << HISTOGRAM_SUB_BITS)
#define HISTOGRAM_MAX_BITS 40
#define HISTOGRAM_BUCKETS                                                     \
    ((HISTOGRAM_MAX_BITS - HISTOGRAM_SUB_BITS + 1) * HISTOGRAM_SUB_COUNT)

struct histogram {
    uint64_t counts[HISTOGRAM_BUCKETS];
    uint64_t total;
    int64_t max;
};

/* Adds one value; negative values are counted as 0. */
void histogram_add(struct histogram *histogram, int64_t value);

/* Returns the value at `permille` (990 is p99), 0 for an empty histogram. */
int64_t histogram_value_at(const struct histogram *histogram,
                           uint32_t permille);

/* Halves all counts, so that old values lose weight. `max` stays. */
void histogram_decay(struct histogram *histogram);

void histogram_reset(struct histogram *histogram);

#endif
