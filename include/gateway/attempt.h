#ifndef CH_GATEWAY_ATTEMPT_H
#define CH_GATEWAY_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * One try to get a part from one backend server, with what is known of whether
 * the backend server ran it. That knowledge comes from two events only: the
 * request was sent, and the backend server stated that it did not run it. The
 * reason for which an attempt failed says nothing about it.
 * Times are microseconds of the gateway's monotonic clock.
 */

enum attempt_run {
    ATTEMPT_UNSENT,   /* nothing was written: it has not run and will not */
    ATTEMPT_SENT,     /* it may have run, or may run later */
    ATTEMPT_REJECTED, /* sent, and the backend server states: not run */
};

struct attempt {
    struct part *part;
    struct backend *backend;   /* holds a reference */
    struct backend_link *link; /* NULL once the attempt has ended */
    int64_t started_us;
    int64_t shed_us; /* when the backend server refused it as full, or 0 */
    enum attempt_run run;
    bool is_overdue;   /* counted as a failure of the backend server */
    bool is_abandoned; /* its link may still carry the request */
};

/* The request was written to the attempt's link. */
void attempt_on_sent(struct attempt *attempt);

/* The backend server answered that it did not run the request. */
void attempt_on_rejected(struct attempt *attempt);

bool attempt_was_sent(const struct attempt *attempt);

/* Whether the backend server may have run the request, or may run it later. */
bool attempt_may_have_run(const struct attempt *attempt);

/* Whether the attempt counts against the limit on attempts: it may have run,
 * or it may still be sent. */
bool attempt_counts(const struct attempt *attempt);

#endif
