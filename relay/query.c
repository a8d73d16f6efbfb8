#include <string.h>
#include <xxhash.h>

#include "relay/query.h"
#include "relay/relay.h"
#include "common/invariant.h"
#include "common/rc.h"

/* Time for the way back to the entry (1.5 ms between zones) and its merge. */
#define QRY_RETURN_MARGIN_US 3000
#define QRY_RETURN_DIVISOR 4

guint
qry_key_hash(gconstpointer key)
{
    const struct qry_key *query = key;
    return (guint)XXH64(query->peer.id, query->peer.id_bytes, query->qid);
}

gboolean
qry_key_equal(gconstpointer a, gconstpointer b)
{
    const struct qry_key *left = a;
    const struct qry_key *right = b;
    return left->qid == right->qid &&
           left->peer.id_bytes == right->peer.id_bytes &&
           memcmp(left->peer.id, right->peer.id, left->peer.id_bytes) == 0;
}

int64_t
qry_time_us(int64_t budget_us)
{
    return budget_us -
           MIN(QRY_RETURN_MARGIN_US, budget_us / QRY_RETURN_DIVISOR);
}

static void
qry_free(struct qry *query)
{
    g_hash_table_remove(query->rly->queries, &query->key);
    g_free(query->text);
    g_free(query->jobs);
    g_array_free(query->done, TRUE);
    g_array_free(query->missing, TRUE);
    mrg_clear(&query->merge);
    g_free(query);
}

static void
qry_reply(struct qry *query)
{
    mrg_finish(&query->merge);
    const struct msg_reply reply = {
        .qid = query->key.qid,
        .version = query->version,
        .done = (struct msg_shard *)query->done->data,
        .done_count = query->done->len,
        .missing = (struct msg_missing *)query->missing->data,
        .missing_count = query->missing->len,
        .hits = (struct msg_hit *)query->merge.hits->data,
        .hit_count = query->merge.hits->len,
        .relay_start = query->rly->start,
        .offer_seq = query->rly->offer_seq,
    };
    CH_INVARIANT(reply.done_count + reply.missing_count == query->job_count);
    const struct rly *rly = query->rly;
    cnt_add(rly->counters, "replies_total",
            reply.missing_count == 0 ? "complete" : "partial");
    rly->calls->send_entry(&query->key.peer, MSG_REPLY, &reply, rly->ctx);
}

/* Gives up one claim on the query; the last one replies and frees it. */
static void
qry_close_one(struct qry *query)
{
    CH_INVARIANT(query->open_count > 0);
    query->open_count -= 1;
    if (query->open_count == 0) {
        qry_reply(query);
        qry_free(query);
    }
}

static void
qry_on_settled(struct job *job, int rc, const struct dsp_answer *answer,
               int64_t now_us)
{
    struct qry *query = job->ctx;
    if (rc == RC_OK) {
        /* One version per reply. */
        CH_INVARIANT(answer->version == query->version);
        struct msg_shard done = {.shard = job->shard};
        g_array_append_val(query->done, done);
        mrg_add(&query->merge, answer->hits, answer->hit_count);
    }
    else {
        struct msg_missing missing = {.shard = job->shard, .rc = rc};
        g_array_append_val(query->missing, missing);
        rly_count_refusal(query->rly, rc);
    }
    qry_close_one(query);
}

static struct qry *
qry_new(struct rly *rly, const struct qry_key *key,
        const struct msg_query *asked, int64_t deadline_us)
{
    struct qry *query = g_new0(struct qry, 1);
    query->key = *key;
    query->rly = rly;
    query->version = asked->version;
    query->text = g_strdup(asked->query);
    query->deadline_us = deadline_us;
    query->job_count = (uint32_t)asked->part_count;
    query->jobs = g_new0(struct job, asked->part_count);
    query->done = g_array_new(FALSE, FALSE, sizeof(struct msg_shard));
    query->missing = g_array_new(FALSE, FALSE, sizeof(struct msg_missing));
    mrg_init(&query->merge, (uint32_t)CLAMP(asked->limit, 1, QRY_LIMIT_MAX));
    return query;
}

static void
qry_submit(struct qry *query, const struct msg_query *asked, int refused,
           int64_t now_us)
{
    for (uint32_t i = 0; i < query->job_count; i++) {
        struct job *job = &query->jobs[i];
        *job = (struct job){
            .item = {.deadline_us = query->deadline_us},
            .ins =
                rly_find(query->rly, asked->service, asked->parts[i].instance),
            .version = query->version,
            .shard = asked->parts[i].shard,
            .budget_us = query->deadline_us - now_us,
            .text = query->text,
            .limit = query->merge.limit,
            .settled = qry_on_settled,
            .ctx = query,
        };
        if (refused != RC_OK) {
            dsp_abort(job, refused, now_us);
        }
        else {
            dsp_submit(job, now_us);
        }
    }
}

/* Starts what was just queued. The message outlives the query. */
static void
qry_pump(const struct rly *rly, const struct msg_query *asked, int64_t now_us)
{
    for (size_t i = 0; i < asked->part_count; i++) {
        struct ins *ins =
            rly_find(rly, asked->service, asked->parts[i].instance);
        if (ins != NULL && que_length(&ins->queue) > 0) {
            dsp_pump(ins, now_us);
        }
    }
}

void
qry_start(struct rly *rly, const struct zsk_peer *peer,
          const struct msg_query *asked, int64_t now_us)
{
    struct qry_key key = {.peer = *peer, .qid = asked->qid};
    if (g_hash_table_contains(rly->queries, &key)) {
        cnt_add(rly->counters, "messages_dropped_total", "duplicate_qid");
        return;
    }
    const struct cfg_service *service =
        rly->cfg != NULL ? cfg_service_find(rly->cfg, asked->service) : NULL;
    int refused = RC_OK;
    int64_t budget_us = asked->budget_us;
    if (rly->cfg == NULL) {
        refused = RC_NOT_READY;
    }
    else if (service == NULL) {
        refused = RC_NO_SERVICE;
    }
    else if (budget_us <= 0) {
        refused = RC_TOO_LATE;
    }
    else {
        /* A successor counts on this limit when it waits after a takeover. */
        budget_us = MIN(budget_us, service->deadline_max_ms * 1000);
    }
    struct qry *query =
        qry_new(rly, &key, asked, now_us + qry_time_us(budget_us));
    g_hash_table_insert(rly->queries, &query->key, query);
    *cnt_get(rly->counters, "parts_total", NULL) += asked->part_count;
    query->open_count = query->job_count + 1;
    qry_submit(query, asked, refused, now_us);
    qry_close_one(query);
    qry_pump(rly, asked, now_us);
}

void
qry_expire(struct qry *query, int64_t now_us)
{
    query->open_count += 1;
    for (uint32_t i = 0; i < query->job_count; i++) {
        struct job *job = &query->jobs[i];
        if (!job->is_settled) {
            dsp_expire(job, now_us);
        }
    }
    qry_close_one(query);
}

void
qry_cancel(struct qry *query, int64_t now_us)
{
    query->open_count += 1;
    for (uint32_t i = 0; i < query->job_count; i++) {
        dsp_abort(&query->jobs[i], RC_CANCELLED, now_us);
    }
    CH_INVARIANT(query->open_count == 1);
    qry_free(query);
}
