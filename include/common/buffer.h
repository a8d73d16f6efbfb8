#ifndef CH_COMMON_BUFFER_H
#define CH_COMMON_BUFFER_H

#include <stddef.h>
#include <stdint.h>

#include "common/resource.h"

/*
 * Growing byte buffer whose memory is taken from a share of the process's
 * account. It is reference counted, so that a body which several connections
 * send is held and counted once.
 */

struct buffer {
    uint32_t references;
    struct resource_share *share;
    uint8_t *data;
    size_t bytes;
    size_t capacity;
};

/* A new empty buffer with one reference; `share` may be NULL. */
struct buffer *buffer_new(struct resource_share *share);

struct buffer *buffer_ref(struct buffer *buffer);

/* Drops a reference (NULL is allowed); the last one frees the buffer. */
void buffer_unref(struct buffer *buffer);

/* Appends the bytes. Returns RC_OK, or RC_NO_MEMORY if the share has no room;
 * the content stays as it was. */
int buffer_append(struct buffer *buffer, const void *data, size_t bytes);

/* Makes room for `capacity` bytes in all, without spare room. Returns as
 * buffer_append(). */
int buffer_reserve(struct buffer *buffer, size_t capacity);

/* Cuts the content to the first `bytes`. */
void buffer_truncate(struct buffer *buffer, size_t bytes);

/* Gives back the memory that the content does not need. */
void buffer_shrink(struct buffer *buffer);

/* Forgets the content, and gives memory back unless the buffer is small. */
void buffer_clear(struct buffer *buffer);

#endif
