#ifndef CH_GATEWAY_QUEUE_H
#define CH_GATEWAY_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Parts that wait until a backend server of their service may take one, and
 * the order in which they get it.
 *
 * Answers the load beyond what the backend servers bear: in the order of
 * arrival all searches would be late. Those that can still meet their
 * objective go first, oldest first, so that a search gets its parts of all
 * shards at about the same time. Those that are late get what is left.
 */

struct queue_line;

/* Belongs to the waiting part. */
struct queue_item {
    GList link;              /* its data is the part */
    struct queue_line *line; /* NULL: it does not wait */
    int64_t arrival_us;      /* when the caller came first */
    bool is_late;
};

/* Those that wait for one service. */
struct queue_line {
    GQueue in_time;
    GQueue late;
};

struct queue {
    GHashTable *lines; /* name of the service -> struct queue_line */
    uint32_t count;    /* of all items */
};

void queue_init(struct queue *queue);

/* No item may be waiting. */
void queue_clear(struct queue *queue);

/* Adds an item that does not wait; `arrival_us` and `is_late` are set. */
void queue_push(struct queue *queue, const char *service,
                struct queue_item *item);

/* Removes the item; nothing happens when it does not wait. */
void queue_remove(struct queue *queue, struct queue_item *item);

/* From now on the item is late. */
void queue_set_late(struct queue *queue, struct queue_item *item);

/* The owner of the item that is next in the line of the service, or NULL. */
gpointer queue_peek(const struct queue *queue, const char *service);

/* Whether an item that came then has to wait for others. */
bool queue_must_wait(const struct queue *queue, const char *service,
                     const struct queue_item *item);

/* Items of the service that are not late and came before `arrival_us`. */
uint32_t queue_ahead_count(const struct queue *queue, const char *service,
                           int64_t arrival_us);

/* All items of the service. */
uint32_t queue_count(const struct queue *queue, const char *service);

/* Forgets empty lines of services that are not in the set of names. */
void queue_prune(struct queue *queue, GHashTable *services);

#endif
