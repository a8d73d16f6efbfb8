#ifndef CH_NATIVE_NATIVE_H
#define CH_NATIVE_NATIVE_H

#include "gateway/wire.h"

/*
 * The product's own wire: objects under /v1/KIND/NAME in the store, one
 * document with all declarations, and JSON calls to backend servers.
 */

extern const struct wir ntv_wire;

/* Hosts of the routes that a document declares; their prefix is /SERVICE/. */
#define NTV_SEARCH_HOST "search"
#define NTV_ORDER_HOST "order"

/* The document and what is in it (document.c). */
int ntv_read_config(const struct fed_object *object, struct gcf **out);
int ntv_read_backend(const struct fed_object *object, struct bke_entry *out);

/* Appends the objects of the kind that a document holds; what they point to is
 * kept in `out`. `revision` receives the document's own. */
void ntv_expand(enum mem_kind kind, json_t *document, struct wir_objects *out,
                int64_t *revision);

/* Objects in the store (objects.c). */
char *ntv_fetch_path(const struct syn_fetch *fetch);
void ntv_read_objects(const struct syn_fetch *fetch, int status,
                      const char *body, size_t body_bytes,
                      struct wir_objects *out);
char *ntv_vms_path(const char *name);
char *ntv_vms_list_path(void);
char *ntv_vms_lost_path(const char *name, int64_t revision);
char *ntv_write_vm(const struct wir_vm *vm);
int ntv_read_vm(const struct fed_object *object, struct wir_vm *out);

/* Backend servers (backend.c). */
GString *ntv_write_request(const struct bke *backend,
                           const struct att_send *send);
void ntv_read_answer(const struct hcl_response *response,
                     const struct wir_sent *sent, struct wir_answer *out);

#endif
