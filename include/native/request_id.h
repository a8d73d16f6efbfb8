#ifndef CH_NATIVE_REQUEST_ID_H
#define CH_NATIVE_REQUEST_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"

/*
 * Request ids of orders and their outcomes. An id is VM.STARTHEX.SEQHEX: the
 * issuing VM, the start id of the issuing process (16 digits) and a sequence
 * number. Only the process that issued an id runs its order.
 *
 * Rules, asserted on each change:
 * - at most one run of an id is in progress, and none begins after one that
 * may have run;
 * - "not run" is stored only when the order cannot have reached a backend
 *   server;
 * - an outcome is kept until the id expires.
 */

#define REQUEST_ID_EXPIRY_US (10LL * 60 * 1000 * 1000)
#define REQUEST_ID_MAX_VM_BYTES 64
/* Ids that one process may have issued within the expiry time. */
#define REQUEST_ID_MAX_IDS (256 * 1024)
/* Bytes of stored outcome bodies above which no new id is issued. */
#define REQUEST_ID_MAX_STORED_BYTES (64ULL * 1024 * 1024)

struct request_ids;

struct request_id {
    char vm[REQUEST_ID_MAX_VM_BYTES + 1];
    uint64_t start;
    uint64_t seq;
};

enum request_id_state {
    REQUEST_ID_NEW,     /* issued, never tried */
    REQUEST_ID_RUNNING, /* a run is in progress */
    REQUEST_ID_NOT_RUN, /* the last try certainly did not run */
    REQUEST_ID_UNKNOWN, /* may have run; never tried again */
    REQUEST_ID_DONE,    /* ran; the outcome is stored */
};

struct request_id_outcome {
    enum request_id_state state;
    int rc;
    const void *body; /* valid until the id changes */
    size_t body_bytes;
};

/* Whether the name can stand in an id: letters, digits, '-', '_', '.'. */
bool request_id_is_vm_name(const char *name);

/* Reads an id. Returns RC_OK, or RC_BAD_ID for anything not canonical. */
int request_id_parse(const char *text, struct request_id *out);

struct request_ids *request_id_new(const char *vm, uint64_t start,
                                   size_t max_ids,
                                   struct counter_set *counters);

void request_id_free(struct request_ids *ids);

/* Whether this process issued ids with this VM and start. */
bool request_id_is_own(const struct request_ids *ids,
                       const struct request_id *id);

/* Issues an id (free with g_free). Returns RC_OK or RC_QUEUE_FULL. */
int request_id_issue(struct request_ids *ids, int64_t now_us, char **out);

/*
 * Looks up an own id. Returns RC_OK, RC_BAD_ID when it was never issued, or
 * RC_ID_EXPIRED.
 */
int request_id_look(const struct request_ids *ids, uint64_t seq,
                    int64_t now_us, struct request_id_outcome *out);

/* Starts a try; the state must be REQUEST_ID_NEW or REQUEST_ID_NOT_RUN. */
void request_id_begin(struct request_ids *ids, uint64_t seq);

/* Ends the try in progress: RC_OK with the result, or why there is none. */
void request_id_end(struct request_ids *ids, uint64_t seq, int rc,
                    const void *body, size_t body_bytes);

/* Whether "not run" is true for the id as far as this process knows. */
bool request_id_is_not_run(const struct request_ids *ids,
                           const struct request_id *id, int64_t now_us);

/* Drops expired ids that are not running. */
void request_id_expire(struct request_ids *ids, int64_t now_us);

/* Ids that are stored now. */
size_t request_id_count(const struct request_ids *ids);

#endif
