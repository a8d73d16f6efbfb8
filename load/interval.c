#include "load/interval.h"

void
interval_add(struct interval *interval, const struct report_outcome *outcome)
{
    if (outcome->verdict != CHECK_OK) {
        interval->wrong += 1;
        return;
    }
    interval->refused += outcome->end == REPORT_REFUSED;
    interval->errors += outcome->end == REPORT_ERROR;
    if (outcome->end != REPORT_ANSWERED) {
        return;
    }
    interval->ok += 1;
    if (!outcome->is_order) {
        interval->searches += 1;
        interval->coverage_sum += outcome->coverage;
        histogram_add(&interval->latency, outcome->latency_us);
    }
}

double
interval_coverage_mean(const struct interval *interval)
{
    return interval->searches == 0
               ? 0
               : interval->coverage_sum / (double)interval->searches;
}
