#ifndef CH_COMMON_HTTP_FIELD_LIST_H
#define CH_COMMON_HTTP_FIELD_LIST_H

#include <stddef.h>

#include "common/buffer.h"
#include "common/http_field.h"

/*
 * Header fields of one message as a parser finds them, piece by piece. Text
 * and offsets are held in buffers of the connection's share.
 */

struct http_field_list {
    struct buffer *text;
    struct buffer *spans; /* of struct http_field_span, into `text` */
};

void http_field_list_init(struct http_field_list *list,
                          struct resource_share *share);

/* Forgets all fields. */
void http_field_list_reset(struct http_field_list *list);

void http_field_list_clear(struct http_field_list *list);

/* The parser found a piece of a name. Returns RC_OK, RC_NO_MEMORY, or
 * RC_BAD_FIELD for bytes that no name may have. */
int http_field_list_add_name(struct http_field_list *list, const char *at,
                             size_t bytes);

/* The parser found a piece of the value of the last name, which may be empty.
 * Returns RC_OK or RC_NO_MEMORY. */
int http_field_list_add_value(struct http_field_list *list, const char *at,
                              size_t bytes);

/* Returns the number of bytes of all names and values. */
size_t http_field_list_bytes(const struct http_field_list *list);

size_t http_field_list_count(const struct http_field_list *list);

/* The field at this index; valid until the list changes. */
struct http_field http_field_list_get(const struct http_field_list *list,
                                      size_t index);

/* Finds the first field with this name, without white space around its value.
 * Returns how many fields have the name; `*out` is empty if there is none. */
size_t http_field_list_find(const struct http_field_list *list,
                            const char *name, struct http_field *out);

#endif
