#include <inttypes.h>

#include "load/timeline.h"

void
tml_init(struct tml *timeline, FILE *out, int64_t start_us)
{
    *timeline = (struct tml){.out = out, .start_us = start_us};
    if (out != NULL) {
        (void)fprintf(out, "time_s,sent,ok,p50_us,p99_us,coverage,refused,"
                           "errors,wrong\n");
    }
}

static void
tml_write_row(struct tml *timeline)
{
    (void)fprintf(timeline->out, "%.1f,%" PRIu64 ",%" PRIu64 ",",
                  (double)timeline->rows * TML_STEP_US / 1e6, timeline->sent,
                  timeline->ok);
    if (timeline->latency.total > 0) {
        (void)fprintf(timeline->out, "%" PRId64 ",%" PRId64 ",",
                      hst_value_at(&timeline->latency, 500),
                      hst_value_at(&timeline->latency, 990));
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
tml_advance(struct tml *timeline, int64_t now_us)
{
    while (timeline->out != NULL &&
           now_us - timeline->start_us >=
               (int64_t)(timeline->rows + 1) * TML_STEP_US) {
        tml_write_row(timeline);
        *timeline = (struct tml){
            .out = timeline->out,
            .start_us = timeline->start_us,
            .rows = timeline->rows + 1,
        };
    }
}

void
tml_sent(struct tml *timeline, int64_t now_us)
{
    tml_advance(timeline, now_us);
    timeline->sent += 1;
}

void
tml_ended(struct tml *timeline, const struct rep_outcome *outcome,
          int64_t now_us)
{
    tml_advance(timeline, now_us);
    if (outcome->wrong != CHK_RIGHT) {
        timeline->wrong += 1;
        return;
    }
    timeline->refused += outcome->end == REP_REFUSED;
    timeline->errors += outcome->end == REP_ERROR;
    if (outcome->end != REP_ANSWERED) {
        return;
    }
    timeline->ok += 1;
    if (!outcome->is_order) {
        timeline->searches += 1;
        timeline->coverage_sum += outcome->coverage;
        hst_add(&timeline->latency, outcome->latency_us);
    }
}
