#include <stdbool.h>
#include <string.h>

#include "common/msg.h"
#include "common/rc.h"

enum msg_kind {
    MSG_KIND_U64,
    MSG_KIND_I64,
    MSG_KIND_STR,
    MSG_KIND_BIN,
    MSG_KIND_LIST,
};

struct msg_desc;

struct msg_field {
    enum msg_kind kind;
    size_t offset;
    size_t count_offset;          /* lists only */
    const struct msg_desc *items; /* lists only */
};

struct msg_desc {
    size_t size_bytes;
    const struct msg_field *fields;
    size_t field_count;
};

#define U64(type, member)                                                     \
    {                                                                         \
        .kind = MSG_KIND_U64, .offset = offsetof(struct type, member)         \
    }
#define I64(type, member)                                                     \
    {                                                                         \
        .kind = MSG_KIND_I64, .offset = offsetof(struct type, member)         \
    }
#define STR(type, member)                                                     \
    {                                                                         \
        .kind = MSG_KIND_STR, .offset = offsetof(struct type, member)         \
    }
#define BIN(type, member)                                                     \
    {                                                                         \
        .kind = MSG_KIND_BIN, .offset = offsetof(struct type, member)         \
    }
#define LIST(type, member, count, desc)                                       \
    {                                                                         \
        .kind = MSG_KIND_LIST, .offset = offsetof(struct type, member),       \
        .count_offset = offsetof(struct type, count), .items = &(desc)        \
    }
#define DESC(type, ...)                                                       \
    static const struct msg_field type##_fields[] = {__VA_ARGS__};            \
    static const struct msg_desc type##_desc = {                              \
        .size_bytes = sizeof(struct type),                                    \
        .fields = type##_fields,                                              \
        .field_count = sizeof(type##_fields) / sizeof(type##_fields[0]),      \
    };

DESC(msg_hello, U64(msg_hello, relay_start), U64(msg_hello, offer_seq))
DESC(msg_confirm_offer, U64(msg_confirm_offer, relay_start),
     U64(msg_confirm_offer, offer_seq))
DESC(msg_version, U64(msg_version, version), U64(msg_version, shard),
     U64(msg_version, shards))
DESC(msg_offer_instance, STR(msg_offer_instance, service),
     STR(msg_offer_instance, instance), U64(msg_offer_instance, epoch),
     LIST(msg_offer_instance, versions, version_count, msg_version_desc))
DESC(msg_offer, STR(msg_offer, machine), U64(msg_offer, start),
     U64(msg_offer, seq),
     LIST(msg_offer, instances, instance_count, msg_offer_instance_desc))
DESC(msg_part, STR(msg_part, instance), U64(msg_part, shard))
DESC(msg_query, U64(msg_query, qid), STR(msg_query, service),
     U64(msg_query, version), I64(msg_query, budget_us), U64(msg_query, limit),
     STR(msg_query, query), LIST(msg_query, parts, part_count, msg_part_desc))
DESC(msg_shard, U64(msg_shard, shard))
DESC(msg_missing, U64(msg_missing, shard), I64(msg_missing, rc))
DESC(msg_hit, I64(msg_hit, score), STR(msg_hit, id))
DESC(msg_reply, U64(msg_reply, qid), U64(msg_reply, version),
     LIST(msg_reply, done, done_count, msg_shard_desc),
     LIST(msg_reply, missing, missing_count, msg_missing_desc),
     LIST(msg_reply, hits, hit_count, msg_hit_desc),
     U64(msg_reply, relay_start), U64(msg_reply, offer_seq))
DESC(msg_cancel, U64(msg_cancel, qid))
DESC(msg_exec, U64(msg_exec, qid), STR(msg_exec, id), STR(msg_exec, service),
     STR(msg_exec, instance), U64(msg_exec, shard), U64(msg_exec, version),
     I64(msg_exec, budget_us), BIN(msg_exec, body))
DESC(msg_exec_reply, U64(msg_exec_reply, qid), I64(msg_exec_reply, rc),
     BIN(msg_exec_reply, body), U64(msg_exec_reply, relay_start),
     U64(msg_exec_reply, offer_seq))
DESC(msg_order, U64(msg_order, qid), STR(msg_order, id),
     STR(msg_order, service), STR(msg_order, key), I64(msg_order, budget_us),
     BIN(msg_order, body))
DESC(msg_order_reply, U64(msg_order_reply, qid), I64(msg_order_reply, rc),
     BIN(msg_order_reply, body))
DESC(msg_subscribe, STR(msg_subscribe, role), U64(msg_subscribe, start))
DESC(msg_machine, STR(msg_machine, name), U64(msg_machine, start),
     STR(msg_machine, zone), STR(msg_machine, agent_address),
     STR(msg_machine, entry_address), STR(msg_machine, peer_address),
     STR(msg_machine, relay_address), U64(msg_machine, state),
     U64(msg_machine, beat))
DESC(msg_warm, STR(msg_warm, address), U64(msg_warm, start))
DESC(msg_holder, STR(msg_holder, service), STR(msg_holder, instance),
     STR(msg_holder, machine), U64(msg_holder, start), U64(msg_holder, epoch),
     U64(msg_holder, orderly),
     LIST(msg_holder, warm, warm_count, msg_warm_desc))
DESC(msg_state, U64(msg_state, seq), STR(msg_state, machine),
     U64(msg_state, start), U64(msg_state, revision), BIN(msg_state, config),
     LIST(msg_state, machines, machine_count, msg_machine_desc),
     LIST(msg_state, holders, holder_count, msg_holder_desc),
     I64(msg_state, lease_until_us))
DESC(msg_released, STR(msg_released, service), STR(msg_released, instance),
     U64(msg_released, epoch),
     LIST(msg_released, warm, warm_count, msg_warm_desc))
DESC(msg_stopping, STR(msg_stopping, role))
DESC(msg_beat, STR(msg_beat, machine), U64(msg_beat, start),
     U64(msg_beat, seq), U64(msg_beat, cell_version), U64(msg_beat, revision),
     U64(msg_beat, digest), U64(msg_beat, state))
DESC(msg_beat_ack, STR(msg_beat_ack, machine), U64(msg_beat_ack, start),
     U64(msg_beat_ack, seq), U64(msg_beat_ack, cell_version),
     U64(msg_beat_ack, revision), U64(msg_beat_ack, accepted))
DESC(msg_ask, STR(msg_ask, asker), STR(msg_ask, holder),
     U64(msg_ask, holder_start), U64(msg_ask, cell_version),
     U64(msg_ask, nonce))
DESC(msg_vote, STR(msg_vote, voter), U64(msg_vote, voter_start),
     STR(msg_vote, holder), U64(msg_vote, holder_start),
     U64(msg_vote, cell_version), U64(msg_vote, nonce),
     U64(msg_vote, not_heard))
DESC(msg_pull, U64(msg_pull, revision))
DESC(msg_config, U64(msg_config, revision), U64(msg_config, digest),
     BIN(msg_config, document))
DESC(msg_members, U64(msg_members, revision), U64(msg_members, digest),
     LIST(msg_members, machines, machine_count, msg_machine_desc))
DESC(msg_lease, U64(msg_lease, revision), I64(msg_lease, lease_until_us))
DESC(msg_cell_pull, STR(msg_cell_pull, cell), U64(msg_cell_pull, version))
DESC(msg_member, STR(msg_member, machine))
DESC(msg_cell, STR(msg_cell, cell), STR(msg_cell, machine),
     U64(msg_cell, version),
     LIST(msg_cell, members, member_count, msg_member_desc))

DESC(msg_vouched, STR(msg_vouched, name), STR(msg_vouched, request_address))
DESC(msg_vm_beat, STR(msg_vm_beat, name), U64(msg_vm_beat, start),
     STR(msg_vm_beat, dc), STR(msg_vm_beat, request_address),
     STR(msg_vm_beat, peer_address), U64(msg_vm_beat, capacity),
     U64(msg_vm_beat, is_ready), U64(msg_vm_beat, is_reply),
     I64(msg_vm_beat, config_change), I64(msg_vm_beat, backend_change),
     I64(msg_vm_beat, drain_change),
     LIST(msg_vm_beat, vouched, vouched_count, msg_vouched_desc))

static const struct msg_desc *const msg_descs[MSG_TYPE_COUNT] = {
    [MSG_HELLO] = &msg_hello_desc,
    [MSG_OFFER] = &msg_offer_desc,
    [MSG_QUERY] = &msg_query_desc,
    [MSG_REPLY] = &msg_reply_desc,
    [MSG_CANCEL] = &msg_cancel_desc,
    [MSG_EXEC] = &msg_exec_desc,
    [MSG_EXEC_REPLY] = &msg_exec_reply_desc,
    [MSG_ORDER] = &msg_order_desc,
    [MSG_ORDER_REPLY] = &msg_order_reply_desc,
    [MSG_SUBSCRIBE] = &msg_subscribe_desc,
    [MSG_STATE] = &msg_state_desc,
    [MSG_RELEASED] = &msg_released_desc,
    [MSG_STOPPING] = &msg_stopping_desc,
    [MSG_BEAT] = &msg_beat_desc,
    [MSG_BEAT_ACK] = &msg_beat_ack_desc,
    [MSG_ASK] = &msg_ask_desc,
    [MSG_VOTE] = &msg_vote_desc,
    [MSG_PULL] = &msg_pull_desc,
    [MSG_CONFIG] = &msg_config_desc,
    [MSG_MEMBERS] = &msg_members_desc,
    [MSG_LEASE] = &msg_lease_desc,
    [MSG_CELL_PULL] = &msg_cell_pull_desc,
    [MSG_CELL] = &msg_cell_desc,
    [MSG_CONFIRM_OFFER] = &msg_confirm_offer_desc,
    [MSG_VM_BEAT] = &msg_vm_beat_desc,
};

static void msg_pack_fields(msgpack_packer *packer,
                            const struct msg_desc *desc, const char *body);

static void
msg_pack_list(msgpack_packer *packer, const struct msg_field *field,
              const char *body)
{
    const char *items = NULL;
    size_t count = 0;
    memcpy(&items, body + field->offset, sizeof(items));
    memcpy(&count, body + field->count_offset, sizeof(count));
    msgpack_pack_array(packer, count);
    for (size_t i = 0; i < count; i++) {
        /* Items with one field need no array of their own. */
        if (field->items->field_count > 1) {
            msgpack_pack_array(packer, field->items->field_count);
        }
        msg_pack_fields(packer, field->items,
                        items + i * field->items->size_bytes);
    }
}

static void
msg_pack_field(msgpack_packer *packer, const struct msg_field *field,
               const char *body)
{
    const char *at = body + field->offset;
    uint64_t u64 = 0;
    int64_t i64 = 0;
    const char *text = NULL;
    struct msg_bin bin;
    switch (field->kind) {
    case MSG_KIND_U64:
        memcpy(&u64, at, sizeof(u64));
        msgpack_pack_uint64(packer, u64);
        break;
    case MSG_KIND_I64:
        memcpy(&i64, at, sizeof(i64));
        msgpack_pack_int64(packer, i64);
        break;
    case MSG_KIND_STR:
        memcpy(&text, at, sizeof(text));
        text = text != NULL ? text : "";
        msgpack_pack_str_with_body(packer, text, strlen(text));
        break;
    case MSG_KIND_BIN:
        memcpy(&bin, at, sizeof(bin));
        msgpack_pack_bin(packer, bin.bytes);
        if (bin.bytes > 0) {
            msgpack_pack_bin_body(packer, bin.data, bin.bytes);
        }
        break;
    case MSG_KIND_LIST:
        msg_pack_list(packer, field, body);
        break;
    }
}

static void
msg_pack_fields(msgpack_packer *packer, const struct msg_desc *desc,
                const char *body)
{
    for (size_t i = 0; i < desc->field_count; i++) {
        msg_pack_field(packer, &desc->fields[i], body);
    }
}

int
msg_encode(enum msg_type type, const void *body, msgpack_sbuffer *out)
{
    if (type < MSG_HELLO || type >= MSG_TYPE_COUNT) {
        return RC_INVALID;
    }
    const struct msg_desc *desc = msg_descs[type];
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, desc->field_count + 1);
    msgpack_pack_uint64(&packer, type);
    msg_pack_fields(&packer, desc, body);
    return RC_OK;
}

static bool msg_unpack_fields(const msgpack_object *objects, size_t count,
                              const struct msg_desc *desc, char *body,
                              msgpack_zone *zone);

static bool
msg_unpack_str(const msgpack_object *object, char *at, msgpack_zone *zone)
{
    if (object->type != MSGPACK_OBJECT_STR) {
        return false;
    }
    uint32_t bytes = object->via.str.size;
    if (bytes > 0 && memchr(object->via.str.ptr, '\0', bytes) != NULL) {
        return false;
    }
    char *copy = msgpack_zone_malloc(zone, (size_t)bytes + 1);
    if (copy == NULL) {
        return false;
    }
    if (bytes > 0) {
        memcpy(copy, object->via.str.ptr, bytes);
    }
    copy[bytes] = '\0';
    memcpy(at, &copy, sizeof(copy));
    return true;
}

static bool
msg_unpack_bin(const msgpack_object *object, char *at, msgpack_zone *zone)
{
    if (object->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    struct msg_bin bin = {.bytes = object->via.bin.size};
    if (bin.bytes > 0) {
        void *copy = msgpack_zone_malloc(zone, bin.bytes);
        if (copy == NULL) {
            return false;
        }
        memcpy(copy, object->via.bin.ptr, bin.bytes);
        bin.data = copy;
    }
    memcpy(at, &bin, sizeof(bin));
    return true;
}

static bool
msg_unpack_list(const msgpack_object *object, const struct msg_field *field,
                char *body, msgpack_zone *zone)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    const struct msg_desc *desc = field->items;
    size_t count = object->via.array.size;
    char *items = NULL;
    if (count > 0) {
        items = msgpack_zone_malloc(zone, count * desc->size_bytes);
        if (items == NULL) {
            return false;
        }
        memset(items, 0, count * desc->size_bytes);
    }
    for (size_t i = 0; i < count; i++) {
        const msgpack_object *item = &object->via.array.ptr[i];
        const msgpack_object *fields = item;
        size_t field_count = 1;
        if (desc->field_count > 1) {
            if (item->type != MSGPACK_OBJECT_ARRAY) {
                return false;
            }
            fields = item->via.array.ptr;
            field_count = item->via.array.size;
        }
        if (!msg_unpack_fields(fields, field_count, desc,
                               items + i * desc->size_bytes, zone)) {
            return false;
        }
    }
    memcpy(body + field->offset, &items, sizeof(items));
    memcpy(body + field->count_offset, &count, sizeof(count));
    return true;
}

static bool
msg_unpack_field(const msgpack_object *object, const struct msg_field *field,
                 char *body, msgpack_zone *zone)
{
    char *at = body + field->offset;
    int64_t value = 0;
    switch (field->kind) {
    case MSG_KIND_U64:
        if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
        memcpy(at, &object->via.u64, sizeof(uint64_t));
        return true;
    case MSG_KIND_I64:
        if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
            object->via.u64 <= INT64_MAX) {
            value = (int64_t)object->via.u64;
        }
        else if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
            value = object->via.i64;
        }
        else {
            return false;
        }
        memcpy(at, &value, sizeof(value));
        return true;
    case MSG_KIND_STR:
        return msg_unpack_str(object, at, zone);
    case MSG_KIND_BIN:
        return msg_unpack_bin(object, at, zone);
    case MSG_KIND_LIST:
        return msg_unpack_list(object, field, body, zone);
    }
    return false;
}

static bool
msg_unpack_fields(const msgpack_object *objects, size_t count,
                  const struct msg_desc *desc, char *body, msgpack_zone *zone)
{
    /* A newer sender may append fields; fewer than known is an error. */
    if (count < desc->field_count) {
        return false;
    }
    for (size_t i = 0; i < desc->field_count; i++) {
        if (!msg_unpack_field(&objects[i], &desc->fields[i], body, zone)) {
            return false;
        }
    }
    return true;
}

static int
msg_unpack(const msgpack_object *root, struct msg *out)
{
    if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 1) {
        return RC_INVALID;
    }
    const msgpack_object *objects = root->via.array.ptr;
    if (objects[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        objects[0].via.u64 < MSG_HELLO ||
        objects[0].via.u64 >= MSG_TYPE_COUNT) {
        return RC_INVALID;
    }
    const struct msg_desc *desc = msg_descs[objects[0].via.u64];
    char *body = msgpack_zone_malloc(&out->zone, desc->size_bytes);
    if (body == NULL) {
        return RC_INVALID;
    }
    memset(body, 0, desc->size_bytes);
    if (!msg_unpack_fields(objects + 1, root->via.array.size - 1, desc, body,
                           &out->zone)) {
        return RC_INVALID;
    }
    out->type = (enum msg_type)objects[0].via.u64;
    out->body = body;
    return RC_OK;
}

int
msg_decode(const void *data, size_t data_bytes, struct msg *out)
{
    *out = (struct msg){.body = NULL};
    if (!msgpack_zone_init(&out->zone, MSGPACK_ZONE_CHUNK_SIZE)) {
        return RC_INVALID;
    }
    size_t offset = 0;
    msgpack_object root;
    msgpack_unpack_return parsed =
        msgpack_unpack(data, data_bytes, &offset, &out->zone, &root);
    int rc = RC_INVALID;
    if (parsed == MSGPACK_UNPACK_SUCCESS) {
        rc = msg_unpack(&root, out);
    }
    if (rc != RC_OK) {
        msgpack_zone_destroy(&out->zone);
    }
    return rc;
}

void
msg_clear(struct msg *msg)
{
    msgpack_zone_destroy(&msg->zone);
    msg->body = NULL;
}
