#ifndef CH_GATEWAY_APPLY_H
#define CH_GATEWAY_APPLY_H

#include "gateway/app.h"

/*
 * Puts the objects of the store in force: decodes them by the deployment's
 * protocol and hands them to the gateway. As in struct sync_callbacks; `ctx`
 * is the struct app. Times are in microseconds of the monotonic clock.
 */

/* An object was changed or deleted; a deletion takes effect at `remove_us`. */
void apply_object(enum object_kind kind, const struct cache_object *object,
                  int64_t remove_us, int64_t now_us, void *ctx);

/* Whether the held state stays in force, or deleted, instead of `listed`. */
bool apply_outlives(enum object_kind kind, const struct cache_object *held,
                    const struct cache_object *listed, enum cache_past what,
                    void *ctx);

/* Memory in bytes of what is made of an object in force. */
uint64_t apply_decoded_bytes(enum object_kind kind,
                             const struct cache_object *object, void *ctx);

#endif
