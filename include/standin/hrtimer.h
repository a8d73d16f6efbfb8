#ifndef CH_STANDIN_HRTIMER_H
#define CH_STANDIN_HRTIMER_H

#include <stdint.h>
#include <uv.h>

/*
 * Timers with microsecond resolution on one timerfd; uv_timer_t counts whole
 * milliseconds, which is coarse beside service times of about one.
 */
struct tmr_set;

struct tmr;

typedef void (*tmr_cb)(struct tmr *timer, void *ctx);

/* One timer, part of its owner's struct; zeroed before the first use. */
struct tmr {
    struct tmr_set *set; /* NULL while the timer is not running */
    int64_t at_us;
    uint64_t order; /* timers of one instant fire in the order of starting */
    size_t index;
    tmr_cb fire;
    void *ctx;
};

/* Returns NULL when the system refuses a timerfd. */
struct tmr_set *tmr_set_new(uv_loop_t *loop);

/* Closes the set; its timers no longer fire. */
void tmr_set_close(struct tmr_set *set);

/* Monotonic time in microseconds. */
int64_t tmr_now_us(void);

/* Fires once at `at_us`, at once when that has passed; restarts if running. */
void tmr_start(struct tmr_set *set, struct tmr *timer, int64_t at_us,
               tmr_cb fire, void *ctx);

void tmr_stop(struct tmr *timer);

#endif
