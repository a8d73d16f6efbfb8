#ifndef CH_STANDIN_HRTIMER_H
#define CH_STANDIN_HRTIMER_H

#include <stdint.h>
#include <uv.h>

/*
 * Timers with microsecond resolution on one timerfd per set; uv_timer_t counts
 * whole milliseconds, which is too coarse for service times of about 1 ms. A
 * set belongs to one event loop. All times are CLOCK_MONOTONIC in
 * microseconds.
 */
struct hrtimer_set;

struct hrtimer;

typedef void (*hrtimer_cb)(struct hrtimer *timer, void *ctx);

/* One timer, embedded in its owner's struct; zeroed before the first use. */
struct hrtimer {
    struct hrtimer_set *set; /* NULL while the timer is not running */
    int64_t due_us;
    uint64_t sequence; /* timers due at the same time fire in start order */
    size_t index;      /* in the set's heap */
    hrtimer_cb fire;
    void *ctx;
};

/* Returns NULL when no timerfd can be created. */
struct hrtimer_set *hrtimer_set_open(uv_loop_t *loop);

/* Stops all timers of the set and closes it. */
void hrtimer_set_close(struct hrtimer_set *set);

/* Current CLOCK_MONOTONIC time in microseconds. */
int64_t hrtimer_now_us(void);

/*
 * Calls `fire` once at `due_us`, or as soon as the loop runs if that has
 * passed. A running timer is restarted.
 */
void hrtimer_start(struct hrtimer_set *set, struct hrtimer *timer,
                   int64_t due_us, hrtimer_cb fire, void *ctx);

/* Does nothing if the timer is not running. */
void hrtimer_stop(struct hrtimer *timer);

#endif
