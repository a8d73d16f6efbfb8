#include <ctype.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "native/request_id.h"

#define RID_START_DIGITS 16
#define RID_SEQ_MAX_DIGITS 16

struct rid_entry {
    uint64_t seq;
    int64_t expires_us;
    enum rid_state state;
    int rc;
    void *body;
    size_t body_bytes;
};

struct rid {
    char *vm;
    uint64_t start;
    size_t max_ids;
    struct cnt_set *counters;
    GHashTable *by_seq; /* seq -> struct rid_entry */
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
rid_is_vm_name(const char *name)
{
    size_t bytes = strlen(name);
    if (bytes == 0 || bytes > RID_MAX_VM_BYTES) {
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
    size_t vm_bytes = (size_t)(start - 1 - text);
    size_t seq_digits = strlen(seq + 1);
    if (start[-1] != '.' || vm_bytes > RID_MAX_VM_BYTES || seq_digits == 0 ||
        seq_digits > RID_SEQ_MAX_DIGITS || seq[1] == '0') {
        return RC_BAD_ID;
    }
    memcpy(out->vm, text, vm_bytes);
    if (!rid_is_vm_name(out->vm) ||
        !rid_parse_hex(start, RID_START_DIGITS, &out->start) ||
        !rid_parse_hex(seq + 1, seq_digits, &out->seq)) {
        return RC_BAD_ID;
    }
    return RC_OK;
}

struct rid *
rid_new(const char *vm, uint64_t start, size_t max_ids,
        struct cnt_set *counters)
{
    struct rid *rid = g_new0(struct rid, 1);
    rid->vm = g_strdup(vm);
    rid->start = start;
    rid->max_ids = max_ids;
    rid->counters = counters;
    rid->by_seq = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                        rid_entry_free);
    rid->first_seq = 1;
    return rid;
}

void
rid_free(struct rid *rid)
{
    if (rid == NULL) {
        return;
    }
    g_hash_table_destroy(rid->by_seq);
    g_free(rid->vm);
    g_free(rid);
}

bool
rid_is_own(const struct rid *rid, const struct rid_id *id)
{
    return id->start == rid->start && strcmp(id->vm, rid->vm) == 0;
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
    *out = g_strdup_printf("%s.%016" PRIx64 ".%" PRIx64, rid->vm, rid->start,
                           entry->seq);
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
    return RC_OK;
}

void
rid_begin(struct rid *rid, uint64_t seq)
{
    struct rid_entry *entry = rid_entry_get(rid, seq);
    CH_INVARIANT(entry->state == RID_NEW || entry->state == RID_NOT_RUN);
    entry->state = RID_RUNNING;
    entry->rc = RC_OK;
}

void
rid_end(struct rid *rid, uint64_t seq, int rc, const void *body,
        size_t body_bytes)
{
    static const enum rid_state states[] = {
        [RC_RUN_NO] = RID_NOT_RUN,
        [RC_RUN_UNKNOWN] = RID_UNKNOWN,
        [RC_RUN_YES] = RID_DONE,
    };
    struct rid_entry *entry = rid_entry_get(rid, seq);
    CH_INVARIANT(entry->state == RID_RUNNING);
    entry->state = states[rc_run(rc)];
    entry->rc = entry->state == RID_UNKNOWN ? RC_OUTCOME_UNKNOWN : rc;
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
    return outcome.state == RID_NEW || outcome.state == RID_NOT_RUN;
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
