#include <inttypes.h>

#include "load/timeline.h"

void
timeline_init(struct timeline *timeline, FILE *out, int64_t start_us)
{
    *timeline = (struct timeline){.out = out, .start_us = start_us};
    if (out != NULL) {
        (void)fprintf(out, "time_s,sent,ok,p50_us,p99_us,coverage,refused,"
                           "errors,wrong\n");
    }
}

static void
timeline_write_row(struct timeline *timeline)
{
    (void)fprintf(timeline->out, "%.1f,%" PRIu64 ",%" PRIu64 ",",
                  (double)timeline->rows * TIMELINE_STEP_US / 1e6,
                  timeline->sent, timeline->ok);
    if (timeline->latency.total > 0) {
        (void)fprintf(timeline->out, "%" PRId64 ",%" PRId64 ",",
                      histogram_value_at(&timeline->latency, 500),
                      histogram_value_at(&timeline->latency, 990));
    }
    else {
        (void)fprintf(timeline->out, ",,");
    }
    if (timeline->searches > 0) {
        (void)fprintf(timeline->out, "%.6f",
                      timeline->coverage_sum / (double)timeline->searches);
    }
    (void)fprintf(timeline->out, ",%" PRIu64 ",%" PRIu64 ",%" PRIu64 "\n",
                  timeline->refused, timeline->errors, timeline->wrong);
}

void
timeline_advance(struct timeline *timeline, int64_t now_us)
{
    while (timeline->out != NULL &&
           now_us - timeline->start_us >=
               (int64_t)(timeline->rows + 1) * TIMELINE_STEP_US) {
        timeline_write_row(timeline);
        *timeline = (struct timeline){
            .out = timeline->out,
            .start_us = timeline->start_us,
            .rows = timeline->rows + 1,
        };
    }
}

void
timeline_record_sent(struct timeline *timeline, int64_t now_us)
{
    timeline_advance(timeline, now_us);
    timeline->sent += 1;
}

void
timeline_record_end(struct timeline *timeline,
                    const struct report_outcome *outcome, int64_t now_us)
{
    timeline_advance(timeline, now_us);
    if (outcome->verdict != CHECK_OK) {
        timeline->wrong += 1;
        return;
    }
    timeline->refused += outcome->end == REPORT_REFUSED;
    timeline->errors += outcome->end == REPORT_ERROR;
    if (outcome->end != REPORT_ANSWERED) {
        return;
    }
    timeline->ok += 1;
    if (!outcome->is_order) {
        timeline->searches += 1;
        timeline->coverage_sum += outcome->coverage;
        histogram_add(&timeline->latency, outcome->latency_us);
    }
}
