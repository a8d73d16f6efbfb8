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

enum cfg_kind {
    CFG_NAME,    /* char *, [a-z0-9][a-z0-9_.-]{0,62} */
    CFG_ADDRESS, /* char *, IPV4:PORT */
    CFG_NUMBER,  /* int64_t within min and max */
    CFG_CHOICE,  /* bool: position of the text in `choices` */
    CFG_LIST,    /* array of `item`, count at `count_offset` */
};

#define CFG_KIND_COUNT 5

struct cfg_field {
    const char *key;
    enum cfg_kind kind;
    size_t offset;
    bool is_required;
    int64_t min; /* of a number, or the least count of a list's items */
    int64_t max;
    int64_t fallback;         /* value, or position in `choices` */
    const char *fallback_key; /* field whose value is the fallback, or NULL */
    const char *choices[2];
    const struct cfg_schema *item;
    size_t count_offset;
};

struct cfg_schema {
    const struct cfg_field *fields;
    size_t field_count;
    size_t struct_bytes;
};

extern const struct cfg_schema cfg_schema_document;

/* The field with this key, or NULL. */
const struct cfg_field *cfg_schema_find(const struct cfg_schema *schema,
                                        const char *key);

/* Where a document breaks the schema. Both are freed by cfg_error_clear(). */
struct cfg_error {
    char *path; /* services[2].instances[0].name; empty for the document */
    char *text;
};

void cfg_error_clear(struct cfg_error *error);

/* Whether all required fields and all references must be there. */
enum cfg_extent {
    CFG_WHOLE,
    CFG_PART, /* one of the files that are merged into a document */
};

/*
 * Checks a document tree. Returns RC_OK, or RC_INVALID and fills `error` with
 * the first fault in document order.
 */
int cfg_check(const json_t *document, enum cfg_extent extent,
              struct cfg_error *error);

/* Adds each optional field that is missing from a checked document. */
void cfg_set_defaults(json_t *document);

struct cfg;

/* Builds the structs from a checked document with all defaults set; a missing
 * revision is 0. Free with cfg_free(). */
struct cfg *cfg_build(const json_t *document);

#endif
