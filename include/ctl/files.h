#ifndef CH_CTL_FILES_H
#define CH_CTL_FILES_H

#include <glib.h>
#include <jansson.h>

/* What the operators' files say, merged and checked. */
struct fil_document {
    json_t *root;       /* without `revision` */
    GHashTable *places; /* path of a value to FILE:LINE */
};

/*
 * Reads the base file and the overlay (NULL for none). Returns RC_OK, or
 * RC_INVALID with "FILE:LINE: field: what" in `*error` (free with g_free).
 */
int fil_load(const char *base_path, const char *overlay_path,
             struct fil_document *out, char **error);

void fil_clear(struct fil_document *document);

/* FILE:LINE of the value at `path`, or of the nearest one around it. */
const char *fil_place(const struct fil_document *document, const char *path);

/* Canonical JSON with sorted keys; free with free(). */
char *fil_encode(const json_t *document);

#endif
