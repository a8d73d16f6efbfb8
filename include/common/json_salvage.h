#ifndef CH_COMMON_JSON_SALVAGE_H
#define CH_COMMON_JSON_SALVAGE_H

#include <jansson.h>
#include <stddef.h>

/*
 * Decodes a JSON document of which a few values cannot be decoded, such as a
 * list in which one of many writers left an odd entry. A parser rejects the
 * whole document for one number that is too large, one value that is nested
 * too deeply or one string that is not UTF-8.
 */

/* Deepest nesting of arrays and objects that is kept. */
#define JSON_SALVAGE_DEPTH_MAX 32

/*
 * Decodes the document with each value that cannot be decoded, or is nested
 * deeper than JSON_SALVAGE_DEPTH_MAX, replaced by null and each invalid
 * character of a string by '?'. Returns a new reference, or NULL if it is
 * malformed in another way, for example truncated.
 */
json_t *json_salvage(const char *text, size_t bytes);

#endif
