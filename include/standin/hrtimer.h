#ifndef CH_STANDIN_HRTIMER_H
#define CH_STANDIN_HRTIMER_H

#include <stdint.h>
#include <uv.h>

/*
 * Timers with microsecond resolution on one timerfd; uv_timer_t counts whole
 * milliseconds, which is coarse beside service times of about one.
 */
struct hrtimer_set;

struct hrtimer;

typedef void (*hrtimer_cb)(struct hrtimer *timer, void *ctx);

/* One timer, part of its owner's struct; zeroed before the first use. */
struct hrtimer {
    struct hrtimer_set *set; /* NULL while the timer is not running */
    int64_t at_us;
    uint64_t order; /* timers of one instant fire in the order of starting */
    size_t index;
    hrtimer_cb fire;
    void *ctx;
};

/* Returns NULL when the system refuses a timerfd. */
struct hrtimer_set *hrtimer_set_new(uv_loop_t *loop);

/* Closes the set; its timers no longer fire. */
void hrtimer_set_close(struct hrtimer_set *set);

/* Monotonic time in microseconds. */
int64_t hrtimer_now_us(void);

/* Fires once at `at_us`, at once when that has passed; restarts if running. */
void hrtimer_start(struct hrtimer_set *set, struct hrtimer *timer,
                   int64_t at_us, hrtimer_cb fire, void *ctx);

void hrtimer_stop(struct hrtimer *timer);

#endif
