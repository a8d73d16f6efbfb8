#ifndef CH_CTL_FILES_H
#define CH_CTL_FILES_H

#include <glib.h>
#include <jansson.h>

/* What the operators' files say, merged and checked. */
struct files_document {
    json_t *root;       /* without `revision` */
    GHashTable *places; /* path of a value to FILE:LINE */
};

/*
 * Reads the base file and the overlay (NULL for none). Returns RC_OK, or
 * RC_INVALID with "FILE:LINE: field: what" in `*error` (free with g_free).
 */
int files_load(const char *base_path, const char *overlay_path,
               struct files_document *out, char **error);

void files_clear(struct files_document *document);

/* FILE:LINE of the value at `path`, or of the nearest one around it. */
const char *files_place(const struct files_document *document,
                        const char *path);

/* Canonical JSON with sorted keys; free with free(). */
char *files_encode(const json_t *document);

#endif
