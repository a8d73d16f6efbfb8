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

/*
 * Queues the item. Returns RC_OK, RC_QUEUE_FULL, or RC_TOO_LATE when it could
 * not finish behind those before it: `service_us` is the usual time of one
 * request and `slots` the requests that run at a time.
 */
int que_add(struct que *queue, struct que_item *item, int64_t service_us,
            uint32_t slots, int64_t now_us);

/* Queues an item that was accepted before, without a check. */
void que_readd(struct que *queue, struct que_item *item);

void que_remove(struct que_item *item);

uint32_t que_length(const struct que *queue);

/* The item with the earliest deadline, or NULL. */
struct que_item *que_first(const struct que *queue);

/* The next later one, or NULL. */
struct que_item *que_next(const struct que_item *item);

#endif
