#ifndef CH_GATEWAY_POSITION_H
#define CH_GATEWAY_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A position in the history of the store. A store that comes back from a copy
 * gives revisions out again for other changes, and counts such returns in its
 * era: only both together name a change. The module keeps no state.
 */

struct position {
    int64_t era;      /* 0: the store does not report one */
    int64_t revision; /* 0: before the first change */
};

/* Returns below, equal to or above 0 if `left` is before, at or after `right`.
 */
int position_compare(struct position left, struct position right);

/* Whether `position` is after `other`. */
bool position_is_after(struct position position, struct position other);

#endif
