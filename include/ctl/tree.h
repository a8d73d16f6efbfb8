#ifndef CH_CTL_TREE_H
#define CH_CTL_TREE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/*
 * A YAML file as a tree whose nodes record their file and line, for error
 * messages. A node owns the nodes below it.
 */

enum tree_kind {
    TREE_SCALAR,
    TREE_MAP,
    TREE_LIST,
};

struct tree_node {
    enum tree_kind kind;
    const char *file; /* interned */
    int line;         /* counts from 1; that of the key for a map's value */
    char *text;       /* of a scalar */
    bool is_plain;    /* scalar without quotes */
    GPtrArray *keys;  /* char *, of a map, in file order */
    GPtrArray *items; /* struct tree_node *, of a map or list */
};

/* A node without text, keys or items. It keeps `file`, an interned string. */
struct tree_node *tree_new(enum tree_kind kind, const char *file, int line);

void tree_free(struct tree_node *node);

/* An empty node with the kind, file and line of `node`. */
struct tree_node *tree_new_empty(const struct tree_node *node);

/* The value of a map's key, or NULL. */
struct tree_node *tree_get(const struct tree_node *map, const char *key);

/* Adds a pair to a map, which takes over `value`. */
void tree_add(struct tree_node *map, const char *key, struct tree_node *value);

/* "FILE:LINE: path: what" for a node; free with g_free. */
char *tree_format_error(const struct tree_node *node, const char *path,
                        const char *what);

/*
 * The tree as JSON. Adds FILE:LINE of each value to `locations`, keyed by the
 * value's path in the notation of struct config_error; the table frees both.
 */
json_t *tree_to_json(const struct tree_node *node, GHashTable *locations);

#endif
