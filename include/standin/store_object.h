#ifndef CH_STANDIN_STORE_OBJECT_H
#define CH_STANDIN_STORE_OBJECT_H

#include <jansson.h>
#include <stdint.h>

#define STORE_OBJECT_VALUE_MAX_BYTES (1024 * 1024)

/*
 * The objects of the stand-in store, in memory. Each kind has one version
 * counter; an object's version is the kind's version at the object's last
 * change. A version is therefore never reused for another value, also when an
 * object is deleted and created again.
 */
struct store_objects;

struct store_objects *store_objects_new(void);

void store_objects_free(struct store_objects *store);

/* Version of the kind, 0 before its first change. */
int64_t store_object_kind_version(const struct store_objects *store,
                                  const char *kind);

/* Version of the object, 0 if it doesn't exist. */
int64_t store_object_version(const struct store_objects *store,
                             const char *kind, const char *name);

/* The object as JSON text, owned by the store, or NULL if there is none. */
const char *store_object_get(const struct store_objects *store,
                             const char *kind, const char *name);

/* All objects of the kind in name order as JSON text; free with g_free. */
char *store_object_list(const struct store_objects *store, const char *kind);

/*
 * Writes the object if its version is `version` (0: it must not exist).
 * Returns RC_OK, RC_CONFLICT, or RC_TOO_LARGE when the value's JSON text is
 * longer than STORE_OBJECT_VALUE_MAX_BYTES.
 */
int store_object_put(struct store_objects *store, const char *kind,
                     const char *name, int64_t version, const json_t *value);

/*
 * Deletes the object if its version is `version`; a negative one matches any
 * version. Returns RC_OK, RC_CONFLICT or RC_NOT_FOUND.
 */
int store_object_delete(struct store_objects *store, const char *kind,
                        const char *name, int64_t version);

#endif
