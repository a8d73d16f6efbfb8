#ifndef CH_COMMON_HTTP_FIELD_H
#define CH_COMMON_HTTP_FIELD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/*
 * One header field of a request or response. Name and value are not
 * NUL-terminated; they belong to whoever filled in the struct.
 */
struct http_field {
    const char *name;
    size_t name_bytes;
    const char *value;
    size_t value_bytes;
};

/* Makes a header field that refers to both texts without copying them. */
static inline struct http_field
http_field_of(const char *name, const char *value)
{
    return (struct http_field){
        .name = name,
        .name_bytes = strlen(name),
        .value = value,
        .value_bytes = strlen(value),
    };
}

/* Whether the header has this name, in any case. */
static inline bool
http_field_is(const struct http_field *field, const char *name)
{
    return field->name_bytes == strlen(name) &&
           g_ascii_strncasecmp(field->name, name, field->name_bytes) == 0;
}

/*
 * Whether the header is hop-by-hop: it concerns one connection only and a
 * proxy does not forward it. Includes Host, Content-Length and Expect, which a
 * proxy sets or handles itself.
 */
bool http_field_is_hop_by_hop(const struct http_field *field);

/* Whether the bytes may be part of a field name. Parsers may accept more, for
 * example a space before the colon, which others read as another name. */
bool http_field_is_token(const char *at, size_t bytes);

/* Returns the field without white space around its value. */
struct http_field http_field_trim(const struct http_field *field);

/*
 * Reads a value that is digits with an optional decimal fraction, times
 * `scale`, cut to `max`. Returns false for anything else: a sign, an exponent,
 * a date, an empty value.
 */
bool http_field_read_decimal(const struct http_field *field, int64_t scale,
                             int64_t max, int64_t *out);

#endif
