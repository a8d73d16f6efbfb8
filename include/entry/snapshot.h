#ifndef CH_ENTRY_SNAPSHOT_H
#define CH_ENTRY_SNAPSHOT_H

#include <stdint.h>

#include "entry/plan.h"

/*
 * Picks the layout a query is pinned to: the highest version of which every
 * shard is offered; if there is none, the one with the highest coverage, the
 * higher version on a tie. `excluded` is a version that is known to be gone,
 * 0 for none. Returns NULL when nothing is offered.
 */
const struct pln_layout *snp_pick(const GPtrArray *layouts, uint64_t excluded);

/* The shard that holds `key`. `shards` is at least 1. */
uint64_t snp_key_shard(const char *key, uint64_t shards);

#endif
