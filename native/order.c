#include <glib.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "native/order.h"

struct order_waiter {
    struct order_run *run;
    int64_t deadline_us;
    void *ctx;
};

struct order_run {
    uint64_t seq;
    GPtrArray *waiters; /* of struct order_waiter */
};

struct orders {
    struct request_ids *ids;
    struct counter_set *counters;
    struct order_callbacks callbacks;
    GHashTable *runs; /* seq -> struct order_run */
};

static void
order_run_free(gpointer data)
{
    struct order_run *run = data;
    g_ptr_array_free(run->waiters, TRUE);
    g_free(run);
}

struct orders *
order_new(struct request_ids *ids, struct counter_set *counters,
          const struct order_callbacks *callbacks)
{
    struct orders *orders = g_new0(struct orders, 1);
    orders->ids = ids;
    orders->counters = counters;
    orders->callbacks = *callbacks;
    orders->runs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         order_run_free);
    return orders;
}

void
order_free(struct orders *orders)
{
    g_hash_table_destroy(orders->runs);
    g_free(orders);
}

size_t
order_running_count(const struct orders *orders)
{
    return g_hash_table_size(orders->runs);
}

static void
order_notify_waiter(struct orders *orders, void *waiter_ctx, int rc,
                    const struct request_id_outcome *outcome)
{
    orders->callbacks.on_outcome(waiter_ctx, rc, outcome->body,
                                 outcome->body_bytes, orders->callbacks.ctx);
}

static struct order_waiter *
order_add_waiter(struct order_run *run, int64_t deadline_us, void *ctx)
{
    struct order_waiter *waiter = g_new0(struct order_waiter, 1);
    waiter->run = run;
    waiter->deadline_us = deadline_us;
    waiter->ctx = ctx;
    g_ptr_array_add(run->waiters, waiter);
    return waiter;
}

static struct order_run *
order_run_new(struct orders *orders, uint64_t seq)
{
    struct order_run *run = g_new0(struct order_run, 1);
    run->seq = seq;
    run->waiters = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_insert(orders->runs, &run->seq, run);
    return run;
}

/* Starts a run. Returns NULL if it ended during the callback. */
static struct order_waiter *
order_start_run(struct orders *orders, const struct order_request *request,
                void *waiter_ctx, int64_t now_us)
{
    counter_add(orders->counters, "order_total", NULL);
    request_id_start_run(orders->ids, request->seq);
    struct order_run *run = order_run_new(orders, request->seq);
    struct order_waiter *waiter =
        order_add_waiter(run, request->deadline_us, waiter_ctx);
    orders->callbacks.run(request, now_us, orders->callbacks.ctx);
    bool is_running = g_hash_table_contains(orders->runs, &request->seq);
    return is_running ? waiter : NULL;
}

struct order_waiter *
order_submit(struct orders *orders, const struct order_request *request,
             void *waiter_ctx, int64_t now_us)
{
    struct request_id_outcome outcome = {.rc = RC_OK};
    int rc = request_id_lookup(orders->ids, request->seq, now_us, &outcome);
    if (rc != RC_OK) {
        counter_add(orders->counters, "refused_total", rc_name(rc));
        order_notify_waiter(orders, waiter_ctx, rc, &outcome);
        return NULL;
    }
    if (outcome.state == REQUEST_ID_UNKNOWN ||
        outcome.state == REQUEST_ID_DONE) {
        counter_add(orders->counters, "order_repeat_total", "stored");
        order_notify_waiter(orders, waiter_ctx, outcome.rc, &outcome);
        return NULL;
    }
    struct order_run *run = g_hash_table_lookup(orders->runs, &request->seq);
    CH_INVARIANT((run != NULL) == (outcome.state == REQUEST_ID_RUNNING));
    if (run != NULL) {
        counter_add(orders->counters, "order_repeat_total", "running");
        return order_add_waiter(run, request->deadline_us, waiter_ctx);
    }
    return order_start_run(orders, request, waiter_ctx, now_us);
}

void
order_abandon(struct orders *orders, struct order_waiter *waiter)
{
    counter_add(orders->counters, "order_abandoned_total", NULL);
    CH_INVARIANT(g_ptr_array_remove(waiter->run->waiters, waiter));
}

void
order_on_result(struct orders *orders, uint64_t seq, int rc, const void *body,
                size_t body_bytes, int64_t now_us)
{
    struct order_run *run = g_hash_table_lookup(orders->runs, &seq);
    CH_INVARIANT(run != NULL);
    int stored_rc = request_id_end_run(orders->ids, seq, rc, body, body_bytes);
    struct request_id_outcome outcome = {.rc = RC_OUTCOME_UNKNOWN};
    /* If the id expired during the run, its outcome is reported as unknown. */
    if (request_id_lookup(orders->ids, seq, now_us, &outcome) != RC_OK) {
        outcome = (struct request_id_outcome){.rc = RC_OUTCOME_UNKNOWN};
    }
    if (stored_rc == RC_REPLY_NO_ROOM && rc == RC_OK) {
        /* Those who wait get the result although it cannot be kept. */
        outcome = (struct request_id_outcome){
            .state = REQUEST_ID_DONE,
            .rc = RC_OK,
            .body = body,
            .body_bytes = body_bytes,
        };
    }
    counter_add(orders->counters, "order_outcome_total", rc_name(outcome.rc));
    for (guint i = 0; i < run->waiters->len; i++) {
        const struct order_waiter *waiter = g_ptr_array_index(run->waiters, i);
        order_notify_waiter(orders, waiter->ctx, outcome.rc, &outcome);
    }
    g_hash_table_remove(orders->runs, &seq);
}

static void
order_expire_waiters(struct orders *orders, struct order_run *run,
                     int64_t now_us)
{
    static const struct request_id_outcome no_outcome = {.rc = RC_RUNNING};
    for (guint i = run->waiters->len; i > 0; i--) {
        const struct order_waiter *waiter =
            g_ptr_array_index(run->waiters, i - 1);
        if (now_us >= waiter->deadline_us) {
            counter_add(orders->counters, "order_repeat_total",
                        rc_name(RC_RUNNING));
            order_notify_waiter(orders, waiter->ctx, RC_RUNNING, &no_outcome);
            g_ptr_array_remove_index(run->waiters, i - 1);
        }
    }
}

void
order_tick(struct orders *orders, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, orders->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        order_expire_waiters(orders, value, now_us);
    }
}
