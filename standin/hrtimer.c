#include <glib.h>
#include <stdbool.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "standin/hrtimer.h"

struct tmr_set {
    uv_poll_t poll;
    int fd;
    GPtrArray *heap; /* struct tmr, earliest first */
    uint64_t next_order;
    int64_t armed_us; /* 0 while the timerfd is off */
    bool is_firing;
};

int64_t
tmr_now_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static struct tmr *
tmr_at(const struct tmr_set *set, size_t index)
{
    return g_ptr_array_index(set->heap, index);
}

static bool
tmr_is_before(const struct tmr *a, const struct tmr *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
tmr_put(struct tmr_set *set, size_t index, struct tmr *timer)
{
    g_ptr_array_index(set->heap, index) = timer;
    timer->index = index;
}

static void
tmr_sift_up(struct tmr_set *set, struct tmr *timer)
{
    size_t index = timer->index;
    while (index > 0 && tmr_is_before(timer, tmr_at(set, (index - 1) / 2))) {
        tmr_put(set, index, tmr_at(set, (index - 1) / 2));
        index = (index - 1) / 2;
    }
    tmr_put(set, index, timer);
}

static void
tmr_sift_down(struct tmr_set *set, struct tmr *timer)
{
    size_t index = timer->index;
    size_t child;
    while ((child = 2 * index + 1) < set->heap->len) {
        if (child + 1 < set->heap->len &&
            tmr_is_before(tmr_at(set, child + 1), tmr_at(set, child))) {
            child += 1;
        }
        if (!tmr_is_before(tmr_at(set, child), timer)) {
            break;
        }
        tmr_put(set, index, tmr_at(set, child));
        index = child;
    }
    tmr_put(set, index, timer);
}

static void
tmr_arm(struct tmr_set *set)
{
    int64_t at_us = set->heap->len == 0 ? 0 : tmr_at(set, 0)->at_us;
    if (set->is_firing || at_us == set->armed_us) {
        return;
    }
    set->armed_us = at_us;
    /* A time in the past fires at once; 0 switches the timerfd off. */
    struct itimerspec spec = {
        .it_value = {.tv_sec = at_us / 1000000,
                     .tv_nsec = at_us % 1000000 * 1000},
    };
    timerfd_settime(set->fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void
tmr_on_readable(uv_poll_t *poll, int status, int events)
{
    struct tmr_set *set = poll->data;
    uint64_t expired;
    if (read(set->fd, &expired, sizeof(expired)) < 0) {
        return;
    }
    set->armed_us = 0;
    set->is_firing = true;
    int64_t now_us = tmr_now_us();
    while (set->heap->len > 0 && tmr_at(set, 0)->at_us <= now_us) {
        struct tmr *timer = tmr_at(set, 0);
        tmr_stop(timer);
        timer->fire(timer, timer->ctx);
    }
    set->is_firing = false;
    tmr_arm(set);
}

struct tmr_set *
tmr_set_new(uv_loop_t *loop)
{
    int fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    if (fd < 0) {
        return NULL;
    }
    struct tmr_set *set = g_new0(struct tmr_set, 1);
    set->fd = fd;
    set->heap = g_ptr_array_new();
    uv_poll_init(loop, &set->poll, fd);
    set->poll.data = set;
    uv_poll_start(&set->poll, UV_READABLE, tmr_on_readable);
    return set;
}

static void
tmr_on_closed(uv_handle_t *handle)
{
    struct tmr_set *set = handle->data;
    close(set->fd);
    g_ptr_array_free(set->heap, TRUE);
    g_free(set);
}

void
tmr_set_close(struct tmr_set *set)
{
    while (set->heap->len > 0) {
        tmr_stop(tmr_at(set, 0));
    }
    uv_close((uv_handle_t *)&set->poll, tmr_on_closed);
}

void
tmr_start(struct tmr_set *set, struct tmr *timer, int64_t at_us, tmr_cb fire,
          void *ctx)
{
    tmr_stop(timer);
    timer->set = set;
    /* 0 would switch the timerfd off. */
    timer->at_us = at_us > 0 ? at_us : 1;
    timer->order = set->next_order++;
    timer->fire = fire;
    timer->ctx = ctx;
    timer->index = set->heap->len;
    g_ptr_array_add(set->heap, timer);
    tmr_sift_up(set, timer);
    tmr_arm(set);
}

void
tmr_stop(struct tmr *timer)
{
    struct tmr_set *set = timer->set;
    if (set == NULL) {
        return;
    }
    timer->set = NULL;
    size_t index = timer->index;
    struct tmr *last = tmr_at(set, set->heap->len - 1);
    g_ptr_array_set_size(set->heap, (gint)set->heap->len - 1);
    if (last != timer) {
        tmr_put(set, index, last);
        tmr_sift_down(set, last);
        tmr_sift_up(set, last);
    }
}
