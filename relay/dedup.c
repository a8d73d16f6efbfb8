#include <stdbool.h>

#include "relay/dedup.h"
#include "common/invariant.h"
#include "common/rc.h"

struct ddp_entry {
    char *id;
    int64_t taken_us;
    bool is_running;
    GList *age; /* its place in by_age */
};

static void
ddp_entry_free(gpointer data)
{
    struct ddp_entry *entry = data;
    g_free(entry->id);
    g_free(entry);
}

void
ddp_init(struct ddp *dedup, uint32_t max, int64_t keep_us)
{
    *dedup = (struct ddp){
        .by_id = g_hash_table_new(g_str_hash, g_str_equal),
        .by_age = g_queue_new(),
        .max = max,
        .keep_us = keep_us,
    };
}

void
ddp_clear(struct ddp *dedup)
{
    g_hash_table_destroy(dedup->by_id);
    g_queue_free_full(dedup->by_age, ddp_entry_free);
}

static void
ddp_expire(struct ddp *dedup, int64_t now_us)
{
    struct ddp_entry *entry = g_queue_peek_head(dedup->by_age);
    while (entry != NULL && !entry->is_running &&
           now_us - entry->taken_us > dedup->keep_us) {
        g_hash_table_remove(dedup->by_id, entry->id);
        ddp_entry_free(g_queue_pop_head(dedup->by_age));
        entry = g_queue_peek_head(dedup->by_age);
    }
}

int
ddp_begin(struct ddp *dedup, const char *id, int64_t now_us)
{
    ddp_expire(dedup, now_us);
    const struct ddp_entry *seen = g_hash_table_lookup(dedup->by_id, id);
    if (seen != NULL) {
        return seen->is_running ? RC_RUNNING : RC_OUTCOME_UNKNOWN;
    }
    if (g_hash_table_size(dedup->by_id) >= dedup->max) {
        return RC_QUEUE_FULL;
    }
    struct ddp_entry *entry = g_new0(struct ddp_entry, 1);
    entry->id = g_strdup(id);
    entry->taken_us = now_us;
    entry->is_running = true;
    g_hash_table_insert(dedup->by_id, entry->id, entry);
    g_queue_push_tail(dedup->by_age, entry);
    entry->age = g_queue_peek_tail_link(dedup->by_age);
    return RC_OK;
}

void
ddp_end(struct ddp *dedup, const char *id)
{
    struct ddp_entry *entry = g_hash_table_lookup(dedup->by_id, id);
    CH_INVARIANT(entry != NULL && entry->is_running);
    entry->is_running = false;
}

void
ddp_forget(struct ddp *dedup, const char *id)
{
    struct ddp_entry *entry = g_hash_table_lookup(dedup->by_id, id);
    CH_INVARIANT(entry != NULL && entry->is_running);
    g_hash_table_remove(dedup->by_id, id);
    g_queue_delete_link(dedup->by_age, entry->age);
    ddp_entry_free(entry);
}
