#ifndef CH_RELAY_PICK_H
#define CH_RELAY_PICK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "relay/searcher.h"

#define PCK_AVOID_MAX 4

struct pck_request {
    uint64_t version;
    uint64_t shard;
    const struct sch *avoid[PCK_AVOID_MAX]; /* tried before */
    uint32_t avoid_count;
    bool is_strict; /* never one of `avoid` (hedges) */
    bool is_order;  /* needs a link proven live */
};

/*
 * The replica with the shortest expected wait that may take the part now.
 * Returns RC_OK and sets `*out`; RC_LIMIT when all that serve the part are
 * busy or without a link; else why none can serve it: RC_NO_SEARCHER,
 * RC_VERSION_GONE or RC_ZONE_OUT.
 */
int pck_choose(const GPtrArray *searchers, const struct pck_request *request,
               int64_t now_us, struct sch **out);

#endif
