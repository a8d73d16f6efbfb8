#ifndef CH_CTL_FILES_H
#define CH_CTL_FILES_H

#include <glib.h>
#include <jansson.h>

/*
 * Reads the operators' YAML files, merges them, and checks the result against
 * the schema of configuration documents.
 */

/* The document that the files were merged into. */
struct files_document {
    json_t *root;          /* without `revision` */
    GHashTable *locations; /* FILE:LINE by the path of a value */
};

/*
 * Reads the base file and the overlay (NULL for none). Returns RC_OK, or
 * RC_INVALID or RC_NO_MEMORY with a message in `*error` (free with g_free).
 * The message for RC_INVALID is "FILE:LINE: field: what".
 */
int files_load(const char *base_path, const char *overlay_path,
               struct files_document *out, char **error);

void files_clear(struct files_document *document);

/* FILE:LINE of the value at `path`, or of the innermost value around it. */
const char *files_location(const struct files_document *document,
                           const char *path);

/* Canonical JSON with sorted keys; free with free(). */
char *files_encode(const json_t *document);

#endif
