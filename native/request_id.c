#include <ctype.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "native/request_id.h"

#define REQUEST_ID_START_DIGITS 16
#define REQUEST_ID_SEQ_MAX_DIGITS 16

struct request_id_entry {
    uint64_t seq;
    int64_t expires_us;
    enum request_id_state state;
    int rc;
    void *body;
    size_t body_bytes;
};

struct request_ids {
    char *vm;
    uint64_t start;
    size_t max_ids;
    struct counter_set *counters;
    struct resource_share *share; /* NULL: not counted */
    GHashTable *by_seq;           /* seq -> struct request_id_entry */
    uint64_t oldest_seq;          /* smallest that may be in `by_seq` */
    uint64_t last_issued_seq;
};

static void
request_id_entry_free(gpointer data)
{
    struct request_id_entry *entry = data;
    g_free(entry->body);
    g_free(entry);
}

bool
request_id_is_vm_name(const char *name)
{
    size_t bytes = strlen(name);
    if (bytes == 0 || bytes > REQUEST_ID_VM_MAX_BYTES) {
        return false;
    }
    for (size_t i = 0; i < bytes; i++) {
        if (!g_ascii_isalnum(name[i]) && strchr("-_.", name[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* Parses `digits` lower-case hexadecimal digits. */
static bool
request_id_parse_hex(const char *text, size_t digits, uint64_t *out)
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
request_id_parse(const char *text, struct request_id *out)
{
    *out = (struct request_id){.seq = 0};
    const char *seq = strrchr(text, '.');
    if (seq == NULL || seq - text < REQUEST_ID_START_DIGITS + 2) {
        return RC_BAD_ID;
    }
    const char *start = seq - REQUEST_ID_START_DIGITS;
    size_t vm_bytes = (size_t)(start - 1 - text);
    size_t seq_digits = strlen(seq + 1);
    if (start[-1] != '.' || vm_bytes > REQUEST_ID_VM_MAX_BYTES ||
        seq_digits == 0 || seq_digits > REQUEST_ID_SEQ_MAX_DIGITS ||
        seq[1] == '0') {
        return RC_BAD_ID;
    }
    memcpy(out->vm, text, vm_bytes);
    if (!request_id_is_vm_name(out->vm) ||
        !request_id_parse_hex(start, REQUEST_ID_START_DIGITS, &out->start) ||
        !request_id_parse_hex(seq + 1, seq_digits, &out->seq)) {
        return RC_BAD_ID;
    }
    return RC_OK;
}

struct request_ids *
request_id_new(const char *vm, uint64_t start, size_t max_ids,
               struct counter_set *counters)
{
    struct request_ids *ids = g_new0(struct request_ids, 1);
    ids->vm = g_strdup(vm);
    ids->start = start;
    ids->max_ids = max_ids;
    ids->counters = counters;
    ids->by_seq = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                        request_id_entry_free);
    ids->oldest_seq = 1;
    return ids;
}

void
request_id_set_share(struct request_ids *ids, struct resource_share *share)
{
    ids->share = share;
}

void
request_id_free(struct request_ids *ids)
{
    if (ids == NULL) {
        return;
    }
    g_hash_table_destroy(ids->by_seq);
    g_free(ids->vm);
    g_free(ids);
}

bool
request_id_is_own(const struct request_ids *ids, const struct request_id *id)
{
    return id->start == ids->start && strcmp(id->vm, ids->vm) == 0;
}

int
request_id_issue(struct request_ids *ids, int64_t now_us, char **out)
{
    request_id_expire(ids, now_us);
    if (g_hash_table_size(ids->by_seq) >= ids->max_ids ||
        !resource_reserve(ids->share, REQUEST_ID_ENTRY_BYTES)) {
        counter_add(ids->counters, "id_refused_total", rc_name(RC_QUEUE_FULL));
        return RC_QUEUE_FULL;
    }
    struct request_id_entry *entry = g_new0(struct request_id_entry, 1);
    entry->seq = ++ids->last_issued_seq;
    entry->expires_us = now_us + REQUEST_ID_EXPIRY_US;
    g_hash_table_insert(ids->by_seq, &entry->seq, entry);
    *out = g_strdup_printf("%s.%016" PRIx64 ".%" PRIx64, ids->vm, ids->start,
                           entry->seq);
    return RC_OK;
}

static struct request_id_entry *
request_id_entry_get(const struct request_ids *ids, uint64_t seq)
{
    struct request_id_entry *entry = g_hash_table_lookup(ids->by_seq, &seq);
    CH_INVARIANT(entry != NULL);
    return entry;
}

int
request_id_lookup(const struct request_ids *ids, uint64_t seq, int64_t now_us,
                  struct request_id_outcome *out)
{
    if (seq == 0 || seq > ids->last_issued_seq) {
        return RC_BAD_ID;
    }
    const struct request_id_entry *entry =
        g_hash_table_lookup(ids->by_seq, &seq);
    if (entry == NULL || now_us >= entry->expires_us) {
        return RC_ID_EXPIRED;
    }
    *out = (struct request_id_outcome){
        .state = entry->state,
        .rc = entry->rc,
        .body = entry->body,
        .body_bytes = entry->body_bytes,
    };
    return RC_OK;
}

void
request_id_start_run(struct request_ids *ids, uint64_t seq)
{
    struct request_id_entry *entry = request_id_entry_get(ids, seq);
    CH_INVARIANT(entry->state == REQUEST_ID_NEW ||
                 entry->state == REQUEST_ID_NOT_RUN);
    entry->state = REQUEST_ID_RUNNING;
    entry->rc = RC_OK;
}

int
request_id_end_run(struct request_ids *ids, uint64_t seq, int rc,
                   const void *body, size_t body_bytes)
{
    static const enum request_id_state states[] = {
        [RC_EXECUTED_NO] = REQUEST_ID_NOT_RUN,
        [RC_EXECUTED_UNKNOWN] = REQUEST_ID_UNKNOWN,
        [RC_EXECUTED_YES] = REQUEST_ID_DONE,
    };
    struct request_id_entry *entry = request_id_entry_get(ids, seq);
    CH_INVARIANT(entry->state == REQUEST_ID_RUNNING);
    bool has_body = rc == RC_OK && body_bytes > 0;
    if (has_body && !resource_reserve(ids->share, body_bytes)) {
        counter_add(ids->counters, "outcome_dropped_total", NULL);
        rc = RC_REPLY_NO_ROOM;
        has_body = false;
    }
    entry->state = states[rc_executed(rc)];
    entry->rc = entry->state == REQUEST_ID_UNKNOWN ? RC_OUTCOME_UNKNOWN : rc;
    if (has_body) {
        entry->body = g_memdup2(body, body_bytes);
        entry->body_bytes = body_bytes;
    }
    return rc == RC_REPLY_NO_ROOM ? rc : RC_OK;
}

bool
request_id_has_not_run(const struct request_ids *ids,
                       const struct request_id *id, int64_t now_us)
{
    struct request_id_outcome outcome;
    if (!request_id_is_own(ids, id)) {
        return false;
    }
    int rc = request_id_lookup(ids, id->seq, now_us, &outcome);
    if (rc != RC_OK) {
        return rc == RC_BAD_ID;
    }
    return outcome.state == REQUEST_ID_NEW ||
           outcome.state == REQUEST_ID_NOT_RUN;
}

void
request_id_expire(struct request_ids *ids, int64_t now_us)
{
    /* All ids have the same lifetime and so expire in the order of issue. */
    while (ids->oldest_seq <= ids->last_issued_seq) {
        struct request_id_entry *entry =
            request_id_entry_get(ids, ids->oldest_seq);
        if (now_us < entry->expires_us || entry->state == REQUEST_ID_RUNNING) {
            return;
        }
        resource_release(ids->share,
                         REQUEST_ID_ENTRY_BYTES + entry->body_bytes);
        g_hash_table_remove(ids->by_seq, &ids->oldest_seq);
        ids->oldest_seq += 1;
    }
}

size_t
request_id_count(const struct request_ids *ids)
{
    return g_hash_table_size(ids->by_seq);
}
