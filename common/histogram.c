#include <string.h>

#include "common/histogram.h"

static uint32_t
hst_index(int64_t value)
{
    if (value < HST_SUB_COUNT) {
        return value < 0 ? 0 : (uint32_t)value;
    }
    uint32_t top = 63U - (uint32_t)__builtin_clzll((uint64_t)value);
    if (top >= HST_MAX_BITS) {
        return HST_BUCKETS - 1;
    }
    uint32_t shift = top - HST_SUB_BITS;
    uint32_t sub = (uint32_t)(value >> shift) - HST_SUB_COUNT;
    return (shift + 1) * HST_SUB_COUNT + sub;
}

/* Highest value that falls into the bucket. */
static int64_t
hst_upper(uint32_t index)
{
    if (index < HST_SUB_COUNT) {
        return index;
    }
    uint32_t shift = index / HST_SUB_COUNT - 1;
    int64_t sub = index % HST_SUB_COUNT + HST_SUB_COUNT;
    return ((sub + 1) << shift) - 1;
}

void
hst_add(struct hst *hist, int64_t value)
{
    hist->counts[hst_index(value)] += 1;
    hist->total += 1;
    if (value > hist->max) {
        hist->max = value;
    }
}

int64_t
hst_value_at(const struct hst *hist, uint32_t permille)
{
    if (hist->total == 0) {
        return 0;
    }
    uint64_t rank = (hist->total * permille + 999) / 1000;
    if (rank == 0) {
        rank = 1;
    }
    uint64_t seen = 0;
    for (uint32_t i = 0; i < HST_BUCKETS; i++) {
        seen += hist->counts[i];
        if (seen >= rank) {
            int64_t upper = hst_upper(i);
            return upper < hist->max ? upper : hist->max;
        }
    }
    return hist->max;
}

void
hst_decay(struct hst *hist)
{
    hist->total = 0;
    for (uint32_t i = 0; i < HST_BUCKETS; i++) {
        hist->counts[i] /= 2;
        hist->total += hist->counts[i];
    }
}

void
hst_reset(struct hst *hist)
{
    memset(hist, 0, sizeof(*hist));
}
