#ifndef CH_NATIVE_NATIVE_H
#define CH_NATIVE_NATIVE_H

#include "gateway/wire.h"

/*
 * The product's own wire: objects under /v1/KIND/NAME in the store, one
 * document with all declarations, and JSON calls to backend servers.
 */

extern const struct wire native_wire;

/* Hosts of the routes that a document declares; their prefix is /SERVICE/. */
#define NATIVE_SEARCH_HOST "search"
#define NATIVE_ORDER_HOST "order"

/* The document and what is in it (document.c). */
int native_read_config(const struct cache_object *object,
                       struct gateway_config **out);
int native_read_backend(const struct cache_object *object,
                        struct backend_entry *out);

/* Appends the objects of the kind that a document holds; what they point to is
 * kept in `out`. `revision` receives the document's own. */
void native_expand(enum object_kind kind, json_t *document,
                   struct wire_objects *out, int64_t *revision);

/* Objects in the store (objects.c). */
char *native_fetch_path(const struct sync_fetch *fetch);
void native_read_objects(const struct sync_fetch *fetch, int status,
                         const char *body, size_t body_bytes,
                         struct wire_objects *out);
char *native_vms_path(const char *name);
char *native_vms_list_path(void);
char *native_vms_lost_path(const char *name, int64_t revision);
char *native_write_vm(const struct wire_vm *vm);
int native_read_vm(const struct cache_object *object, struct wire_vm *out);

/* Backend servers (backend.c). */
GString *native_write_request(const struct backend *backend,
                              const struct attempt_send *send);
void native_read_answer(const struct http_response *response,
                        const struct wire_sent *sent, struct wire_answer *out);

#endif
