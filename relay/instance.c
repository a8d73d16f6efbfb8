#include <string.h>

#include "relay/instance.h"
#include "relay/dispatch.h"
#include "relay/relay.h"
#include "common/invariant.h"
#include "common/rc.h"

/* One failed part in ten may be sent again. */
#define INS_RETRY_PERMILLE 100
#define INS_RETRY_BURST 32
#define INS_RELEASED_REPEAT_US 1000000
#define INS_RELEASED_REPEATS 5

static const char *const ins_state_names[] = {
    [INS_NONE] = "none",
    [INS_HELD] = "held",
    [INS_DRAINING] = "draining",
    [INS_RELEASED] = "released",
};

const char *
ins_state_name(enum ins_state state)
{
    return ins_state_names[state];
}

static void
ins_searcher_free(gpointer data)
{
    sch_free(data);
}

struct ins *
ins_new(struct rly *rly, const char *service, const char *name)
{
    struct ins *ins = g_new0(struct ins, 1);
    ins->rly = rly;
    ins->service = g_strdup(service);
    ins->name = g_strdup(name);
    ins->searchers = g_ptr_array_new_with_free_func(ins_searcher_free);
    ins->running = g_ptr_array_new();
    que_init(&ins->queue, 0);
    hdg_init(&ins->hedge, 0);
    bgt_init(&ins->retry, INS_RETRY_PERMILLE, INS_RETRY_BURST);
    return ins;
}

static void
ins_clear_released_warm(struct ins *ins)
{
    for (size_t i = 0; i < ins->released_warm_count; i++) {
        g_free((char *)ins->released_warm[i].address);
    }
    g_free(ins->released_warm);
    ins->released_warm = NULL;
    ins->released_warm_count = 0;
}

void
ins_free(struct ins *ins)
{
    CH_INVARIANT(ins->running->len == 0);
    ins_clear_released_warm(ins);
    g_ptr_array_free(ins->searchers, TRUE);
    g_ptr_array_free(ins->running, TRUE);
    que_clear(&ins->queue);
    g_free(ins->service);
    g_free(ins->name);
    g_free(ins);
}

bool
ins_is_active(const struct ins *ins, int64_t now_us)
{
    return ins->state == INS_HELD && rly_has_lease(ins->rly, now_us);
}

/* The address identifies a searcher. One that was removed and still finishes
 * requests comes back as itself: its slots and links are in use. */
static struct sch *
ins_searcher(const struct ins *ins, const struct cfg_searcher *declared)
{
    for (guint i = 0; i < ins->searchers->len; i++) {
        struct sch *sch = g_ptr_array_index(ins->searchers, i);
        if (strcmp(sch->address, declared->address) == 0) {
            return sch;
        }
    }
    return NULL;
}

static bool
ins_is_declared(const struct cfg_instance *instance, const struct sch *sch)
{
    for (size_t i = 0; instance != NULL && i < instance->searcher_count; i++) {
        if (strcmp(instance->searchers[i].address, sch->address) == 0) {
            return true;
        }
    }
    return false;
}

static bool
ins_remove_undeclared(struct ins *ins, const struct cfg_instance *instance)
{
    bool is_changed = false;
    for (guint i = 0; i < ins->searchers->len; i++) {
        struct sch *sch = g_ptr_array_index(ins->searchers, i);
        if (!sch->is_removed && !ins_is_declared(instance, sch)) {
            sch->is_removed = true;
            sch->is_leaving = true;
            is_changed = true;
        }
    }
    return is_changed;
}

/* A searcher met for the first time after an orderly handover. */
static void
ins_apply_warm(const struct ins *ins, struct sch *sch)
{
    for (size_t i = 0; i < ins->warm_count; i++) {
        if (strcmp(ins->warm[i].address, sch->address) == 0) {
            sch_expect_warm(sch, ins->warm[i].start);
        }
    }
}

/* Takes over one declaration; returns true if what is offered changed. */
static bool
ins_configure_searcher(struct ins *ins, const struct cfg *cfg,
                       const struct cfg_service *service,
                       const struct cfg_searcher *declared, int64_t now_us)
{
    bool is_zone_in = cfg_zone_is_in(cfg, declared->zone);
    struct sch *sch = ins_searcher(ins, declared);
    if (sch != NULL) {
        return sch_configure(sch, service, declared, is_zone_in, now_us);
    }
    sch = sch_new(service, declared, &ins->rly->calls->link, ins->rly->ctx,
                  ins, ins->rly->counters);
    g_ptr_array_add(ins->searchers, sch);
    bool is_changed =
        sch_configure(sch, service, declared, is_zone_in, now_us);
    ins_apply_warm(ins, sch);
    return is_changed;
}

static void
ins_configure_limits(struct ins *ins, const struct cfg_service *service)
{
    ins->deadline_max_us = service->deadline_max_ms * 1000;
    ins->queue.max = (uint32_t)service->queue_max_parts;
    uint32_t permille = (uint32_t)service->hedge_budget_permille;
    if (ins->hedge_permille != permille) {
        ins->hedge_permille = permille;
        hdg_init(&ins->hedge, permille);
    }
}

bool
ins_configure(struct ins *ins, const struct cfg *cfg,
              const struct cfg_service *service,
              const struct cfg_instance *instance, int64_t now_us)
{
    if (ins->state != INS_HELD && ins->state != INS_DRAINING) {
        return false;
    }
    bool is_changed = ins_remove_undeclared(ins, instance);
    if (service == NULL || instance == NULL) {
        ins->warm_count = 0;
        return is_changed;
    }
    ins_configure_limits(ins, service);
    for (size_t i = 0; i < instance->searcher_count; i++) {
        is_changed |= ins_configure_searcher(ins, cfg, service,
                                             &instance->searchers[i], now_us);
    }
    /* A searcher that is declared later was not part of the handover. */
    ins->warm_count = 0;
    return is_changed;
}

void
ins_hold(struct ins *ins, const struct msg_holder *holder,
         int64_t deadline_max_us, int64_t now_us)
{
    bool was_held = ins->state == INS_HELD || ins->state == INS_DRAINING;
    bool is_known = was_held && holder->epoch <= ins->epoch;
    if (holder->epoch <= ins->released_epoch ||
        (is_known && holder->epoch < ins->epoch)) {
        cnt_add(ins->rly->counters, "contracts_ignored_total", "old_epoch");
        return;
    }
    if (was_held && ins->state == INS_DRAINING && ins->rly->is_stopping) {
        return;
    }
    if (!is_known) {
        /* With the epoch after our own nobody used the slots in between, and
         * what we started is still counted. */
        bool is_next = was_held && holder->epoch == ins->epoch + 1;
        int64_t wait_us = deadline_max_us - INS_TAKEOVER_COVERED_MS * 1000LL;
        if (!is_next) {
            ins->usable_at_us = now_us;
            if (holder->orderly == 0 && wait_us > 0) {
                ins->usable_at_us += wait_us;
            }
            ins->warm = holder->warm;
            ins->warm_count = holder->orderly != 0 ? holder->warm_count : 0;
        }
        ins->epoch = holder->epoch;
    }
    ins->state = INS_HELD;
}

void
ins_drain(struct ins *ins, int64_t now_us)
{
    if (ins->state != INS_HELD) {
        return;
    }
    ins->state = INS_DRAINING;
    dsp_pump(ins, now_us);
}

void
ins_note_moved(struct ins *ins, uint64_t epoch)
{
    if (ins->state == INS_RELEASED && epoch > ins->released_epoch) {
        ins->state = INS_NONE;
    }
}

/* Lists the warm searchers for the next holder. */
static void
ins_note_released(struct ins *ins, int64_t now_us)
{
    ins_clear_released_warm(ins);
    ins->released_warm = g_new0(struct msg_warm, ins->searchers->len);
    for (guint i = 0; i < ins->searchers->len; i++) {
        const struct sch *sch = g_ptr_array_index(ins->searchers, i);
        if (sch_is_warm(sch, now_us)) {
            ins->released_warm[ins->released_warm_count++] = (struct msg_warm){
                .address = g_strdup(sch->address),
                .start = sch->cold.start,
            };
        }
    }
}

static void
ins_send_released(struct ins *ins, int64_t now_us)
{
    const struct msg_released released = {
        .warm = ins->released_warm,
        .warm_count = ins->released_warm_count,
        .service = ins->service,
        .instance = ins->name,
        .epoch = ins->released_epoch,
    };
    ins->released_us = now_us;
    ins->released_count += 1;
    ins->rly->calls->send_agent(MSG_RELEASED, &released, ins->rly->ctx);
}

/* Whether a request, or a cancelled one, may run at some searcher. */
static bool
ins_is_running(const struct ins *ins)
{
    for (guint i = 0; i < ins->searchers->len; i++) {
        if (sch_used(g_ptr_array_index(ins->searchers, i)) > 0) {
            return true;
        }
    }
    return false;
}

void
ins_release_if_done(struct ins *ins, int64_t now_us)
{
    if (ins->state == INS_RELEASED) {
        if (ins->released_count < INS_RELEASED_REPEATS &&
            now_us - ins->released_us >= INS_RELEASED_REPEAT_US) {
            ins_send_released(ins, now_us);
        }
        return;
    }
    /* Requests of the holder before may run until then. */
    if (ins->state != INS_DRAINING || ins_is_running(ins) ||
        now_us < ins->usable_at_us) {
        return;
    }
    CH_INVARIANT(que_length(&ins->queue) == 0);
    ins_note_released(ins, now_us);
    /* The links go first: they count against the limit of the next holder. */
    g_ptr_array_set_size(ins->searchers, 0);
    ins->released_epoch = ins->epoch;
    ins->released_count = 0;
    ins->state = INS_RELEASED;
    ins_send_released(ins, now_us);
}

void
ins_tick(struct ins *ins, int64_t now_us)
{
    bool is_active = ins_is_active(ins, now_us);
    guint i = 0;
    while (i < ins->searchers->len) {
        struct sch *sch = g_ptr_array_index(ins->searchers, i);
        if (sch->is_removed && sch_used(sch) == 0) {
            g_ptr_array_remove_index(ins->searchers, i);
            continue;
        }
        /* Links are part of the contract: without it none is kept idle. */
        sch->pool.is_stopped = !is_active || sch->is_removed;
        if (sch->pool.is_stopped) {
            lnk_close_idle(&sch->pool, 0, now_us);
        }
        lnk_tick(&sch->pool, now_us);
        i += 1;
    }
}

int64_t
ins_service_us(const struct ins *ins)
{
    int64_t least_us = 0;
    for (guint i = 0; i < ins->searchers->len; i++) {
        const struct sch *sch = g_ptr_array_index(ins->searchers, i);
        int64_t norm_us = sch->cold.norm_us;
        if (sch_is_in(sch) && norm_us > 0 &&
            (least_us == 0 || norm_us < least_us)) {
            least_us = norm_us;
        }
    }
    return least_us;
}

static uint32_t
ins_slots(const struct ins *ins, int64_t now_us)
{
    uint32_t slots = 0;
    for (guint i = 0; i < ins->searchers->len; i++) {
        const struct sch *sch = g_ptr_array_index(ins->searchers, i);
        if (sch_is_offered(sch, now_us)) {
            slots += MIN(cold_limit(&sch->cold, now_us), sch->slots);
        }
    }
    return slots;
}

struct que_pace
ins_pace(const struct ins *ins, int64_t now_us)
{
    return (struct que_pace){
        .service_us = ins_service_us(ins),
        .fast_us = ins->hedge.fast_us,
        .slow_us = ins->hedge.slow_us,
        .slots = ins_slots(ins, now_us),
    };
}
