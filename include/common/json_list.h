#ifndef CH_COMMON_JSON_LIST_H
#define CH_COMMON_JSON_LIST_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decodes a JSON object with a list to which many writers contribute entries.
 * Each member of an entry is decoded on its own: one that cannot be decoded,
 * whatever its bytes are, hides neither the rest of its entry nor any other
 * entry. A parser of whole documents rejects the list for it. No array or
 * object may follow the list in its document.
 */

/* Deepest nesting of arrays and objects in a member of an entry. */
#define JSON_LIST_DEPTH_MAX 32

struct json_list_format {
    const char *list_key; /* member of the document that is the list */
    /* Member of an entry whose own members are decoded one by one; or NULL. */
    const char *nested_key;
    const char *id_key; /* member of an entry, or nested, that identifies it */
    /* The names of an entry's members, ended by NULL. Where the bytes of an
     * entry leave it open where it ends, the next one is found by them. */
    const char *const *entry_keys;
};

/*
 * Decodes the document. A member of an entry that cannot be decoded, is nested
 * too deeply, takes too much memory or names a key twice is null. Of an entry
 * whose members cannot be told apart only the one that identifies it is left.
 * `odd_count` receives how many members and entries that concerns. Returns a
 * new reference, or NULL if the document is malformed outside its entries, for
 * example truncated, or if its values do not fit (json_room.h).
 */
json_t *json_list_load(const char *text, size_t bytes,
                       const struct json_list_format *format,
                       uint32_t *odd_count);

#endif
