#include "common/invariant.h"
#include "common/rc.h"
#include "entry/gather_query.h"

/* Parts of one QUERY message while it is built. */
struct gth_batch {
    uint32_t relay;
    GArray *parts;   /* of struct msg_part */
    GArray *indexes; /* of size_t */
};

static void
gth_batch_free(gpointer data)
{
    struct gth_batch *batch = data;
    g_array_free(batch->parts, TRUE);
    g_array_free(batch->indexes, TRUE);
    g_free(batch);
}

static void
gth_batch_add(GHashTable *batches, const struct pln_holder *holder,
              const struct gth_part *part, size_t index)
{
    gpointer key = GUINT_TO_POINTER(holder->relay);
    struct gth_batch *batch = g_hash_table_lookup(batches, key);
    if (batch == NULL) {
        batch = g_new0(struct gth_batch, 1);
        batch->relay = holder->relay;
        batch->parts = g_array_new(FALSE, FALSE, sizeof(struct msg_part));
        batch->indexes = g_array_new(FALSE, FALSE, sizeof(size_t));
        g_hash_table_insert(batches, key, batch);
    }
    struct msg_part asked = {
        .instance = holder->instance,
        .shard = part->shard,
    };
    g_array_append_val(batch->parts, asked);
    g_array_append_val(batch->indexes, index);
}

static void
gth_batch_send(struct gth *gth, struct gth_query *query,
               const struct gth_batch *batch, int64_t now_us)
{
    uint64_t qid = gth->callbacks.next_qid(gth->callbacks.ctx);
    struct msg_query message = {
        .qid = qid,
        .service = query->service,
        .version = query->version,
        .budget_us = gth_relay_budget(query->deadline_us - now_us),
        .limit = query->limit,
        .query = query->text,
        .parts = (struct msg_part *)batch->parts->data,
        .part_count = batch->parts->len,
    };
    int rc = gth->callbacks.send(gth->callbacks.ctx, batch->relay, &message);
    for (guint i = 0; i < batch->indexes->len; i++) {
        size_t index = g_array_index(batch->indexes, size_t, i);
        struct gth_part *part = &query->parts[index];
        CH_INVARIANT(part->state == GTH_PENDING);
        part->turn += 1;
        if (rc != RC_OK) {
            part->rc = rc;
            continue;
        }
        part->state = GTH_SENT;
        part->qid = qid;
    }
    if (rc != RC_OK) {
        cnt_add(gth->counters, "query_unsent_total", rc_name(rc));
        return;
    }
    struct gth_sent *sent = g_new0(struct gth_sent, 1);
    sent->qid = qid;
    sent->relay = batch->relay;
    sent->query = query;
    sent->indexes =
        g_memdup2(batch->indexes->data, batch->indexes->len * sizeof(size_t));
    sent->index_count = batch->indexes->len;
    g_hash_table_insert(gth->sent, &sent->qid, sent);
}

void
gth_dispatch(struct gth *gth, struct gth_query *query, int64_t now_us)
{
    const struct pln_layout *layout = pln_layout_find(
        pln_layouts(gth->plan, query->service), query->version, query->shards);
    GHashTable *batches = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                                NULL, gth_batch_free);
    query->unrouted_count = 0;
    for (size_t i = 0; i < query->part_count; i++) {
        struct gth_part *part = &query->parts[i];
        if (part->state != GTH_PENDING) {
            continue;
        }
        const struct pln_holder *holder =
            pln_holder_pick(layout, part->shard, query->version + part->turn);
        if (holder == NULL) {
            query->unrouted_count += 1;
            continue;
        }
        gth_batch_add(batches, holder, part, i);
    }
    GHashTableIter iter;
    gpointer batch = NULL;
    g_hash_table_iter_init(&iter, batches);
    while (g_hash_table_iter_next(&iter, NULL, &batch)) {
        gth_batch_send(gth, query, batch, now_us);
    }
    g_hash_table_destroy(batches);
    query->retry_us = 0;
    for (size_t i = 0; i < query->part_count && query->retry_us == 0; i++) {
        if (query->parts[i].state == GTH_PENDING) {
            query->retry_us = now_us + GTH_RETRY_US;
        }
    }
}
