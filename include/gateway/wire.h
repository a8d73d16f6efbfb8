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

/*
 * Table of the encoders and decoders of a deployment's protocols: those of the
 * store, of callers and of backend servers. They only translate and keep no
 * state. Durations are in the unit that a name ends with.
 */

/* A decoded reply of the store or of a peer and the memory that it points to.
 */
struct wire_objects {
    struct store_reply reply;
    GArray *objects; /* of struct cache_object */
    json_t *root;    /* the parsed body */
    json_t *owned;   /* names and specs that are not in `root`, or NULL */
};

/* A VM's object in the store. */
struct wire_vm {
    const char *name;
    const char *peer_address;
    const char *dc;
    uint32_t capacity; /* thousandths of a core */
    int64_t renewals;  /* how often the object was written */
};

/* A decoded request of a caller; free with wire_request_clear(). */
struct wire_request {
    char *id;
    char *host;
    GString *fields; /* header lines to forward */
    int64_t wait_us; /* how long the caller waits, INT64_MAX: not given */
};

/* The parts of a request to a backend server that its response is checked
 * against. */
struct wire_sent_request {
    char *id;
    int64_t snapshot;
    uint32_t target;
    bool is_idempotent;
    /* An earlier response to such a request on the connection had an id, so
     * one without it may be a late second copy. */
    bool must_have_id;
};

/* A decoded answer of a backend server and the memory that it points to. */
struct wire_answer {
    struct backend_answer answer;
    GString *fields;  /* header lines to forward */
    GString *stamp;   /* signature of the answer */
    GByteArray *body; /* NULL: the body of the response is used */
    bool has_id;      /* it names the request that it answers */
};

struct wire {
    bool reports_warmup; /* backend servers report warm-up time left */
    /* Path and query of a list or watch; free with g_free. */
    char *(*fetch_path)(const struct sync_fetch *fetch);
    /* Era of the store that sent the response, whatever its status; 0 if it
     * reports none. NULL: the store has no eras. */
    int64_t (*read_era)(const struct http_response *response);
    /* Decodes the reply to a list or watch of a store of this era; `fetch` is
     * NULL for the list of VMs. Sets `out->reply.rc`; free with
     * wire_objects_clear(). */
    void (*read_objects)(const struct sync_fetch *fetch, int64_t era,
                         int status, const char *body, size_t body_bytes,
                         struct wire_objects *out);
    /* Appends the objects of the kind that the configuration document of an
     * operator holds; `change` receives its position. NULL:
     * operators write to the store only. */
    void (*expand_document)(enum object_kind kind, json_t *document,
                            struct wire_objects *out, struct position *change);

    /* Return RC_OK, RC_INVALID with a log line that says what is wrong, or
     * RC_NOT_FOUND for an object that this VM does not use. */
    int (*read_config)(const struct cache_object *object,
                       struct gateway_config **out);
    /* The version that a configuration names, 0 if none. NULL: the store does
     * not return to an older copy. */
    int64_t (*read_version)(const struct cache_object *object);
    /* RC_OK, or RC_INVALID and in `bad_field` the name of the field that is
     * missing or wrong. */
    int (*read_backend)(const struct cache_object *object,
                        struct backend_entry *out, const char **bad_field);

    /* Paths and bodies of the VMs' own objects; free with g_free. */
    char *(*vms_path)(const char *name); /* NULL: the list of all */
    /* The list of VMs, possibly seconds old, at a lower cost for the store. */
    char *(*vms_stale_path)(void);
    /* Path to delete the object only if it still has the revision of this
     * position, in whose era the store must be. */
    char *(*vms_expired_path)(const char *name, struct position position);
    char *(*write_vm)(const struct wire_vm *vm);
    /* Returns RC_OK or RC_INVALID. */
    int (*read_vm)(const struct cache_object *object, struct wire_vm *out);

    /* Paths and body of the roster; `state` is as from peer_state_write().
     * Free with g_free. NULL: the entries of backend servers do not expire,
     * and there is no roster. */
    char *(*roster_path)(bool is_create);
    char *(*roster_stale_path)(void);
    char *(*write_roster)(const char *state);
    /* The state in the reply with the roster, for peer_state_read(), or NULL;
     * a new reference. */
    json_t *(*read_roster)(int status, const char *body, size_t body_bytes);

    /* Decodes a caller's request. Returns RC_OK, or RC_BAD_FIELD when the
     * request has no id. */
    int (*read_request)(const struct http_request *http,
                        struct wire_request *out);
    void (*respond)(struct http_request *http, const char *id,
                    const struct caller_answer *answer);

    /* Encodes a request to a backend server, without the body if it has a
     * buffer of its own. */
    GString *(*write_request)(const struct backend *backend,
                              const struct attempt_send *send);
    /* Decodes the response of a backend server to a request. */
    void (*read_answer)(const struct http_response *response,
                        const struct wire_sent_request *sent,
                        struct wire_answer *out);

    bool (*is_ready_path)(const char *path);
    bool (*is_directory_path)(const char *path);
    /* Body of an address list for callers; `addresses` holds char *. Free with
     * g_free. */
    char *(*write_addresses)(const GPtrArray *addresses, int64_t ttl_ms);
};

/* Encodes the JSON compactly and drops the reference; free with g_free. */
char *wire_json_text(json_t *root);

/* Decodes the object of a VM, with its data centre under the key `dc_key`.
 * Returns RC_OK, or RC_INVALID with a log line. */
int wire_read_vm(const struct cache_object *object, const char *dc_key,
                 struct wire_vm *out);

void wire_objects_clear(struct wire_objects *objects);

void wire_request_clear(struct wire_request *request);

void wire_answer_init(struct wire_answer *answer);

void wire_answer_clear(struct wire_answer *answer);

#endif
