#ifndef CH_CTL_MERGE_H
#define CH_CTL_MERGE_H

#include "ctl/tree.h"

/*
 * Merges an overlay into `base`: maps by key, lists of maps by the items'
 * `name`; a scalar replaces the base's one, and an item with `remove: true`
 * deletes the base's item. New items are appended. Frees `overlay`. Returns
 * RC_OK, or RC_INVALID with "FILE:LINE: field: what" in `*error`, where list
 * indexes in the field are those of the overlay; `base` is then partly merged
 * and must be freed.
 */
int merge_apply(struct tree_node *base, struct tree_node *overlay,
                char **error);

#endif
