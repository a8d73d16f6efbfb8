#ifndef CH_COMMON_HTTP_FIELD_H
#define CH_COMMON_HTTP_FIELD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/* One header of a request or response; not NUL-terminated. */
struct http_field {
    const char *name;
    size_t name_bytes;
    const char *value;
    size_t value_bytes;
};

/* The header with this name and value; both stay the caller's. */
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

/* Whether the header concerns one connection only and is not forwarded. */
bool http_field_is_hop(const struct http_field *field);

#endif
