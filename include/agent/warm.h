#ifndef CH_AGENT_WARM_H
#define CH_AGENT_WARM_H

#include <stddef.h>

#include "common/msg.h"

/* An owned copy of the list of warm searchers that goes with a contract. */
struct wrm {
    struct msg_warm *items;
    size_t count;
};

/* Replaces the list by a copy of `items`. */
void wrm_set(struct wrm *list, const struct msg_warm *items, size_t count);

void wrm_clear(struct wrm *list);

#endif
