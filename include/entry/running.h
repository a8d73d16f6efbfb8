#ifndef CH_ENTRY_RUNNING_H
#define CH_ENTRY_RUNNING_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Tables of running requests, and the order that such a table holds. */

/* What a caller wants to be run, and until when. */
struct run_order {
    const char *id;
    const char *service;
    const char *key;
    const void *body;
    size_t body_bytes;
    int64_t deadline_us;
};

/* A copy that owns what it points to; free with run_order_clear(). */
struct run_order run_order_copy(const struct run_order *order);

void run_order_clear(struct run_order *order);

/* A table by a uint64_t that is part of the value. */
GHashTable *run_table_new(GDestroyNotify value_free);

/* The values, safe to walk while some of them end. */
GPtrArray *run_table_values(GHashTable *table);

#endif
