#ifndef CH_CTL_DIFF_H
#define CH_CTL_DIFF_H

#include <glib.h>
#include <jansson.h>

struct diff_change {
    char *path; /* items by name: zones[widzew].state */
    char *from; /* JSON text, NULL for an added value */
    char *to;   /* JSON text, NULL for a removed value */
};

/*
 * Values that differ between two documents, in order of their paths; free
 * with g_ptr_array_free. Missing optional fields count with their defaults,
 * `revision` does not count. `from` may be NULL.
 */
GPtrArray *diff_compare(const json_t *from, const json_t *to);

/* "+ path: value", "- path: value" or "~ path: from -> to"; g_free. */
char *diff_line(const struct diff_change *change);

json_t *diff_to_json(const GPtrArray *changes);

#endif
