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
    const struct interval *ended = &timeline->ended;
    (void)fprintf(timeline->out, "%.1f,%" PRIu64 ",%" PRIu64 ",",
                  (double)timeline->rows * TIMELINE_STEP_US / 1e6,
                  timeline->sent, ended->ok);
    if (ended->latency.total > 0) {
        (void)fprintf(timeline->out, "%" PRId64 ",%" PRId64 ",",
                      histogram_value_at(&ended->latency, 500),
                      histogram_value_at(&ended->latency, 990));
    }
    else {
        (void)fprintf(timeline->out, ",,");
    }
    if (ended->searches > 0) {
        (void)fprintf(timeline->out, "%.6f", interval_coverage_mean(ended));
    }
    (void)fprintf(timeline->out, ",%" PRIu64 ",%" PRIu64 ",%" PRIu64 "\n",
                  ended->refused, ended->errors, ended->wrong);
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
    interval_add(&timeline->ended, outcome);
}
