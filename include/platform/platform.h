#ifndef CH_PLATFORM_PLATFORM_H
#define CH_PLATFORM_PLATFORM_H

#include "gateway/wire.h"

/*
 * Encoders and decoders of the users' platform, for a gateway that runs with a
 * settings file: objects in the platform's store, headers of callers'
 * requests, and HTTP requests to backend servers. They hold no state and make
 * no decisions; see struct wire for what each function does.
 */

extern const struct wire platform_wire;

/* Requests to the store and its replies (objects.c), the configuration
 * (config.c). */
char *platform_fetch_path(const struct sync_fetch *fetch);
int64_t platform_read_era(const struct http_response *response);
void platform_read_objects(const struct sync_fetch *fetch, int64_t era,
                           int status, const char *body, size_t body_bytes,
                           struct wire_objects *out);
int platform_read_config(const struct cache_object *object,
                         struct gateway_config **out);
int64_t platform_read_version(const struct cache_object *object);
int platform_read_backend(const struct cache_object *object,
                          struct backend_entry *out, const char **bad_field);
char *platform_vms_path(const char *name);
char *platform_vms_stale_path(void);
char *platform_vms_expired_path(const char *name, struct position position);
char *platform_write_vm(const struct wire_vm *vm);
int platform_read_vm(const struct cache_object *object, struct wire_vm *out);
char *platform_roster_path(bool is_create);
char *platform_roster_stale_path(void);
char *platform_write_roster(const char *roster);
json_t *platform_read_roster(int status, const char *body, size_t body_bytes);

/* Requests of callers and the responses to them (caller.c). */
int platform_read_request(const struct http_request *http,
                          struct wire_request *out);
void platform_respond(struct http_request *http, const char *id,
                      const struct caller_answer *answer);
bool platform_is_ready_path(const char *path);
bool platform_is_directory_path(const char *path);
char *platform_write_addresses(const GPtrArray *addresses, int64_t ttl_ms);

/* Requests to backend servers and their responses (backend.c). */
GString *platform_write_request(const struct backend *backend,
                                const struct attempt_send *send);
void platform_read_answer(const struct http_response *response,
                          const struct wire_sent_request *sent,
                          struct wire_answer *out);

#endif
