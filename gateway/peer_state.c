#include <string.h>

#include "common/log.h"
#include "common/rc.h"
#include "gateway/peer_state.h"

static const char *const nws_paths[MEM_KIND_COUNT] = {
    [MEM_CONFIG] = "/v1/news/config",
    [MEM_BACKENDS] = "/v1/news/backends",
    [MEM_DRAINED_DCS] = "/v1/news/drained",
};

char *
nws_path(enum mem_kind kind, int64_t since)
{
    return g_strdup_printf("%s?since=%" G_GINT64_FORMAT, nws_paths[kind],
                           since);
}

enum mem_kind
nws_kind(const char *path)
{
    int kind = 0;
    while (kind < MEM_KIND_COUNT && strcmp(nws_paths[kind], path) != 0) {
        kind += 1;
    }
    return kind;
}

static json_t *
nws_write_objects(const struct fed *feed, int64_t since)
{
    json_t *objects = json_array();
    GHashTableIter iter;
    gpointer name = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, feed->known);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct fed_known *known = value;
        if (known->revision <= since) {
            continue;
        }
        json_array_append_new(
            objects,
            json_pack("{s:s,s:I,s:O?}", "name", (const char *)name, "revision",
                      (json_int_t)known->revision, "spec", known->spec));
    }
    return objects;
}

static json_t *
nws_write_removed(const struct fed *feed, int64_t since)
{
    json_t *names = json_array();
    for (const GList *item = feed->removed.head; item != NULL;
         item = item->next) {
        const struct fed_removed *removed = item->data;
        if (removed->change > since &&
            !g_hash_table_contains(feed->known, removed->name)) {
            json_array_append_new(names, json_string(removed->name));
        }
    }
    return names;
}

char *
nws_write(const struct syn *syn, enum mem_kind kind, int64_t since)
{
    const struct fed *feed = syn_news_of(syn, kind);
    bool is_delta = since > 0 && since >= feed->floor;
    json_t *root =
        json_pack("{s:I,s:o}", "change", (json_int_t)feed->change, "objects",
                  nws_write_objects(feed, is_delta ? since : 0));
    if (is_delta) {
        json_object_set_new(root, "removed", nws_write_removed(feed, since));
    }
    return wir_text(root);
}

static bool
nws_read_object(json_t *json, struct fed_object *out)
{
    json_t *revision = json_object_get(json, "revision");
    *out = (struct fed_object){
        .name = json_string_value(json_object_get(json, "name")),
        .revision = json_integer_value(revision),
        .spec = json_object_get(json, "spec"),
    };
    return out->name != NULL && json_is_integer(revision);
}

void
nws_read(json_t *root, struct wir_objects *out)
{
    *out = (struct wir_objects){
        .reply = {.rc = RC_BAD_REPLY},
        .root = root,
    };
    json_t *change = json_object_get(out->root, "change");
    json_t *objects = json_object_get(out->root, "objects");
    if (!json_is_integer(change) || !json_is_array(objects)) {
        log_warn("news", "unreadable list of objects");
        return;
    }
    out->objects = g_array_new(FALSE, FALSE, sizeof(struct fed_object));
    size_t i = 0;
    json_t *item = NULL;
    json_array_foreach(objects, i, item)
    {
        struct fed_object object;
        if (!nws_read_object(item, &object)) {
            log_warn("news", "unreadable object in a list");
            return;
        }
        g_array_append_val(out->objects, object);
    }
    json_t *removed = json_object_get(out->root, "removed");
    json_array_foreach(removed, i, item)
    {
        struct fed_object object = {
            .name = json_string_value(item),
            .is_deleted = true,
        };
        if (object.name != NULL) {
            g_array_append_val(out->objects, object);
        }
    }
    out->reply = (struct fed_reply){
        .rc = RC_OK,
        .is_delta = removed != NULL,
        .objects = (const struct fed_object *)out->objects->data,
        .object_count = out->objects->len,
        .current_revision = json_integer_value(change),
    };
}
