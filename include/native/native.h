#ifndef CH_NATIVE_NATIVE_H
#define CH_NATIVE_NATIVE_H

#include "gateway/wire.h"

/*
 * Encoders and decoders of the native interface, which a gateway without a
 * settings file offers (with one, see platform/platform.h): objects under
 * /v1/KIND/NAME in the store, one configuration document that declares
 * services, backend servers and data centres, and JSON over HTTP to backend
 * servers. They hold no state; see struct wire for what each function does.
 */

extern const struct wire native_wire;

/* Each service gets a route for searches and one for orders. These are the
 * hosts of the routes; their path prefix is /SERVICE/. */
#define NATIVE_SEARCH_HOST "search"
#define NATIVE_ORDER_HOST "order"

/* The configuration document and the objects in it (document.c). */
int native_read_config(const struct cache_object *object,
                       struct gateway_config **out);
int native_read_backend(const struct cache_object *object,
                        struct backend_entry *out, const char **bad_field);

/* Appends the objects of the kind that the document declares; `out` owns what
 * they point to. `*change` receives the position of the document, 0 if
 * `document` is NULL. */
void native_expand_document(enum object_kind kind, json_t *document,
                            struct wire_objects *out, struct position *change);

/* Requests to the store and its replies (objects.c). */
char *native_fetch_path(const struct sync_fetch *fetch);
void native_read_objects(const struct sync_fetch *fetch, int64_t era,
                         int status, const char *body, size_t body_bytes,
                         struct wire_objects *out);
char *native_vms_path(const char *name);
char *native_vms_list_path(void);
char *native_vms_expired_path(const char *name, struct position position);
char *native_write_vm(const struct wire_vm *vm);
int native_read_vm(const struct cache_object *object, struct wire_vm *out);

/* Requests to backend servers and their responses (backend.c). */
GString *native_write_request(const struct backend *backend,
                              const struct attempt_send *send);
void native_read_answer(const struct http_response *response,
                        const struct wire_sent_request *sent,
                        struct wire_answer *out);

#endif
