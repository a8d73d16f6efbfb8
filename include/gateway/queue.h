#ifndef CH_GATEWAY_QUEUE_H
#define CH_GATEWAY_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Queues of the parts that wait for a backend server, one for each service.
 * The queue belongs to the gateway, an item to its part. Times are
 * microseconds of the gateway's monotonic clock.
 *
 * This serves load above the capacity of the backend servers: in the order of
 * arrival all searches would be late. Parts of requests that can still meet
 * their objective go first, oldest first, so that a search gets its parts of
 * all shards at about the same time. Late parts get the capacity that is left.
 */

struct queue_line;

/* Entry of a part in the queue, embedded in the part. */
struct queue_item {
    GList link;              /* its data is the part */
    struct queue_line *line; /* NULL: not queued */
    int64_t arrival_us;      /* of the first try of the caller, estimated */
    bool is_late;
};

/* Items that wait for one service, each list in the order of `arrival_us`. */
struct queue_line {
    GQueue in_time;
    GQueue late;
};

struct queue {
    GHashTable *lines; /* name of the service -> struct queue_line */
    uint32_t count;    /* of all items */
};

void queue_init(struct queue *queue);

/* The queue must be empty. */
void queue_clear(struct queue *queue);

/* Adds an item that is not queued; its `arrival_us` and `is_late` are set. */
void queue_push(struct queue *queue, const char *service,
                struct queue_item *item);

/* Removes the item; does nothing if it is not queued. */
void queue_remove(struct queue *queue, struct queue_item *item);

/* Marks the item as late; if it is queued, it moves behind those in time. */
void queue_set_late(struct queue *queue, struct queue_item *item);

/* Returns the part of the next item for the service, or NULL. */
gpointer queue_peek(const struct queue *queue, const char *service);

/* Whether others are ahead of the item, so that it has to be queued. */
bool queue_must_wait(const struct queue *queue, const char *service,
                     const struct queue_item *item);

/* Returns how many items of the service are in time and arrived at
 * `arrival_us` or before. */
uint32_t queue_ahead_count(const struct queue *queue, const char *service,
                           int64_t arrival_us);

/* Returns how many items of the service are queued. */
uint32_t queue_count(const struct queue *queue, const char *service);

/* Frees the empty lines of services that are not in the set of names. */
void queue_prune(struct queue *queue, GHashTable *services);

#endif
