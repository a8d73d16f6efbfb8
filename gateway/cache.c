#include <inttypes.h>
#include <string.h>

#include "common/json_room.h"
#include "common/log.h"
#include "gateway/cache_keep.h"

/* Of an entry: slots of the table, which is at least a third full, and what
 * the allocator adds to its blocks. */
#define CACHE_SLOT_BYTES 96

static void
cache_entry_free(gpointer data)
{
    struct cache_entry *entry = data;
    json_decref(entry->spec);
    json_decref(entry->kept_spec);
    g_free(entry);
}

static void
cache_tombstone_free(struct cache_tombstone *tombstone)
{
    g_free(tombstone->name);
    json_decref(tombstone->spec);
    g_free(tombstone);
}

static struct position
cache_position_max(struct position left, struct position right)
{
    return position_is_after(right, left) ? right : left;
}

/* Drops the oldest deletion that is known. */
static void
cache_drop_tombstone(struct cache *cache)
{
    struct cache_tombstone *oldest = g_queue_pop_head(&cache->tombstones);
    cache->tombstone_floor =
        cache_position_max(cache->tombstone_floor, oldest->change);
    if (cache->room != NULL) {
        object_room_give_back(cache->room, cache->kind, oldest->bytes);
    }
    cache_tombstone_free(oldest);
}

/* Keeps the deletion of an object, for peers that ask for changes and for a
 * copy that has it still. It takes over the `bytes` of the object. */
static void
cache_add_tombstone(struct cache *cache, const struct cache_object *in_force,
                    uint64_t bytes, struct position change, int64_t gone_us)
{
    struct cache_tombstone *tombstone = g_new0(struct cache_tombstone, 1);
    tombstone->name = g_strdup(in_force->name);
    tombstone->change = change;
    tombstone->spec = json_incref(in_force->spec);
    tombstone->gone_us = gone_us;
    tombstone->bytes = bytes;
    g_queue_push_tail(&cache->tombstones, tombstone);
    if (cache->tombstones.length > CACHE_TOMBSTONES_MAX) {
        cache_drop_tombstone(cache);
    }
}

/* What an object takes, also of those that are not in the store. */
static uint64_t
cache_object_bytes(const struct cache *cache,
                   const struct cache_object *object)
{
    struct cache_object in_force = *object;
    in_force.spec =
        object->kept_spec != NULL ? object->kept_spec : object->spec;
    uint64_t decoded_bytes =
        cache->rules.decoded_bytes != NULL
            ? cache->rules.decoded_bytes(&in_force, cache->rules.ctx)
            : 0;
    return sizeof(struct cache_entry) + CACHE_SLOT_BYTES +
           strlen(object->name) + json_room_size(object->spec) +
           json_room_size(object->kept_spec) + decoded_bytes;
}

/* Takes `bytes` instead of `held_bytes`. Known deletions make room if it is
 * needed. Returns whether there was room. */
static bool
cache_swap_room(struct cache *cache, uint64_t held_bytes, uint64_t bytes)
{
    if (cache->room == NULL) {
        return true;
    }
    if (bytes <= held_bytes) {
        object_room_give_back(cache->room, cache->kind, held_bytes - bytes);
        return true;
    }
    while (!object_room_take(cache->room, cache->kind, bytes - held_bytes)) {
        if (g_queue_is_empty(&cache->tombstones)) {
            return false;
        }
        cache_drop_tombstone(cache);
    }
    return true;
}

/* Counts an object that had no room. Only the first one of a list or reply is
 * logged: the others would crowd out other lines. */
static void
cache_count_lacking(struct cache *cache, const char *name, uint64_t bytes)
{
    if (cache->lacking == 0) {
        log_sample("cache",
                   "no room for an object, not taken name=%s bytes=%" PRIu64
                   " max_bytes=%" PRIu64,
                   name, bytes, object_room_max(cache->room));
    }
    cache->lacking += 1;
    cache->no_room += 1;
}

bool
cache_charge(struct cache *cache, const char *name, struct cache_entry *entry)
{
    const struct cache_object object = {
        .name = name,
        .position = entry->position,
        .spec = entry->spec,
        .kept_spec = entry->kept_spec,
    };
    uint64_t bytes = cache_object_bytes(cache, &object);
    if (!cache_swap_room(cache, entry->bytes, bytes)) {
        cache_count_lacking(cache, name, bytes);
        return false;
    }
    entry->bytes = bytes;
    return true;
}

void
cache_init(struct cache *cache, const struct cache_rules *rules)
{
    *cache = (struct cache){.rules = *rules, .needs_list = true};
    cache->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           cache_entry_free);
    g_queue_init(&cache->tombstones);
}

void
cache_set_room(struct cache *cache, struct object_room *room,
               enum object_kind kind)
{
    cache->room = room;
    cache->kind = kind;
}

void
cache_clear(struct cache *cache)
{
    cache_reset_list(cache);
    g_hash_table_destroy(cache->entries);
    while (!g_queue_is_empty(&cache->tombstones)) {
        cache_tombstone_free(g_queue_pop_head(&cache->tombstones));
    }
}

/* Starts a list, unless one is in progress. */
static void
cache_start_list(struct cache *cache)
{
    if (!cache->is_listing) {
        cache->is_listing = true;
        cache->has_page = false;
        cache->list_serial += 1;
        cache->listed_count = 0;
        cache->list_bytes = 0;
        cache->lacking = 0;
    }
}

void
cache_reset_list(struct cache *cache)
{
    cache->is_listing = false;
    cache->lacking = 0;
    g_free(cache->after);
    cache->after = NULL;
}

void
cache_start_era(struct cache *cache)
{
    cache_reset_list(cache);
    cache->needs_list = true;
}

/* The newest change that a reply includes. */
static struct position
cache_change_of(const struct store_reply *reply)
{
    return reply->change.revision > 0 ? reply->change : reply->current;
}

/* Counts an object that is not taken although the store should not offer it: a
 * second content under one position, or an older one in a list. A watch may
 * repeat changes that a peer has told before. */
static void
cache_pass_over(struct cache *cache, const struct cache_object *object,
                const struct cache_entry *entry)
{
    bool is_second =
        position_compare(entry->position, object->position) == 0 &&
        !json_equal(entry->spec, object->spec);
    bool is_older = cache->is_listing &&
                    position_is_after(entry->position, object->position);
    if (!is_second && !is_older) {
        return;
    }
    cache->passed_over += 1;
    log_sample("cache",
               "object passed over name=%s era=%" G_GINT64_FORMAT
               " revision=%" G_GINT64_FORMAT " held_era=%" G_GINT64_FORMAT
               " held_revision=%" G_GINT64_FORMAT,
               object->name, object->position.era, object->position.revision,
               entry->position.era, entry->position.revision);
}

/* The entry of an object that takes the place of `held`, which may be NULL. */
static struct cache_entry *
cache_entry_new(const struct cache *cache, const struct cache_entry *held,
                const struct cache_object *object, int64_t now_us)
{
    bool is_return = cache_keep_is_return(cache, object);
    bool is_presumed = object->is_presumed;
    json_t *deleted_spec = is_return
                               ? cache_keep_deleted_spec(cache, held, object,
                                                         now_us, &is_presumed)
                               : NULL;
    json_t *kept_spec = deleted_spec != NULL
                            ? deleted_spec
                            : cache_keep_spec(cache, held, object, is_return);
    bool is_peers = object->is_withheld && kept_spec == object->kept_spec;
    struct cache_entry *entry = g_new0(struct cache_entry, 1);
    *entry = (struct cache_entry){
        .position = object->position,
        .spec = json_incref(object->spec),
        .kept_spec = kept_spec,
        .is_missing = object->is_missing,
        .is_withheld = deleted_spec != NULL || is_peers,
        .bytes = held != NULL ? held->bytes : 0,
        .list_serial = held != NULL ? held->list_serial : 0,
        .is_presumed = is_presumed,
    };
    return entry;
}

/* What changes in what is in force when `entry` takes the place of `held`,
 * which may be NULL. Returns an object without a name if nothing does. */
static struct cache_object
cache_change_in_force(const struct cache *cache, const char *name,
                      const struct cache_entry *held,
                      const struct cache_entry *entry)
{
    const struct cache_object none = {.name = NULL};
    bool was_in_force = held != NULL && !held->is_withheld;
    if (entry->is_withheld) {
        /* A peer knows that it was deleted. */
        const struct cache_object gone = {.name = name, .is_deleted = true};
        return was_in_force ? gone : none;
    }
    struct cache_object in_force = cache_object_of(name, entry);
    /* A later era lists each object again under another position. */
    bool may_be_same =
        cache_keep_is_return(cache, &in_force) || entry->kept_spec != NULL;
    bool is_same = was_in_force && may_be_same &&
                   json_equal(cache_object_of(name, held).spec, in_force.spec);
    return is_same ? none : in_force;
}

/* Sets the object, if there is room. Reports it unless another state stays in
 * force. Returns its entry: without room the one before, or NULL. */
static struct cache_entry *
cache_set(struct cache *cache, const struct cache_object *object,
          int64_t now_us, cache_object_cb on_object, void *ctx)
{
    struct cache_entry *held =
        g_hash_table_lookup(cache->entries, object->name);
    struct cache_entry *entry = cache_entry_new(cache, held, object, now_us);
    if (!cache_charge(cache, object->name, entry)) {
        cache_entry_free(entry);
        return held;
    }
    struct cache_object change =
        cache_change_in_force(cache, object->name, held, entry);
    if (cache_is_held(entry)) {
        cache_keep_hold(cache, object->hold_us, now_us);
    }
    g_hash_table_replace(cache->entries, g_strdup(object->name), entry);
    if (change.name != NULL) {
        on_object(&change, ctx);
    }
    return entry;
}

void
cache_delete(struct cache *cache, const char *name, struct position change,
             int64_t gone_us, cache_object_cb on_object, void *ctx)
{
    const struct cache_entry *entry =
        g_hash_table_lookup(cache->entries, name);
    if (entry == NULL) {
        return;
    }
    bool was_withheld = entry->is_withheld;
    struct cache_object in_force = cache_object_of(name, entry);
    cache_add_tombstone(cache, &in_force, entry->bytes, change, gone_us);
    g_hash_table_remove(cache->entries, name);
    if (!was_withheld) {
        struct cache_object object = {.name = name, .is_deleted = true};
        on_object(&object, ctx);
    }
}

/* The list in progress names the object of the entry. */
static void
cache_mark_listed(struct cache *cache, struct cache_entry *entry)
{
    if (entry->list_serial != cache->list_serial) {
        entry->list_serial = cache->list_serial;
        cache->listed_count += 1;
        cache->list_bytes += entry->bytes;
    }
}

/* Applies an object that is not deleted. Returns its entry, or NULL if it had
 * no room. */
static struct cache_entry *
cache_apply_state(struct cache *cache, const struct cache_object *object,
                  int64_t now_us, cache_object_cb on_object, void *ctx)
{
    struct cache_entry *entry =
        g_hash_table_lookup(cache->entries, object->name);
    if (entry == NULL ||
        position_is_after(object->position, entry->position)) {
        return cache_set(cache, object, now_us, on_object, ctx);
    }
    cache_pass_over(cache, object, entry);
    cache_keep_take(cache, entry, object, now_us, on_object, ctx);
    return entry;
}

static void
cache_apply(struct cache *cache, const struct cache_object *object,
            struct position change, int64_t now_us, cache_object_cb on_object,
            void *ctx)
{
    if (object->is_deleted) {
        cache_delete(cache, object->name, change, now_us, on_object, ctx);
        return;
    }
    struct cache_entry *entry =
        cache_apply_state(cache, object, now_us, on_object, ctx);
    if (!cache->is_listing) {
        return;
    }
    if (entry != NULL) {
        cache_mark_listed(cache, entry);
        return;
    }
    cache->listed_count += 1;
    cache->list_bytes += cache_object_bytes(cache, object);
}

/* Applies the objects of a reply. Returns its newest change. */
static struct position
cache_apply_all(struct cache *cache, const struct store_reply *reply,
                int64_t now_us, cache_object_cb on_object, void *ctx)
{
    struct position change = reply->change;
    for (size_t i = 0; i < reply->object_count; i++) {
        const struct cache_object *object = &reply->objects[i];
        change = cache_position_max(change, object->is_deleted
                                                ? cache_change_of(reply)
                                                : object->position);
        cache_apply(cache, object, cache_change_of(reply), now_us, on_object,
                    ctx);
    }
    return change;
}

/* Deletes the objects that the complete list does not name, but for those that
 * are held. Returns whether any were deleted. */
static bool
cache_remove_unlisted(struct cache *cache, struct position change,
                      int64_t now_us, cache_object_cb on_object, void *ctx)
{
    bool has_removed = false;
    GList *names = g_hash_table_get_keys(cache->entries);
    for (GList *item = names; item != NULL; item = item->next) {
        struct cache_entry *entry =
            g_hash_table_lookup(cache->entries, item->data);
        if (entry->list_serial == cache->list_serial ||
            position_is_after(entry->position, change)) {
            continue;
        }
        if (cache_keep_holds_missing(cache, entry, change, now_us)) {
            cache->kept += entry->is_missing ? 0 : 1;
            cache->has_held = true;
            entry->is_missing = true;
            continue;
        }
        bool may_come_back =
            entry->position.era < change.era && !entry->is_withheld;
        int64_t gone_us = may_come_back ? now_us + CACHE_REWRITE_US : now_us;
        char *name = g_strdup(item->data);
        cache_delete(cache, name, change, gone_us, on_object, ctx);
        struct cache_tombstone *tombstone = cache->tombstones.tail->data;
        tombstone->is_presumed = may_come_back;
        g_free(name);
        has_removed = true;
    }
    g_list_free(names);
    return has_removed;
}

/* Ends a list of the store. A change made while its pages were read may be
 * missing on the first ones, so the content counts as of the first page. The
 * same holds if something was deleted, by this list or by a call that did not
 * count: the objects do not show as of when. */
static void
cache_complete_store_list(struct cache *cache, bool has_removed)
{
    bool is_past = position_is_after(cache->list_change, cache->list_position);
    struct position change = has_removed || cache->has_part || is_past
                                 ? cache->list_position
                                 : cache->list_change;
    cache->has_part = false;
    cache->change = cache_position_max(cache->change, change);
    cache->synced_us = MAX(cache->synced_us, cache->list_us);
    cache->needs_list = false;
    cache->position = cache->list_position;
    cache->store_position = cache->list_position;
    cache->store_position_us = cache->list_us;
}

/*
 * Sets where the next watch starts: where this one ended if it had changes,
 * else where the one before it ended. In the second before the store drops its
 * history its watches report no changes, and an empty answer from that time
 * must not make the next watch skip what changed.
 */
static void
cache_advance_watch(struct cache *cache, const struct store_reply *reply,
                    int64_t now_us)
{
    struct position seen =
        cache_position_max(cache->store_position, reply->current);
    bool overlaps = reply->object_count == 0 &&
                    now_us - cache->store_position_us < CACHE_OVERLAP_MAX_US;
    cache->position = overlaps ? cache->store_position : seen;
    cache->store_position = seen;
    cache->store_position_us = now_us;
}

/* Sets objects of the reply that had no room before those that are gone were
 * deleted. */
static void
cache_take_lacking(struct cache *cache, const struct store_reply *reply,
                   int64_t now_us, cache_object_cb on_object, void *ctx)
{
    for (size_t i = 0; i < reply->object_count && cache->lacking > 0; i++) {
        const struct cache_object *object = &reply->objects[i];
        const struct cache_entry *entry =
            g_hash_table_lookup(cache->entries, object->name);
        bool is_set = entry != NULL &&
                      !position_is_after(object->position, entry->position);
        if (is_set || object->is_deleted) {
            continue;
        }
        uint32_t lacking = cache->lacking;
        (void)cache_set(cache, object, now_us, on_object, ctx);
        cache->lacking = cache->lacking > lacking ? lacking : lacking - 1;
    }
}

/* Some objects had no room: what was applied does not count as read. */
static enum cache_result
cache_end_part(struct cache *cache, enum cache_source source)
{
    cache->has_part = true;
    cache->needs_list = cache->needs_list || source != CACHE_PEER;
    cache_reset_list(cache);
    return CACHE_NO_ROOM;
}

/* Ends a complete list of the store or of a peer. It counts as read only if
 * all its objects had room. */
static enum cache_result
cache_end_list(struct cache *cache, enum cache_source source,
               const struct store_reply *reply, int64_t now_us,
               cache_object_cb on_object, void *ctx)
{
    struct position change = cache_change_of(reply);
    bool is_return = cache->has_list && change.era > cache->change.era;
    bool has_removed =
        cache_remove_unlisted(cache, change, now_us, on_object, ctx);
    cache_take_lacking(cache, reply, now_us, on_object, ctx);
    if (cache->lacking > 0) {
        return cache_end_part(cache, source);
    }
    if (!cache->has_list || is_return) {
        /* Deletions before the first list of an era are not known. */
        cache->tombstone_floor = change;
    }
    if (source == CACHE_PEER) {
        /* `synced_us` stays: heartbeats carry the age of a peer's state. */
        cache->change = cache_position_max(cache->change, change);
    }
    else {
        cache_complete_store_list(cache, has_removed);
    }
    if (is_return) {
        cache->hold_until_us = now_us + CACHE_HOLD_US;
    }
    cache_reset_list(cache);
    cache->has_list = true;
    return CACHE_LIST_DONE;
}

/* Whether there would be no room for the objects of the list in progress even
 * if there were no others. */
static bool
cache_is_list_too_long(const struct cache *cache)
{
    return cache->room != NULL &&
           cache->list_bytes > object_room_max(cache->room);
}

/* Ends a page of a list that had `listed_count` objects before. */
static enum cache_result
cache_end_page(struct cache *cache, enum cache_source source,
               const struct store_reply *reply, uint32_t listed_count,
               int64_t now_us, cache_object_cb on_object, void *ctx)
{
    if (reply->has_more && cache->listed_count == listed_count) {
        cache_reset_list(cache);
        return CACHE_LIST_STUCK;
    }
    if (reply->has_more && cache_is_list_too_long(cache)) {
        return cache_end_part(cache, source);
    }
    if (reply->has_more) {
        g_free(cache->after);
        cache->after = g_strdup(reply->objects[reply->object_count - 1].name);
        return CACHE_LIST_PAGE;
    }
    return cache_end_list(cache, source, reply, now_us, on_object, ctx);
}

/* Starts a list, or goes on with the one in progress. */
static void
cache_start_page(struct cache *cache, const struct store_reply *reply,
                 int64_t now_us)
{
    cache_start_list(cache);
    if (cache->has_page) {
        return;
    }
    cache->has_page = true;
    cache->list_position = cache_change_of(reply);
    cache->list_change =
        (struct position){.era = cache->list_position.era, .revision = 0};
    cache->list_us = now_us;
}

struct position
cache_known(const struct cache *cache)
{
    return cache_position_max(cache->change, cache->position);
}

/* A peer's state that holds no change which this cache lacks: takes only what
 * the peer keeps of an earlier era. */
static void
cache_take_old(struct cache *cache, const struct store_reply *reply,
               int64_t now_us, cache_object_cb on_object, void *ctx)
{
    cache_reset_list(cache);
    if (cache_change_of(reply).era < cache_known(cache).era) {
        return;
    }
    for (size_t i = 0; i < reply->object_count; i++) {
        const struct cache_object *object = &reply->objects[i];
        struct cache_entry *entry =
            g_hash_table_lookup(cache->entries, object->name);
        if (entry == NULL && object->is_missing) {
            cache_set(cache, object, now_us, on_object, ctx);
        }
        else if (entry != NULL &&
                 position_compare(entry->position, object->position) == 0) {
            cache_keep_take(cache, entry, object, now_us, on_object, ctx);
        }
    }
}

uint32_t
cache_take_held(struct cache *cache, const struct store_reply *reply,
                bool takes_presumed, int64_t now_us, cache_object_cb on_object,
                void *ctx)
{
    uint32_t taken = 0;
    /* Of a list of the store that may be in progress. */
    uint32_t lacking = cache->lacking;
    for (size_t i = 0; i < reply->object_count; i++) {
        const struct cache_object *object = &reply->objects[i];
        struct cache_entry *entry =
            g_hash_table_lookup(cache->entries, object->name);
        /* The hold has ended, or ends now. */
        if (object->hold_us <= 0 || (object->is_presumed && !takes_presumed)) {
            continue;
        }
        /* One of this era that is not known here was deleted since, unless the
         * store has yet to report it. */
        bool is_new =
            entry == NULL &&
            !cache_keep_is_gone(cache, object->name, now_us) &&
            (object->is_missing ||
             position_is_after(object->position, cache_known(cache)));
        if (is_new) {
            taken += cache_set(cache, object, now_us, on_object, ctx) != NULL
                         ? 1
                         : 0;
        }
        else if (entry != NULL &&
                 position_compare(entry->position, object->position) == 0) {
            taken += cache_keep_take_held(cache, entry, object, now_us,
                                          on_object, ctx)
                         ? 1
                         : 0;
        }
    }
    cache->lacking = lacking;
    return taken;
}

enum cache_result
cache_apply_reply(struct cache *cache, enum cache_source source,
                  const struct store_reply *reply, int64_t now_us,
                  cache_object_cb on_object, void *ctx)
{
    if (source == CACHE_PEER &&
        position_is_after(cache_known(cache), cache_change_of(reply))) {
        cache_take_old(cache, reply, now_us, on_object, ctx);
        return CACHE_PEER_OLD;
    }
    bool is_list =
        !reply->is_delta && (source != CACHE_WATCH || reply->is_full_list);
    if (is_list) {
        cache_start_page(cache, reply, now_us);
    }
    else {
        cache->lacking = 0;
    }
    uint32_t listed_count = cache->listed_count;
    struct position change =
        cache_apply_all(cache, reply, now_us, on_object, ctx);
    if (is_list) {
        cache->list_change = cache_position_max(cache->list_change, change);
        return cache_end_page(cache, source, reply, listed_count, now_us,
                              on_object, ctx);
    }
    if (cache->lacking > 0) {
        return cache_end_part(cache, source);
    }
    if (reply->is_delta) {
        cache->change =
            cache_position_max(cache->change, cache_change_of(reply));
        cache_reset_list(cache);
        return CACHE_PEER_DELTA;
    }
    cache->change = cache_position_max(cache->change, change);
    cache->synced_us = now_us;
    cache_advance_watch(cache, reply, now_us);
    return reply->object_count > 0 ? CACHE_WATCH_CHANGED
                                   : CACHE_WATCH_UNCHANGED;
}

enum cache_result
cache_replace_all(struct cache *cache, const struct store_reply *reply,
                  int64_t now_us, cache_object_cb on_object, void *ctx)
{
    cache_reset_list(cache);
    cache_start_list(cache);
    struct position change =
        cache_apply_all(cache, reply, now_us, on_object, ctx);
    (void)cache_remove_unlisted(cache, reply->change, now_us, on_object, ctx);
    cache_take_lacking(cache, reply, now_us, on_object, ctx);
    if (cache->lacking > 0) {
        return cache_end_part(cache, CACHE_PUSH);
    }
    cache_reset_list(cache);
    cache->change = cache_position_max(cache->change, change);
    cache->has_list = true;
    return CACHE_LIST_DONE;
}
