#ifndef CH_GATEWAY_STOP_H
#define CH_GATEWAY_STOP_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decisions of a planned stop: which requests are still taken, when open ones
 * are answered with an error, and when the process ends. The load is that of
 * callers which keep their connections and go on sending until the end. Times
 * are microseconds of the gateway's monotonic clock.
 */

struct stop {
    int64_t started_us; /* when the stop was asked for, 0: it was not */
    int64_t grace_us;   /* after this time the process is killed */
};

/* Starts the stop; a second request for it changes nothing. */
void stop_start(struct stop *stop, int64_t now_us);

bool stop_is_stopping(const struct stop *stop);

/* Whether to accept no further connection. */
bool stop_must_close_listener(const struct stop *stop, int64_t now_us);

/* Whether the requests that are still open get an error now. */
bool stop_must_answer(const struct stop *stop, int64_t now_us);

/* Whether a request that takes this long gets its answer before open ones get
 * an error. One that does not is refused, so that its caller finds another VM
 * at once. */
bool stop_may_take(const struct stop *stop, int64_t expected_us,
                   int64_t now_us);

/* Whether the process may end; `is_owing`: callers have requests or answers on
 * the way. At the end of the grace period it ends in any case. */
bool stop_may_exit(const struct stop *stop, bool is_owing, int64_t now_us);

#endif
