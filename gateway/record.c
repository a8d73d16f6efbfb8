#include <stdlib.h>
#include <string.h>

#include "gateway/record.h"

void
record_add(GByteArray *records, const void *body, size_t body_bytes)
{
    size_t whole = body_bytes - body_bytes % RECORD_BYTES;
    if (whole > 0) {
        g_byte_array_append(records, body, (guint)whole);
    }
}

static int
record_compare_descending(const void *a, const void *b)
{
    return memcmp(b, a, RECORD_BYTES);
}

void
record_keep_greatest(GByteArray *records, uint32_t limit)
{
    size_t count = records->len / RECORD_BYTES;
    if (count == 0) {
        return;
    }
    qsort(records->data, count, RECORD_BYTES, record_compare_descending);
    if (count > limit) {
        g_byte_array_set_size(records, limit * RECORD_BYTES);
    }
}
