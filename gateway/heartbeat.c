#include <string.h>

#include "common/rc.h"
#include "gateway/heartbeat.h"

#define BEA_TYPE 25
/* Positions in the array. */
enum bea_field {
    BEA_FIELD_TYPE,
    BEA_FIELD_NAME,
    BEA_FIELD_START,
    BEA_FIELD_DC,
    BEA_FIELD_REQUEST_ADDRESS,
    BEA_FIELD_PEER_ADDRESS,
    BEA_FIELD_CAPACITY,
    BEA_FIELD_IS_READY,
    BEA_FIELD_IS_REPLY,
    BEA_FIELD_CHANGES, /* one for each kind */
    BEA_FIELD_VOUCHED = BEA_FIELD_CHANGES + MEM_KIND_COUNT,
    BEA_FIELD_AGES, /* one for each kind; left out by older senders */
    BEA_FIELD_COUNT,
    BEA_FIELD_COUNT_MIN = BEA_FIELD_AGES,
};

static void
bea_put_text(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text != NULL ? text : "",
                               text != NULL ? strlen(text) : 0);
}

void
bea_encode(const struct bea *beat, msgpack_sbuffer *out)
{
    const struct mem_beat *in = &beat->beat;
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, BEA_FIELD_COUNT);
    msgpack_pack_uint64(&packer, BEA_TYPE);
    bea_put_text(&packer, in->name);
    msgpack_pack_uint64(&packer, in->start);
    bea_put_text(&packer, in->dc);
    bea_put_text(&packer, in->request_address);
    bea_put_text(&packer, in->peer_address);
    msgpack_pack_uint64(&packer, in->capacity);
    msgpack_pack_uint64(&packer, in->is_ready ? 1 : 0);
    msgpack_pack_uint64(&packer, in->is_reply ? 1 : 0);
    for (int kind = 0; kind < MEM_KIND_COUNT; kind++) {
        msgpack_pack_int64(&packer, in->changes[kind]);
    }
    msgpack_pack_array(&packer, beat->vouched_count);
    for (size_t i = 0; i < beat->vouched_count; i++) {
        msgpack_pack_array(&packer, 2);
        bea_put_text(&packer, beat->vouched[i].name);
        bea_put_text(&packer, beat->vouched[i].request_address);
    }
    msgpack_pack_array(&packer, MEM_KIND_COUNT);
    for (int kind = 0; kind < MEM_KIND_COUNT; kind++) {
        msgpack_pack_int64(&packer, in->ages_us[kind]);
    }
}

/* The text with a terminating zero in the zone, or NULL. */
static const char *
bea_text(const msgpack_object *object, msgpack_zone *zone)
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
bea_is_number(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

/* VMs above MEM_VOUCHED_MAX are passed over. */
static bool
bea_read_vouched(const msgpack_object *list, struct bea *out)
{
    if (list->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    for (uint32_t i = 0;
         i < list->via.array.size && out->vouched_count < MEM_VOUCHED_MAX;
         i++) {
        const msgpack_object *item = &list->via.array.ptr[i];
        if (item->type != MSGPACK_OBJECT_ARRAY || item->via.array.size < 2) {
            return false;
        }
        struct bea_vouched vouched = {
            .name = bea_text(&item->via.array.ptr[0], &out->zone),
            .request_address = bea_text(&item->via.array.ptr[1], &out->zone),
        };
        if (vouched.name == NULL || vouched.request_address == NULL) {
            return false;
        }
        out->vouched[out->vouched_count] = vouched;
        out->vouched_count += 1;
    }
    return true;
}

static bool
bea_read_changes(const msgpack_object *fields, struct mem_beat *beat)
{
    for (int kind = 0; kind < MEM_KIND_COUNT; kind++) {
        const msgpack_object *field = &fields[BEA_FIELD_CHANGES + kind];
        if (!bea_is_number(field) || field->via.u64 > INT64_MAX) {
            return false;
        }
        beat->changes[kind] = field->via.i64;
    }
    return true;
}

/* What is missing or cannot be read is not told. */
static void
bea_read_ages(const msgpack_object *root, struct mem_beat *beat)
{
    const msgpack_object *list = root->via.array.size > BEA_FIELD_AGES
                                     ? &root->via.array.ptr[BEA_FIELD_AGES]
                                     : NULL;
    uint32_t count = list != NULL && list->type == MSGPACK_OBJECT_ARRAY
                         ? list->via.array.size
                         : 0;
    for (uint32_t kind = 0; kind < MEM_KIND_COUNT; kind++) {
        const msgpack_object *field =
            kind < count ? &list->via.array.ptr[kind] : NULL;
        bool is_told = field != NULL && bea_is_number(field) &&
                       field->via.u64 <= INT64_MAX;
        beat->ages_us[kind] = is_told ? field->via.i64 : MEM_AGE_NONE;
    }
}

static bool
bea_read_numbers(const msgpack_object *fields, struct mem_beat *beat)
{
    static const enum bea_field numbers[] = {
        BEA_FIELD_START, BEA_FIELD_CAPACITY, BEA_FIELD_IS_READY,
        BEA_FIELD_IS_REPLY};
    for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
        if (!bea_is_number(&fields[numbers[i]])) {
            return false;
        }
    }
    beat->start = fields[BEA_FIELD_START].via.u64;
    beat->capacity = (uint32_t)fields[BEA_FIELD_CAPACITY].via.u64;
    beat->is_ready = fields[BEA_FIELD_IS_READY].via.u64 != 0;
    beat->is_reply = fields[BEA_FIELD_IS_REPLY].via.u64 != 0;
    return true;
}

static bool
bea_read(const msgpack_object *root, struct bea *out)
{
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < BEA_FIELD_COUNT_MIN) {
        return false;
    }
    const msgpack_object *fields = root->via.array.ptr;
    struct mem_beat *beat = &out->beat;
    beat->name = bea_text(&fields[BEA_FIELD_NAME], &out->zone);
    beat->dc = bea_text(&fields[BEA_FIELD_DC], &out->zone);
    beat->request_address =
        bea_text(&fields[BEA_FIELD_REQUEST_ADDRESS], &out->zone);
    beat->peer_address = bea_text(&fields[BEA_FIELD_PEER_ADDRESS], &out->zone);
    bea_read_ages(root, beat);
    return bea_is_number(&fields[BEA_FIELD_TYPE]) &&
           fields[BEA_FIELD_TYPE].via.u64 == BEA_TYPE && beat->name != NULL &&
           beat->dc != NULL && beat->request_address != NULL &&
           beat->peer_address != NULL && bea_read_numbers(fields, beat) &&
           bea_read_changes(fields, beat) &&
           bea_read_vouched(&fields[BEA_FIELD_VOUCHED], out);
}

int
bea_decode(const void *data, size_t data_bytes, struct bea *out)
{
    *out = (struct bea){.vouched_count = 0};
    if (!msgpack_zone_init(&out->zone, MSGPACK_ZONE_CHUNK_SIZE)) {
        return RC_INVALID;
    }
    size_t offset = 0;
    msgpack_object root;
    msgpack_unpack_return parsed =
        msgpack_unpack(data, data_bytes, &offset, &out->zone, &root);
    if (parsed != MSGPACK_UNPACK_SUCCESS || !bea_read(&root, out)) {
        msgpack_zone_destroy(&out->zone);
        return RC_INVALID;
    }
    return RC_OK;
}

void
bea_clear(struct bea *beat)
{
    msgpack_zone_destroy(&beat->zone);
}
