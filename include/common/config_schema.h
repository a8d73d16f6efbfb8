#ifndef CH_COMMON_CONFIG_SCHEMA_H
#define CH_COMMON_CONFIG_SCHEMA_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The schema of a configuration document as tables, one per struct of
 * common/config.h, and the checks over a document tree.
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
    size_t offset;
    bool is_required;
    int64_t min; /* of a number, or the least count of a list's items */
    int64_t max;
    int64_t fallback;         /* value, or position in `choices` */
    const char *fallback_key; /* field whose value is the fallback, or NULL */
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

/* Where a document breaks the schema. Both are freed by config_error_clear().
 */
struct config_error {
    char *path; /* services[2].instances[0].name; empty for the document */
    char *text;
};

void config_error_clear(struct config_error *error);

/* Whether all required fields and all references must be there. */
enum config_extent {
    CONFIG_WHOLE,
    CONFIG_PART, /* one of the files that are merged into a document */
};

/*
 * Checks a document tree. Returns RC_OK, or RC_INVALID and fills `error` with
 * the first fault in document order.
 */
int config_check(const json_t *document, enum config_extent extent,
                 struct config_error *error);

/* Adds each optional field that is missing from a checked document. */
void config_set_defaults(json_t *document);

struct config;

/* Builds the structs from a checked document with all defaults set; a missing
 * revision is 0. Free with config_free(). */
struct config *config_build(const json_t *document);

#endif
