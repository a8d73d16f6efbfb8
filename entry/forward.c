#include <glib.h>
#include <string.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "entry/forward.h"
#include "entry/gather.h"

struct fwd_order {
    uint64_t qid;
    char *machine;
    struct run_order order;
    int64_t retry_us; /* 0 after it was sent */
    void *ctx;
};

struct fwd {
    struct cnt_set *counters;
    struct fwd_callbacks callbacks;
    GHashTable *orders; /* qid -> struct fwd_order */
};

static void
fwd_order_free(gpointer data)
{
    struct fwd_order *order = data;
    g_free(order->machine);
    run_order_clear(&order->order);
    g_free(order);
}

struct fwd *
fwd_new(struct cnt_set *counters, const struct fwd_callbacks *callbacks)
{
    struct fwd *fwd = g_new0(struct fwd, 1);
    fwd->counters = counters;
    fwd->callbacks = *callbacks;
    fwd->orders = run_table_new(fwd_order_free);
    return fwd;
}

void
fwd_free(struct fwd *fwd)
{
    if (fwd == NULL) {
        return;
    }
    g_hash_table_destroy(fwd->orders);
    g_free(fwd);
}

size_t
fwd_running(const struct fwd *fwd)
{
    return g_hash_table_size(fwd->orders);
}

/* Sends the ORDER at most once: after RC_OK it is never sent again. */
static void
fwd_try(struct fwd *fwd, struct fwd_order *order, int64_t now_us)
{
    CH_INVARIANT(order->retry_us != 0);
    struct msg_order message = {
        .qid = order->qid,
        .id = order->order.id,
        .service = order->order.service,
        .key = order->order.key,
        .budget_us = gth_relay_budget(order->order.deadline_us - now_us),
        .body = {.data = order->order.body, .bytes = order->order.body_bytes},
    };
    int rc = fwd->callbacks.send(fwd->callbacks.ctx, order->machine, &message);
    order->retry_us = rc == RC_OK ? 0 : now_us + FWD_RETRY_US;
    if (rc != RC_OK) {
        cnt_add(fwd->counters, "forward_retry_total", rc_name(rc));
    }
}

struct fwd_order *
fwd_start(struct fwd *fwd, const struct fwd_request *request, int64_t now_us)
{
    struct fwd_order *order = g_new0(struct fwd_order, 1);
    order->qid = fwd->callbacks.next_qid(fwd->callbacks.ctx);
    order->machine = g_strdup(request->machine);
    order->order = run_order_copy(&request->order);
    order->retry_us = now_us;
    order->ctx = request->ctx;
    CH_INVARIANT(g_hash_table_insert(fwd->orders, &order->qid, order));
    cnt_add(fwd->counters, "forward_total", NULL);
    if (now_us < order->order.deadline_us) {
        order->retry_us = MAX(now_us, 1);
        fwd_try(fwd, order, now_us);
    }
    return order;
}

void
fwd_abandon(struct fwd *fwd, struct fwd_order *order)
{
    CH_INVARIANT(g_hash_table_remove(fwd->orders, &order->qid));
}

static void
fwd_finish(struct fwd *fwd, struct fwd_order *order, int rc, const void *body,
           size_t body_bytes)
{
    cnt_add(fwd->counters, "forward_outcome_total", rc_name(rc));
    fwd->callbacks.finish(fwd->callbacks.ctx, order->ctx, rc, body,
                          body_bytes);
    g_hash_table_remove(fwd->orders, &order->qid);
}

void
fwd_reply(struct fwd *fwd, const char *machine,
          const struct msg_order_reply *reply)
{
    struct fwd_order *order = g_hash_table_lookup(fwd->orders, &reply->qid);
    if (order == NULL || strcmp(order->machine, machine) != 0) {
        cnt_add(fwd->counters, "order_reply_dropped_total", "unknown_qid");
        return;
    }
    int rc = RC_OUTCOME_UNKNOWN;
    if (reply->rc <= 0 && reply->rc > INT32_MIN &&
        strcmp(rc_name((int)reply->rc), "unknown") != 0) {
        rc = (int)reply->rc;
    }
    fwd_finish(fwd, order, rc, reply->body.data, reply->body.bytes);
}

void
fwd_tick(struct fwd *fwd, int64_t now_us)
{
    GPtrArray *orders = run_table_values(fwd->orders);
    for (guint i = 0; i < orders->len; i++) {
        struct fwd_order *order = g_ptr_array_index(orders, i);
        if (now_us >= order->order.deadline_us) {
            fwd_finish(fwd, order, RC_OUTCOME_UNKNOWN, NULL, 0);
        }
        else if (order->retry_us != 0 && now_us >= order->retry_us) {
            fwd_try(fwd, order, now_us);
        }
    }
    g_ptr_array_free(orders, TRUE);
}

int64_t
fwd_next_due(const struct fwd *fwd)
{
    int64_t due_us = INT64_MAX;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, fwd->orders);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fwd_order *order = value;
        due_us = MIN(due_us, order->order.deadline_us);
        if (order->retry_us != 0) {
            due_us = MIN(due_us, order->retry_us);
        }
    }
    return due_us;
}
