#ifndef CH_CTL_OBJECT_H
#define CH_CTL_OBJECT_H

#include "ctl/ctl.h"

/* An object of the store as it was read. */
struct object {
    const char *kind;
    const char *name;
    /* Key inside the value of a number that grows by 1 with each change, or
     * NULL when there is none. */
    const char *number_key;
    int64_t version; /* 0: it does not exist */
    json_t *value;   /* NULL: it does not exist */
};

void object_clear(struct object *object);

/* The number at `number_key`, or 0 when there is none. */
int64_t object_number(const struct object *object);

/*
 * Reads the object named in `object` until the deadline. An object that does
 * not exist is RC_OK with version 0. Otherwise RC_STORE_DOWN.
 */
int object_read(const struct ctl *ctl, struct object *object);

/*
 * Replaces the value if the object is still as it was read; resolves lost
 * replies by reading the object back. Returns RC_OK; RC_CONFLICT when it had
 * changed; RC_INVALID when the store refuses the value; RC_STORE_DOWN when
 * nothing can have been written; RC_OUTCOME_UNKNOWN.
 */
int object_update(const struct ctl *ctl, const struct object *object,
                  const json_t *value);

#endif
