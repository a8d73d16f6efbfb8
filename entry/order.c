#include <glib.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "entry/gather.h"
#include "entry/order.h"
#include "entry/snapshot.h"

struct ord_waiter {
    struct ord_run *run;
    int64_t deadline_us;
    void *ctx;
};

struct ord_run {
    uint64_t seq;
    struct run_order order;
    int last_rc;           /* why the last try did not run, RC_OK for none */
    uint64_t gone_version; /* a searcher said that it is gone, 0 for none */
    uint64_t version;      /* of the last EXEC */
    uint64_t tries;
    uint64_t qid;       /* outstanding EXEC, 0 for none */
    uint32_t relay;     /* that got it */
    int64_t retry_us;   /* next try when no EXEC is outstanding */
    GPtrArray *waiters; /* of struct ord_waiter */
};

struct ord {
    struct rid *rid;
    struct pln *plan;
    struct cnt_set *counters;
    struct ord_callbacks callbacks;
    GHashTable *runs; /* seq -> struct ord_run */
};

static void
ord_run_free(gpointer data)
{
    struct ord_run *run = data;
    run_order_clear(&run->order);
    g_ptr_array_free(run->waiters, TRUE);
    g_free(run);
}

struct ord *
ord_new(struct rid *rid, struct pln *plan, struct cnt_set *counters,
        const struct ord_callbacks *callbacks)
{
    struct ord *ord = g_new0(struct ord, 1);
    ord->rid = rid;
    ord->plan = plan;
    ord->counters = counters;
    ord->callbacks = *callbacks;
    ord->runs = run_table_new(ord_run_free);
    return ord;
}

void
ord_free(struct ord *ord)
{
    if (ord == NULL) {
        return;
    }
    g_hash_table_destroy(ord->runs);
    g_free(ord);
}

size_t
ord_running(const struct ord *ord)
{
    return g_hash_table_size(ord->runs);
}

static void
ord_count_outcome(struct ord *ord, int rc)
{
    cnt_add(ord->counters, "order_outcome_total", rc_name(rc));
}

/* Tells the stored outcome to all who wait and forgets the run. */
static void
ord_finish(struct ord *ord, struct ord_run *run, int64_t now_us)
{
    struct rid_outcome outcome = {.rc = RC_OUTCOME_UNKNOWN};
    int rc = rid_look(ord->rid, run->seq, now_us, &outcome);
    if (rc == RC_OK) {
        CH_INVARIANT(outcome.state != RID_RUNNING && outcome.state != RID_NEW);
        rc = outcome.rc;
    }
    ord_count_outcome(ord, rc);
    for (guint i = 0; i < run->waiters->len; i++) {
        const struct ord_waiter *waiter = g_ptr_array_index(run->waiters, i);
        ord->callbacks.finish(ord->callbacks.ctx, waiter->ctx, rc,
                              outcome.body, outcome.body_bytes);
    }
    g_hash_table_remove(ord->runs, &run->seq);
}

static void
ord_plan_retry(struct ord *ord, struct ord_run *run, int rc, int64_t now_us)
{
    CH_INVARIANT(rc_run(rc) == RC_RUN_NO && run->qid == 0);
    run->last_rc = rc;
    run->retry_us = now_us + ORD_RETRY_US;
    cnt_add(ord->counters, "order_retry_total", rc_name(rc));
}

static const struct pln_holder *
ord_route(struct ord *ord, const struct ord_run *run, uint64_t *version,
          uint64_t *shard)
{
    const struct pln_layout *layout = snp_pick(
        pln_layouts(ord->plan, run->order.service), run->gone_version);
    if (layout == NULL) {
        return NULL;
    }
    *version = layout->version;
    *shard = snp_key_shard(run->order.key, layout->shards);
    return pln_holder_pick(layout, *shard, run->tries);
}

/* Sends one EXEC, or plans the next try when that is impossible. */
static void
ord_try(struct ord *ord, struct ord_run *run, int64_t now_us)
{
    CH_INVARIANT(run->qid == 0);
    uint64_t version = 0;
    uint64_t shard = 0;
    const struct pln_holder *holder = ord_route(ord, run, &version, &shard);
    if (holder == NULL) {
        int rc = run->gone_version != 0 ? RC_VERSION_GONE : RC_NO_RELAY;
        ord_plan_retry(ord, run, rc, now_us);
        return;
    }
    struct msg_exec exec = {
        .qid = ord->callbacks.next_qid(ord->callbacks.ctx),
        .id = run->order.id,
        .service = run->order.service,
        .instance = holder->instance,
        .shard = shard,
        .version = version,
        .budget_us = gth_relay_budget(run->order.deadline_us - now_us),
        .body = {.data = run->order.body, .bytes = run->order.body_bytes},
    };
    run->tries += 1;
    run->qid = exec.qid;
    run->relay = holder->relay;
    run->version = version;
    rid_exec(ord->rid, run->seq, exec.qid, holder->relay);
    int rc = ord->callbacks.send(ord->callbacks.ctx, holder->relay, &exec);
    if (rc != RC_OK) {
        rid_exec_unsent(ord->rid, run->seq, exec.qid);
        run->qid = 0;
        ord_plan_retry(ord, run, rc, now_us);
    }
}

static struct ord_waiter *
ord_add_waiter(struct ord_run *run, int64_t deadline_us, void *ctx)
{
    struct ord_waiter *waiter = g_new0(struct ord_waiter, 1);
    waiter->run = run;
    waiter->deadline_us = deadline_us;
    waiter->ctx = ctx;
    g_ptr_array_add(run->waiters, waiter);
    return waiter;
}

static struct ord_run *
ord_run_new(struct ord *ord, const struct ord_request *request)
{
    struct ord_run *run = g_new0(struct ord_run, 1);
    run->seq = request->seq;
    run->order = run_order_copy(&request->order);
    run->waiters = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_insert(ord->runs, &run->seq, run);
    return run;
}

struct ord_waiter *
ord_submit(struct ord *ord, const struct ord_request *request,
           void *waiter_ctx, int64_t now_us)
{
    struct rid_outcome outcome = {.rc = RC_OK};
    int rc = rid_look(ord->rid, request->seq, now_us, &outcome);
    if (rc != RC_OK) {
        cnt_add(ord->counters, "refused_total", rc_name(rc));
        ord->callbacks.finish(ord->callbacks.ctx, waiter_ctx, rc, NULL, 0);
        return NULL;
    }
    if (outcome.state == RID_UNKNOWN || outcome.state == RID_DONE) {
        cnt_add(ord->counters, "order_repeat_total", "stored");
        ord->callbacks.finish(ord->callbacks.ctx, waiter_ctx, outcome.rc,
                              outcome.body, outcome.body_bytes);
        return NULL;
    }
    struct ord_run *run = g_hash_table_lookup(ord->runs, &request->seq);
    CH_INVARIANT((run != NULL) == (outcome.state == RID_RUNNING));
    if (run != NULL) {
        cnt_add(ord->counters, "order_repeat_total", "running");
        return ord_add_waiter(run, request->order.deadline_us, waiter_ctx);
    }
    cnt_add(ord->counters, "order_total", NULL);
    rid_begin(ord->rid, request->seq);
    run = ord_run_new(ord, request);
    struct ord_waiter *waiter =
        ord_add_waiter(run, request->order.deadline_us, waiter_ctx);
    if (now_us >= run->order.deadline_us) {
        rid_end_not_run(ord->rid, run->seq, RC_TOO_LATE);
        ord_finish(ord, run, now_us);
        return NULL;
    }
    ord_try(ord, run, now_us);
    return waiter;
}

void
ord_abandon(struct ord *ord, struct ord_waiter *waiter)
{
    cnt_add(ord->counters, "order_abandoned_total", NULL);
    CH_INVARIANT(g_ptr_array_remove(waiter->run->waiters, waiter));
}

/* Codes after which the order is sent again: another relay or another version
 * may take it. The relay itself retries nothing that concerns orders. */
static bool
ord_is_retried(int rc)
{
    return rc == RC_NOT_HOLDER || rc == RC_STOPPING || rc == RC_VERSION_GONE;
}

/* A reply after "unknown" was stored: it can only improve the outcome. */
static void
ord_upgrade(struct ord *ord, uint64_t seq, const struct msg_exec_reply *reply,
            int rc)
{
    if (rc_run(rc) == RC_RUN_UNKNOWN) {
        cnt_add(ord->counters, "exec_reply_dropped_total", "still_unknown");
        return;
    }
    cnt_add(ord->counters, "order_upgraded_total", rc_name(rc));
    rid_end_known(ord->rid, seq, reply->qid, rc, reply->body.data,
                  reply->body.bytes);
}

void
ord_reply(struct ord *ord, uint32_t relay, const struct msg_exec_reply *reply,
          int64_t now_us)
{
    uint64_t seq = 0;
    if (!rid_exec_find(ord->rid, reply->qid, relay, &seq)) {
        cnt_add(ord->counters, "exec_reply_dropped_total", "unknown_qid");
        return;
    }
    int rc =
        reply->rc < INT32_MIN || reply->rc > 0 ? RC_BAD_REPLY : (int)reply->rc;
    struct ord_run *run = g_hash_table_lookup(ord->runs, &seq);
    if (run == NULL) {
        ord_upgrade(ord, seq, reply, rc);
        return;
    }
    CH_INVARIANT(run->qid == reply->qid);
    if (rc_run(rc) == RC_RUN_UNKNOWN) {
        cnt_add(ord->counters, "order_unknown_total", rc_name(rc));
        rid_end_unknown(ord->rid, seq);
    }
    else if (ord_is_retried(rc) && now_us < run->order.deadline_us) {
        rid_exec_not_run(ord->rid, seq, reply->qid);
        run->qid = 0;
        run->gone_version = rc == RC_VERSION_GONE ? run->version : 0;
        ord_plan_retry(ord, run, rc, now_us);
        return;
    }
    else {
        rid_end_known(ord->rid, seq, reply->qid, rc, reply->body.data,
                      reply->body.bytes);
    }
    ord_finish(ord, run, now_us);
}

void
ord_relay_lost(struct ord *ord, uint32_t relay, int64_t now_us)
{
    GPtrArray *runs = run_table_values(ord->runs);
    for (guint i = 0; i < runs->len; i++) {
        struct ord_run *run = g_ptr_array_index(runs, i);
        if (run->qid != 0 && run->relay == relay) {
            cnt_add(ord->counters, "order_unknown_total",
                    rc_name(RC_RELAY_LOST));
            rid_end_unknown(ord->rid, run->seq);
            ord_finish(ord, run, now_us);
        }
    }
    g_ptr_array_free(runs, TRUE);
}

void
ord_map_changed(struct ord *ord, int64_t now_us)
{
    GPtrArray *runs = run_table_values(ord->runs);
    for (guint i = 0; i < runs->len; i++) {
        struct ord_run *run = g_ptr_array_index(runs, i);
        if (run->qid == 0 && now_us < run->order.deadline_us) {
            ord_try(ord, run, now_us);
        }
    }
    g_ptr_array_free(runs, TRUE);
}

/* The deadline has passed. */
static void
ord_end(struct ord *ord, struct ord_run *run, int64_t now_us)
{
    if (run->qid != 0) {
        cnt_add(ord->counters, "order_unknown_total", rc_name(RC_DEADLINE));
        rid_end_unknown(ord->rid, run->seq);
    }
    else {
        CH_INVARIANT(run->last_rc != RC_OK);
        rid_end_not_run(ord->rid, run->seq, run->last_rc);
    }
    ord_finish(ord, run, now_us);
}

/* Repeats that cannot wait as long as the run are told that it goes on. */
static void
ord_expire_waiters(struct ord *ord, struct ord_run *run, int64_t now_us)
{
    guint i = 0;
    while (i < run->waiters->len) {
        const struct ord_waiter *waiter = g_ptr_array_index(run->waiters, i);
        if (now_us < waiter->deadline_us) {
            i += 1;
            continue;
        }
        cnt_add(ord->counters, "order_repeat_total", rc_name(RC_RUNNING));
        ord->callbacks.finish(ord->callbacks.ctx, waiter->ctx, RC_RUNNING,
                              NULL, 0);
        g_ptr_array_remove_index(run->waiters, i);
    }
}

void
ord_tick(struct ord *ord, int64_t now_us)
{
    GPtrArray *runs = run_table_values(ord->runs);
    for (guint i = 0; i < runs->len; i++) {
        struct ord_run *run = g_ptr_array_index(runs, i);
        if (now_us >= run->order.deadline_us) {
            ord_end(ord, run, now_us);
            continue;
        }
        ord_expire_waiters(ord, run, now_us);
        if (run->qid == 0 && now_us >= run->retry_us) {
            ord_try(ord, run, now_us);
        }
    }
    g_ptr_array_free(runs, TRUE);
}

int64_t
ord_next_due(const struct ord *ord)
{
    int64_t due_us = INT64_MAX;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, ord->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ord_run *run = value;
        due_us = MIN(due_us, run->order.deadline_us);
        if (run->qid == 0) {
            due_us = MIN(due_us, run->retry_us);
        }
        for (guint i = 0; i < run->waiters->len; i++) {
            const struct ord_waiter *waiter =
                g_ptr_array_index(run->waiters, i);
            due_us = MIN(due_us, waiter->deadline_us);
        }
    }
    return due_us;
}
