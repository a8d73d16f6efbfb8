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

#define RID_EXPIRY_US (10LL * 60 * 1000 * 1000)
#define RID_MAX_VM_BYTES 64
/* Ids that one process may have issued within the expiry time. */
#define RID_MAX_IDS (256 * 1024)
/* Bytes of stored outcome bodies above which no new id is issued. */
#define RID_MAX_STORED_BYTES (64ULL * 1024 * 1024)

struct rid;

struct rid_id {
    char vm[RID_MAX_VM_BYTES + 1];
    uint64_t start;
    uint64_t seq;
};

enum rid_state {
    RID_NEW,     /* issued, never tried */
    RID_RUNNING, /* a run is in progress */
    RID_NOT_RUN, /* the last try certainly did not run */
    RID_UNKNOWN, /* may have run; never tried again */
    RID_DONE,    /* ran; the outcome is stored */
};

struct rid_outcome {
    enum rid_state state;
    int rc;
    const void *body; /* valid until the id changes */
    size_t body_bytes;
};

/* Whether the name can stand in an id: letters, digits, '-', '_', '.'. */
bool rid_is_vm_name(const char *name);

/* Reads an id. Returns RC_OK, or RC_BAD_ID for anything not canonical. */
int rid_parse(const char *text, struct rid_id *out);

struct rid *rid_new(const char *vm, uint64_t start, size_t max_ids,
                    struct cnt_set *counters);

void rid_free(struct rid *rid);

/* Whether this process issued ids with this VM and start. */
bool rid_is_own(const struct rid *rid, const struct rid_id *id);

/* Issues an id (free with g_free). Returns RC_OK or RC_QUEUE_FULL. */
int rid_issue(struct rid *rid, int64_t now_us, char **out);

/*
 * Looks up an own id. Returns RC_OK, RC_BAD_ID when it was never issued, or
 * RC_ID_EXPIRED.
 */
int rid_look(const struct rid *rid, uint64_t seq, int64_t now_us,
             struct rid_outcome *out);

/* Starts a try; the state must be RID_NEW or RID_NOT_RUN. */
void rid_begin(struct rid *rid, uint64_t seq);

/* Ends the try in progress: RC_OK with the result, or why there is none. */
void rid_end(struct rid *rid, uint64_t seq, int rc, const void *body,
             size_t body_bytes);

/* Whether "not run" is true for the id as far as this process knows. */
bool rid_is_not_run(const struct rid *rid, const struct rid_id *id,
                    int64_t now_us);

/* Drops expired ids that are not running. */
void rid_expire(struct rid *rid, int64_t now_us);

/* Ids that are stored now. */
size_t rid_count(const struct rid *rid);

#endif
