#ifndef CH_COMMON_CONFIG_CHECKER_H
#define CH_COMMON_CONFIG_CHECKER_H

#include <glib.h>
#include <jansson.h>

#include "common/config_schema.h"

/*
 * State of one check of a configuration document: the path of the value that
 * is being checked, and the first error. Only config_check.c,
 * config_checker.c and config_reference.c include it; other files use
 * common/config_schema.h.
 */
struct config_checker {
    GString *path;
    struct config_error *error;
    enum config_scope scope;
};

/* Records an error at the current path. Returns RC_INVALID. */
int config_checker_fail(struct config_checker *checker, const char *format,
                        ...) __attribute__((format(printf, 2, 3)));

/* Append a key or an index to the path. Return the length for
 * config_checker_pop(). */
gsize config_checker_push_key(struct config_checker *checker, const char *key);
gsize config_checker_push_index(struct config_checker *checker, size_t i);

void config_checker_pop(struct config_checker *checker, gsize saved_len);

/*
 * Checks what a document that matches the schema must hold across its fields:
 * declared zones, addresses and names that are used once, and deadlines in
 * order. Returns RC_OK, or RC_INVALID with the path left at the error.
 */
int config_check_references(struct config_checker *checker,
                            const json_t *document);

#endif
