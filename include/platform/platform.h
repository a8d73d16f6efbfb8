#ifndef CH_PLATFORM_PLATFORM_H
#define CH_PLATFORM_PLATFORM_H

#include "gateway/wire.h"

/* The users' platform: its names, formats and calls. Nothing here decides. */

/* All encoders and decoders of the platform. */
extern const struct wir plt_wire;

/* Store objects and what is in them. */
char *plt_fetch_path(const struct syn_fetch *fetch);
void plt_read_objects(const struct syn_fetch *fetch, int status,
                      const char *body, size_t body_bytes,
                      struct wir_objects *out);
int plt_read_config(const struct fed_object *object, struct gcf **out);
int plt_read_backend(const struct fed_object *object, struct bke_entry *out);
char *plt_vms_path(const char *name);
char *plt_vms_stale_path(void);
char *plt_vms_lost_path(const char *name, int64_t revision);
char *plt_write_vm(const struct wir_vm *vm);
int plt_read_vm(const struct fed_object *object, struct wir_vm *out);
char *plt_roster_path(bool is_create);
char *plt_roster_stale_path(void);
char *plt_write_roster(const char *news);
json_t *plt_read_roster(int status, const char *body, size_t body_bytes);

/* Callers. */
int plt_read_request(const struct hsv_request *http, struct wir_request *out);
void plt_respond(struct hsv_request *http, const char *id,
                 const struct ask_answer *answer);
bool plt_is_ready_path(const char *path);
bool plt_is_directory_path(const char *path);
char *plt_write_addresses(const GPtrArray *addresses, int64_t ttl_ms);

/* Backend servers. */
GString *plt_write_request(const struct bke *backend,
                           const struct att_send *send);
void plt_read_answer(const struct hcl_response *response,
                     const struct wir_sent *sent, struct wir_answer *out);

#endif
