#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "gateway/record.h"

/* Fewer records than this are not sorted before all parts are there. */
#define RECORD_MANY 4096

static int
record_compare_descending(const void *a, const void *b)
{
    return memcmp(b, a, RECORD_BYTES);
}

static size_t
record_count(const struct buffer *records)
{
    return records->bytes / RECORD_BYTES;
}

int
record_add(struct buffer *records, const void *body, size_t body_bytes,
           uint32_t limit)
{
    size_t whole = body_bytes - body_bytes % RECORD_BYTES;
    int rc = buffer_append(records, body, whole);
    if (rc == RC_OK && record_count(records) >= RECORD_MANY &&
        record_count(records) / 2 >= limit) {
        record_keep_greatest(records, limit);
        buffer_shrink(records);
    }
    return rc;
}

void
record_keep_greatest(struct buffer *records, uint32_t limit)
{
    size_t count = record_count(records);
    if (count == 0) {
        return;
    }
    qsort(records->data, count, RECORD_BYTES, record_compare_descending);
    if (count > limit) {
        buffer_truncate(records, (size_t)limit * RECORD_BYTES);
    }
}
