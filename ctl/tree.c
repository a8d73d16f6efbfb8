#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

#include "common/rc.h"
#include "ctl/tree.h"

/* Bounds the recursion. The schema is 7 levels deep. */
#define TREE_MAX_DEPTH 32
/* The document may have 1 MB as JSON; the rest is for comments and
 * indentation. Without a limit, reading a file such as /dev/zero would not
 * end. */
#define TREE_FILE_MAX_BYTES (16 * 1024 * 1024)

struct tree_reader {
    yaml_parser_t parser;
    const char *file;
    const char *text;
    size_t text_bytes;
    GString *path;
    int depth;
    char *error;
};

static struct tree_node *tree_read_value(struct tree_reader *reader,
                                         yaml_event_t *event);

static struct tree_node *
tree_new(enum tree_kind kind, const char *file, int line)
{
    struct tree_node *node = g_new0(struct tree_node, 1);
    node->kind = kind;
    node->file = file;
    node->line = line;
    if (kind == TREE_MAP) {
        node->keys = g_ptr_array_new_with_free_func(g_free);
    }
    if (kind != TREE_SCALAR) {
        node->items =
            g_ptr_array_new_with_free_func((GDestroyNotify)tree_free);
    }
    return node;
}

struct tree_node *
tree_new_empty(const struct tree_node *node)
{
    return tree_new(node->kind, node->file, node->line);
}

void
tree_free(struct tree_node *node)
{
    if (node == NULL) {
        return;
    }
    if (node->keys != NULL) {
        g_ptr_array_free(node->keys, TRUE);
    }
    if (node->items != NULL) {
        g_ptr_array_free(node->items, TRUE);
    }
    g_free(node->text);
    g_free(node);
}

struct tree_node *
tree_get(const struct tree_node *map, const char *key)
{
    for (guint i = 0; i < map->keys->len; i++) {
        if (strcmp(g_ptr_array_index(map->keys, i), key) == 0) {
            return g_ptr_array_index(map->items, i);
        }
    }
    return NULL;
}

void
tree_add(struct tree_node *map, const char *key, struct tree_node *value)
{
    g_ptr_array_add(map->keys, g_strdup(key));
    g_ptr_array_add(map->items, value);
}

char *
tree_format_error(const struct tree_node *node, const char *path,
                  const char *what)
{
    return g_strdup_printf("%s:%d: %s: %s", node->file, node->line,
                           path[0] != '\0' ? path : "document", what);
}

static int
tree_line(yaml_mark_t mark)
{
    return (int)mark.line + 1;
}

static void
tree_fail_at(struct tree_reader *reader, int line, const char *what)
{
    if (reader->error != NULL) {
        return;
    }
    reader->error = g_strdup_printf(
        "%s:%d: %s: %s", reader->file, line,
        reader->path->len > 0 ? reader->path->str : "document", what);
}

static void
tree_fail(struct tree_reader *reader, yaml_mark_t mark, const char *what)
{
    tree_fail_at(reader, tree_line(mark), what);
}

/* Line of a byte that is not valid text; libyaml reports only its offset. */
static int
tree_line_of_offset(const struct tree_reader *reader, size_t offset)
{
    int line = 1;
    for (size_t i = 0; i < offset && i < reader->text_bytes; i++) {
        line += reader->text[i] == '\n' ? 1 : 0;
    }
    return line;
}

static bool
tree_next(struct tree_reader *reader, yaml_event_t *event)
{
    if (yaml_parser_parse(&reader->parser, event)) {
        return true;
    }
    const yaml_parser_t *parser = &reader->parser;
    if (parser->error == YAML_READER_ERROR) {
        /* libyaml reads ahead: the byte may be far after the current path. */
        g_string_truncate(reader->path, 0);
        tree_fail_at(reader,
                     tree_line_of_offset(reader, parser->problem_offset),
                     parser->problem);
        return false;
    }
    char *what = g_strdup_printf(
        "%s%s%s", parser->problem, parser->context != NULL ? " " : "",
        parser->context != NULL ? parser->context : "");
    tree_fail(reader, parser->problem_mark, what);
    g_free(what);
    return false;
}

/* Reports an error for YAML features that JSON cannot express. */
static bool
tree_is_json_compatible(struct tree_reader *reader, const yaml_event_t *event)
{
    const yaml_char_t *anchor = NULL;
    const yaml_char_t *tag = NULL;
    switch (event->type) {
    case YAML_ALIAS_EVENT:
        tree_fail(reader, event->start_mark, "aliases are not allowed");
        return false;
    case YAML_SCALAR_EVENT:
        anchor = event->data.scalar.anchor;
        tag = event->data.scalar.tag;
        break;
    case YAML_MAPPING_START_EVENT:
        anchor = event->data.mapping_start.anchor;
        tag = event->data.mapping_start.tag;
        break;
    case YAML_SEQUENCE_START_EVENT:
        anchor = event->data.sequence_start.anchor;
        tag = event->data.sequence_start.tag;
        break;
    default:
        break;
    }
    if (anchor != NULL || tag != NULL) {
        tree_fail(reader, event->start_mark,
                  anchor != NULL ? "anchors are not allowed"
                                 : "tags are not allowed");
        return false;
    }
    return true;
}

/* Rejects control characters in a key: a NUL would hide the rest of the key, a
 * line feed would split the error message that names it. */
static bool
tree_is_printable(const char *text, size_t text_bytes)
{
    for (size_t i = 0; i < text_bytes; i++) {
        if (g_ascii_iscntrl(text[i])) {
            return false;
        }
    }
    return true;
}

static bool
tree_read_pair(struct tree_reader *reader, struct tree_node *map,
               yaml_event_t *key)
{
    if (key->type != YAML_SCALAR_EVENT ||
        !tree_is_json_compatible(reader, key)) {
        tree_fail(reader, key->start_mark, "a key must be a scalar");
        return false;
    }
    const char *text = (const char *)key->data.scalar.value;
    if (!tree_is_printable(text, key->data.scalar.length)) {
        tree_fail(reader, key->start_mark, "a key holds a control character");
        return false;
    }
    gsize saved_len = reader->path->len;
    g_string_append_printf(reader->path, "%s%s", saved_len > 0 ? "." : "",
                           text);
    if (tree_get(map, text) != NULL) {
        tree_fail(reader, key->start_mark, "key is used twice");
        return false;
    }
    yaml_event_t event;
    if (!tree_next(reader, &event)) {
        return false;
    }
    struct tree_node *value = tree_read_value(reader, &event);
    yaml_event_delete(&event);
    if (value == NULL) {
        return false;
    }
    value->line = tree_line(key->start_mark);
    tree_add(map, text, value);
    g_string_truncate(reader->path, saved_len);
    return true;
}

static bool
tree_read_item(struct tree_reader *reader, struct tree_node *list,
               yaml_event_t *event)
{
    gsize saved_len = reader->path->len;
    g_string_append_printf(reader->path, "[%u]", list->items->len);
    struct tree_node *value = tree_read_value(reader, event);
    if (value == NULL) {
        return false;
    }
    g_ptr_array_add(list->items, value);
    g_string_truncate(reader->path, saved_len);
    return true;
}

static bool
tree_read_members(struct tree_reader *reader, struct tree_node *node)
{
    yaml_event_type_t end = node->kind == TREE_MAP ? YAML_MAPPING_END_EVENT
                                                   : YAML_SEQUENCE_END_EVENT;
    for (;;) {
        yaml_event_t event;
        if (!tree_next(reader, &event)) {
            return false;
        }
        bool is_end = event.type == end;
        bool is_read = is_end;
        if (!is_end) {
            is_read = node->kind == TREE_MAP
                          ? tree_read_pair(reader, node, &event)
                          : tree_read_item(reader, node, &event);
        }
        yaml_event_delete(&event);
        if (is_end || !is_read) {
            return is_read;
        }
    }
}

static struct tree_node *
tree_read_value(struct tree_reader *reader, yaml_event_t *event)
{
    if (!tree_is_json_compatible(reader, event)) {
        return NULL;
    }
    int line = tree_line(event->start_mark);
    if (event->type == YAML_SCALAR_EVENT) {
        struct tree_node *scalar = tree_new(TREE_SCALAR, reader->file, line);
        scalar->text = g_strdup((const char *)event->data.scalar.value);
        scalar->is_plain = event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
        /* A NUL inside the text would hide the rest of it. */
        if (strlen(scalar->text) != event->data.scalar.length) {
            tree_fail(reader, event->start_mark, "holds a byte 0");
            tree_free(scalar);
            return NULL;
        }
        return scalar;
    }
    if (reader->depth >= TREE_MAX_DEPTH) {
        tree_fail(reader, event->start_mark, "is nested too deeply");
        return NULL;
    }
    struct tree_node *node = tree_new(
        event->type == YAML_MAPPING_START_EVENT ? TREE_MAP : TREE_LIST,
        reader->file, line);
    reader->depth += 1;
    bool is_read = tree_read_members(reader, node);
    reader->depth -= 1;
    if (!is_read) {
        tree_free(node);
        return NULL;
    }
    return node;
}

/* Reads the next event, which must have this type. */
static bool
tree_expect(struct tree_reader *reader, yaml_event_type_t type)
{
    yaml_event_t event;
    if (!tree_next(reader, &event)) {
        return false;
    }
    bool is_expected = event.type == type;
    if (!is_expected) {
        tree_fail(reader, event.start_mark, "must hold a single document");
    }
    yaml_event_delete(&event);
    return is_expected;
}

static struct tree_node *
tree_read_document(struct tree_reader *reader)
{
    yaml_event_t event;
    if (!tree_expect(reader, YAML_STREAM_START_EVENT) ||
        !tree_next(reader, &event)) {
        return NULL;
    }
    bool is_empty = event.type == YAML_STREAM_END_EVENT;
    yaml_event_delete(&event);
    if (is_empty) {
        return tree_new(TREE_MAP, reader->file, 1);
    }
    if (!tree_next(reader, &event)) {
        return NULL;
    }
    struct tree_node *root = tree_read_value(reader, &event);
    yaml_event_delete(&event);
    if (root == NULL) {
        return NULL;
    }
    if (!tree_expect(reader, YAML_DOCUMENT_END_EVENT) ||
        !tree_expect(reader, YAML_STREAM_END_EVENT)) {
        tree_free(root);
        return NULL;
    }
    return root;
}

int
tree_read_text(const char *file, const char *text, size_t text_bytes,
               struct tree_node **out, char **error)
{
    struct tree_reader reader = {
        .file = g_intern_string(file),
        .text = text,
        .text_bytes = text_bytes,
        .path = g_string_new(NULL),
    };
    if (!yaml_parser_initialize(&reader.parser)) {
        g_string_free(reader.path, TRUE);
        *error = g_strdup("out of memory");
        return RC_NO_MEMORY;
    }
    yaml_parser_set_input_string(&reader.parser, (const unsigned char *)text,
                                 text_bytes);
    struct tree_node *root = tree_read_document(&reader);
    if (root != NULL && root->kind != TREE_MAP) {
        g_string_truncate(reader.path, 0);
        reader.error = tree_format_error(root, "", "must be a map");
        tree_free(root);
        root = NULL;
    }
    yaml_parser_delete(&reader.parser);
    g_string_free(reader.path, TRUE);
    *out = root;
    *error = reader.error;
    return root != NULL ? RC_OK : RC_INVALID;
}

/*
 * Reads a file, or the first part of one above TREE_FILE_MAX_BYTES. Returns 0
 * or an errno.
 */
static int
tree_load(const char *path, GString *text)
{
    FILE *file = fopen(path, "rb");
    if (file == NULL) {
        return errno;
    }
    char block[64 * 1024];
    size_t bytes = 0;
    errno = 0;
    do {
        bytes = fread(block, 1, sizeof(block), file);
        g_string_append_len(text, block, (gssize)bytes);
    } while (bytes > 0 && text->len <= TREE_FILE_MAX_BYTES);
    int problem = ferror(file) != 0 ? errno : 0;
    (void)fclose(file);
    return problem;
}

int
tree_read_file(const char *path, struct tree_node **out, char **error)
{
    GString *text = g_string_new(NULL);
    int problem = tree_load(path, text);
    int rc = RC_INVALID;
    if (problem != 0) {
        *error =
            g_strdup_printf("%s:0: document: %s", path, g_strerror(problem));
    }
    else if (text->len > TREE_FILE_MAX_BYTES) {
        *error = g_strdup_printf("%s:0: document: is larger than %d bytes",
                                 path, TREE_FILE_MAX_BYTES);
    }
    else {
        rc = tree_read_text(path, text->str, text->len, out, error);
    }
    g_string_free(text, TRUE);
    return rc;
}

/* Accepts integers in JSON notation only; 010 and 1_000 remain strings. */
static bool
tree_is_number(const char *text, int64_t *out)
{
    const char *digits = text[0] == '-' ? text + 1 : text;
    size_t length = strlen(digits);
    if (length == 0 || strspn(digits, "0123456789") != length ||
        (digits[0] == '0' && length > 1)) {
        return false;
    }
    errno = 0;
    *out = g_ascii_strtoll(text, NULL, 10);
    return errno == 0;
}

static json_t *
tree_scalar_to_json(const struct tree_node *node)
{
    int64_t number = 0;
    if (!node->is_plain) {
        return json_string(node->text);
    }
    if (tree_is_number(node->text, &number)) {
        return json_integer(number);
    }
    if (strcmp(node->text, "true") == 0 || strcmp(node->text, "false") == 0) {
        return json_boolean(node->text[0] == 't');
    }
    if (strcmp(node->text, "") == 0 || strcmp(node->text, "~") == 0 ||
        strcmp(node->text, "null") == 0) {
        return json_null();
    }
    return json_string(node->text);
}

static json_t *
tree_convert(const struct tree_node *node, GString *path,
             GHashTable *locations)
{
    g_hash_table_insert(locations, g_strdup(path->str),
                        g_strdup_printf("%s:%d", node->file, node->line));
    if (node->kind == TREE_SCALAR) {
        return tree_scalar_to_json(node);
    }
    bool is_map = node->kind == TREE_MAP;
    json_t *json = is_map ? json_object() : json_array();
    for (guint i = 0; i < node->items->len; i++) {
        const char *key = is_map ? g_ptr_array_index(node->keys, i) : NULL;
        gsize saved_len = path->len;
        if (is_map) {
            g_string_append_printf(path, "%s%s", saved_len > 0 ? "." : "",
                                   key);
        }
        else {
            g_string_append_printf(path, "[%u]", i);
        }
        json_t *value =
            tree_convert(g_ptr_array_index(node->items, i), path, locations);
        if (is_map) {
            json_object_set_new(json, key, value);
        }
        else {
            json_array_append_new(json, value);
        }
        g_string_truncate(path, saved_len);
    }
    return json;
}

json_t *
tree_to_json(const struct tree_node *node, GHashTable *locations)
{
    GString *path = g_string_new(NULL);
    json_t *json = tree_convert(node, path, locations);
    g_string_free(path, TRUE);
    return json;
}
