#include <stdlib.h>
#include <string.h>

#include "gateway/record.h"

void
rec_add(GByteArray *records, const void *body, size_t body_bytes)
{
    size_t whole = body_bytes - body_bytes % REC_BYTES;
    if (whole > 0) {
        g_byte_array_append(records, body, (guint)whole);
    }
}

static int
rec_compare_falling(const void *a, const void *b)
{
    return memcmp(b, a, REC_BYTES);
}

void
rec_finish(GByteArray *records, uint32_t limit)
{
    size_t count = records->len / REC_BYTES;
    if (count == 0) {
        return;
    }
    qsort(records->data, count, REC_BYTES, rec_compare_falling);
    if (count > limit) {
        g_byte_array_set_size(records, limit * REC_BYTES);
    }
}
