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
struct wir_objects {
    struct fed_reply reply;
    GArray *objects; /* of struct fed_object */
    json_t *root;
    json_t *kept; /* names and specs that were made, NULL for none */
};

/* A VM as it is written to the store. */
struct wir_vm {
    const char *name;
    const char *peer_address;
    const char *dc;
    uint32_t capacity; /* thousandths of a core */
    int64_t renewals;  /* how often the object was written again */
};

/* A decoded request of a caller; free with wir_request_clear(). */
struct wir_request {
    char *id;
    char *host;
    GString *fields;
    int64_t wait_us; /* how long the caller waits, INT64_MAX: not told */
};

/* What is kept of a request until its answer. */
struct wir_sent {
    char *id;
    int64_t snapshot;
    uint32_t target;
};

/* A decoded answer of a backend server and the memory that it points to. */
struct wir_answer {
    struct att_answer answer;
    GString *fields; /* header lines that are passed on */
    GString *stamp;
    GByteArray *body; /* NULL: the body of the response itself */
};

struct wir {
    bool tells_cold; /* backend servers tell how long they stay cold */
    /* Path and query of a list or watch; free with g_free. */
    char *(*fetch_path)(const struct syn_fetch *fetch);
    /* Reads the reply to a list or watch, NULL for the list of VMs;
     * `out->reply.rc` tells the result. */
    void (*read_objects)(const struct syn_fetch *fetch, int status,
                         const char *body, size_t body_bytes,
                         struct wir_objects *out);
    /* Appends the objects of the kind that an operator's document holds;
     * `revision` receives its own. NULL: operators call the store only. */
    void (*expand)(enum mem_kind kind, json_t *document,
                   struct wir_objects *out, int64_t *revision);

    /* Return RC_OK, RC_INVALID with a log line that says what is wrong, or
     * RC_NOT_FOUND for an object that is not of concern. */
    int (*read_config)(const struct fed_object *object, struct gcf **out);
    int (*read_backend)(const struct fed_object *object,
                        struct bke_entry *out);

    /* Paths and bodies of the VMs' own objects; free with g_free. */
    char *(*vms_path)(const char *name); /* NULL: the list of all */
    /* The list, possibly seconds old, at a lower price. */
    char *(*vms_stale_path)(void);
    /* To delete the object if it still has this revision. */
    char *(*vms_lost_path)(const char *name, int64_t revision);
    char *(*write_vm)(const struct wir_vm *vm);
    /* Returns RC_OK or RC_INVALID. */
    int (*read_vm)(const struct fed_object *object, struct wir_vm *out);

    /* Paths and body of the roster, `news` is as of nws_write(); free with
     * g_free. NULL: entries do not lapse. */
    char *(*roster_path)(bool is_create);
    char *(*roster_stale_path)(void);
    char *(*write_roster)(const char *news);
    /* The news in the reply with the roster, or NULL; a new reference. */
    json_t *(*read_roster)(int status, const char *body, size_t body_bytes);

    /* Returns RC_OK, or RC_BAD_FIELD when the request has no id. */
    int (*read_request)(const struct hsv_request *http,
                        struct wir_request *out);
    void (*respond)(struct hsv_request *http, const char *id,
                    const struct ask_answer *answer);

    /* Bytes of a request to a backend server. */
    GString *(*write_request)(const struct bke *backend,
                              const struct att_send *send);
    /* Reads a response of a backend server to what was sent. */
    void (*read_answer)(const struct hcl_response *response,
                        const struct wir_sent *sent, struct wir_answer *out);

    bool (*is_ready_path)(const char *path);
    bool (*is_directory_path)(const char *path);
    /* Body of an answer that names addresses (char *); free with g_free. */
    char *(*write_addresses)(const GPtrArray *addresses, int64_t ttl_ms);
};

/* Compact text of the JSON, which is released; free the text with g_free. */
char *wir_text(json_t *root);

/* Reads the object of a VM, whose data centre is under `dc_key`. Returns RC_OK
 * or RC_INVALID. */
int wir_read_vm(const struct fed_object *object, const char *dc_key,
                struct wir_vm *out);

void wir_objects_clear(struct wir_objects *objects);

void wir_request_clear(struct wir_request *request);

void wir_answer_init(struct wir_answer *answer);

void wir_answer_clear(struct wir_answer *answer);

#endif
