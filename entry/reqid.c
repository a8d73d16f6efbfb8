#include <ctype.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "entry/reqid.h"

#define RID_START_DIGITS 16
#define RID_SEQ_MAX_DIGITS 16

struct rid_entry {
    uint64_t seq;
    int64_t expires_us;
    enum rid_state state;
    int rc;
    void *body;
    size_t body_bytes;
    uint64_t qid;   /* outstanding EXEC, 0 for none */
    uint32_t relay; /* that got it */
    bool is_sealed; /* "unknown" was stored: no further EXEC */
};

struct rid {
    char *machine;
    uint64_t start;
    size_t max_ids;
    struct cnt_set *counters;
    GHashTable *by_seq; /* seq -> struct rid_entry */
    GHashTable *by_qid; /* qid of an outstanding EXEC -> struct rid_entry */
    uint64_t first_seq; /* oldest that may still be stored */
    uint64_t last_seq;  /* last issued */
    uint64_t stored_bytes;
};

static void
rid_entry_free(gpointer data)
{
    struct rid_entry *entry = data;
    g_free(entry->body);
    g_free(entry);
}

bool
rid_is_machine_name(const char *name)
{
    size_t bytes = strlen(name);
    if (bytes == 0 || bytes > RID_MAX_MACHINE_BYTES) {
        return false;
    }
    for (size_t i = 0; i < bytes; i++) {
        if (!g_ascii_isalnum(name[i]) && strchr("-_.", name[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* Reads lower-case hexadecimal digits only. */
static bool
rid_parse_hex(const char *text, size_t digits, uint64_t *out)
{
    uint64_t value = 0;
    for (size_t i = 0; i < digits; i++) {
        if (!g_ascii_isxdigit(text[i]) || g_ascii_isupper(text[i])) {
            return false;
        }
        value = value << 4 | (uint64_t)g_ascii_xdigit_value(text[i]);
    }
    *out = value;
    return true;
}

int
rid_parse(const char *text, struct rid_id *out)
{
    *out = (struct rid_id){.seq = 0};
    const char *seq = strrchr(text, '.');
    if (seq == NULL || seq - text < RID_START_DIGITS + 2) {
        return RC_BAD_ID;
    }
    const char *start = seq - RID_START_DIGITS;
    size_t machine_bytes = (size_t)(start - 1 - text);
    size_t seq_digits = strlen(seq + 1);
    if (start[-1] != '.' || machine_bytes > RID_MAX_MACHINE_BYTES ||
        seq_digits == 0 || seq_digits > RID_SEQ_MAX_DIGITS || seq[1] == '0') {
        return RC_BAD_ID;
    }
    memcpy(out->machine, text, machine_bytes);
    if (!rid_is_machine_name(out->machine) ||
        !rid_parse_hex(start, RID_START_DIGITS, &out->start) ||
        !rid_parse_hex(seq + 1, seq_digits, &out->seq)) {
        return RC_BAD_ID;
    }
    return RC_OK;
}

struct rid *
rid_new(const char *machine, uint64_t start, size_t max_ids,
        struct cnt_set *counters)
{
    struct rid *rid = g_new0(struct rid, 1);
    rid->machine = g_strdup(machine);
    rid->start = start;
    rid->max_ids = max_ids;
    rid->counters = counters;
    rid->by_seq = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                        rid_entry_free);
    rid->by_qid = g_hash_table_new(g_int64_hash, g_int64_equal);
    rid->first_seq = 1;
    return rid;
}

void
rid_free(struct rid *rid)
{
    if (rid == NULL) {
        return;
    }
    g_hash_table_destroy(rid->by_qid);
    g_hash_table_destroy(rid->by_seq);
    g_free(rid->machine);
    g_free(rid);
}

bool
rid_is_own(const struct rid *rid, const struct rid_id *id)
{
    return id->start == rid->start && strcmp(id->machine, rid->machine) == 0;
}

int
rid_issue(struct rid *rid, int64_t now_us, char **out)
{
    rid_expire(rid, now_us);
    if (g_hash_table_size(rid->by_seq) >= rid->max_ids ||
        rid->stored_bytes >= RID_MAX_STORED_BYTES) {
        cnt_add(rid->counters, "id_refused_total", rc_name(RC_QUEUE_FULL));
        return RC_QUEUE_FULL;
    }
    struct rid_entry *entry = g_new0(struct rid_entry, 1);
    entry->seq = ++rid->last_seq;
    entry->expires_us = now_us + RID_EXPIRY_US;
    g_hash_table_insert(rid->by_seq, &entry->seq, entry);
    *out = g_strdup_printf("%s.%016" PRIx64 ".%" PRIx64, rid->machine,
                           rid->start, entry->seq);
    return RC_OK;
}

static struct rid_entry *
rid_entry_get(const struct rid *rid, uint64_t seq)
{
    struct rid_entry *entry = g_hash_table_lookup(rid->by_seq, &seq);
    CH_INVARIANT(entry != NULL);
    return entry;
}

int
rid_look(const struct rid *rid, uint64_t seq, int64_t now_us,
         struct rid_outcome *out)
{
    if (seq == 0 || seq > rid->last_seq) {
        return RC_BAD_ID;
    }
    const struct rid_entry *entry = g_hash_table_lookup(rid->by_seq, &seq);
    if (entry == NULL || now_us >= entry->expires_us) {
        return RC_ID_EXPIRED;
    }
    *out = (struct rid_outcome){
        .state = entry->state,
        .rc = entry->rc,
        .body = entry->body,
        .body_bytes = entry->body_bytes,
    };
    if (entry->state == RID_NOT_RUN && entry->is_sealed) {
        /* The caller was told that the order is never run again. */
        out->state = RID_DONE;
    }
    return RC_OK;
}

void
rid_begin(struct rid *rid, uint64_t seq)
{
    struct rid_entry *entry = rid_entry_get(rid, seq);
    CH_INVARIANT(entry->state == RID_NEW || entry->state == RID_NOT_RUN);
    CH_INVARIANT(entry->qid == 0 && !entry->is_sealed);
    entry->state = RID_RUNNING;
    entry->rc = RC_OK;
}

void
rid_exec(struct rid *rid, uint64_t seq, uint64_t qid, uint32_t relay)
{
    struct rid_entry *entry = rid_entry_get(rid, seq);
    CH_INVARIANT(qid != 0);
    /* At most one EXEC is outstanding, and none after one that may have
     * run. */
    CH_INVARIANT(entry->state == RID_RUNNING && entry->qid == 0 &&
                 !entry->is_sealed);
    entry->qid = qid;
    entry->relay = relay;
    CH_INVARIANT(g_hash_table_insert(rid->by_qid, &entry->qid, entry));
}

static void
rid_forget_exec(struct rid *rid, struct rid_entry *entry)
{
    CH_INVARIANT(g_hash_table_remove(rid->by_qid, &entry->qid));
    entry->qid = 0;
    entry->relay = 0;
}

void
rid_exec_unsent(struct rid *rid, uint64_t seq, uint64_t qid)
{
    struct rid_entry *entry = rid_entry_get(rid, seq);
    CH_INVARIANT(entry->state == RID_RUNNING && entry->qid == qid);
    rid_forget_exec(rid, entry);
}

bool
rid_exec_find(const struct rid *rid, uint64_t qid, uint32_t relay,
              uint64_t *seq)
{
    const struct rid_entry *entry = g_hash_table_lookup(rid->by_qid, &qid);
    if (entry == NULL || entry->relay != relay) {
        return false;
    }
    *seq = entry->seq;
    return true;
}

void
rid_exec_not_run(struct rid *rid, uint64_t seq, uint64_t qid)
{
    rid_exec_unsent(rid, seq, qid);
}

void
rid_end_not_run(struct rid *rid, uint64_t seq, int rc)
{
    struct rid_entry *entry = rid_entry_get(rid, seq);
    CH_INVARIANT(rc_run(rc) == RC_RUN_NO);
    /* No EXEC of this id can have reached a searcher. */
    CH_INVARIANT(entry->state == RID_RUNNING && entry->qid == 0 &&
                 !entry->is_sealed);
    entry->state = RID_NOT_RUN;
    entry->rc = rc;
}

void
rid_end_unknown(struct rid *rid, uint64_t seq)
{
    struct rid_entry *entry = rid_entry_get(rid, seq);
    CH_INVARIANT(entry->state == RID_RUNNING && entry->qid != 0);
    entry->state = RID_UNKNOWN;
    entry->rc = RC_OUTCOME_UNKNOWN;
    entry->is_sealed = true;
}

void
rid_end_known(struct rid *rid, uint64_t seq, uint64_t qid, int rc,
              const void *body, size_t body_bytes)
{
    struct rid_entry *entry = rid_entry_get(rid, seq);
    CH_INVARIANT(entry->state == RID_RUNNING || entry->state == RID_UNKNOWN);
    CH_INVARIANT(entry->qid == qid && rc_run(rc) != RC_RUN_UNKNOWN);
    rid_forget_exec(rid, entry);
    entry->rc = rc;
    entry->state = rc == RC_OK ? RID_DONE : RID_NOT_RUN;
    if (rc == RC_OK && body_bytes > 0) {
        entry->body = g_memdup2(body, body_bytes);
        entry->body_bytes = body_bytes;
        rid->stored_bytes += body_bytes;
    }
}

bool
rid_is_not_run(const struct rid *rid, const struct rid_id *id, int64_t now_us)
{
    struct rid_outcome outcome;
    if (!rid_is_own(rid, id)) {
        return false;
    }
    int rc = rid_look(rid, id->seq, now_us, &outcome);
    if (rc != RC_OK) {
        return rc == RC_BAD_ID;
    }
    return outcome.state == RID_NEW || outcome.state == RID_NOT_RUN ||
           (outcome.state == RID_DONE && rc_run(outcome.rc) == RC_RUN_NO);
}

void
rid_expire(struct rid *rid, int64_t now_us)
{
    /* Ids expire in the order they were issued. */
    while (rid->first_seq <= rid->last_seq) {
        struct rid_entry *entry = rid_entry_get(rid, rid->first_seq);
        if (now_us < entry->expires_us || entry->state == RID_RUNNING) {
            return;
        }
        if (entry->qid != 0) {
            rid_forget_exec(rid, entry);
        }
        rid->stored_bytes -= entry->body_bytes;
        g_hash_table_remove(rid->by_seq, &rid->first_seq);
        rid->first_seq += 1;
    }
}

size_t
rid_count(const struct rid *rid)
{
    return g_hash_table_size(rid->by_seq);
}
