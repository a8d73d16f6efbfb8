#ifndef CH_GATEWAY_RECORD_H
#define CH_GATEWAY_RECORD_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Merges the records of several parts and keeps the greatest ones. A record is
 * RECORD_BYTES long and is compared byte by byte; equal records are all kept.
 * The records are in an array that belongs to the request.
 */

#define RECORD_BYTES 16

/* Appends the records of a part; a shorter remainder is ignored. */
void record_add(GByteArray *records, const void *body, size_t body_bytes);

/* Sorts the records, greatest first, and keeps at most `limit`. */
void record_keep_greatest(GByteArray *records, uint32_t limit);

#endif
