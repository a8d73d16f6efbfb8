#include <string.h>

#include "common/json_room.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/peer_state.h"

static const char *const peer_state_paths[OBJECT_KIND_COUNT] = {
    [OBJECT_CONFIG] = "/v1/news/config",
    [OBJECT_BACKENDS] = "/v1/news/backends",
    [OBJECT_DRAINED_DCS] = "/v1/news/drained",
};

char *
peer_state_path(enum object_kind kind, struct position since)
{
    return g_strdup_printf("%s?era=%" G_GINT64_FORMAT
                           "&since=%" G_GINT64_FORMAT,
                           peer_state_paths[kind], since.era, since.revision);
}

char *
peer_state_held_path(enum object_kind kind)
{
    return g_strdup_printf("%s?held=1", peer_state_paths[kind]);
}

enum object_kind
peer_state_kind(const char *path)
{
    int kind = 0;
    while (kind < OBJECT_KIND_COUNT &&
           strcmp(peer_state_paths[kind], path) != 0) {
        kind += 1;
    }
    return kind;
}

static json_t *
peer_state_write_object(const char *name, const struct cache_entry *entry)
{
    json_t *json =
        json_pack("{s:I,s:s,s:I,s:O?}", "era", (json_int_t)entry->position.era,
                  "name", name, "revision",
                  (json_int_t)entry->position.revision, "spec", entry->spec);
    if (entry->kept_spec != NULL) {
        json_object_set(json, "kept", entry->kept_spec);
    }
    if (entry->is_missing) {
        json_object_set_new(json, "missing", json_true());
    }
    if (entry->is_withheld) {
        json_object_set_new(json, "withheld", json_true());
    }
    if (entry->is_withheld && entry->is_presumed) {
        json_object_set_new(json, "presumed", json_true());
    }
    return json;
}

/* The objects after `since`; with `only_held` those that are held. */
static json_t *
peer_state_write_objects(const struct cache *cache, struct position since,
                         bool only_held)
{
    json_t *objects = json_array();
    GHashTableIter iter;
    gpointer name = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, cache->entries);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct cache_entry *entry = value;
        if (position_is_after(entry->position, since) &&
            (!only_held || cache_is_held(entry))) {
            json_array_append_new(objects,
                                  peer_state_write_object(name, entry));
        }
    }
    return objects;
}

static json_t *
peer_state_write_removed(const struct cache *cache, struct position since)
{
    json_t *names = json_array();
    for (const GList *item = cache->tombstones.head; item != NULL;
         item = item->next) {
        const struct cache_tombstone *tombstone = item->data;
        if (position_is_after(tombstone->change, since) &&
            !g_hash_table_contains(cache->entries, tombstone->name)) {
            json_array_append_new(names, json_string(tombstone->name));
        }
    }
    return names;
}

bool
peer_state_is_delta(const struct cache *cache, struct position since)
{
    return since.revision > 0 && since.era == cache->change.era &&
           !position_is_after(cache->tombstone_floor, since);
}

static json_t *
peer_state_write_root(const struct cache *cache, json_t *objects,
                      int64_t now_us)
{
    json_t *root = json_pack(
        "{s:I,s:I,s:o}", "era", (json_int_t)cache->change.era, "change",
        (json_int_t)cache->change.revision, "objects", objects);
    int64_t left_us = cache->hold_until_us - now_us;
    if (cache->has_held && left_us > 0) {
        json_object_set_new(root, "hold_us", json_integer(left_us));
    }
    return root;
}

char *
peer_state_write_held(const struct sync *sync, enum object_kind kind,
                      int64_t now_us)
{
    const struct cache *cache = sync_cache_of(sync, kind);
    struct position none = {.revision = 0};
    json_t *objects = peer_state_write_objects(cache, none, true);
    return wire_json_text(peer_state_write_root(cache, objects, now_us));
}

char *
peer_state_write(const struct sync *sync, enum object_kind kind,
                 struct position since, int64_t now_us)
{
    const struct cache *cache = sync_cache_of(sync, kind);
    bool is_delta = peer_state_is_delta(cache, since);
    struct position none = {.revision = 0};
    json_t *objects =
        peer_state_write_objects(cache, is_delta ? since : none, false);
    json_t *root = peer_state_write_root(cache, objects, now_us);
    if (is_delta) {
        json_object_set_new(root, "removed",
                            peer_state_write_removed(cache, since));
    }
    return wire_json_text(root);
}

static bool
peer_state_read_object(json_t *json, int64_t hold_us, struct cache_object *out)
{
    json_t *revision = json_object_get(json, "revision");
    *out = (struct cache_object){
        .name = json_string_value(json_object_get(json, "name")),
        .position =
            {
                .era = json_integer_value(json_object_get(json, "era")),
                .revision = json_integer_value(revision),
            },
        .spec = json_object_get(json, "spec"),
        .kept_spec = json_object_get(json, "kept"),
        .is_missing = json_is_true(json_object_get(json, "missing")),
        .is_withheld = json_is_true(json_object_get(json, "withheld")),
        .is_presumed = json_is_true(json_object_get(json, "presumed")),
        .hold_us = hold_us,
    };
    return out->name != NULL && json_is_integer(revision);
}

void
peer_state_read(json_t *root, struct wire_objects *out)
{
    *out = (struct wire_objects){
        .reply = {.rc = RC_BAD_REPLY},
        .root = root,
    };
    json_t *change = json_object_get(out->root, "change");
    json_t *objects = json_object_get(out->root, "objects");
    if (!json_is_integer(change) || !json_is_array(objects)) {
        log_warn("news", "malformed list of objects, reply dropped");
        return;
    }
    out->objects = g_array_new(FALSE, FALSE, sizeof(struct cache_object));
    int64_t hold_us = json_integer_value(json_object_get(root, "hold_us"));
    size_t i = 0;
    json_t *item = NULL;
    json_array_foreach(objects, i, item)
    {
        struct cache_object object;
        if (!peer_state_read_object(item, hold_us, &object)) {
            log_warn("news", "malformed object in a list, reply dropped");
            return;
        }
        g_array_append_val(out->objects, object);
    }
    json_t *removed = json_object_get(out->root, "removed");
    json_array_foreach(removed, i, item)
    {
        struct cache_object object = {
            .name = json_string_value(item),
            .is_deleted = true,
        };
        if (object.name != NULL) {
            g_array_append_val(out->objects, object);
        }
    }
    out->reply = (struct store_reply){
        .rc = RC_OK,
        .is_delta = removed != NULL,
        .objects = (const struct cache_object *)out->objects->data,
        .object_count = out->objects->len,
        .current =
            {
                .era = json_integer_value(json_object_get(out->root, "era")),
                .revision = json_integer_value(change),
            },
    };
}

void
peer_state_read_response(int rc, int status, const char *body,
                         size_t body_bytes, struct wire_objects *out)
{
    bool is_answer = rc == RC_OK && status == 200;
    peer_state_read(
        is_answer ? json_room_load(body, body_bytes, 0, NULL) : NULL, out);
}
