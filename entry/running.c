#include "entry/running.h"

struct run_order
run_order_copy(const struct run_order *order)
{
    return (struct run_order){
        .id = g_strdup(order->id),
        .service = g_strdup(order->service),
        .key = g_strdup(order->key),
        .body = g_memdup2(order->body, order->body_bytes),
        .body_bytes = order->body_bytes,
        .deadline_us = order->deadline_us,
    };
}

void
run_order_clear(struct run_order *order)
{
    g_free((gpointer)order->id);
    g_free((gpointer)order->service);
    g_free((gpointer)order->key);
    g_free((gpointer)order->body);
    *order = (struct run_order){.id = NULL};
}

GHashTable *
run_table_new(GDestroyNotify value_free)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                 value_free);
}

GPtrArray *
run_table_values(GHashTable *table)
{
    GPtrArray *values = g_ptr_array_sized_new(g_hash_table_size(table));
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, table);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(values, value);
    }
    return values;
}
