#ifndef CH_NATIVE_HITS_H
#define CH_NATIVE_HITS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Binary encoding of search hits, and selection of the best ones. The encoded
 * hits of all shards, concatenated, are again a valid input. */

struct hit {
    int64_t score;
    const char *id; /* points into the encoded bytes */
};

/* Appends the encoding of one hit: the score in host byte order, then the id
 * and a NUL byte. */
void hit_append(GByteArray *encoded, int64_t score, const char *id);

/* Decodes hits and returns the best `limit` ones as an array of struct hit,
 * highest score first, equal scores in the order of their ids. Free with
 * g_array_free. */
GArray *hit_best(const void *encoded, size_t encoded_bytes, size_t limit);

#endif
