#ifndef CH_LOAD_CALLER_H
#define CH_LOAD_CALLER_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "load/check.h"
#include "load/entries.h"
#include "load/mix.h"
#include "load/pool.h"
#include "load/report.h"
#include "standin/hrtimer.h"

/* The callers: they send searches and orders as a client program would. */

struct caller_settings {
    const char *zone; /* NULL: none */
    const char *name_prefix;
    uint32_t count;
    int64_t deadline_ms;
    int64_t limit;
    uint64_t seed;
};

/* Called when a request has ended for good. */
typedef void (*caller_ended_cb)(const struct report_outcome *outcome,
                                void *ctx);

struct callers {
    struct caller_settings settings;
    struct pool *pool;
    struct hrtimer_set *timers;
    struct checker checker;
    struct report *report;
    FILE *order_log;         /* NULL: none */
    struct entries *entries; /* one for each caller */
    uint64_t outstanding;
    caller_ended_cb ended;
    void *ctx;
};

/* Sends one request that was meant to be sent at `intended_us`. */
void caller_send(struct callers *callers, const struct mix_item *item,
                 int64_t intended_us);

/* Asks for entry addresses where a time to live has passed. */
void caller_refresh(struct callers *callers);

#endif
