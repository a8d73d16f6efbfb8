#include <string.h>

#include "relay/relay.h"
#include "common/invariant.h"
#include "common/log.h"
#include "common/rc.h"

/* The agent drops a relay that it cannot reach for 1 s (SUB_UNREACHED_US);
 * after a reconnect it needs a SUBSCRIBE to reach it again. */
#define RLY_SUBSCRIBE_US 500000
/* Ids live 10 minutes at their entry. */
#define RLY_ID_KEEP_US (11LL * 60 * 1000000)
#define RLY_IDS_MAX 500000
#define RLY_STOP_MAX_US 10000000
/* Instances that the agent has not taken back by then are drained anyway. */
#define RLY_STOP_DRAIN_US 500000
#define RLY_STOP_REPEAT_US 500000
/* Time for the last messages to leave the process. */
#define RLY_STOP_FLUSH_US 200000

static void
rly_ins_free(gpointer data)
{
    ins_free(data);
}

struct rly *
rly_new(const char *machine, uint64_t start, const struct rly_calls *calls,
        void *ctx, struct cnt_set *counters)
{
    struct rly *rly = g_new0(struct rly, 1);
    rly->machine = g_strdup(machine);
    rly->start = start;
    rly->calls = calls;
    rly->ctx = ctx;
    rly->counters = counters;
    rly->instances =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, rly_ins_free);
    rly->queries = g_hash_table_new(qry_key_hash, qry_key_equal);
    rly->orders = g_hash_table_new(qry_key_hash, qry_key_equal);
    rly->peers = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
                                       (GDestroyNotify)g_bytes_unref, g_free);
    ddp_init(&rly->dedup, RLY_IDS_MAX, RLY_ID_KEEP_US);
    rly->offered = g_byte_array_new();
    return rly;
}

static GPtrArray *
rly_values(GHashTable *table)
{
    GPtrArray *out = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, table);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(out, value);
    }
    return out;
}

static void
rly_drop_open(struct rly *rly)
{
    GPtrArray *queries = rly_values(rly->queries);
    for (guint i = 0; i < queries->len; i++) {
        qry_cancel(g_ptr_array_index(queries, i), 0);
    }
    g_ptr_array_free(queries, TRUE);
    GPtrArray *orders = rly_values(rly->orders);
    for (guint i = 0; i < orders->len; i++) {
        struct exe *order = g_ptr_array_index(orders, i);
        dsp_abort(&order->job, RC_OUTCOME_UNKNOWN, 0);
    }
    g_ptr_array_free(orders, TRUE);
}

void
rly_free(struct rly *rly)
{
    rly_drop_open(rly);
    g_hash_table_destroy(rly->instances);
    g_hash_table_destroy(rly->queries);
    g_hash_table_destroy(rly->orders);
    g_hash_table_destroy(rly->peers);
    ddp_clear(&rly->dedup);
    g_byte_array_free(rly->offered, TRUE);
    cfg_free(rly->cfg);
    g_free(rly->machine);
    g_free(rly);
}

bool
rly_has_lease(const struct rly *rly, int64_t now_us)
{
    return rly->has_state && now_us < rly->lease_until_us;
}

bool
rly_is_busy(const struct rly *rly)
{
    return g_hash_table_size(rly->queries) > 0 ||
           g_hash_table_size(rly->orders) > 0;
}

void
rly_count_refusal(const struct rly *rly, int rc)
{
    cnt_add(rly->counters, "refused_total", rc_name(rc));
}

static char *
rly_key(const char *service, const char *instance)
{
    return g_strconcat(service, "\t", instance, NULL);
}

struct ins *
rly_find(const struct rly *rly, const char *service, const char *instance)
{
    char *key = rly_key(service, instance);
    struct ins *ins = g_hash_table_lookup(rly->instances, key);
    g_free(key);
    return ins;
}

static struct ins *
rly_find_or_add(struct rly *rly, const char *service, const char *instance)
{
    struct ins *ins = rly_find(rly, service, instance);
    if (ins == NULL) {
        ins = ins_new(rly, service, instance);
        g_hash_table_insert(rly->instances, rly_key(service, instance), ins);
    }
    return ins;
}

/* Messages of entries */

static void
rly_entry_hello(struct rly *rly, const struct zsk_peer *peer, const void *body,
                int64_t now_us)
{
    rly_on_hello(rly, peer, body, now_us);
}

static void
rly_entry_query(struct rly *rly, const struct zsk_peer *peer, const void *body,
                int64_t now_us)
{
    qry_start(rly, peer, body, now_us);
}

static void
rly_entry_exec(struct rly *rly, const struct zsk_peer *peer, const void *body,
               int64_t now_us)
{
    exe_start(rly, peer, body, now_us);
}

static void
rly_entry_cancel(struct rly *rly, const struct zsk_peer *peer,
                 const void *body, int64_t now_us)
{
    const struct msg_cancel *cancel = body;
    struct qry_key key = {.peer = *peer, .qid = cancel->qid};
    struct qry *query = g_hash_table_lookup(rly->queries, &key);
    if (query != NULL) {
        cnt_add(rly->counters, "cancels_total", NULL);
        qry_cancel(query, now_us);
    }
    struct exe *order = g_hash_table_lookup(rly->orders, &key);
    if (order != NULL) {
        exe_cancel(order, now_us);
    }
}

typedef void (*rly_entry_cb)(struct rly *rly, const struct zsk_peer *peer,
                             const void *body, int64_t now_us);

static const rly_entry_cb rly_entry_handlers[MSG_TYPE_COUNT] = {
    [MSG_HELLO] = rly_entry_hello,
    [MSG_QUERY] = rly_entry_query,
    [MSG_EXEC] = rly_entry_exec,
    [MSG_CANCEL] = rly_entry_cancel,
};

void
rly_on_entry(struct rly *rly, const struct zsk_peer *peer,
             const struct msg *msg, int64_t now_us)
{
    rly_entry_cb handler = rly_entry_handlers[msg->type];
    if (handler == NULL) {
        cnt_add(rly->counters, "messages_dropped_total", "unexpected_type");
        return;
    }
    rly_note_peer(rly, peer, now_us);
    handler(rly, peer, msg->body, now_us);
}

/* Messages of the agent */

static bool
rly_names_us(const struct msg_state *state, const struct msg_holder *holder)
{
    return strcmp(holder->machine, state->machine) == 0 &&
           holder->start == state->start;
}

/* Takes over the contracts; returns the instances that name this machine. */
static GHashTable *
rly_apply_holders(struct rly *rly, const struct msg_state *state,
                  int64_t now_us)
{
    GHashTable *ours = g_hash_table_new(NULL, NULL);
    rly->holder_count = 0;
    for (size_t i = 0; i < state->holder_count; i++) {
        const struct msg_holder *holder = &state->holders[i];
        const struct cfg_service *service =
            cfg_service_find(rly->cfg, holder->service);
        if (rly_names_us(state, holder) && service != NULL) {
            struct ins *ins =
                rly_find_or_add(rly, holder->service, holder->instance);
            rly->holder_count += 1;
            ins_hold(ins, holder, service->deadline_max_ms * 1000, now_us);
            g_hash_table_add(ours, ins);
            continue;
        }
        struct ins *ins = rly_find(rly, holder->service, holder->instance);
        if (ins != NULL) {
            ins_note_moved(ins, holder->epoch);
        }
    }
    return ours;
}

static void
rly_configure_instance(struct rly *rly, struct ins *ins, int64_t now_us)
{
    const struct cfg_service *service =
        cfg_service_find(rly->cfg, ins->service);
    const struct cfg_instance *instance =
        service != NULL ? cfg_instance_find(service, ins->name) : NULL;
    (void)ins_configure(ins, rly->cfg, service, instance, now_us);
}

static void
rly_refresh(struct rly *rly, int64_t now_us)
{
    GPtrArray *all = rly_values(rly->instances);
    for (guint i = 0; i < all->len; i++) {
        struct ins *ins = g_ptr_array_index(all, i);
        dsp_pump(ins, now_us);
        ins_release_if_done(ins, now_us);
        ins_tick(ins, now_us);
    }
    g_ptr_array_free(all, TRUE);
    (void)rly_offer_if_changed(rly, now_us);
}

static bool
rly_is_stale(const struct rly *rly, const struct msg_state *state)
{
    return rly->has_state && rly->agent_start == state->start &&
           state->seq < rly->state_seq;
}

/* An accepted configuration never reverts. */
static void
rly_adopt(struct rly *rly, struct cfg *cfg)
{
    if (cfg == NULL) {
        return;
    }
    if (rly->cfg != NULL && cfg->revision <= rly->cfg->revision) {
        cfg_free(cfg);
        return;
    }
    cfg_free(rly->cfg);
    rly->cfg = cfg;
}

void
rly_on_state(struct rly *rly, const struct msg_state *state, struct cfg *cfg,
             int64_t now_us)
{
    if (rly_is_stale(rly, state)) {
        cnt_add(rly->counters, "messages_dropped_total", "old_state");
        cfg_free(cfg);
        return;
    }
    rly_adopt(rly, cfg);
    if (rly->cfg == NULL) {
        return;
    }
    rly->has_state = true;
    rly->agent_start = state->start;
    rly->state_seq = state->seq;
    rly->lease_until_us = state->lease_until_us;
    GHashTable *ours = rly_apply_holders(rly, state, now_us);
    GPtrArray *all = rly_values(rly->instances);
    for (guint i = 0; i < all->len; i++) {
        struct ins *ins = g_ptr_array_index(all, i);
        if (!g_hash_table_contains(ours, ins)) {
            ins_drain(ins, now_us);
        }
        rly_configure_instance(rly, ins, now_us);
    }
    g_ptr_array_free(all, TRUE);
    g_hash_table_destroy(ours);
    rly_refresh(rly, now_us);
}

static void
rly_agent_state(struct rly *rly, const void *body, int64_t now_us)
{
    const struct msg_state *state = body;
    if (strcmp(state->machine, rly->machine) != 0) {
        cnt_add(rly->counters, "messages_dropped_total", "other_machine");
        log_warn("relay", "state of another machine machine=%s",
                 state->machine);
        return;
    }
    struct cfg *cfg = NULL;
    if (state->config.bytes > 0) {
        char *error = NULL;
        int rc =
            cfg_parse(state->config.data, state->config.bytes, &cfg, &error);
        if (rc != RC_OK) {
            cnt_add(rly->counters, "messages_dropped_total", "bad_config");
            log_error("relay", "configuration refused error=\"%s\"",
                      error != NULL ? error : rc_name(rc));
            g_free(error);
        }
    }
    rly_on_state(rly, state, cfg, now_us);
}

static void
rly_agent_lease(struct rly *rly, const void *body, int64_t now_us)
{
    const struct msg_lease *lease = body;
    bool had_lease = rly_has_lease(rly, now_us);
    rly->lease_until_us = lease->lease_until_us;
    if (rly->cfg != NULL && lease->revision > rly->cfg->revision) {
        /* A STATE was lost on the way. */
        rly->subscribed_us = 0;
    }
    if (had_lease != rly_has_lease(rly, now_us)) {
        rly_refresh(rly, now_us);
    }
}

typedef void (*rly_agent_cb)(struct rly *rly, const void *body,
                             int64_t now_us);

static const rly_agent_cb rly_agent_handlers[MSG_TYPE_COUNT] = {
    [MSG_STATE] = rly_agent_state,
    [MSG_LEASE] = rly_agent_lease,
};

void
rly_on_agent(struct rly *rly, const struct msg *msg, int64_t now_us)
{
    rly_agent_cb handler = rly_agent_handlers[msg->type];
    if (handler == NULL) {
        cnt_add(rly->counters, "messages_dropped_total", "unexpected_type");
        return;
    }
    handler(rly, msg->body, now_us);
}

/* Events of links */

static struct ins *
rly_ins_of(const struct lnk *link)
{
    const struct sch *sch = link->pool->owner;
    return sch->owner;
}

void
rly_on_connected(struct lnk *link, int rc, int64_t now_us)
{
    lnk_on_connected(link, rc, now_us);
}

void
rly_on_lost(struct lnk *link, int rc, int64_t now_us)
{
    struct ins *ins = rly_ins_of(link);
    if (link->state == LNK_BUSY) {
        dsp_on_lost(link, rc, now_us);
        ins_release_if_done(ins, now_us);
        return;
    }
    bool is_slot_free = link->state == LNK_CLOSING;
    lnk_on_lost(link, rc_name(rc), now_us);
    if (is_slot_free) {
        dsp_pump(ins, now_us);
        ins_release_if_done(ins, now_us);
    }
}

void
rly_on_status(struct lnk *link, const struct sch_status *status,
              bool is_reusable, int64_t now_us)
{
    CH_INVARIANT(link->state == LNK_PROBING);
    struct ins *ins = rly_ins_of(link);
    struct sch *sch = link->pool->owner;
    bool is_changed = status != NULL && sch_note_status(sch, status, now_us);
    if (status == NULL) {
        cnt_add(ins->rly->counters, "status_unreadable_total", NULL);
    }
    lnk_on_answer(link, is_reusable, now_us);
    if (is_changed) {
        (void)rly_offer_if_changed(ins->rly, now_us);
    }
    dsp_pump(ins, now_us);
}

void
rly_on_answer(struct lnk *link, const struct dsp_answer *answer,
              int64_t now_us)
{
    struct ins *ins = rly_ins_of(link);
    dsp_on_answer(link, answer, now_us);
    ins_release_if_done(ins, now_us);
    if (answer->rc == RC_VERSION_GONE) {
        (void)rly_offer_if_changed(ins->rly, now_us);
    }
}

/* Time */

static void
rly_expire(struct rly *rly, int64_t now_us)
{
    GPtrArray *queries = rly_values(rly->queries);
    for (guint i = 0; i < queries->len; i++) {
        struct qry *query = g_ptr_array_index(queries, i);
        if (now_us >= query->deadline_us) {
            qry_expire(query, now_us);
        }
    }
    g_ptr_array_free(queries, TRUE);
    GPtrArray *orders = rly_values(rly->orders);
    for (guint i = 0; i < orders->len; i++) {
        struct exe *order = g_ptr_array_index(orders, i);
        if (now_us >= order->deadline_us) {
            exe_expire(order, now_us);
        }
    }
    g_ptr_array_free(orders, TRUE);
}

static void
rly_subscribe(struct rly *rly, int64_t now_us)
{
    if (rly->subscribed_us != 0 &&
        now_us - rly->subscribed_us < RLY_SUBSCRIBE_US) {
        return;
    }
    const struct msg_subscribe subscribe = {
        .role = "relay",
        .start = rly->start,
    };
    rly->subscribed_us = now_us;
    rly->calls->send_agent(MSG_SUBSCRIBE, &subscribe, rly->ctx);
}

static void
rly_stop_step(struct rly *rly, int64_t now_us)
{
    if (now_us - rly->stopping_sent_us >= RLY_STOP_REPEAT_US) {
        const struct msg_stopping stopping = {.role = "relay"};
        rly->stopping_sent_us = now_us;
        rly->calls->send_agent(MSG_STOPPING, &stopping, rly->ctx);
    }
    if (now_us - rly->stopping_us < RLY_STOP_DRAIN_US) {
        return;
    }
    GPtrArray *all = rly_values(rly->instances);
    for (guint i = 0; i < all->len; i++) {
        ins_drain(g_ptr_array_index(all, i), now_us);
    }
    g_ptr_array_free(all, TRUE);
    /* The next HELLO or tick must not rely on the offer before. */
    rly->offer_until_us = now_us;
}

void
rly_tick(struct rly *rly, int64_t now_us)
{
    rly_subscribe(rly, now_us);
    rly_expire(rly, now_us);
    if (rly->is_stopping) {
        rly_stop_step(rly, now_us);
    }
    GPtrArray *all = rly_values(rly->instances);
    bool is_links_due = now_us - rly->links_ticked_us >= LNK_TICK_US / 2;
    for (guint i = 0; i < all->len; i++) {
        struct ins *ins = g_ptr_array_index(all, i);
        dsp_tick(ins, now_us);
        ins_release_if_done(ins, now_us);
        if (is_links_due) {
            ins_tick(ins, now_us);
        }
    }
    g_ptr_array_free(all, TRUE);
    if (is_links_due) {
        rly->links_ticked_us = now_us;
        rly_forget_peers(rly, now_us);
        (void)rly_offer_if_changed(rly, now_us);
    }
}

void
rly_stop(struct rly *rly, int64_t now_us)
{
    if (!rly->is_stopping) {
        rly->is_stopping = true;
        rly->stopping_us = now_us;
        rly->stopping_sent_us = now_us - RLY_STOP_REPEAT_US;
    }
}

bool
rly_is_stopped(const struct rly *rly, int64_t now_us)
{
    if (!rly->is_stopping) {
        return false;
    }
    if (now_us - rly->stopping_us >= RLY_STOP_MAX_US) {
        return true;
    }
    int64_t sent_us = rly->stopping_us;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, rly->instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ins *ins = value;
        if (ins->state == INS_HELD || ins->state == INS_DRAINING) {
            return false;
        }
        sent_us = MAX(sent_us, ins->released_us);
    }
    return rly->holder_count == 0 && !rly_is_busy(rly) &&
           now_us - sent_us >= RLY_STOP_FLUSH_US;
}
