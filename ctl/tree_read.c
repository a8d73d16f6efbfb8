#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

#include "common/rc.h"
#include "ctl/tree_read.h"

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

static int
tree_read_line(yaml_mark_t mark)
{
    return (int)mark.line + 1;
}

static void
tree_read_fail_at(struct tree_reader *reader, int line, const char *what)
{
    if (reader->error != NULL) {
        return;
    }
    reader->error = g_strdup_printf(
        "%s:%d: %s: %s", reader->file, line,
        reader->path->len > 0 ? reader->path->str : "document", what);
}

static void
tree_read_fail(struct tree_reader *reader, yaml_mark_t mark, const char *what)
{
    tree_read_fail_at(reader, tree_read_line(mark), what);
}

/* Line of a byte that is not valid text; libyaml reports only its offset. */
static int
tree_read_line_of_offset(const struct tree_reader *reader, size_t offset)
{
    int line = 1;
    for (size_t i = 0; i < offset && i < reader->text_bytes; i++) {
        line += reader->text[i] == '\n' ? 1 : 0;
    }
    return line;
}

static bool
tree_read_next(struct tree_reader *reader, yaml_event_t *event)
{
    if (yaml_parser_parse(&reader->parser, event)) {
        return true;
    }
    const yaml_parser_t *parser = &reader->parser;
    if (parser->error == YAML_READER_ERROR) {
        /* libyaml reads ahead: the byte may be far after the current path. */
        g_string_truncate(reader->path, 0);
        tree_read_fail_at(
            reader, tree_read_line_of_offset(reader, parser->problem_offset),
            parser->problem);
        return false;
    }
    char *what = g_strdup_printf(
        "%s%s%s", parser->problem, parser->context != NULL ? " " : "",
        parser->context != NULL ? parser->context : "");
    tree_read_fail(reader, parser->problem_mark, what);
    g_free(what);
    return false;
}

/* Reports an error for YAML features that JSON cannot express. */
static bool
tree_read_is_json_compatible(struct tree_reader *reader,
                             const yaml_event_t *event)
{
    const yaml_char_t *anchor = NULL;
    const yaml_char_t *tag = NULL;
    switch (event->type) {
    case YAML_ALIAS_EVENT:
        tree_read_fail(reader, event->start_mark, "aliases are not allowed");
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
        tree_read_fail(reader, event->start_mark,
                       anchor != NULL ? "anchors are not allowed"
                                      : "tags are not allowed");
        return false;
    }
    return true;
}

/* Rejects control characters in a key: a NUL would hide the rest of the key, a
 * line feed would split the error message that names it. */
static bool
tree_read_is_printable(const char *text, size_t text_bytes)
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
        !tree_read_is_json_compatible(reader, key)) {
        tree_read_fail(reader, key->start_mark, "a key must be a scalar");
        return false;
    }
    const char *text = (const char *)key->data.scalar.value;
    if (!tree_read_is_printable(text, key->data.scalar.length)) {
        tree_read_fail(reader, key->start_mark,
                       "a key holds a control character");
        return false;
    }
    gsize saved_len = reader->path->len;
    g_string_append_printf(reader->path, "%s%s", saved_len > 0 ? "." : "",
                           text);
    if (tree_get(map, text) != NULL) {
        tree_read_fail(reader, key->start_mark, "key is used twice");
        return false;
    }
    yaml_event_t event;
    if (!tree_read_next(reader, &event)) {
        return false;
    }
    struct tree_node *value = tree_read_value(reader, &event);
    yaml_event_delete(&event);
    if (value == NULL) {
        return false;
    }
    value->line = tree_read_line(key->start_mark);
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
        if (!tree_read_next(reader, &event)) {
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
    if (!tree_read_is_json_compatible(reader, event)) {
        return NULL;
    }
    int line = tree_read_line(event->start_mark);
    if (event->type == YAML_SCALAR_EVENT) {
        struct tree_node *scalar = tree_new(TREE_SCALAR, reader->file, line);
        scalar->text = g_strdup((const char *)event->data.scalar.value);
        scalar->is_plain = event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
        /* A NUL inside the text would hide the rest of it. */
        if (strlen(scalar->text) != event->data.scalar.length) {
            tree_read_fail(reader, event->start_mark, "holds a byte 0");
            tree_free(scalar);
            return NULL;
        }
        return scalar;
    }
    if (reader->depth >= TREE_MAX_DEPTH) {
        tree_read_fail(reader, event->start_mark, "is nested too deeply");
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
tree_read_expect(struct tree_reader *reader, yaml_event_type_t type)
{
    yaml_event_t event;
    if (!tree_read_next(reader, &event)) {
        return false;
    }
    bool is_expected = event.type == type;
    if (!is_expected) {
        tree_read_fail(reader, event.start_mark,
                       "must hold a single document");
    }
    yaml_event_delete(&event);
    return is_expected;
}

static struct tree_node *
tree_read_document(struct tree_reader *reader)
{
    yaml_event_t event;
    if (!tree_read_expect(reader, YAML_STREAM_START_EVENT) ||
        !tree_read_next(reader, &event)) {
        return NULL;
    }
    bool is_empty = event.type == YAML_STREAM_END_EVENT;
    yaml_event_delete(&event);
    if (is_empty) {
        return tree_new(TREE_MAP, reader->file, 1);
    }
    if (!tree_read_next(reader, &event)) {
        return NULL;
    }
    struct tree_node *root = tree_read_value(reader, &event);
    yaml_event_delete(&event);
    if (root == NULL) {
        return NULL;
    }
    if (!tree_read_expect(reader, YAML_DOCUMENT_END_EVENT) ||
        !tree_read_expect(reader, YAML_STREAM_END_EVENT)) {
        tree_free(root);
        return NULL;
    }
    return root;
}

/* As tree_read_file() for a text; `file` is the name for errors. */
static int
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
tree_read_load(const char *path, GString *text)
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
    int problem = tree_read_load(path, text);
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
