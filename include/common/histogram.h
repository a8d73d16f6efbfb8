#ifndef CH_COMMON_HISTOGRAM_H
#define CH_COMMON_HISTOGRAM_H

#include <stdint.h>

/*
 * Latency histogram with a relative error of at most 1/32: values below 32
 * have a bucket each, larger ones 32 buckets per power of two, up to 2^40.
 */
#define HST_SUB_BITS 5
#define HST_SUB_COUNT (1 << HST_SUB_BITS)
#define HST_MAX_BITS 40
#define HST_BUCKETS ((HST_MAX_BITS - HST_SUB_BITS + 1) * HST_SUB_COUNT)

struct hst {
    uint64_t counts[HST_BUCKETS];
    uint64_t total;
    int64_t max;
};

/* Adds one value; negative values count as 0. */
void hst_add(struct hst *hist, int64_t value);

/* The value at `permille` (990 is p99), 0 for an empty histogram. */
int64_t hst_value_at(const struct hst *hist, uint32_t permille);

/* Halves all counts, so that old values lose weight. */
void hst_decay(struct hst *hist);

void hst_reset(struct hst *hist);

#endif
