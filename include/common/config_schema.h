#ifndef CH_COMMON_CONFIG_SCHEMA_H
#define CH_COMMON_CONFIG_SCHEMA_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The schema of a configuration document as tables, one per struct of
 * common/config.h, and the checks over a parsed document. The tables are
 * constant; the functions keep no state.
 */

enum config_kind {
    CONFIG_NAME,    /* char *, [a-z0-9][a-z0-9_.-]{0,62} */
    CONFIG_ADDRESS, /* char *, IPV4:PORT */
    CONFIG_NUMBER,  /* int64_t within min and max */
    CONFIG_CHOICE,  /* bool: position of the text in `choices` */
    CONFIG_LIST,    /* array of `item`, count at `count_offset` */
};

#define CONFIG_KIND_COUNT 5

struct config_field {
    const char *key;
    enum config_kind kind;
    size_t offset; /* of the value in the struct */
    bool is_required;
    int64_t min; /* of a number, or of the number of items of a list */
    int64_t max;
    int64_t default_value;   /* number, or position in `choices` */
    const char *default_key; /* field whose value is the default, or NULL */
    const char *choices[2];
    const struct config_schema *item;
    size_t count_offset;
};

struct config_schema {
    const struct config_field *fields;
    size_t field_count;
    size_t struct_bytes;
};

extern const struct config_schema config_schema_document;

/* The field with this key, or NULL. */
const struct config_field *
config_schema_find(const struct config_schema *schema, const char *key);

/* A violation of the schema. config_error_clear() frees both texts. */
struct config_error {
    char *path; /* services[2].instances[0].name; empty for the document */
    char *text; /* what is wrong with the value at `path` */
};

void config_error_clear(struct config_error *error);

/* How much of a document must be there. */
enum config_scope {
    /* All required fields, and everything that other fields refer to. */
    CONFIG_COMPLETE,
    /* Any part: one of the files that are merged into a document. */
    CONFIG_PARTIAL,
};

/*
 * Checks a document. Returns RC_OK, or RC_INVALID with the first violation in
 * document order in `error`.
 */
int config_check(const json_t *document, enum config_scope scope,
                 struct config_error *error);

/* Sets each optional field that a checked document lacks to its default. */
void config_set_defaults(json_t *document);

struct config;

/*
 * Builds the structs from a checked document with all defaults set; a missing
 * revision becomes 0. Free with config_free().
 */
struct config *config_build(const json_t *document);

#endif
