#ifndef CH_CTL_OBJECT_H
#define CH_CTL_OBJECT_H

#include "ctl/ctl.h"

/*
 * Reads and conditionally updates one object of the platform's store. Reads
 * and updates are retried until the deadline of the run.
 */

/* An object as it was read. */
struct object {
    const char *kind;
    const char *name;
    /* Key in `value` of its revision number, which each update increments by
     * 1; NULL when it has none. */
    const char *revision_key;
    int64_t version; /* of the store's entry; 0: there is no such object */
    json_t *value;   /* NULL: there is no such object */
};

void object_clear(struct object *object);

/* The value at `revision_key`, or 0 when there is none. */
int64_t object_revision(const struct object *object);

/*
 * Reads the object with the `kind` and `name` in `object` and fills in the
 * rest; free it with object_clear(). Returns RC_OK, with version 0 when there
 * is no such object, or RC_STORE_DOWN.
 */
int object_read(const struct ctl *ctl, struct object *object);

/*
 * Replaces the value if the store's object still has the version that was
 * read. When a reply is lost, reads the object back to find out whether the
 * update took effect. Returns RC_OK; RC_CONFLICT when the object had changed;
 * RC_INVALID when the store refuses the value; RC_STORE_DOWN when nothing can
 * have been written; RC_OUTCOME_UNKNOWN when the update may have taken effect.
 */
int object_update(const struct ctl *ctl, const struct object *object,
                  const json_t *value);

#endif
