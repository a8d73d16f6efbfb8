#ifndef CH_CTL_DIFF_H
#define CH_CTL_DIFF_H

#include <glib.h>
#include <jansson.h>

/* Compares two configuration documents value by value. */

struct diff_change {
    char *path; /* items by name: zones[widzew].state */
    char *from; /* JSON text, NULL for an added value */
    char *to;   /* JSON text, NULL for a removed value */
};

/*
 * Returns the values that differ between two documents (struct diff_change *),
 * sorted by path; free with g_ptr_array_free. Missing optional fields are
 * compared with their defaults, `revision` is ignored. `from` may be NULL for
 * an empty document.
 */
GPtrArray *diff_compare(const json_t *from, const json_t *to);

/* "+ path: value", "- path: value" or "~ path: from -> to"; free with
 * g_free. */
char *diff_format(const struct diff_change *change);

/* JSON list of objects with "path" and, if present, "from" and "to". */
json_t *diff_to_json(const GPtrArray *changes);

#endif
