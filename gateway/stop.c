#include <glib.h>

#include "gateway/stop.h"

/* Callers keep connecting until their cached address lists have expired. From
 * then on no connection is accepted, and the process ends once it owes
 * nothing. */
#define STOP_LISTEN_US (3300LL * 1000)
/* For this time after the listener was closed the process does not end: a
 * connection that was just accepted has not sent its request yet. */
#define STOP_SETTLE_US (150 * 1000)
/* Share of the grace period after which open requests are answered with an
 * error. The rest is for writing the last answers. */
#define STOP_ANSWER_PERMILLE 880
/* The process ends this long before the end of the grace period. */
#define STOP_MARGIN_US (200 * 1000)
#define STOP_PERMILLE 1000

/* When open requests are answered with an error. */
static int64_t
stop_answer_us(const struct stop *stop)
{
    return stop->started_us +
           stop->grace_us / STOP_PERMILLE * STOP_ANSWER_PERMILLE;
}

/* When the process ends, whatever it owes. */
static int64_t
stop_exit_us(const struct stop *stop)
{
    int64_t end_us = stop->started_us + stop->grace_us;
    return MAX(end_us - STOP_MARGIN_US, (stop_answer_us(stop) + end_us) / 2);
}

static int64_t
stop_listen_until_us(const struct stop *stop)
{
    return MIN(stop->started_us + STOP_LISTEN_US, stop_answer_us(stop));
}

void
stop_start(struct stop *stop, int64_t now_us)
{
    if (!stop_is_stopping(stop)) {
        stop->started_us = now_us;
    }
}

bool
stop_is_stopping(const struct stop *stop)
{
    return stop->started_us > 0;
}

bool
stop_must_close_listener(const struct stop *stop, int64_t now_us)
{
    return stop_is_stopping(stop) && now_us >= stop_listen_until_us(stop);
}

bool
stop_must_answer(const struct stop *stop, int64_t now_us)
{
    return stop_is_stopping(stop) && now_us >= stop_answer_us(stop);
}

bool
stop_may_take(const struct stop *stop, int64_t expected_us, int64_t now_us)
{
    return !stop_is_stopping(stop) ||
           now_us + expected_us < stop_answer_us(stop);
}

bool
stop_may_exit(const struct stop *stop, bool is_owing, int64_t now_us)
{
    if (!stop_is_stopping(stop)) {
        return false;
    }
    if (now_us >= stop_exit_us(stop)) {
        return true;
    }
    return !is_owing && now_us >= stop_listen_until_us(stop) + STOP_SETTLE_US;
}
