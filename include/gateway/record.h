#ifndef CH_GATEWAY_RECORD_H
#define CH_GATEWAY_RECORD_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* The greatest records of several parts. A record is RECORD_BYTES long and
 * compared byte by byte; equal ones all count. */

#define RECORD_BYTES 16

/* Adds the records of a part; a shorter remainder is not a record. */
void record_add(GByteArray *records, const void *body, size_t body_bytes);

/* Sorts, greatest first, and keeps at most `limit`. */
void record_keep_greatest(GByteArray *records, uint32_t limit);

#endif
