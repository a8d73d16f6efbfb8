#ifndef CH_AGENT_OBJECT_H
#define CH_AGENT_OBJECT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "agent/contract.h"

/* Objects of the store as JSON. */

/*
 * Reads a contract object; strings belong to `object`. Returns false when it
 * is malformed. An object with version 0 and no value means "none"; then only
 * the version is set. Free `out` with obj_clear_contract().
 */
bool obj_read_contract(const json_t *object, struct ctr_object *out);

void obj_clear_contract(struct ctr_object *object);

json_t *obj_contract_value(const struct msg_holder *holder);

/* "SERVICE:INSTANCE"; free with g_free(). */
char *obj_contract_name(const char *service, const char *instance);

/*
 * The member names of a cell object as a GPtrArray of strings that belong to
 * `object`, or NULL when it is malformed.
 */
GPtrArray *obj_read_cell(const json_t *object, uint64_t *version);

/* Canonical text of a configuration document; free with free(). */
char *obj_canonical(const json_t *document);

#endif
