#include <glib.h>
#include <string.h>

#include "common/buffer.h"
#include "common/rc.h"

#define BUFFER_MIN_BYTES 256

struct buffer *
buffer_new(struct resource_share *share)
{
    struct buffer *buffer = g_new0(struct buffer, 1);
    buffer->references = 1;
    buffer->share = share;
    return buffer;
}

struct buffer *
buffer_ref(struct buffer *buffer)
{
    buffer->references += 1;
    return buffer;
}

/* Bytes of a buffer of this capacity that count in its share. */
static size_t
buffer_counted(size_t capacity)
{
    return capacity > RESOURCE_SMALL_BYTES ? capacity : 0;
}

void
buffer_unref(struct buffer *buffer)
{
    if (buffer == NULL) {
        return;
    }
    buffer->references -= 1;
    if (buffer->references == 0) {
        resource_release(buffer->share, buffer_counted(buffer->capacity));
        g_free(buffer->data);
        g_free(buffer);
    }
}

int
buffer_reserve(struct buffer *buffer, size_t capacity)
{
    if (capacity <= buffer->capacity) {
        return RC_OK;
    }
    size_t counted = buffer_counted(buffer->capacity);
    if (!resource_reserve(buffer->share, buffer_counted(capacity) - counted)) {
        return RC_NO_MEMORY;
    }
    buffer->data = g_realloc(buffer->data, capacity);
    buffer->capacity = capacity;
    return RC_OK;
}

/* The capacity to grow to: twice as much, or by half of the room that is left,
 * so that many small pieces make few steps. */
static size_t
buffer_next_capacity(const struct buffer *buffer, size_t needed)
{
    uint64_t half_left = resource_left(buffer->share) / 2;
    size_t spare = MAX(buffer->capacity, BUFFER_MIN_BYTES);
    return MAX(needed, buffer->capacity + (size_t)MIN(spare, half_left));
}

int
buffer_append(struct buffer *buffer, const void *data, size_t bytes)
{
    size_t needed = buffer->bytes + bytes;
    if (needed > buffer->capacity) {
        /* If there is no room to spare, there may be for what is needed. */
        if (buffer_reserve(buffer, buffer_next_capacity(buffer, needed)) !=
                RC_OK &&
            buffer_reserve(buffer, needed) != RC_OK) {
            return RC_NO_MEMORY;
        }
    }
    if (bytes > 0) {
        memcpy(buffer->data + buffer->bytes, data, bytes);
        buffer->bytes += bytes;
    }
    return RC_OK;
}

void
buffer_truncate(struct buffer *buffer, size_t bytes)
{
    buffer->bytes = MIN(buffer->bytes, bytes);
}

void
buffer_shrink(struct buffer *buffer)
{
    size_t capacity = MAX(buffer->bytes, BUFFER_MIN_BYTES);
    if (capacity >= buffer->capacity) {
        return;
    }
    resource_release(buffer->share, buffer_counted(buffer->capacity) -
                                        buffer_counted(capacity));
    buffer->data = g_realloc(buffer->data, capacity);
    buffer->capacity = capacity;
}

void
buffer_clear(struct buffer *buffer)
{
    buffer->bytes = 0;
    if (buffer->capacity > RESOURCE_SMALL_BYTES) {
        resource_release(buffer->share, buffer_counted(buffer->capacity));
        g_free(buffer->data);
        buffer->data = NULL;
        buffer->capacity = 0;
    }
}
