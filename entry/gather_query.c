#include "entry/gather_query.h"
#include "entry/snapshot.h"
#include "common/rc.h"

void
gth_sent_free(gpointer data)
{
    struct gth_sent *sent = data;
    g_free(sent->indexes);
    g_free(sent);
}

static void
gth_hit_clear(gpointer data)
{
    struct gth_hit *hit = data;
    g_free(hit->id);
}

struct gth_query *
gth_query_new(const struct gth_request *request, uint64_t serial,
              int64_t now_us)
{
    struct gth_query *query = g_new0(struct gth_query, 1);
    query->serial = serial;
    query->service = g_strdup(request->service);
    query->text = g_strdup(request->query);
    query->key = g_strdup(request->key);
    query->limit = request->limit;
    query->started_us = now_us;
    query->deadline_us = request->deadline_us;
    query->ctx = request->ctx;
    query->hits = g_array_new(FALSE, FALSE, sizeof(struct gth_hit));
    g_array_set_clear_func(query->hits, gth_hit_clear);
    return query;
}

void
gth_query_free(gpointer data)
{
    struct gth_query *query = data;
    g_free(query->service);
    g_free(query->text);
    g_free(query->key);
    g_free(query->parts);
    g_array_free(query->hits, TRUE);
    g_free(query);
}

struct gth_part *
gth_part_find(struct gth_query *query, uint64_t shard)
{
    if (query->key != NULL) {
        bool is_it = query->part_count == 1 && query->parts[0].shard == shard;
        return is_it ? &query->parts[0] : NULL;
    }
    return shard < query->part_count ? &query->parts[shard] : NULL;
}

void
gth_cancel_sent(struct gth *gth, struct gth_query *query)
{
    for (size_t i = 0; i < query->part_count; i++) {
        const struct gth_part *part = &query->parts[i];
        if (part->state != GTH_SENT) {
            continue;
        }
        const struct gth_sent *sent =
            g_hash_table_lookup(gth->sent, &part->qid);
        if (sent != NULL) {
            uint64_t qid = sent->qid;
            gth->callbacks.cancel(gth->callbacks.ctx, sent->relay, qid);
            g_hash_table_remove(gth->sent, &qid);
        }
    }
}

void
gth_pin(struct gth_query *query, const struct pln_layout *layout)
{
    query->version = layout->version;
    query->shards = layout->shards;
    query->part_count = query->key != NULL ? 1 : layout->shards;
    g_free(query->parts);
    query->parts = g_new0(struct gth_part, query->part_count);
    for (size_t i = 0; i < query->part_count; i++) {
        query->parts[i].shard = i;
        query->parts[i].rc = RC_NO_RELAY;
    }
    if (query->key != NULL) {
        query->parts[0].shard = snp_key_shard(query->key, layout->shards);
    }
    query->done_count = 0;
    query->failed_count = 0;
    query->gone_count = 0;
    query->unrouted_count = 0;
    g_array_set_size(query->hits, 0);
}
