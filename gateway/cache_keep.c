#include "gateway/cache_keep.h"

/* What outlives a return of the store to an older copy. */

struct cache_object
cache_object_of(const char *name, const struct cache_entry *entry)
{
    return (struct cache_object){
        .name = name,
        .position = entry->position,
        .spec = entry->kept_spec != NULL ? entry->kept_spec : entry->spec,
    };
}

bool
cache_keep_is_return(const struct cache *cache,
                     const struct cache_object *object)
{
    return cache->has_list && object->position.era > cache->change.era;
}

static bool
cache_keep_outlives(const struct cache *cache, const struct cache_object *held,
                    const struct cache_object *object, enum cache_past what)
{
    return cache->rules.outlives != NULL &&
           cache->rules.outlives(held, object, what, cache->rules.ctx);
}

/* Returns the latest tombstone of the object if a copy may have it still, or
 * NULL. */
static const struct cache_tombstone *
cache_keep_find_tombstone(const struct cache *cache, const char *name,
                          int64_t now_us)
{
    for (const GList *item = cache->tombstones.tail; item != NULL;
         item = item->prev) {
        const struct cache_tombstone *tombstone = item->data;
        if (g_strcmp0(tombstone->name, name) == 0) {
            return now_us - tombstone->gone_us < CACHE_COPY_AGE_MAX_US
                       ? tombstone
                       : NULL;
        }
    }
    return NULL;
}

json_t *
cache_keep_deleted_spec(const struct cache *cache,
                        const struct cache_entry *entry,
                        const struct cache_object *object, int64_t now_us,
                        bool *is_presumed)
{
    struct cache_object held = {.name = object->name};
    enum cache_past what = CACHE_PAST_DELETED;
    if (entry != NULL) {
        held.spec =
            entry->is_withheld ? cache_object_of(NULL, entry).spec : NULL;
        *is_presumed = entry->is_presumed;
    }
    else {
        const struct cache_tombstone *tombstone =
            cache_keep_find_tombstone(cache, object->name, now_us);
        held.spec = tombstone != NULL ? tombstone->spec : NULL;
        *is_presumed = tombstone != NULL && tombstone->is_presumed;
        /* Until it is known to be gone for good, its state counts. */
        what = tombstone != NULL && now_us >= tombstone->gone_us
                   ? CACHE_PAST_DELETED
                   : CACHE_PAST_IN_FORCE;
    }
    bool stays_deleted =
        held.spec != NULL && cache_keep_outlives(cache, &held, object, what);
    return stays_deleted ? json_incref(held.spec) : NULL;
}

json_t *
cache_keep_spec(const struct cache *cache, const struct cache_entry *entry,
                const struct cache_object *object, bool is_return)
{
    struct cache_object in_force = *object;
    if (object->kept_spec != NULL) {
        in_force.spec = object->kept_spec;
    }
    if (entry != NULL && !entry->is_withheld &&
        (is_return || entry->kept_spec != NULL)) {
        struct cache_object held = cache_object_of(object->name, entry);
        enum cache_past what =
            is_return ? CACHE_PAST_IN_FORCE : CACHE_PAST_KEPT;
        if (cache_keep_outlives(cache, &held, &in_force, what)) {
            return json_incref(held.spec);
        }
    }
    return json_incref(object->kept_spec);
}

void
cache_keep_hold(struct cache *cache, int64_t hold_us, int64_t now_us)
{
    int64_t left_us =
        hold_us > 0 ? MIN(hold_us, CACHE_HOLD_US) : CACHE_HOLD_US;
    cache->kept += 1;
    cache->has_held = true;
    cache->hold_until_us = MAX(cache->hold_until_us, now_us + left_us);
}

void
cache_keep_take(struct cache *cache, struct cache_entry *entry,
                const struct cache_object *object, int64_t now_us,
                cache_object_cb on_object, void *ctx)
{
    if (object->is_missing && !entry->is_missing) {
        entry->is_missing = true;
        cache_keep_hold(cache, object->hold_us, now_us);
    }
    if (position_compare(entry->position, object->position) != 0) {
        return;
    }
    struct cache_object kept = *object;
    kept.spec = object->kept_spec;
    struct cache_object in_force = cache_object_of(object->name, entry);
    if (kept.spec == NULL ||
        !cache_keep_outlives(cache, &kept, &in_force, CACHE_PAST_KEPT)) {
        return;
    }
    json_t *before = entry->kept_spec;
    entry->kept_spec = kept.spec;
    if (!cache_charge(cache, object->name, entry)) {
        entry->kept_spec = before;
        return;
    }
    json_incref(entry->kept_spec);
    json_decref(before);
    on_object(&kept, ctx);
}

bool
cache_keep_take_held(struct cache *cache, struct cache_entry *entry,
                     const struct cache_object *object, int64_t now_us,
                     cache_object_cb on_object, void *ctx)
{
    struct cache_object kept = *object;
    kept.spec = object->kept_spec;
    struct cache_object in_force = cache_object_of(object->name, entry);
    bool is_kept =
        !object->is_withheld && kept.spec != NULL &&
        cache_keep_outlives(cache, &kept, &in_force, CACHE_PAST_IN_FORCE);
    if (entry->is_withheld || (!object->is_withheld && !is_kept)) {
        return false;
    }
    json_t *before = entry->kept_spec;
    entry->kept_spec = object->kept_spec;
    if (!cache_charge(cache, object->name, entry)) {
        entry->kept_spec = before;
        return false;
    }
    json_incref(entry->kept_spec);
    json_decref(before);
    entry->is_withheld = object->is_withheld;
    entry->is_presumed = object->is_presumed;
    cache_keep_hold(cache, object->hold_us, now_us);
    const struct cache_object gone = {.name = object->name,
                                      .is_deleted = true};
    on_object(object->is_withheld ? &gone : &kept, ctx);
    return true;
}

bool
cache_keep_is_gone(const struct cache *cache, const char *name, int64_t now_us)
{
    const struct cache_tombstone *tombstone =
        cache_keep_find_tombstone(cache, name, now_us);
    return tombstone != NULL && tombstone->change.era >= cache->change.era;
}

bool
cache_is_held(const struct cache_entry *entry)
{
    return entry->kept_spec != NULL || entry->is_missing || entry->is_withheld;
}

bool
cache_keep_holds_missing(const struct cache *cache,
                         const struct cache_entry *entry,
                         struct position change, int64_t now_us)
{
    if (entry->position.era >= change.era) {
        return false;
    }
    bool is_held =
        change.era > cache->change.era || now_us < cache->hold_until_us;
    return cache->rules.missing == CACHE_MISSING_KEPT ||
           (cache->rules.missing == CACHE_MISSING_HELD && is_held);
}

/* Ends the hold of one entry. */
static void
cache_keep_release(struct cache *cache, const char *name,
                   struct cache_entry *entry, int64_t now_us,
                   cache_object_cb on_object, void *ctx)
{
    if (entry->is_missing && cache->rules.missing == CACHE_MISSING_HELD) {
        cache->released += 1;
        cache_delete(cache, name, cache->change, now_us, on_object, ctx);
        return;
    }
    struct cache_object held = cache_object_of(name, entry);
    struct cache_object object = held;
    object.spec = entry->spec;
    bool is_kept =
        entry->kept_spec != NULL &&
        !cache_keep_outlives(cache, &held, &object, CACHE_PAST_KEPT);
    if (!is_kept && !entry->is_withheld) {
        return;
    }
    cache->released += 1;
    entry->is_withheld = false;
    if (is_kept) {
        json_decref(entry->kept_spec);
        entry->kept_spec = NULL;
        (void)cache_charge(cache, name, entry);
    }
    on_object(&object, ctx);
}

void
cache_tick(struct cache *cache, int64_t now_us, cache_object_cb on_object,
           void *ctx)
{
    if (cache->hold_until_us == 0 || now_us < cache->hold_until_us) {
        return;
    }
    cache->hold_until_us = 0;
    cache->has_held = false;
    GList *names = g_hash_table_get_keys(cache->entries);
    for (GList *item = names; item != NULL; item = item->next) {
        char *name = g_strdup(item->data);
        struct cache_entry *entry = g_hash_table_lookup(cache->entries, name);
        cache_keep_release(cache, name, entry, now_us, on_object, ctx);
        g_free(name);
    }
    g_list_free(names);
}
