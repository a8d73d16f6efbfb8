#ifndef CH_ENTRY_REQID_H
#define CH_ENTRY_REQID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"

/*
 * Request ids of orders and their outcomes. An id is MACHINE.STARTHEX.SEQHEX:
 * the issuing machine, the start id of the issuing entry process (16 digits)
 * and a sequence number. Only the process that issued an id runs its order.
 *
 * Rules, asserted on each change:
 * - at most one EXEC of an id is outstanding or may have run;
 * - "not run" is stored only when no EXEC of the id can have reached a
 *   searcher;
 * - once "unknown" was stored, no EXEC of the id is sent any more;
 * - an outcome is kept until the id expires.
 */

#define RID_EXPIRY_US (10LL * 60 * 1000 * 1000)
#define RID_MAX_MACHINE_BYTES 64
/* Ids that one process may have issued within the expiry time. */
#define RID_MAX_IDS (256 * 1024)
/* Bytes of stored outcome bodies above which no new id is issued. */
#define RID_MAX_STORED_BYTES (64ULL * 1024 * 1024)

struct rid;

struct rid_id {
    char machine[RID_MAX_MACHINE_BYTES + 1];
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
bool rid_is_machine_name(const char *name);

/* Reads an id. Returns RC_OK, or RC_BAD_ID for anything not canonical. */
int rid_parse(const char *text, struct rid_id *out);

struct rid *rid_new(const char *machine, uint64_t start, size_t max_ids,
                    struct cnt_set *counters);

void rid_free(struct rid *rid);

/* Whether this process issued ids with this machine and start. */
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

/*
 * Notes an EXEC just before it is sent, so that no path can forget one that
 * was sent. The id must be running and have no other EXEC outstanding.
 */
void rid_exec(struct rid *rid, uint64_t seq, uint64_t qid, uint32_t relay);

/* Takes rid_exec() back: nothing was sent. */
void rid_exec_unsent(struct rid *rid, uint64_t seq, uint64_t qid);

/*
 * Finds the id of an outstanding EXEC, also after its outcome was stored as
 * unknown. Returns false for a reply that is late, doubled or crossed.
 */
bool rid_exec_find(const struct rid *rid, uint64_t qid, uint32_t relay,
                   uint64_t *seq);

/* The relay says that this EXEC did not run; the id is still running. */
void rid_exec_not_run(struct rid *rid, uint64_t seq, uint64_t qid);

/* Ends a try without an outstanding EXEC: it certainly did not run. */
void rid_end_not_run(struct rid *rid, uint64_t seq, int rc);

/* Ends a try whose outstanding EXEC may have run. */
void rid_end_unknown(struct rid *rid, uint64_t seq);

/*
 * Stores the real outcome of the outstanding EXEC: RC_OK with the body, or a
 * code that says "not run". Replaces "unknown", but then a "not run" does not
 * allow another try.
 */
void rid_end_known(struct rid *rid, uint64_t seq, uint64_t qid, int rc,
                   const void *body, size_t body_bytes);

/* Whether "not run" is true for the id as far as this process knows. */
bool rid_is_not_run(const struct rid *rid, const struct rid_id *id,
                    int64_t now_us);

/* Drops expired ids that are not running. */
void rid_expire(struct rid *rid, int64_t now_us);

/* Ids that are stored now. */
size_t rid_count(const struct rid *rid);

#endif
