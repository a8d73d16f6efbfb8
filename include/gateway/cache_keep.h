#ifndef CH_GATEWAY_CACHE_KEEP_H
#define CH_GATEWAY_CACHE_KEEP_H

#include "gateway/cache.h"

/*
 * What of a cache outlives a return of the store to an older copy, by the
 * rules of its kind. Only cache.c uses it. Times are in microseconds of the
 * monotonic clock; the module does no I/O.
 */

/* Whether the object comes from a copy that the store has returned to since
 * the content was last complete. */
bool cache_keep_is_return(const struct cache *cache,
                          const struct cache_object *object);

/* The state before its deletion of an object that a copy still has, if that
 * stays deleted: it was deleted lately, and that, or the state that it had,
 * outlives what is listed. `entry` may be NULL. Returns a new reference, or
 * NULL. Sets whether it is only presumed to be gone, see struct cache_entry.
 */
json_t *cache_keep_deleted_spec(const struct cache *cache,
                                const struct cache_entry *entry,
                                const struct cache_object *object,
                                int64_t now_us, bool *is_presumed);

/* What stays in force instead of an object of the store or of a peer: what
 * `entry`, which may be NULL, holds, or what the peer keeps. Returns a new
 * reference, or NULL. */
json_t *cache_keep_spec(const struct cache *cache,
                        const struct cache_entry *entry,
                        const struct cache_object *object, bool is_return);

/* A peer may keep another state in force than the one that both have from the
 * store: takes it if it outlives the one in force here. It may also know that
 * the store has lost the object. */
void cache_keep_take(struct cache *cache, struct cache_entry *entry,
                     const struct cache_object *object, int64_t now_us,
                     cache_object_cb on_object, void *ctx);

/* Something outlives a return: the hold lasts for at least `hold_us` from now,
 * 0: for its whole time. */
void cache_keep_hold(struct cache *cache, int64_t hold_us, int64_t now_us);

/* Takes that a peer withholds or keeps the object that both have from the
 * store. Returns whether anything was taken. */
bool cache_keep_take_held(struct cache *cache, struct cache_entry *entry,
                          const struct cache_object *object, int64_t now_us,
                          cache_object_cb on_object, void *ctx);

/* Whether the object was deleted in the era of the content, or its hold has
 * ended in it. */
bool cache_keep_is_gone(const struct cache *cache, const char *name,
                        int64_t now_us);

/* Whether an object that a list as of `change` lacks stays. */
bool cache_keep_holds_missing(const struct cache *cache,
                              const struct cache_entry *entry,
                              struct position change, int64_t now_us);

/* Counts what the entry takes now, which must be no more than before, or
 * there must be room for it. Returns whether there was. */
bool cache_charge(struct cache *cache, const char *name,
                  struct cache_entry *entry);

/* Removes the entry with this name. Reports that unless it was withheld.
 * `gone_us` is as in struct cache_tombstone (cache.c). */
void cache_delete(struct cache *cache, const char *name,
                  struct position change, int64_t gone_us,
                  cache_object_cb on_object, void *ctx);

#endif
