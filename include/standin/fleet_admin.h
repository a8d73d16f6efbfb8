#ifndef CH_STANDIN_FLEET_ADMIN_H
#define CH_STANDIN_FLEET_ADMIN_H

#include <jansson.h>

#include "standin/searcher.h"

/*
 * The admin calls of the stand-in backend servers: a test changes the state of
 * selected searchers and reads their counters. standin-searcher(1) lists the
 * fields.
 */

/*
 * Applies the fields of an admin call, except "searcher", to one searcher.
 * Returns RC_OK, or RC_BAD_FIELD with the name of the rejected field in
 * `*bad_field`; the fields before it have taken effect.
 */
int fleet_admin_apply(struct searcher *searcher, const json_t *fields,
                      const char **bad_field);

/*
 * Whether `selector`, the field "searcher" of an admin call (an index, "all"
 * or {"zone": name}), selects the searcher with this index.
 */
bool fleet_admin_selects(const json_t *selector,
                         const struct searcher *searcher, uint32_t index);

/* Counters of the searcher as a JSON object; release with json_decref. */
json_t *fleet_admin_stats(const struct searcher *searcher, uint32_t index);

#endif
