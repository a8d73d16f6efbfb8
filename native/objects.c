#include <string.h>

#include "common/json_list.h"
#include "common/log.h"
#include "common/rc.h"
#include "native/native.h"

/*
 * Encodes requests to the store and decodes its replies. All kinds of objects
 * that VMs watch are in one configuration document, so each kind fetches the
 * document and takes its own part.
 */

#define NATIVE_DOCUMENT_PATH "/v1/config"
#define NATIVE_DOCUMENT_NAME "current"
#define NATIVE_VMS_PATH "/v1/vms"

static const char *const native_item_keys[] = {"name", "version", "value",
                                               NULL};
static const struct json_list_format native_items_format = {
    .list_key = "items",
    .id_key = "name",
    .entry_keys = native_item_keys,
};

char *
native_fetch_path(const struct sync_fetch *fetch)
{
    if (!fetch->is_watch) {
        return g_strdup(NATIVE_DOCUMENT_PATH);
    }
    return g_strdup_printf(NATIVE_DOCUMENT_PATH "?after=%" G_GINT64_FORMAT
                                                "&wait_ms=%" G_GINT64_FORMAT,
                           fetch->from.revision, fetch->wait_ms);
}

/* Returns the value of the item with this name, or NULL. */
static json_t *
native_find_value(const json_t *items, const char *name)
{
    size_t i = 0;
    json_t *item = NULL;
    json_array_foreach(items, i, item)
    {
        const char *found = json_string_value(json_object_get(item, "name"));
        if (g_strcmp0(found, name) == 0) {
            return json_object_get(item, "value");
        }
    }
    return NULL;
}

/* Appends the objects in the reply to a list of VMs, one per item. */
static void
native_read_items(const json_t *items, struct wire_objects *out)
{
    size_t i = 0;
    json_t *item = NULL;
    json_array_foreach(items, i, item)
    {
        struct cache_object object = {
            .name = json_string_value(json_object_get(item, "name")),
            .position.revision =
                json_integer_value(json_object_get(item, "version")),
            .spec = json_object_get(item, "value"),
        };
        if (object.name != NULL) {
            g_array_append_val(out->objects, object);
        }
    }
}

/* Decodes the body of a reply: an object with the items and a version.
 * Returns NULL with a log line if it is malformed. */
static json_t *
native_load_reply(const char *body, size_t body_bytes)
{
    uint32_t odd_count = 0;
    json_t *root =
        json_list_load(body, body_bytes, &native_items_format, &odd_count);
    if (odd_count > 0) {
        log_warn("native",
                 "a reply from the store has values that cannot be decoded "
                 "bytes=%zu values=%u",
                 body_bytes, odd_count);
    }
    if (json_is_array(json_object_get(root, "items")) &&
        json_is_integer(json_object_get(root, "version"))) {
        return root;
    }
    log_warn("native",
             "malformed reply from the store, handled as a failed call "
             "bytes=%zu",
             body_bytes);
    json_decref(root);
    return NULL;
}

void
native_read_objects(const struct sync_fetch *fetch, int64_t era, int status,
                    const char *body, size_t body_bytes,
                    struct wire_objects *out)
{
    *out = (struct wire_objects){.reply = {.rc = RC_STORE_DOWN}};
    out->root = status == 200 ? native_load_reply(body, body_bytes) : NULL;
    if (out->root == NULL) {
        return;
    }
    json_t *items = json_object_get(out->root, "items");
    struct position current = {
        .era = era,
        .revision = json_integer_value(json_object_get(out->root, "version")),
    };
    if (fetch != NULL && fetch->is_watch &&
        !position_is_after(current, fetch->from)) {
        out->reply = (struct store_reply){.rc = RC_OK, .current = current};
        return;
    }
    out->objects = g_array_new(FALSE, FALSE, sizeof(struct cache_object));
    out->reply = (struct store_reply){
        .rc = RC_OK,
        .is_full_list = true,
        .current = current,
    };
    if (fetch == NULL) {
        native_read_items(items, out);
    }
    else {
        native_expand_document(fetch->kind,
                               native_find_value(items, NATIVE_DOCUMENT_NAME),
                               out, &out->reply.change);
    }
    out->reply.objects = (const struct cache_object *)out->objects->data;
    out->reply.object_count = out->objects->len;
}

char *
native_vms_path(const char *name)
{
    return name != NULL ? g_strdup_printf(NATIVE_VMS_PATH "/%s", name)
                        : g_strdup(NATIVE_VMS_PATH);
}

char *
native_vms_list_path(void)
{
    return native_vms_path(NULL);
}

char *
native_vms_expired_path(const char *name, struct position position)
{
    return g_strdup_printf(NATIVE_VMS_PATH "/%s?version=%" G_GINT64_FORMAT,
                           name, position.revision);
}

char *
native_write_vm(const struct wire_vm *vm)
{
    json_t *root =
        json_pack("{s:s,s:{s:s,s:s,s:i,s:I}}", "name", vm->name, "value",
                  "peer_address", vm->peer_address, "zone", vm->dc, "capacity",
                  (int)vm->capacity, "renewals", (json_int_t)vm->renewals);
    return wire_json_text(root);
}

int
native_read_vm(const struct cache_object *object, struct wire_vm *out)
{
    return wire_read_vm(object, "zone", out);
}
