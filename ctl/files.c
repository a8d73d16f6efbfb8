#include <string.h>

#include "common/config_schema.h"
#include "common/rc.h"
#include "ctl/files.h"
#include "ctl/merge.h"
#include "ctl/tree_read.h"

/* The store accepts values of up to 1 MB; the rest is for the JSON around the
 * document. */
#define DOCUMENT_MAX_BYTES 1000000

void
files_clear(struct files_document *document)
{
    json_decref(document->root);
    if (document->locations != NULL) {
        g_hash_table_destroy(document->locations);
    }
    *document = (struct files_document){.root = NULL};
}

const char *
files_location(const struct files_document *document, const char *path)
{
    char *at = g_strdup(path);
    const char *location = NULL;
    for (;;) {
        location = g_hash_table_lookup(document->locations, at);
        if (location != NULL || at[0] == '\0') {
            break;
        }
        char *dot = strrchr(at, '.');
        char *bracket = strrchr(at, '[');
        char *cut = dot > bracket ? dot : bracket;
        *(cut != NULL ? cut : at) = '\0';
    }
    g_free(at);
    return location;
}

char *
files_encode(const json_t *document)
{
    return json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS);
}

static int
files_check(const struct files_document *document, enum config_scope scope,
            char **error)
{
    struct config_error check_error = {.path = NULL};
    int rc = config_check(document->root, scope, &check_error);
    if (rc != RC_OK) {
        *error = g_strdup_printf(
            "%s: %s: %s", files_location(document, check_error.path),
            check_error.path[0] != '\0' ? check_error.path : "document",
            check_error.text);
    }
    config_error_clear(&check_error);
    return rc;
}

static void
files_convert(const struct tree_node *tree, struct files_document *out)
{
    out->locations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    out->root = tree_to_json(tree, out->locations);
}

static int
files_read(const char *path, struct tree_node **out, char **error)
{
    int rc = tree_read_file(path, out, error);
    if (rc != RC_OK) {
        return rc;
    }
    const struct tree_node *revision = tree_get(*out, "revision");
    if (revision != NULL) {
        *error = tree_format_error(revision, "revision", "is set by the tool");
        tree_free(*out);
        *out = NULL;
        return RC_INVALID;
    }
    return RC_OK;
}

/* Checks the base before the merge: afterwards an error in an item that the
 * overlay removes would go unnoticed. */
static int
files_check_partial(const struct tree_node *tree, char **error)
{
    struct files_document partial = {.root = NULL};
    files_convert(tree, &partial);
    int rc = files_check(&partial, CONFIG_PARTIAL, error);
    files_clear(&partial);
    return rc;
}

/* Checks the merged document. It has no revision yet, but the schema requires
 * one, so any number is set during the check. */
static int
files_check_complete(struct files_document *document, char **error)
{
    json_object_set_new(document->root, "revision", json_integer(INT64_MAX));
    int rc = files_check(document, CONFIG_COMPLETE, error);
    char *text = files_encode(document->root);
    if (rc == RC_OK && strlen(text) > DOCUMENT_MAX_BYTES) {
        *error = g_strdup_printf("%s: document: %zu bytes as JSON, at most %d",
                                 files_location(document, ""), strlen(text),
                                 DOCUMENT_MAX_BYTES);
        rc = RC_INVALID;
    }
    free(text);
    json_object_del(document->root, "revision");
    return rc;
}

int
files_load(const char *base_path, const char *overlay_path,
           struct files_document *out, char **error)
{
    struct tree_node *base = NULL;
    int rc = files_read(base_path, &base, error);
    if (rc == RC_OK) {
        rc = files_check_partial(base, error);
    }
    struct tree_node *overlay = NULL;
    if (rc == RC_OK && overlay_path != NULL) {
        rc = files_read(overlay_path, &overlay, error);
        if (rc == RC_OK) {
            rc = merge_apply(base, overlay, error);
        }
    }
    if (rc == RC_OK) {
        files_convert(base, out);
        rc = files_check_complete(out, error);
        if (rc != RC_OK) {
            files_clear(out);
        }
    }
    tree_free(base);
    return rc;
}
