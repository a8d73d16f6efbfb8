#ifndef CH_STANDIN_FLEET_ADMIN_H
#define CH_STANDIN_FLEET_ADMIN_H

#include <jansson.h>

#include "standin/searcher.h"

/*
 * Applies the switches of an admin call, except "searcher", to one searcher.
 * Returns RC_OK, or RC_BAD_FIELD with the name of the bad switch in `bad`;
 * switches before it have taken effect.
 */
int fleet_admin_apply(struct searcher *searcher, const json_t *switches,
                      const char **bad);

/*
 * Whether "searcher" of an admin call (an index, "all" or {"zone": name})
 * selects this one.
 */
bool fleet_admin_selects(const json_t *selector,
                         const struct searcher *searcher, uint32_t index);

/* The searcher's counters. */
json_t *fleet_admin_stats(const struct searcher *searcher, uint32_t index);

#endif
