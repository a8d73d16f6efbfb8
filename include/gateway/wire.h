#ifndef CH_GATEWAY_WIRE_H
#define CH_GATEWAY_WIRE_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "common/http_client.h"
#include "common/http_server.h"
#include "gateway/gateway.h"
#include "gateway/sync.h"

/* What a deployment speaks: a table of encoders and decoders. They translate
 * and decide nothing. */

/* A decoded reply of the store and the memory that it points to. */
struct wire_objects {
    struct store_reply reply;
    GArray *objects; /* of struct cache_object */
    json_t *root;
    json_t *kept; /* names and specs that were made, NULL for none */
};

/* A VM as it is written to the store. */
struct wire_vm {
    const char *name;
    const char *peer_address;
    const char *dc;
    uint32_t capacity; /* thousandths of a core */
    int64_t renewals;  /* how often the object was written again */
};

/* A decoded request of a caller; free with wire_request_clear(). */
struct wire_request {
    char *id;
    char *host;
    GString *fields;
    int64_t wait_us; /* how long the caller waits, INT64_MAX: not told */
};

/* What is kept of a request until its answer. */
struct wire_sent {
    char *id;
    int64_t snapshot;
    uint32_t target;
};

/* A decoded answer of a backend server and the memory that it points to. */
struct wire_answer {
    struct backend_answer answer;
    GString *fields; /* header lines that are passed on */
    GString *stamp;
    GByteArray *body; /* NULL: the body of the response itself */
};

struct wire {
    bool tells_cold; /* backend servers tell how long they stay cold */
    /* Path and query of a list or watch; free with g_free. */
    char *(*fetch_path)(const struct sync_fetch *fetch);
    /* Reads the reply to a list or watch, NULL for the list of VMs;
     * `out->reply.rc` tells the result. */
    void (*read_objects)(const struct sync_fetch *fetch, int status,
                         const char *body, size_t body_bytes,
                         struct wire_objects *out);
    /* Appends the objects of the kind that an operator's document holds;
     * `revision` receives its own. NULL: operators call the store only. */
    void (*expand)(enum object_kind kind, json_t *document,
                   struct wire_objects *out, int64_t *revision);

    /* Return RC_OK, RC_INVALID with a log line that says what is wrong, or
     * RC_NOT_FOUND for an object that is not of concern. */
    int (*read_config)(const struct cache_object *object,
                       struct gateway_config **out);
    int (*read_backend)(const struct cache_object *object,
                        struct backend_entry *out);

    /* Paths and bodies of the VMs' own objects; free with g_free. */
    char *(*vms_path)(const char *name); /* NULL: the list of all */
    /* The list, possibly seconds old, at a lower price. */
    char *(*vms_stale_path)(void);
    /* To delete the object if it still has this revision. */
    char *(*vms_lost_path)(const char *name, int64_t revision);
    char *(*write_vm)(const struct wire_vm *vm);
    /* Returns RC_OK or RC_INVALID. */
    int (*read_vm)(const struct cache_object *object, struct wire_vm *out);

    /* Paths and body of the roster, `news` is as of peer_state_write(); free
     * with g_free. NULL: entries do not lapse. */
    char *(*roster_path)(bool is_create);
    char *(*roster_stale_path)(void);
    char *(*write_roster)(const char *news);
    /* The news in the reply with the roster, or NULL; a new reference. */
    json_t *(*read_roster)(int status, const char *body, size_t body_bytes);

    /* Returns RC_OK, or RC_BAD_FIELD when the request has no id. */
    int (*read_request)(const struct http_request *http,
                        struct wire_request *out);
    void (*respond)(struct http_request *http, const char *id,
                    const struct caller_answer *answer);

    /* Bytes of a request to a backend server. */
    GString *(*write_request)(const struct backend *backend,
                              const struct attempt_send *send);
    /* Reads a response of a backend server to what was sent. */
    void (*read_answer)(const struct http_response *response,
                        const struct wire_sent *sent, struct wire_answer *out);

    bool (*is_ready_path)(const char *path);
    bool (*is_directory_path)(const char *path);
    /* Body of an answer that names addresses (char *); free with g_free. */
    char *(*write_addresses)(const GPtrArray *addresses, int64_t ttl_ms);
};

/* Compact text of the JSON, which is released; free the text with g_free. */
char *wire_text(json_t *root);

/* Reads the object of a VM, whose data centre is under `dc_key`. Returns RC_OK
 * or RC_INVALID. */
int wire_read_vm(const struct cache_object *object, const char *dc_key,
                 struct wire_vm *out);

void wire_objects_clear(struct wire_objects *objects);

void wire_request_clear(struct wire_request *request);

void wire_answer_init(struct wire_answer *answer);

void wire_answer_clear(struct wire_answer *answer);

#endif
