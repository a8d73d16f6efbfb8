#include <glib.h>
#include <stdbool.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "standin/hrtimer.h"

struct hrtimer_set {
    uv_poll_t poll;
    int fd;
    GPtrArray *heap; /* struct hrtimer, earliest first */
    uint64_t next_sequence;
    int64_t armed_us; /* expiry of the timerfd, 0 while it is disarmed */
    bool is_firing;
};

int64_t
hrtimer_now_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static struct hrtimer *
hrtimer_at(const struct hrtimer_set *set, size_t index)
{
    return g_ptr_array_index(set->heap, index);
}

static bool
hrtimer_is_before(const struct hrtimer *a, const struct hrtimer *b)
{
    return a->due_us != b->due_us ? a->due_us < b->due_us
                                  : a->sequence < b->sequence;
}

static void
hrtimer_put(struct hrtimer_set *set, size_t index, struct hrtimer *timer)
{
    g_ptr_array_index(set->heap, index) = timer;
    timer->index = index;
}

static void
hrtimer_sift_up(struct hrtimer_set *set, struct hrtimer *timer)
{
    size_t index = timer->index;
    while (index > 0 &&
           hrtimer_is_before(timer, hrtimer_at(set, (index - 1) / 2))) {
        hrtimer_put(set, index, hrtimer_at(set, (index - 1) / 2));
        index = (index - 1) / 2;
    }
    hrtimer_put(set, index, timer);
}

static void
hrtimer_sift_down(struct hrtimer_set *set, struct hrtimer *timer)
{
    size_t index = timer->index;
    size_t child;
    while ((child = 2 * index + 1) < set->heap->len) {
        if (child + 1 < set->heap->len &&
            hrtimer_is_before(hrtimer_at(set, child + 1),
                              hrtimer_at(set, child))) {
            child += 1;
        }
        if (!hrtimer_is_before(hrtimer_at(set, child), timer)) {
            break;
        }
        hrtimer_put(set, index, hrtimer_at(set, child));
        index = child;
    }
    hrtimer_put(set, index, timer);
}

static void
hrtimer_arm(struct hrtimer_set *set)
{
    int64_t due_us = set->heap->len == 0 ? 0 : hrtimer_at(set, 0)->due_us;
    if (set->is_firing || due_us == set->armed_us) {
        return;
    }
    set->armed_us = due_us;
    /* A time in the past expires at once; 0 disarms the timerfd. */
    struct itimerspec spec = {
        .it_value = {.tv_sec = due_us / 1000000,
                     .tv_nsec = due_us % 1000000 * 1000},
    };
    timerfd_settime(set->fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void
hrtimer_on_readable(uv_poll_t *poll, int status, int events)
{
    struct hrtimer_set *set = poll->data;
    uint64_t expired;
    if (read(set->fd, &expired, sizeof(expired)) < 0) {
        return;
    }
    set->armed_us = 0;
    set->is_firing = true;
    int64_t now_us = hrtimer_now_us();
    while (set->heap->len > 0 && hrtimer_at(set, 0)->due_us <= now_us) {
        struct hrtimer *timer = hrtimer_at(set, 0);
        hrtimer_stop(timer);
        timer->fire(timer, timer->ctx);
    }
    set->is_firing = false;
    hrtimer_arm(set);
}

struct hrtimer_set *
hrtimer_set_open(uv_loop_t *loop)
{
    int fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    if (fd < 0) {
        return NULL;
    }
    struct hrtimer_set *set = g_new0(struct hrtimer_set, 1);
    set->fd = fd;
    set->heap = g_ptr_array_new();
    uv_poll_init(loop, &set->poll, fd);
    set->poll.data = set;
    uv_poll_start(&set->poll, UV_READABLE, hrtimer_on_readable);
    return set;
}

static void
hrtimer_on_closed(uv_handle_t *handle)
{
    struct hrtimer_set *set = handle->data;
    close(set->fd);
    g_ptr_array_free(set->heap, TRUE);
    g_free(set);
}

void
hrtimer_set_close(struct hrtimer_set *set)
{
    while (set->heap->len > 0) {
        hrtimer_stop(hrtimer_at(set, 0));
    }
    uv_close((uv_handle_t *)&set->poll, hrtimer_on_closed);
}

void
hrtimer_start(struct hrtimer_set *set, struct hrtimer *timer, int64_t due_us,
              hrtimer_cb fire, void *ctx)
{
    hrtimer_stop(timer);
    timer->set = set;
    /* 0 would disarm the timerfd. */
    timer->due_us = due_us > 0 ? due_us : 1;
    timer->sequence = set->next_sequence++;
    timer->fire = fire;
    timer->ctx = ctx;
    timer->index = set->heap->len;
    g_ptr_array_add(set->heap, timer);
    hrtimer_sift_up(set, timer);
    hrtimer_arm(set);
}

void
hrtimer_stop(struct hrtimer *timer)
{
    struct hrtimer_set *set = timer->set;
    if (set == NULL) {
        return;
    }
    timer->set = NULL;
    size_t index = timer->index;
    struct hrtimer *last = hrtimer_at(set, set->heap->len - 1);
    g_ptr_array_set_size(set->heap, (gint)set->heap->len - 1);
    if (last != timer) {
        hrtimer_put(set, index, last);
        hrtimer_sift_down(set, last);
        hrtimer_sift_up(set, last);
    }
}
