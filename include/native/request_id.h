#ifndef CH_NATIVE_REQUEST_ID_H
#define CH_NATIVE_REQUEST_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"
#include "common/resource.h"

/*
 * Issues the request ids of orders and stores the outcome of each order. An
 * id is VM.STARTHEX.SEQHEX: the issuing VM, the start id of the issuing
 * process (16 hexadecimal digits) and a sequence number in hexadecimal. Only
 * the process that issued an id runs its order. The table is in memory, so a
 * restart loses it. Times are on the monotonic clock, in microseconds.
 *
 * A run is one attempt of this process to have a backend server execute the
 * order. Invariants, asserted on each state change:
 * - at most one run of an id is in progress, and no run starts after one that
 *   a backend server may have executed;
 * - "not run" is stored only when the order cannot have reached a backend
 *   server;
 * - an outcome is kept until the id expires.
 */

/* Lifetime of an id and of its outcome, from the time of issue. */
#define REQUEST_ID_EXPIRY_US (10LL * 60 * 1000 * 1000)
#define REQUEST_ID_VM_MAX_BYTES 64
/* Limit of ids of one process that have not expired. */
#define REQUEST_ID_MAX_IDS (256 * 1024)
/* Memory of an id without its outcome, for the account of the process. */
#define REQUEST_ID_ENTRY_BYTES 192

struct request_ids;

struct request_id {
    char vm[REQUEST_ID_VM_MAX_BYTES + 1];
    uint64_t start; /* start id of the issuing process, random */
    uint64_t seq;   /* counts from 1 */
};

enum request_id_state {
    REQUEST_ID_NEW,     /* issued, no run yet */
    REQUEST_ID_RUNNING, /* a run is in progress */
    REQUEST_ID_NOT_RUN, /* last run ended, the order was not executed */
    REQUEST_ID_UNKNOWN, /* may have been executed; never run again */
    REQUEST_ID_DONE,    /* executed; the outcome is stored */
};

struct request_id_outcome {
    enum request_id_state state;
    int rc;           /* RC_OK, or why the last run failed */
    const void *body; /* result; valid until the entry of the id changes */
    size_t body_bytes;
};

/* Whether the name is valid as the VM in an id: 1 to REQUEST_ID_VM_MAX_BYTES
 * letters, digits, '-', '_' or '.'. */
bool request_id_is_vm_name(const char *name);

/* Parses an id. Returns RC_OK, or RC_BAD_ID if it is not in canonical form. */
int request_id_parse(const char *text, struct request_id *out);

/* Creates an empty table for ids of this VM and process start. `max_ids` is
 * the limit of stored ids; `counters` must outlive the table. */
struct request_ids *request_id_new(const char *vm, uint64_t start,
                                   size_t max_ids,
                                   struct counter_set *counters);

void request_id_free(struct request_ids *ids);

/* Whether the id names this VM and this process start; its sequence number
 * may still be one that was never issued. */
bool request_id_is_own(const struct request_ids *ids,
                       const struct request_id *id);

/* Ids and outcomes take their memory from the share; without a share it is not
 * counted. */
void request_id_set_share(struct request_ids *ids,
                          struct resource_share *share);

/* Issues an id (free with g_free). Returns RC_OK, or RC_QUEUE_FULL while the
 * table holds `max_ids` ids or the share has no room. */
int request_id_issue(struct request_ids *ids, int64_t now_us, char **out);

/*
 * Looks up an id of this process. Returns RC_OK, RC_BAD_ID if it was never
 * issued, or RC_ID_EXPIRED.
 */
int request_id_lookup(const struct request_ids *ids, uint64_t seq,
                      int64_t now_us, struct request_id_outcome *out);

/* Starts a run; the state must be REQUEST_ID_NEW or REQUEST_ID_NOT_RUN. */
void request_id_start_run(struct request_ids *ids, uint64_t seq);

/*
 * Ends the run in progress. `rc` is RC_OK with the result in `body`, or the
 * reason of the failure; rc_executed(rc) decides the new state. Returns RC_OK,
 * or RC_REPLY_NO_ROOM if the share has no room for the result: then the
 * outcome is unknown to those who ask later.
 */
int request_id_end_run(struct request_ids *ids, uint64_t seq, int rc,
                       const void *body, size_t body_bytes);

/* Whether this process can tell that the order of the id was not executed and
 * that no run is in progress. False for ids of other processes. */
bool request_id_has_not_run(const struct request_ids *ids,
                            const struct request_id *id, int64_t now_us);

/* Removes expired ids in the order of issue, up to the first one whose run is
 * still in progress. */
void request_id_expire(struct request_ids *ids, int64_t now_us);

/* Number of stored ids. */
size_t request_id_count(const struct request_ids *ids);

#endif
