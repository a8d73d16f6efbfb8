#include <inttypes.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "common/json_room.h"
#include "common/log.h"

/* Memory of the library's values on 64-bit machines, at most; tests/common
 * compares it with what is allocated. */
#define JSON_ROOM_OBJECT_BYTES 72
#define JSON_ROOM_BUCKET_BYTES 16
#define JSON_ROOM_PAIR_BYTES 56
#define JSON_ROOM_ARRAY_BYTES 40
#define JSON_ROOM_STRING_BYTES 32
#define JSON_ROOM_NUMBER_BYTES 24
#define JSON_ROOM_TABLE_MIN 8
/* Of the C library's allocator. */
#define JSON_ROOM_ALIGN_BYTES 16
#define JSON_ROOM_BLOCK_MIN_BYTES 32

/* State of the process, since the library passes no context to its allocation
 * functions. */
static struct {
    uint64_t max_bytes;   /* 0: no limit */
    uint64_t limit_bytes; /* of the text, or of a part of it */
    uint64_t bytes;       /* of the text that is being decoded */
    uint64_t refused;
    bool is_entered;
    bool is_full;
} json_room;

static void *
json_room_malloc(size_t bytes)
{
    if (!json_room.is_entered) {
        return malloc(bytes);
    }
    if (json_room.is_full || bytes > json_room.limit_bytes ||
        json_room.bytes > json_room.limit_bytes - bytes) {
        json_room.is_full = true;
        return NULL;
    }
    void *block = malloc(bytes);
    json_room.bytes += malloc_usable_size(block) + sizeof(size_t);
    return block;
}

static void
json_room_free(void *block)
{
    if (json_room.is_entered && block != NULL) {
        uint64_t bytes = malloc_usable_size(block) + sizeof(size_t);
        json_room.bytes -= bytes < json_room.bytes ? bytes : json_room.bytes;
    }
    free(block);
}

void
json_room_set_max(uint64_t max_bytes)
{
    json_room.max_bytes = max_bytes;
    json_set_alloc_funcs(json_room_malloc, json_room_free);
}

void
json_room_enter(void)
{
    json_room.is_entered = json_room.max_bytes > 0;
    json_room.limit_bytes = json_room.max_bytes;
    json_room.is_full = false;
    json_room.bytes = 0;
}

bool
json_room_is_full(void)
{
    return json_room.is_full;
}

bool
json_room_leave(size_t bytes)
{
    json_room.is_entered = false;
    if (!json_room.is_full) {
        return true;
    }
    json_room.refused += 1;
    log_sample("json",
               "values take too much memory, not decoded bytes=%zu "
               "max_bytes=%" PRIu64,
               bytes, json_room.max_bytes);
    return false;
}

void
json_room_enter_part(void)
{
    uint64_t part_end = json_room.bytes + json_room.max_bytes / 2;
    json_room.limit_bytes =
        part_end < json_room.max_bytes ? part_end : json_room.max_bytes;
}

bool
json_room_leave_part(void)
{
    bool is_part_full =
        json_room.is_full && json_room.limit_bytes < json_room.max_bytes;
    json_room.limit_bytes = json_room.max_bytes;
    json_room.is_full = json_room.is_full && !is_part_full;
    return !is_part_full;
}

/* What the allocator takes for a block of this size. */
static uint64_t
json_room_block_size(uint64_t bytes)
{
    uint64_t whole = (bytes + sizeof(size_t) + JSON_ROOM_ALIGN_BYTES - 1) /
                     JSON_ROOM_ALIGN_BYTES * JSON_ROOM_ALIGN_BYTES;
    return whole < JSON_ROOM_BLOCK_MIN_BYTES ? JSON_ROOM_BLOCK_MIN_BYTES
                                             : whole;
}

/* Memory of a table that doubles and has room for `count` elements. */
static uint64_t
json_room_table_size(size_t count, size_t element_bytes)
{
    size_t capacity = JSON_ROOM_TABLE_MIN;
    while (capacity < count) {
        capacity *= 2;
    }
    return json_room_block_size(capacity * element_bytes);
}

static uint64_t
json_room_object_size(json_t *json)
{
    uint64_t bytes =
        json_room_block_size(JSON_ROOM_OBJECT_BYTES) +
        json_room_table_size(json_object_size(json), JSON_ROOM_BUCKET_BYTES);
    const char *key = NULL;
    json_t *value = NULL;
    json_object_foreach(json, key, value)
    {
        bytes += json_room_block_size(JSON_ROOM_PAIR_BYTES + strlen(key) + 1) +
                 json_room_size(value);
    }
    return bytes;
}

static uint64_t
json_room_array_size(const json_t *json)
{
    uint64_t bytes =
        json_room_block_size(JSON_ROOM_ARRAY_BYTES) +
        json_room_table_size(json_array_size(json), sizeof(json_t *));
    for (size_t i = 0; i < json_array_size(json); i++) {
        bytes += json_room_size(json_array_get(json, i));
    }
    return bytes;
}

uint64_t
json_room_size(const json_t *json)
{
    if (json == NULL) {
        return 0;
    }
    switch (json_typeof(json)) {
    case JSON_OBJECT:
        return json_room_object_size((json_t *)json);
    case JSON_ARRAY:
        return json_room_array_size(json);
    case JSON_STRING:
        return json_room_block_size(JSON_ROOM_STRING_BYTES) +
               json_room_block_size(json_string_length(json) + 1);
    case JSON_INTEGER:
    case JSON_REAL:
        return json_room_block_size(JSON_ROOM_NUMBER_BYTES);
    case JSON_TRUE:
    case JSON_FALSE:
    case JSON_NULL:
        break;
    }
    return 0;
}

uint64_t
json_room_refused(void)
{
    return json_room.refused;
}

json_t *
json_room_load(const char *text, size_t bytes, size_t flags,
               json_error_t *error)
{
    json_room_enter();
    json_t *json = json_loadb(text, bytes, flags, error);
    if (json_room_leave(bytes)) {
        return json;
    }
    json_decref(json);
    return NULL;
}
