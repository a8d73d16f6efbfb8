#include "gateway/cache.h"

static void
fed_known_free(gpointer data)
{
    struct fed_known *known = data;
    json_decref(known->spec);
    g_free(known);
}

static void
fed_removed_free(struct fed_removed *removed)
{
    g_free(removed->name);
    g_free(removed);
}

/* Keeps the end of an object for peers that ask what changed. */
static void
fed_keep_removed(struct fed *feed, const char *name, int64_t change)
{
    struct fed_removed *removed = g_new0(struct fed_removed, 1);
    removed->name = g_strdup(name);
    removed->change = change;
    g_queue_push_tail(&feed->removed, removed);
    if (feed->removed.length > FED_REMOVED_MAX) {
        struct fed_removed *oldest = g_queue_pop_head(&feed->removed);
        feed->floor = MAX(feed->floor, oldest->change);
        fed_removed_free(oldest);
    }
}

void
fed_init(struct fed *feed)
{
    *feed = (struct fed){.must_list = true};
    feed->known =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, fed_known_free);
    g_queue_init(&feed->removed);
}

void
fed_clear(struct fed *feed)
{
    fed_end_list(feed);
    g_hash_table_destroy(feed->known);
    while (!g_queue_is_empty(&feed->removed)) {
        fed_removed_free(g_queue_pop_head(&feed->removed));
    }
}

/* A list begins, unless one is under way. */
static void
fed_begin_list(struct fed *feed)
{
    if (feed->listed == NULL) {
        feed->listed =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        feed->list_revision = 0;
        feed->list_change = 0;
    }
}

void
fed_end_list(struct fed *feed)
{
    if (feed->listed != NULL) {
        g_hash_table_destroy(feed->listed);
        feed->listed = NULL;
    }
    g_free(feed->after);
    feed->after = NULL;
}

/* The change that a reply shows. */
static int64_t
fed_change_of(const struct fed_reply *reply)
{
    return reply->change > 0 ? reply->change : reply->current_revision;
}

static void
fed_apply(struct fed *feed, const struct fed_object *object, int64_t change,
          fed_object_cb on_object, void *ctx)
{
    struct fed_known *known = g_hash_table_lookup(feed->known, object->name);
    if (object->is_deleted) {
        if (known == NULL) {
            return;
        }
        g_hash_table_remove(feed->known, object->name);
        fed_keep_removed(feed, object->name, change);
    }
    else {
        if (known != NULL && known->revision >= object->revision) {
            return;
        }
        known = g_new0(struct fed_known, 1);
        known->revision = object->revision;
        known->spec = json_incref(object->spec);
        g_hash_table_replace(feed->known, g_strdup(object->name), known);
    }
    on_object(object, ctx);
}

/* Takes over the objects. Returns the newest change that they show, 0 for
 * none. */
static int64_t
fed_apply_all(struct fed *feed, const struct fed_reply *reply,
              fed_object_cb on_object, void *ctx)
{
    int64_t change = reply->change;
    for (size_t i = 0; i < reply->object_count; i++) {
        const struct fed_object *object = &reply->objects[i];
        if (feed->listed != NULL) {
            g_hash_table_add(feed->listed, g_strdup(object->name));
        }
        int64_t object_change =
            object->is_deleted ? fed_change_of(reply) : object->revision;
        change = MAX(change, object_change);
        fed_apply(feed, object, fed_change_of(reply), on_object, ctx);
    }
    return change;
}

/* Objects that a whole list does not name are gone. Returns whether there were
 * any. */
static bool
fed_remove_unlisted(struct fed *feed, int64_t change, fed_object_cb on_object,
                    void *ctx)
{
    bool has_removed = false;
    GList *names = g_hash_table_get_keys(feed->known);
    for (GList *item = names; item != NULL; item = item->next) {
        if (!g_hash_table_contains(feed->listed, item->data)) {
            char *name = g_strdup(item->data);
            struct fed_object object = {.name = name, .is_deleted = true};
            fed_apply(feed, &object, change, on_object, ctx);
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
fed_end_store_list(struct fed *feed, bool has_removed)
{
    int64_t change = has_removed ? feed->list_revision
                                 : MIN(feed->list_change, feed->list_revision);
    feed->change = MAX(feed->change, change);
    feed->checked_us = MAX(feed->checked_us, feed->list_us);
    feed->must_list = false;
    feed->revision = feed->list_revision;
    feed->seen_revision = feed->list_revision;
    feed->seen_us = feed->list_us;
}

/*
 * The next watch begins where this one ended if it had changes, else where the
 * one before it ended: a store that drops its history tells watches nothing
 * for a second before, and its answer then must not pass over what changed.
 */
static void
fed_end_watch(struct fed *feed, const struct fed_reply *reply, int64_t now_us)
{
    int64_t seen = MAX(feed->seen_revision, reply->current_revision);
    bool overlaps = reply->object_count == 0 &&
                    now_us - feed->seen_us < FED_OVERLAP_MAX_US;
    feed->revision = overlaps ? feed->seen_revision : seen;
    feed->seen_revision = seen;
    feed->seen_us = now_us;
}

static enum fed_result
fed_take_page(struct fed *feed, enum fed_source source,
              const struct fed_reply *reply, fed_object_cb on_object,
              void *ctx)
{
    if (reply->has_more && reply->object_count > 0) {
        g_free(feed->after);
        feed->after = g_strdup(reply->objects[reply->object_count - 1].name);
        return FED_PAGE;
    }
    bool has_removed =
        fed_remove_unlisted(feed, fed_change_of(reply), on_object, ctx);
    if (!feed->has_list) {
        /* Ends of objects before the first list were never known. */
        feed->floor = fed_change_of(reply);
    }
    if (source != FED_PEER) {
        fed_end_store_list(feed, has_removed);
    }
    fed_end_list(feed);
    feed->has_list = true;
    return FED_WHOLE;
}

enum fed_result
fed_take(struct fed *feed, enum fed_source source,
         const struct fed_reply *reply, int64_t now_us,
         fed_object_cb on_object, void *ctx)
{
    bool is_list =
        !reply->is_delta && (source != FED_WATCH || reply->is_whole);
    if (is_list) {
        fed_begin_list(feed);
    }
    if (is_list && feed->list_revision == 0) {
        feed->list_revision = fed_change_of(reply);
        feed->list_us = now_us;
    }
    int64_t change = fed_apply_all(feed, reply, on_object, ctx);
    if (source == FED_PEER) {
        /* A peer says how new its news are. */
        feed->change = MAX(feed->change, fed_change_of(reply));
    }
    else if (is_list) {
        feed->list_change = MAX(feed->list_change, change);
    }
    else {
        feed->change = MAX(feed->change, change);
        feed->checked_us = now_us;
    }
    if (is_list) {
        return fed_take_page(feed, source, reply, on_object, ctx);
    }
    if (reply->is_delta) {
        fed_end_list(feed);
        return FED_DELTA;
    }
    fed_end_watch(feed, reply, now_us);
    return reply->object_count > 0 ? FED_CHANGED : FED_SAME;
}

void
fed_take_whole(struct fed *feed, const struct fed_reply *reply,
               fed_object_cb on_object, void *ctx)
{
    fed_end_list(feed);
    fed_begin_list(feed);
    int64_t change = fed_apply_all(feed, reply, on_object, ctx);
    feed->change = MAX(feed->change, change);
    (void)fed_remove_unlisted(feed, reply->change, on_object, ctx);
    fed_end_list(feed);
    feed->has_list = true;
}
