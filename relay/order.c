#include <string.h>

#include "relay/order.h"
#include "relay/relay.h"
#include "common/invariant.h"
#include "common/rc.h"

static void
exe_reply(const struct rly *rly, const struct qry_key *key, int rc,
          const struct dsp_answer *answer)
{
    const struct msg_exec_reply reply = {
        .qid = key->qid,
        .rc = rc,
        .body = {.data = answer != NULL ? answer->result : "",
                 .bytes = answer != NULL ? answer->result_bytes : 0},
        .relay_start = rly->start,
        .offer_seq = rly->offer_seq,
    };
    cnt_add(rly->counters, "orders_total", rc_name(rc));
    rly->calls->send_entry(&key->peer, MSG_EXEC_REPLY, &reply, rly->ctx);
}

static void
exe_on_settled(struct job *job, int rc, const struct dsp_answer *answer,
               int64_t now_us)
{
    struct exe *order = job->ctx;
    struct rly *rly = order->rly;
    if (rc_run(rc) == RC_RUN_NO) {
        CH_INVARIANT(!job->may_have_run);
        ddp_forget(&rly->dedup, order->id);
    }
    else {
        ddp_end(&rly->dedup, order->id);
    }
    exe_reply(rly, &order->key, rc, answer);
    g_hash_table_remove(rly->orders, &order->key);
    g_free(order->id);
    g_free(order->body);
    g_free(order);
}

/* Why the order is refused before it is looked at, or RC_OK. */
static int
exe_check(struct rly *rly, const struct msg_exec *exec, int64_t now_us)
{
    if (rly->cfg == NULL) {
        return RC_NOT_READY;
    }
    if (cfg_service_find(rly->cfg, exec->service) == NULL) {
        return RC_NO_SERVICE;
    }
    if (exec->id[0] == '\0') {
        return RC_BAD_ID;
    }
    if (exec->budget_us <= 0) {
        return RC_TOO_LATE;
    }
    return ddp_begin(&rly->dedup, exec->id, now_us);
}

static struct exe *
exe_new(struct rly *rly, const struct qry_key *key,
        const struct msg_exec *exec, int64_t now_us)
{
    const struct cfg_service *service =
        cfg_service_find(rly->cfg, exec->service);
    int64_t budget_us = MIN(exec->budget_us, service->deadline_max_ms * 1000);
    struct exe *order = g_new0(struct exe, 1);
    order->key = *key;
    order->rly = rly;
    order->id = g_strdup(exec->id);
    order->body = g_memdup2(exec->body.data, exec->body.bytes);
    order->deadline_us = now_us + qry_time_us(budget_us);
    order->job = (struct job){
        .item = {.deadline_us = order->deadline_us},
        .ins = rly_find(rly, exec->service, exec->instance),
        .version = exec->version,
        .shard = exec->shard,
        .is_order = true,
        .budget_us = order->deadline_us - now_us,
        .text = order->id,
        .body = {.data = order->body, .bytes = exec->body.bytes},
        .settled = exe_on_settled,
        .ctx = order,
    };
    return order;
}

void
exe_start(struct rly *rly, const struct zsk_peer *peer,
          const struct msg_exec *exec, int64_t now_us)
{
    struct qry_key key = {.peer = *peer, .qid = exec->qid};
    if (g_hash_table_contains(rly->orders, &key)) {
        cnt_add(rly->counters, "messages_dropped_total", "duplicate_qid");
        return;
    }
    int rc = exe_check(rly, exec, now_us);
    if (rc != RC_OK) {
        exe_reply(rly, &key, rc, NULL);
        return;
    }
    struct exe *order = exe_new(rly, &key, exec, now_us);
    struct ins *ins = order->job.ins;
    g_hash_table_insert(rly->orders, &order->key, order);
    dsp_submit(&order->job, now_us);
    if (ins != NULL) {
        dsp_pump(ins, now_us);
    }
}

void
exe_expire(struct exe *order, int64_t now_us)
{
    dsp_expire(&order->job, now_us);
}

void
exe_cancel(struct exe *order, int64_t now_us)
{
    if (order->job.item.iter != NULL) {
        dsp_abort(&order->job, RC_CANCELLED, now_us);
    }
}
