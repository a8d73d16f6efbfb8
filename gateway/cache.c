#include "gateway/cache.h"

static void
cache_known_free(gpointer data)
{
    struct cache_known *known = data;
    json_decref(known->spec);
    g_free(known);
}

static void
cache_removed_free(struct cache_removed *removed)
{
    g_free(removed->name);
    g_free(removed);
}

/* Keeps the end of an object for peers that ask what changed. */
static void
cache_keep_removed(struct cache *cache, const char *name, int64_t change)
{
    struct cache_removed *removed = g_new0(struct cache_removed, 1);
    removed->name = g_strdup(name);
    removed->change = change;
    g_queue_push_tail(&cache->removed, removed);
    if (cache->removed.length > CACHE_REMOVED_MAX) {
        struct cache_removed *oldest = g_queue_pop_head(&cache->removed);
        cache->floor = MAX(cache->floor, oldest->change);
        cache_removed_free(oldest);
    }
}

void
cache_init(struct cache *cache)
{
    *cache = (struct cache){.must_list = true};
    cache->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                         cache_known_free);
    g_queue_init(&cache->removed);
}

void
cache_clear(struct cache *cache)
{
    cache_end_list(cache);
    g_hash_table_destroy(cache->known);
    while (!g_queue_is_empty(&cache->removed)) {
        cache_removed_free(g_queue_pop_head(&cache->removed));
    }
}

/* A list begins, unless one is under way. */
static void
cache_begin_list(struct cache *cache)
{
    if (cache->listed == NULL) {
        cache->listed =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        cache->list_revision = 0;
        cache->list_change = 0;
    }
}

void
cache_end_list(struct cache *cache)
{
    if (cache->listed != NULL) {
        g_hash_table_destroy(cache->listed);
        cache->listed = NULL;
    }
    g_free(cache->after);
    cache->after = NULL;
}

/* The change that a reply shows. */
static int64_t
cache_change_of(const struct store_reply *reply)
{
    return reply->change > 0 ? reply->change : reply->current_revision;
}

static void
cache_apply(struct cache *cache, const struct cache_object *object,
            int64_t change, cache_object_cb on_object, void *ctx)
{
    struct cache_known *known =
        g_hash_table_lookup(cache->known, object->name);
    if (object->is_deleted) {
        if (known == NULL) {
            return;
        }
        g_hash_table_remove(cache->known, object->name);
        cache_keep_removed(cache, object->name, change);
    }
    else {
        if (known != NULL && known->revision >= object->revision) {
            return;
        }
        known = g_new0(struct cache_known, 1);
        known->revision = object->revision;
        known->spec = json_incref(object->spec);
        g_hash_table_replace(cache->known, g_strdup(object->name), known);
    }
    on_object(object, ctx);
}

/* Takes over the objects. Returns the newest change that they show, 0 for
 * none. */
static int64_t
cache_apply_all(struct cache *cache, const struct store_reply *reply,
                cache_object_cb on_object, void *ctx)
{
    int64_t change = reply->change;
    for (size_t i = 0; i < reply->object_count; i++) {
        const struct cache_object *object = &reply->objects[i];
        if (cache->listed != NULL) {
            g_hash_table_add(cache->listed, g_strdup(object->name));
        }
        int64_t object_change =
            object->is_deleted ? cache_change_of(reply) : object->revision;
        change = MAX(change, object_change);
        cache_apply(cache, object, cache_change_of(reply), on_object, ctx);
    }
    return change;
}

/* Objects that a whole list does not name are gone. Returns whether there were
 * any. */
static bool
cache_remove_unlisted(struct cache *cache, int64_t change,
                      cache_object_cb on_object, void *ctx)
{
    bool has_removed = false;
    GList *names = g_hash_table_get_keys(cache->known);
    for (GList *item = names; item != NULL; item = item->next) {
        if (!g_hash_table_contains(cache->listed, item->data)) {
            char *name = g_strdup(item->data);
            struct cache_object object = {.name = name, .is_deleted = true};
            cache_apply(cache, &object, change, on_object, ctx);
            g_free(name);
            has_removed = true;
        }
    }
    g_list_free(names);
    return has_removed;
}

/* The end of a list of the store. What changed while its pages were read may
 * be missing on the first ones, so that all counts as of the first page. */
static void
cache_end_store_list(struct cache *cache, bool has_removed)
{
    int64_t change = has_removed
                         ? cache->list_revision
                         : MIN(cache->list_change, cache->list_revision);
    cache->change = MAX(cache->change, change);
    cache->checked_us = MAX(cache->checked_us, cache->list_us);
    cache->must_list = false;
    cache->revision = cache->list_revision;
    cache->seen_revision = cache->list_revision;
    cache->seen_us = cache->list_us;
}

/*
 * The next watch begins where this one ended if it had changes, else where the
 * one before it ended: a store that drops its history tells watches nothing
 * for a second before, and its answer then must not pass over what changed.
 */
static void
cache_end_watch(struct cache *cache, const struct store_reply *reply,
                int64_t now_us)
{
    int64_t seen = MAX(cache->seen_revision, reply->current_revision);
    bool overlaps = reply->object_count == 0 &&
                    now_us - cache->seen_us < CACHE_OVERLAP_MAX_US;
    cache->revision = overlaps ? cache->seen_revision : seen;
    cache->seen_revision = seen;
    cache->seen_us = now_us;
}

static enum cache_result
cache_take_page(struct cache *cache, enum cache_source source,
                const struct store_reply *reply, cache_object_cb on_object,
                void *ctx)
{
    if (reply->has_more && reply->object_count > 0) {
        g_free(cache->after);
        cache->after = g_strdup(reply->objects[reply->object_count - 1].name);
        return CACHE_PAGE;
    }
    bool has_removed =
        cache_remove_unlisted(cache, cache_change_of(reply), on_object, ctx);
    if (!cache->has_list) {
        /* Ends of objects before the first list were never known. */
        cache->floor = cache_change_of(reply);
    }
    if (source != CACHE_PEER) {
        cache_end_store_list(cache, has_removed);
    }
    cache_end_list(cache);
    cache->has_list = true;
    return CACHE_WHOLE;
}

enum cache_result
cache_take(struct cache *cache, enum cache_source source,
           const struct store_reply *reply, int64_t now_us,
           cache_object_cb on_object, void *ctx)
{
    bool is_list =
        !reply->is_delta && (source != CACHE_WATCH || reply->is_whole);
    if (is_list) {
        cache_begin_list(cache);
    }
    if (is_list && cache->list_revision == 0) {
        cache->list_revision = cache_change_of(reply);
        cache->list_us = now_us;
    }
    int64_t change = cache_apply_all(cache, reply, on_object, ctx);
    if (source == CACHE_PEER) {
        /* A peer says how new its news are. */
        cache->change = MAX(cache->change, cache_change_of(reply));
    }
    else if (is_list) {
        cache->list_change = MAX(cache->list_change, change);
    }
    else {
        cache->change = MAX(cache->change, change);
        cache->checked_us = now_us;
    }
    if (is_list) {
        return cache_take_page(cache, source, reply, on_object, ctx);
    }
    if (reply->is_delta) {
        cache_end_list(cache);
        return CACHE_DELTA;
    }
    cache_end_watch(cache, reply, now_us);
    return reply->object_count > 0 ? CACHE_CHANGED : CACHE_SAME;
}

void
cache_take_whole(struct cache *cache, const struct store_reply *reply,
                 cache_object_cb on_object, void *ctx)
{
    cache_end_list(cache);
    cache_begin_list(cache);
    int64_t change = cache_apply_all(cache, reply, on_object, ctx);
    cache->change = MAX(cache->change, change);
    (void)cache_remove_unlisted(cache, reply->change, on_object, ctx);
    cache_end_list(cache);
    cache->has_list = true;
}
