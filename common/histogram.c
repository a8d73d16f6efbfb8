#include <string.h>

#include "common/histogram.h"

static uint32_t
histogram_index(int64_t value)
{
    if (value < HISTOGRAM_SUB_COUNT) {
        return value < 0 ? 0 : (uint32_t)value;
    }
    uint32_t top = 63U - (uint32_t)__builtin_clzll((uint64_t)value);
    if (top >= HISTOGRAM_MAX_BITS) {
        return HISTOGRAM_BUCKETS - 1;
    }
    uint32_t shift = top - HISTOGRAM_SUB_BITS;
    uint32_t sub = (uint32_t)(value >> shift) - HISTOGRAM_SUB_COUNT;
    return (shift + 1) * HISTOGRAM_SUB_COUNT + sub;
}

/* Returns the highest value that falls into the bucket. */
static int64_t
histogram_bucket_max(uint32_t index)
{
    if (index < HISTOGRAM_SUB_COUNT) {
        return index;
    }
    uint32_t shift = index / HISTOGRAM_SUB_COUNT - 1;
    int64_t sub = index % HISTOGRAM_SUB_COUNT + HISTOGRAM_SUB_COUNT;
    return ((sub + 1) << shift) - 1;
}

void
histogram_add(struct histogram *histogram, int64_t value)
{
    histogram->counts[histogram_index(value)] += 1;
    histogram->total += 1;
    if (value > histogram->max) {
        histogram->max = value;
    }
}

int64_t
histogram_value_at(const struct histogram *histogram, uint32_t permille)
{
    if (histogram->total == 0) {
        return 0;
    }
    uint64_t rank = (histogram->total * permille + 999) / 1000;
    if (rank == 0) {
        rank = 1;
    }
    uint64_t seen = 0;
    for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
        seen += histogram->counts[i];
        if (seen >= rank) {
            int64_t upper = histogram_bucket_max(i);
            return upper < histogram->max ? upper : histogram->max;
        }
    }
    return histogram->max;
}

void
histogram_decay(struct histogram *histogram)
{
    histogram->total = 0;
    for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
        histogram->counts[i] /= 2;
        histogram->total += histogram->counts[i];
    }
}

void
histogram_reset(struct histogram *histogram)
{
    memset(histogram, 0, sizeof(*histogram));
}
