#include <glib.h>

#include "agent/warm.h"

void
wrm_clear(struct wrm *list)
{
    for (size_t i = 0; i < list->count; i++) {
        g_free((char *)list->items[i].address);
    }
    g_free(list->items);
    *list = (struct wrm){.count = 0};
}

void
wrm_set(struct wrm *list, const struct msg_warm *items, size_t count)
{
    wrm_clear(list);
    list->items = g_new0(struct msg_warm, count);
    list->count = count;
    for (size_t i = 0; i < count; i++) {
        list->items[i] = (struct msg_warm){
            .address = g_strdup(items[i].address),
            .start = items[i].start,
        };
    }
}
