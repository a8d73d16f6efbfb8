#include <string.h>

#include "common/rc.h"
#include "gateway/heartbeat.h"

#define HEARTBEAT_TYPE 25
/* Positions in the array. */
enum heartbeat_field {
    HEARTBEAT_FIELD_TYPE,
    HEARTBEAT_FIELD_NAME,
    HEARTBEAT_FIELD_START,
    HEARTBEAT_FIELD_DC,
    HEARTBEAT_FIELD_REQUEST_ADDRESS,
    HEARTBEAT_FIELD_PEER_ADDRESS,
    HEARTBEAT_FIELD_CAPACITY,
    HEARTBEAT_FIELD_IS_READY,
    HEARTBEAT_FIELD_IS_REPLY,
    HEARTBEAT_FIELD_CHANGES, /* one for each kind */
    HEARTBEAT_FIELD_RELAYED = HEARTBEAT_FIELD_CHANGES + OBJECT_KIND_COUNT,
    HEARTBEAT_FIELD_AGES,    /* one for each kind; older senders omit it */
    HEARTBEAT_FIELD_LEAVING, /* backend servers; older senders omit it */
    HEARTBEAT_FIELD_ERAS,    /* of the changes; older senders omit it */
    HEARTBEAT_FIELD_CONFIG_VERSION, /* older senders omit it */
    HEARTBEAT_FIELD_HOLDS, /* one for each kind; older senders omit it */
    HEARTBEAT_FIELD_COUNT,
    HEARTBEAT_FIELD_COUNT_MIN = HEARTBEAT_FIELD_AGES,
};

static void
heartbeat_put_text(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text != NULL ? text : "",
                               text != NULL ? strlen(text) : 0);
}

void
heartbeat_encode(const struct heartbeat *heartbeat, msgpack_sbuffer *out)
{
    const struct member_heartbeat *in = &heartbeat->heartbeat;
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, HEARTBEAT_FIELD_COUNT);
    msgpack_pack_uint64(&packer, HEARTBEAT_TYPE);
    heartbeat_put_text(&packer, in->name);
    msgpack_pack_uint64(&packer, in->start);
    heartbeat_put_text(&packer, in->dc);
    heartbeat_put_text(&packer, in->request_address);
    heartbeat_put_text(&packer, in->peer_address);
    msgpack_pack_uint64(&packer, in->capacity);
    msgpack_pack_uint64(&packer, in->is_ready ? 1 : 0);
    msgpack_pack_uint64(&packer, in->is_reply ? 1 : 0);
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        msgpack_pack_int64(&packer, in->changes[kind].revision);
    }
    msgpack_pack_array(&packer, heartbeat->relayed_count);
    for (size_t i = 0; i < heartbeat->relayed_count; i++) {
        msgpack_pack_array(&packer, 2);
        heartbeat_put_text(&packer, heartbeat->relayed[i].name);
        heartbeat_put_text(&packer, heartbeat->relayed[i].request_address);
    }
    msgpack_pack_array(&packer, OBJECT_KIND_COUNT);
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        msgpack_pack_int64(&packer, in->ages_us[kind]);
    }
    msgpack_pack_array(&packer, heartbeat->leaving_count);
    for (size_t i = 0; i < heartbeat->leaving_count; i++) {
        msgpack_pack_array(&packer, 2);
        heartbeat_put_text(&packer, heartbeat->leaving[i].id);
        msgpack_pack_int64(&packer, heartbeat->leaving[i].started_unix_ms);
    }
    msgpack_pack_array(&packer, OBJECT_KIND_COUNT);
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        msgpack_pack_int64(&packer, in->changes[kind].era);
    }
    msgpack_pack_int64(&packer, in->config_version);
    msgpack_pack_array(&packer, OBJECT_KIND_COUNT);
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        msgpack_pack_int64(&packer, in->holds_us[kind]);
    }
}

/* Copies the string to the msgpack zone, with a terminating zero. Returns NULL
 * if the object is not a string, has a zero byte, or cannot be allocated. */
static const char *
heartbeat_text(const msgpack_object *object, msgpack_zone *zone)
{
    if (object->type != MSGPACK_OBJECT_STR) {
        return NULL;
    }
    size_t bytes = object->via.str.size;
    if (bytes > 0 && memchr(object->via.str.ptr, '\0', bytes) != NULL) {
        return NULL;
    }
    char *copy = msgpack_zone_malloc(zone, bytes + 1);
    if (copy != NULL) {
        if (bytes > 0) {
            memcpy(copy, object->via.str.ptr, bytes);
        }
        copy[bytes] = '\0';
    }
    return copy;
}

static bool
heartbeat_is_number(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

/* Ignores VMs beyond MEMBER_RELAYED_MAX. */
static bool
heartbeat_read_relayed(const msgpack_object *list, struct heartbeat *out)
{
    if (list->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    for (uint32_t i = 0;
         i < list->via.array.size && out->relayed_count < MEMBER_RELAYED_MAX;
         i++) {
        const msgpack_object *item = &list->via.array.ptr[i];
        if (item->type != MSGPACK_OBJECT_ARRAY || item->via.array.size < 2) {
            return false;
        }
        struct heartbeat_relayed relayed = {
            .name = heartbeat_text(&item->via.array.ptr[0], &out->zone),
            .request_address =
                heartbeat_text(&item->via.array.ptr[1], &out->zone),
        };
        if (relayed.name == NULL || relayed.request_address == NULL) {
            return false;
        }
        out->relayed[out->relayed_count] = relayed;
        out->relayed_count += 1;
    }
    return true;
}

static bool
heartbeat_read_changes(const msgpack_object *fields,
                       struct member_heartbeat *heartbeat)
{
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        const msgpack_object *field = &fields[HEARTBEAT_FIELD_CHANGES + kind];
        if (!heartbeat_is_number(field) || field->via.u64 > INT64_MAX) {
            return false;
        }
        heartbeat->changes[kind].revision = field->via.i64;
    }
    return true;
}

/* Returns an array that older senders omit, or NULL if it is missing or of
 * another type. */
static const msgpack_object_array *
heartbeat_optional_array(const msgpack_object *root,
                         enum heartbeat_field field)
{
    if (root->via.array.size <= field ||
        root->via.array.ptr[field].type != MSGPACK_OBJECT_ARRAY) {
        return NULL;
    }
    return &root->via.array.ptr[field].via.array;
}

/* Returns `fallback` for a number that is missing or malformed. */
static int64_t
heartbeat_optional_number(const msgpack_object_array *list, uint32_t index,
                          int64_t fallback)
{
    const msgpack_object *field =
        list != NULL && index < list->size ? &list->ptr[index] : NULL;
    bool is_present = field != NULL && heartbeat_is_number(field) &&
                      field->via.u64 <= INT64_MAX;
    return is_present ? field->via.i64 : fallback;
}

/* Ages that are missing or malformed become MEMBER_AGE_NONE, eras and holds 0.
 */
static void
heartbeat_read_optional(const msgpack_object *root,
                        struct member_heartbeat *heartbeat)
{
    const msgpack_object_array *ages =
        heartbeat_optional_array(root, HEARTBEAT_FIELD_AGES);
    const msgpack_object_array *eras =
        heartbeat_optional_array(root, HEARTBEAT_FIELD_ERAS);
    const msgpack_object_array *holds =
        heartbeat_optional_array(root, HEARTBEAT_FIELD_HOLDS);
    for (uint32_t kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        heartbeat->ages_us[kind] =
            heartbeat_optional_number(ages, kind, MEMBER_AGE_NONE);
        heartbeat->changes[kind].era =
            heartbeat_optional_number(eras, kind, 0);
        heartbeat->holds_us[kind] = heartbeat_optional_number(holds, kind, 0);
    }
    heartbeat->config_version = heartbeat_optional_number(
        &root->via.array, HEARTBEAT_FIELD_CONFIG_VERSION, 0);
}

/* Reads the backend servers that are leaving; malformed ones are left out. */
static void
heartbeat_read_leaving(const msgpack_object *root, struct heartbeat *out)
{
    const msgpack_object_array *list =
        heartbeat_optional_array(root, HEARTBEAT_FIELD_LEAVING);
    uint32_t count = list != NULL ? list->size : 0;
    for (uint32_t i = 0; i < count && out->leaving_count < NOTICE_TOLD_MAX;
         i++) {
        const msgpack_object *item = &list->ptr[i];
        if (item->type != MSGPACK_OBJECT_ARRAY || item->via.array.size < 2 ||
            !heartbeat_is_number(&item->via.array.ptr[1]) ||
            item->via.array.ptr[1].via.u64 > INT64_MAX) {
            continue;
        }
        const char *id = heartbeat_text(&item->via.array.ptr[0], &out->zone);
        if (id == NULL) {
            continue;
        }
        out->leaving[out->leaving_count] = (struct heartbeat_leaving){
            .id = id,
            .started_unix_ms = item->via.array.ptr[1].via.i64,
        };
        out->leaving_count += 1;
    }
}

static bool
heartbeat_read_numbers(const msgpack_object *fields,
                       struct member_heartbeat *heartbeat)
{
    static const enum heartbeat_field numbers[] = {
        HEARTBEAT_FIELD_START, HEARTBEAT_FIELD_CAPACITY,
        HEARTBEAT_FIELD_IS_READY, HEARTBEAT_FIELD_IS_REPLY};
    for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
        if (!heartbeat_is_number(&fields[numbers[i]])) {
            return false;
        }
    }
    heartbeat->start = fields[HEARTBEAT_FIELD_START].via.u64;
    heartbeat->capacity = (uint32_t)fields[HEARTBEAT_FIELD_CAPACITY].via.u64;
    heartbeat->is_ready = fields[HEARTBEAT_FIELD_IS_READY].via.u64 != 0;
    heartbeat->is_reply = fields[HEARTBEAT_FIELD_IS_REPLY].via.u64 != 0;
    return true;
}

static bool
heartbeat_read(const msgpack_object *root, struct heartbeat *out)
{
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < HEARTBEAT_FIELD_COUNT_MIN) {
        return false;
    }
    const msgpack_object *fields = root->via.array.ptr;
    struct member_heartbeat *heartbeat = &out->heartbeat;
    heartbeat->name =
        heartbeat_text(&fields[HEARTBEAT_FIELD_NAME], &out->zone);
    heartbeat->dc = heartbeat_text(&fields[HEARTBEAT_FIELD_DC], &out->zone);
    heartbeat->request_address =
        heartbeat_text(&fields[HEARTBEAT_FIELD_REQUEST_ADDRESS], &out->zone);
    heartbeat->peer_address =
        heartbeat_text(&fields[HEARTBEAT_FIELD_PEER_ADDRESS], &out->zone);
    heartbeat_read_optional(root, heartbeat);
    heartbeat_read_leaving(root, out);
    return heartbeat_is_number(&fields[HEARTBEAT_FIELD_TYPE]) &&
           fields[HEARTBEAT_FIELD_TYPE].via.u64 == HEARTBEAT_TYPE &&
           heartbeat->name != NULL && heartbeat->dc != NULL &&
           heartbeat->request_address != NULL &&
           heartbeat->peer_address != NULL &&
           heartbeat_read_numbers(fields, heartbeat) &&
           heartbeat_read_changes(fields, heartbeat) &&
           heartbeat_read_relayed(&fields[HEARTBEAT_FIELD_RELAYED], out);
}

int
heartbeat_decode(const void *data, size_t data_bytes, struct heartbeat *out)
{
    *out = (struct heartbeat){.relayed_count = 0};
    if (!msgpack_zone_init(&out->zone, MSGPACK_ZONE_CHUNK_SIZE)) {
        return RC_INVALID;
    }
    size_t offset = 0;
    msgpack_object root;
    msgpack_unpack_return parsed =
        msgpack_unpack(data, data_bytes, &offset, &out->zone, &root);
    if (parsed != MSGPACK_UNPACK_SUCCESS || !heartbeat_read(&root, out)) {
        msgpack_zone_destroy(&out->zone);
        return RC_INVALID;
    }
    return RC_OK;
}

void
heartbeat_clear(struct heartbeat *heartbeat)
{
    msgpack_zone_destroy(&heartbeat->zone);
}
