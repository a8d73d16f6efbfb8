#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "common/json_list.h"
#include "common/json_room.h"
#include "common/json_scan.h"

/* All values together may be passed over this many times the size of the
 * document: broken entries make the reader look at bytes again. */
#define JSON_LIST_WORK_FACTOR 64

struct json_list_reader {
    const struct json_list_format *format;
    struct json_scan scan;
    uint32_t odd_count;
};

enum json_list_level {
    JSON_LIST_DOCUMENT,
    JSON_LIST_ENTRY,
    JSON_LIST_NESTED, /* the member `nested_key` of an entry */
};

static json_t *reader_object(struct json_list_reader *reader,
                             enum json_list_level level, bool *is_whole);

/* Whether arrays and objects are nested no deeper than `left` in the value. */
static bool
json_list_is_nested_within(const json_t *json, uint32_t left)
{
    const char *key = NULL;
    json_t *value = NULL;
    size_t i = 0;
    if (!json_is_array(json) && !json_is_object(json)) {
        return true;
    }
    if (left == 0) {
        return false;
    }
    json_array_foreach(json, i, value)
    {
        if (!json_list_is_nested_within(value, left - 1)) {
            return false;
        }
    }
    json_object_foreach((json_t *)json, key, value)
    {
        if (!json_list_is_nested_within(value, left - 1)) {
            return false;
        }
    }
    return true;
}

/* Decodes the value at the position; the result is null if it cannot be
 * decoded, and NULL if it cannot be told where it ends. */
static json_t *
reader_value(struct json_list_reader *reader)
{
    const char *start = reader->scan.at;
    if (!json_scan_skip_value(&reader->scan)) {
        return NULL;
    }
    json_room_enter_part();
    json_t *value = json_loadb(start, (size_t)(reader->scan.at - start),
                               JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
    bool has_room = json_room_leave_part();
    if (has_room && value != NULL &&
        json_list_is_nested_within(value, JSON_LIST_DEPTH_MAX)) {
        return value;
    }
    json_decref(value);
    reader->odd_count += 1;
    return json_null();
}

/* Whether only members that are no arrays or objects follow, up to the end of
 * the document. Elsewhere a closing bracket belongs to the bytes of an entry.
 */
static bool
json_list_is_behind(const struct json_scan *scan)
{
    struct json_scan ahead = *scan;
    while (json_scan_accept(&ahead, ',')) {
        if (!json_scan_is_at(&ahead, '"') || !json_scan_skip_string(&ahead) ||
            !json_scan_accept(&ahead, ':') || json_scan_is_at(&ahead, '{') ||
            json_scan_is_at(&ahead, '[') || !json_scan_skip_value(&ahead)) {
            return false;
        }
    }
    bool is_closed = json_scan_accept(&ahead, '}');
    json_scan_skip_space(&ahead);
    return is_closed && ahead.at == ahead.end;
}

/* Moves back over white space before `at`, not beyond `start`. */
static const char *
reader_byte_before(const char *start, const char *at)
{
    do {
        at -= 1;
    } while (at > start && json_scan_is_one_of(*at, " \t\r\n"));
    return at;
}

/* Whether an entry may begin here: an object behind another one and a comma,
 * with one of the names of an entry's members. */
static bool
reader_may_begin_entry(const struct json_list_reader *reader,
                       const char *list_start, const char *at)
{
    const char *comma = reader_byte_before(list_start, at);
    struct json_scan ahead = reader->scan;
    ahead.at = at;
    if (*comma != ',' || *reader_byte_before(list_start, comma) != '}' ||
        !json_scan_accept(&ahead, '{') || !json_scan_accept(&ahead, '"')) {
        return false;
    }
    for (const char *const *key = reader->format->entry_keys; *key != NULL;
         key++) {
        size_t bytes = strlen(*key);
        if ((size_t)(ahead.end - ahead.at) > bytes &&
            memcmp(ahead.at, *key, bytes) == 0 && ahead.at[bytes] == '"') {
            return true;
        }
    }
    return false;
}

/* Moves behind the end of the list if the next byte is that. */
static bool
json_list_accept_end(struct json_scan *scan)
{
    struct json_scan ahead = *scan;
    if (!json_scan_accept(&ahead, ']') || !json_list_is_behind(&ahead)) {
        return false;
    }
    scan->at = ahead.at;
    return true;
}

/* Moves to the end of the list. Returns whether there is one. */
static bool
reader_find_list_end(struct json_list_reader *reader, const char *broken)
{
    reader->scan.at = reader->scan.end - 1;
    while (reader->scan.at > broken && *reader->scan.at != ']') {
        reader->scan.at -= 1;
    }
    struct json_scan ahead = reader->scan;
    return json_list_accept_end(&ahead);
}

/* Moves behind the broken entry at `broken`: to where the next one may begin,
 * or to the end of the list. Returns whether there is one of them. */
static bool
reader_leave_entry(struct json_list_reader *reader, const char *list_start,
                   const char *broken)
{
    for (const char *at = broken + 1; at < reader->scan.end; at++) {
        at = memchr(at, '{', (size_t)(reader->scan.end - at));
        if (at == NULL) {
            break;
        }
        if (reader_may_begin_entry(reader, list_start, at)) {
            reader->scan.at = at;
            return true;
        }
    }
    return reader_find_list_end(reader, broken);
}

/* Returns an object with the member alone that identifies the entry. */
static json_t *
json_list_identity(const struct json_list_format *format, const json_t *entry)
{
    json_t *identity = json_object();
    json_t *id = json_object_get(entry, format->id_key);
    const json_t *nested = format->nested_key != NULL
                               ? json_object_get(entry, format->nested_key)
                               : NULL;
    if (id != NULL) {
        json_object_set(identity, format->id_key, id);
    }
    if (nested != NULL) {
        json_object_set_new(identity, format->nested_key,
                            json_list_identity(format, nested));
    }
    return identity;
}

/* Decodes the list at the position; returns NULL if its end is not found. */
static json_t *
reader_list(struct json_list_reader *reader)
{
    json_t *list = json_array();
    const char *list_start = reader->scan.at;
    reader->scan.at += 1;
    bool is_ended = json_list_accept_end(&reader->scan);
    while (!is_ended && !json_room_is_full()) {
        json_scan_skip_space(&reader->scan);
        const char *start = reader->scan.at;
        bool is_whole = false;
        json_t *entry = NULL;
        if (json_scan_is_at(&reader->scan, '{')) {
            entry = reader_object(reader, JSON_LIST_ENTRY, &is_whole);
        }
        is_ended = is_whole && json_list_accept_end(&reader->scan);
        if (is_ended || (is_whole && json_scan_accept(&reader->scan, ','))) {
            json_array_append_new(list, entry);
            continue;
        }
        /* Any member of a broken entry may hold bytes of another one. */
        reader->odd_count += 1;
        json_array_append_new(list, json_list_identity(reader->format, entry));
        json_decref(entry);
        if (!reader_leave_entry(reader, list_start, start)) {
            json_decref(list);
            return NULL;
        }
        is_ended = json_list_accept_end(&reader->scan);
    }
    return list;
}

/* Decodes the value of a member; returns NULL if it is broken. */
static json_t *
reader_member_value(struct json_list_reader *reader,
                    enum json_list_level level, const char *key,
                    bool *is_whole)
{
    const struct json_list_format *format = reader->format;
    if (level == JSON_LIST_ENTRY && g_strcmp0(key, format->nested_key) == 0 &&
        json_scan_is_at(&reader->scan, '{')) {
        return reader_object(reader, JSON_LIST_NESTED, is_whole);
    }
    uint32_t odd_count = reader->odd_count;
    bool is_list = level == JSON_LIST_DOCUMENT &&
                   strcmp(key, format->list_key) == 0 &&
                   json_scan_is_at(&reader->scan, '[');
    json_t *value = is_list ? reader_list(reader) : reader_value(reader);
    bool is_odd = !is_list && reader->odd_count > odd_count;
    *is_whole = value != NULL && (level != JSON_LIST_DOCUMENT || !is_odd);
    return value;
}

/* Decodes a member at the position and adds it to `object`. Returns whether it
 * is whole. */
static bool
reader_member(struct json_list_reader *reader, enum json_list_level level,
              json_t *object)
{
    if (!json_scan_is_at(&reader->scan, '"')) {
        return false;
    }
    const char *start = reader->scan.at;
    bool is_closed = json_scan_skip_string(&reader->scan);
    json_t *key = json_loadb(start, (size_t)(reader->scan.at - start),
                             JSON_DECODE_ANY, NULL);
    bool is_whole = false;
    if (is_closed && key != NULL && json_scan_accept(&reader->scan, ':')) {
        json_t *value = reader_member_value(reader, level,
                                            json_string_value(key), &is_whole);
        json_object_set_new(object, json_string_value(key),
                            value != NULL ? value : json_null());
    }
    json_decref(key);
    return is_whole;
}

/* Decodes the object at the position member by member, up to the first one
 * that is not whole: `is_whole` is false then. */
static json_t *
reader_object(struct json_list_reader *reader, enum json_list_level level,
              bool *is_whole)
{
    json_t *object = json_object();
    reader->scan.at += 1;
    *is_whole = true;
    if (json_scan_accept(&reader->scan, '}')) {
        return object;
    }
    do {
        *is_whole = reader_member(reader, level, object);
    } while (*is_whole && json_scan_accept(&reader->scan, ','));
    *is_whole = *is_whole && json_scan_accept(&reader->scan, '}');
    return object;
}

json_t *
json_list_load(const char *text, size_t bytes,
               const struct json_list_format *format, uint32_t *odd_count)
{
    struct json_list_reader reader = {
        .format = format,
        .scan =
            {
                .at = text,
                .end = text + bytes,
                .work_left = bytes * JSON_LIST_WORK_FACTOR,
            },
    };
    json_t *document = NULL;
    bool is_whole = false;
    json_room_enter();
    if (json_scan_is_at(&reader.scan, '{')) {
        document = reader_object(&reader, JSON_LIST_DOCUMENT, &is_whole);
    }
    bool has_room = json_room_leave(bytes);
    json_scan_skip_space(&reader.scan);
    *odd_count = reader.odd_count;
    if (has_room && is_whole && reader.scan.at == reader.scan.end) {
        return document;
    }
    json_decref(document);
    return NULL;
}
