#ifndef CH_GATEWAY_RECORD_H
#define CH_GATEWAY_RECORD_H

#include <stddef.h>
#include <stdint.h>

#include "common/buffer.h"

/*
 * Merges the records of several parts and keeps the greatest ones. A record is
 * RECORD_BYTES long and is compared byte by byte; equal records are all kept.
 * The records are in a buffer that belongs to the request.
 */

#define RECORD_BYTES 16

/*
 * Appends the records of a part; a shorter remainder is ignored. Drops records
 * that cannot be among the greatest `limit` when there are many. Returns
 * RC_OK, or RC_NO_MEMORY if the buffer has no room: then nothing is added.
 */
int record_add(struct buffer *records, const void *body, size_t body_bytes,
               uint32_t limit);

/* Sorts the records, greatest first, and keeps at most `limit`. */
void record_keep_greatest(struct buffer *records, uint32_t limit);

#endif
