#ifndef CH_LOAD_REPORT_H
#define CH_LOAD_REPORT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "common/counter.h"
#include "common/histogram.h"
#include "load/check.h"

/* Totals of a run, as text and as JSON. Times are in microseconds. */

enum report_end {
    REPORT_ANSWERED, /* status 200 */
    REPORT_REFUSED,  /* another status, with a result code */
    REPORT_ERROR,    /* no response */
};

/* How one request ended. */
struct report_outcome {
    enum report_end end;
    bool is_order;
    enum check_verdict verdict;
    int rc;               /* REPORT_REFUSED only */
    enum rc_executed run; /* REPORT_REFUSED only: whether the request ran */
    const char *error;    /* REPORT_ERROR only: its name, static */
    double coverage;
    bool is_complete;
    int64_t latency_us; /* from the intended send time */
    int64_t deadline_us;
};

struct report {
    uint64_t sent;
    uint64_t orders_sent;
    uint64_t ok; /* answered correctly, also with partial coverage */
    uint64_t orders_ok;
    uint64_t partial;  /* searches with missing shards */
    uint64_t complete; /* searches without */
    uint64_t refused;
    uint64_t errors;
    uint64_t wrong;
    uint64_t in_time; /* ok within the deadline */
    uint64_t retries; /* searches and id requests sent once more */
    uint64_t orders_repeated;
    double coverage_sum;
    struct histogram latency;       /* searches answered */
    struct histogram order_latency; /* orders answered */
    struct histogram send_lag; /* from the intended to the actual send time */
    GHashTable *refused_by_code;
    GHashTable *errors_by_name;
    GHashTable *wrong_by_kind;
};

void report_init(struct report *report);

/* Adds the outcome of one request to the totals. */
void report_add(struct report *report, const struct report_outcome *outcome);

/* Mean coverage of the searches answered correctly; 0 if there are none. */
double report_coverage_mean(const struct report *report);

/* The totals of a run of `seconds`; release with json_decref. */
json_t *report_json(const struct report *report, double seconds);

/* Prints the totals of a run of `seconds`. */
void report_print(const struct report *report, double seconds, FILE *out);

#endif
