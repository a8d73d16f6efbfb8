#ifndef CH_GATEWAY_SPLIT_H
#define CH_GATEWAY_SPLIT_H

#include <glib.h>
#include <stdint.h>

#include "gateway/config.h"

/*
 * Divides the requests of each route among its targets by weight (smooth
 * weighted round robin). The state of a route lasts while its weights stay the
 * same, over any number of configurations. The owner of the table is the only
 * user.
 */

/* Returns an empty table, route name -> state; free with
 * g_hash_table_destroy(). */
GHashTable *split_table_new(void);

/* Returns the index of the target of the route's next request. */
uint32_t split_pick(GHashTable *splits, const struct route *route);

#endif
