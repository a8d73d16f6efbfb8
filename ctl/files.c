#include <string.h>

#include "common/config_schema.h"
#include "common/rc.h"
#include "ctl/files.h"
#include "ctl/merge.h"
#include "ctl/tree.h"

/* The store holds values of up to 1 MB; some room is left for the wrapper. */
#define DOCUMENT_MAX_BYTES 1000000

void
fil_clear(struct fil_document *document)
{
    json_decref(document->root);
    if (document->places != NULL) {
        g_hash_table_destroy(document->places);
    }
    *document = (struct fil_document){.root = NULL};
}

const char *
fil_place(const struct fil_document *document, const char *path)
{
    char *at = g_strdup(path);
    const char *place = NULL;
    for (;;) {
        place = g_hash_table_lookup(document->places, at);
        if (place != NULL || at[0] == '\0') {
            break;
        }
        char *dot = strrchr(at, '.');
        char *bracket = strrchr(at, '[');
        char *cut = dot > bracket ? dot : bracket;
        *(cut != NULL ? cut : at) = '\0';
    }
    g_free(at);
    return place;
}

char *
fil_encode(const json_t *document)
{
    return json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS);
}

static int
fil_check(const struct fil_document *document, enum cfg_extent extent,
          char **error)
{
    struct cfg_error fault = {.path = NULL};
    int rc = cfg_check(document->root, extent, &fault);
    if (rc != RC_OK) {
        *error = g_strdup_printf(
            "%s: %s: %s", fil_place(document, fault.path),
            fault.path[0] != '\0' ? fault.path : "document", fault.text);
    }
    cfg_error_clear(&fault);
    return rc;
}

static void
fil_convert(const struct tre_node *tree, struct fil_document *out)
{
    out->places =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    out->root = tre_to_json(tree, out->places);
}

static int
fil_read(const char *path, struct tre_node **out, char **error)
{
    int rc = tre_read_file(path, out, error);
    if (rc != RC_OK) {
        return rc;
    }
    const struct tre_node *revision = tre_get(*out, "revision");
    if (revision != NULL) {
        *error = tre_fault(revision, "revision", "is set by the tool");
        tre_free(*out);
        *out = NULL;
        return RC_INVALID;
    }
    return RC_OK;
}

/* A fault in an item that the overlay removes would show nowhere else. */
static int
fil_check_part(const struct tre_node *tree, char **error)
{
    struct fil_document part = {.root = NULL};
    fil_convert(tree, &part);
    int rc = fil_check(&part, CFG_PART, error);
    fil_clear(&part);
    return rc;
}

static int
fil_check_whole(struct fil_document *document, char **error)
{
    json_object_set_new(document->root, "revision", json_integer(INT64_MAX));
    int rc = fil_check(document, CFG_WHOLE, error);
    char *text = fil_encode(document->root);
    if (rc == RC_OK && strlen(text) > DOCUMENT_MAX_BYTES) {
        *error = g_strdup_printf("%s: document: %zu bytes as JSON, at most %d",
                                 fil_place(document, ""), strlen(text),
                                 DOCUMENT_MAX_BYTES);
        rc = RC_INVALID;
    }
    free(text);
    json_object_del(document->root, "revision");
    return rc;
}

int
fil_load(const char *base_path, const char *overlay_path,
         struct fil_document *out, char **error)
{
    struct tre_node *base = NULL;
    int rc = fil_read(base_path, &base, error);
    if (rc == RC_OK) {
        rc = fil_check_part(base, error);
    }
    struct tre_node *overlay = NULL;
    if (rc == RC_OK && overlay_path != NULL) {
        rc = fil_read(overlay_path, &overlay, error);
        if (rc == RC_OK) {
            rc = mrg_apply(base, overlay, error);
        }
    }
    if (rc == RC_OK) {
        fil_convert(base, out);
        rc = fil_check_whole(out, error);
        if (rc != RC_OK) {
            fil_clear(out);
        }
    }
    tre_free(base);
    return rc;
}
