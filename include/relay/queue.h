#ifndef CH_RELAY_QUEUE_H
#define CH_RELAY_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Member of what is queued. */
struct que_item {
    int64_t deadline_us;
    GSequenceIter *iter; /* NULL while not queued */
};

/* Bounded queue of one instance, earliest deadline first. */
struct que {
    GSequence *items;
    uint32_t max;
};

void que_init(struct que *queue, uint32_t max);

/* The items must have been removed. */
void que_clear(struct que *queue);

/* What the queue needs to know of the requests that it feeds. */
struct que_pace {
    int64_t service_us; /* usual time of one request */
    int64_t fast_us;    /* nine requests in ten take longer */
    int64_t slow_us;    /* nine requests in ten are faster */
    uint32_t slots;     /* requests that run at a time */
};

/*
 * Queues the item. Returns RC_OK, RC_QUEUE_FULL, or RC_TOO_LATE when it would
 * not finish behind those before it.
 */
int que_add(struct que *queue, struct que_item *item,
            const struct que_pace *pace, int64_t now_us);

/*
 * Whether the item is worth a slot now. While others wait it must be likely
 * to finish: under overload all items come to their turn with little time
 * left, and each one that then misses its deadline has cost a slot. Alone it
 * only must not be unlikely to finish.
 */
bool que_can_finish(const struct que *queue, const struct que_item *item,
                    const struct que_pace *pace, int64_t now_us);

/* Queues an item that was accepted before, without a check. */
void que_readd(struct que *queue, struct que_item *item);

void que_remove(struct que_item *item);

uint32_t que_length(const struct que *queue);

/* The item with the earliest deadline, or NULL. */
struct que_item *que_first(const struct que *queue);

/* The next later one, or NULL. */
struct que_item *que_next(const struct que_item *item);

#endif
