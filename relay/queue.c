#include "relay/queue.h"
#include "common/invariant.h"
#include "common/rc.h"

void
que_init(struct que *queue, uint32_t max)
{
    queue->items = g_sequence_new(NULL);
    queue->max = max;
}

void
que_clear(struct que *queue)
{
    CH_INVARIANT(que_length(queue) == 0);
    g_sequence_free(queue->items);
    queue->items = NULL;
}

static gint
que_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct que_item *left = a;
    const struct que_item *right = b;
    return (left->deadline_us > right->deadline_us) -
           (left->deadline_us < right->deadline_us);
}

uint32_t
que_length(const struct que *queue)
{
    return (uint32_t)g_sequence_get_length(queue->items);
}

void
que_readd(struct que *queue, struct que_item *item)
{
    CH_INVARIANT(item->iter == NULL);
    /* Equal deadlines keep their order of arrival. */
    item->iter =
        g_sequence_insert_sorted(queue->items, item, que_compare, NULL);
}

bool
que_can_finish(const struct que *queue, const struct que_item *item,
               const struct que_pace *pace, int64_t now_us)
{
    uint32_t others = que_length(queue) - (item->iter != NULL);
    int64_t need_us = others > 0 ? pace->slow_us : pace->fast_us;
    return now_us + need_us < item->deadline_us;
}

int
que_add(struct que *queue, struct que_item *item, const struct que_pace *pace,
        int64_t now_us)
{
    uint32_t length = que_length(queue);
    if (length >= queue->max) {
        return RC_QUEUE_FULL;
    }
    int64_t wait_us =
        pace->slots > 0 ? pace->service_us * length / pace->slots : 0;
    if (!que_can_finish(queue, item, pace, now_us + wait_us)) {
        return RC_TOO_LATE;
    }
    que_readd(queue, item);
    CH_INVARIANT(que_length(queue) <= queue->max);
    return RC_OK;
}

void
que_remove(struct que_item *item)
{
    if (item->iter != NULL) {
        g_sequence_remove(item->iter);
        item->iter = NULL;
    }
}

static struct que_item *
que_at(GSequenceIter *iter)
{
    return g_sequence_iter_is_end(iter) ? NULL : g_sequence_get(iter);
}

struct que_item *
que_first(const struct que *queue)
{
    return que_at(g_sequence_get_begin_iter(queue->items));
}

struct que_item *
que_next(const struct que_item *item)
{
    return que_at(g_sequence_iter_next(item->iter));
}
