#ifndef CH_CTL_TREE_H
#define CH_CTL_TREE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/*
 * A YAML file as a tree whose nodes know their file and line. Only the part
 * of YAML that JSON can express is accepted: no anchors, aliases, tags, keys
 * other than scalars, duplicate keys or second documents.
 */

enum tree_kind {
    TREE_SCALAR,
    TREE_MAP,
    TREE_LIST,
};

struct tree_node {
    enum tree_kind kind;
    const char *file; /* interned */
    int line;         /* of the key for a map's value */
    char *text;       /* of a scalar */
    bool is_plain;    /* scalar without quotes */
    GPtrArray *keys;  /* char *, of a map, in file order */
    GPtrArray *items; /* struct tree_node *, of a map or list */
};

/*
 * Reads a file. An empty file is an empty map. Returns RC_OK, or RC_INVALID
 * with "FILE:LINE: field: what" in `*error` (free with g_free).
 */
int tree_read_file(const char *path, struct tree_node **out, char **error);

/* Reads a text; `file` is the name for errors. */
int tree_read_text(const char *file, const char *text, size_t text_bytes,
                   struct tree_node **out, char **error);

void tree_free(struct tree_node *node);

/* An empty node with the kind and the place of `node`. */
struct tree_node *tree_new_like(const struct tree_node *node);

/* The value of a map's key, or NULL. */
struct tree_node *tree_get(const struct tree_node *map, const char *key);

/* Adds a pair to a map, which takes over `value`. */
void tree_put(struct tree_node *map, const char *key, struct tree_node *value);

/* "FILE:LINE: field: what" for a node; free with g_free. */
char *tree_fault(const struct tree_node *node, const char *path,
                 const char *what);

/*
 * The tree as JSON. Adds the place FILE:LINE of each path to `places` (owned
 * strings), in the notation of struct config_error.
 */
json_t *tree_to_json(const struct tree_node *node, GHashTable *places);

#endif
