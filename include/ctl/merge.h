#ifndef CH_CTL_MERGE_H
#define CH_CTL_MERGE_H

#include "ctl/tree.h"

/*
 * Merges an overlay into `base`: maps by key, lists of maps by their `name`,
 * scalars replace, `remove: true` on an item deletes it. Added items follow
 * those of the base. Consumes `overlay`. Returns RC_OK, or RC_INVALID with
 * "FILE:LINE: field: what" in `*error`; `base` is then partly merged and only
 * good for tree_free(). Indexes in the field are those of the overlay.
 */
int merge_apply(struct tree_node *base, struct tree_node *overlay,
                char **error);

#endif
