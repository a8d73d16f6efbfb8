#include "common/http_field_list.h"
#include "common/rc.h"

/* Offsets of one field in the text of all fields. */
struct http_field_span {
    size_t name_offset;
    size_t name_bytes;
    size_t value_offset;
    size_t value_bytes;
    bool has_value;
};

void
http_field_list_init(struct http_field_list *list,
                     struct resource_share *share)
{
    list->text = buffer_new(share);
    list->spans = buffer_new(share);
}

void
http_field_list_reset(struct http_field_list *list)
{
    buffer_clear(list->text);
    buffer_clear(list->spans);
}

void
http_field_list_clear(struct http_field_list *list)
{
    buffer_unref(list->text);
    buffer_unref(list->spans);
}

size_t
http_field_list_bytes(const struct http_field_list *list)
{
    return list->text->bytes;
}

size_t
http_field_list_count(const struct http_field_list *list)
{
    return list->spans->bytes / sizeof(struct http_field_span);
}

/* The span that was added last, or NULL. */
static struct http_field_span *
http_field_list_last(const struct http_field_list *list)
{
    size_t count = http_field_list_count(list);
    struct http_field_span *spans = (void *)list->spans->data;
    return count > 0 ? &spans[count - 1] : NULL;
}

int
http_field_list_add_name(struct http_field_list *list, const char *at,
                         size_t bytes)
{
    struct http_field_span *last = http_field_list_last(list);
    if (!http_field_is_token(at, bytes)) {
        return RC_BAD_FIELD;
    }
    if (last == NULL || last->has_value) {
        struct http_field_span span = {.name_offset = list->text->bytes};
        if (buffer_append(list->spans, &span, sizeof(span)) != RC_OK) {
            return RC_NO_MEMORY;
        }
        last = http_field_list_last(list);
    }
    int rc = buffer_append(list->text, at, bytes);
    last->name_bytes += rc == RC_OK ? bytes : 0;
    return rc;
}

int
http_field_list_add_value(struct http_field_list *list, const char *at,
                          size_t bytes)
{
    struct http_field_span *last = http_field_list_last(list);
    if (!last->has_value) {
        last->has_value = true;
        last->value_offset = list->text->bytes;
    }
    int rc = buffer_append(list->text, at, bytes);
    last->value_bytes += rc == RC_OK ? bytes : 0;
    return rc;
}

struct http_field
http_field_list_get(const struct http_field_list *list, size_t index)
{
    const struct http_field_span *spans = (const void *)list->spans->data;
    const struct http_field_span *span = &spans[index];
    const char *text = (const char *)list->text->data;
    return (struct http_field){
        .name = text + span->name_offset,
        .name_bytes = span->name_bytes,
        .value = text + span->value_offset,
        .value_bytes = span->value_bytes,
    };
}

size_t
http_field_list_find(const struct http_field_list *list, const char *name,
                     struct http_field *out)
{
    size_t found = 0;
    *out = (struct http_field){.value = NULL};
    for (size_t i = 0; i < http_field_list_count(list); i++) {
        struct http_field field = http_field_list_get(list, i);
        if (!http_field_is(&field, name)) {
            continue;
        }
        if (found == 0) {
            *out = http_field_trim(&field);
        }
        found += 1;
    }
    return found;
}
