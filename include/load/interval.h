#ifndef CH_LOAD_INTERVAL_H
#define CH_LOAD_INTERVAL_H

#include <stdint.h>

#include "common/histogram.h"
#include "load/report.h"

/* Requests that ended in one interval of the run. Starts zeroed. */
struct interval {
    uint64_t ok;
    uint64_t refused;
    uint64_t errors;
    uint64_t wrong;
    uint64_t searches; /* of those that are ok */
    double coverage_sum;
    struct histogram latency; /* of these searches, in us */
};

/* Counts a request that has ended. */
void interval_add(struct interval *interval,
                  const struct report_outcome *outcome);

/* Mean coverage of the searches, 0 without any. */
double interval_coverage_mean(const struct interval *interval);

#endif
