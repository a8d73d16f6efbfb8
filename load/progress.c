#include <inttypes.h>

#include "load/progress.h"

void
progress_record_end(struct progress *progress,
                    const struct report_outcome *outcome)
{
    interval_add(&progress->ended, outcome);
}

void
progress_print(struct progress *progress, const struct report *report,
               int64_t now_us)
{
    if (progress->out == NULL) {
        return;
    }
    const struct interval *ended = &progress->ended;
    (void)fprintf(progress->out,
                  "\r%4" PRId64 " s  sent %" PRIu64 "/s  ok %" PRIu64
                  "/s  refused %" PRIu64 "/s  p50 %.1f ms  p99 %.1f ms  "
                  "coverage %.4f  errors %" PRIu64 "  wrong %" PRIu64 "\033[K",
                  (now_us - progress->start_us + 500000) / 1000000,
                  report->sent - progress->sent, ended->ok, ended->refused,
                  (double)histogram_value_at(&ended->latency, 500) / 1e3,
                  (double)histogram_value_at(&ended->latency, 990) / 1e3,
                  interval_coverage_mean(ended), report->errors,
                  report->wrong);
    (void)fflush(progress->out);
    *progress = (struct progress){
        .out = progress->out,
        .start_us = progress->start_us,
        .sent = report->sent,
    };
}

void
progress_finish(struct progress *progress)
{
    if (progress->out != NULL) {
        (void)fprintf(progress->out, "\n");
    }
}
