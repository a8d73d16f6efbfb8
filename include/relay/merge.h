#ifndef CH_RELAY_MERGE_H
#define CH_RELAY_MERGE_H

#include <glib.h>
#include <stdint.h>

#include "common/msg.h"

/* The best hits of several parts. */
struct mrg {
    GArray *hits; /* struct msg_hit with ids of their own */
    uint32_t limit;
};

void mrg_init(struct mrg *merge, uint32_t limit);

void mrg_clear(struct mrg *merge);

/* Adds the hits of one part; the ids are copied. */
void mrg_add(struct mrg *merge, const struct msg_hit *hits, size_t count);

/* Sorts, highest score first and equal scores by id, and cuts to the limit. */
void mrg_finish(struct mrg *merge);

#endif
