#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "agent/contract.h"
#include "agent/lease.h"
#include "agent/warm.h"
#include "common/invariant.h"
#include "common/rc.h"

#define CTR_READ_RETRY_US (INT64_C(500) * 1000)
/*
 * How often a refused holder without a lease renews its epoch. A successor
 * needs the version to stand for a LEASE and a vote, which fit in between.
 */
#define CTR_REFUSED_WRITE_US (INT64_C(8000) * 1000)
/* A drain for rebalancing that takes longer is given up. */
#define CTR_DRAIN_MAX_US (INT64_C(15) * 1000 * 1000)

#define CTR_HANDOVER_EPOCH 16

enum ctr_step {
    CTR_IDLE,
    CTR_WRITING,  /* waits for the store's reply */
    CTR_DOUBTFUL, /* a write's outcome is unknown: to be read back */
    CTR_READING,
    CTR_CHECKING, /* held; reads the store before it gives the contract up */
    CTR_DRAINING, /* waits for the relay's RELEASED */
    CTR_RELEASED, /* nothing runs here; the successor is to be written */
};

struct ctr_id {
    char *service;
    char *instance;
};

struct ctr_contract {
    struct ctr_id id; /* first, so that the contract is its own key */
    char *key;        /* "SERVICE:INSTANCE" for rendezvous hashing */
    bool is_wanted;   /* by the configuration */
    /* The object. */
    uint64_t version;
    char *machine;
    uint64_t start;
    uint64_t epoch;
    uint64_t orderly;
    struct wrm warm;
    int64_t seen_us; /* when this version was first seen */
    /* What this machine does about it. */
    enum ctr_step step;
    int64_t step_us;
    uint64_t confirmed_epoch; /* 0: nothing may be used */
    uint64_t confirmed_term;
    /* 1 from the relay's RELEASED until the contract is used again. */
    uint64_t release_orderly;
    struct wrm release_warm; /* from RELEASED */
    /* Confirmed here since another holder: `warm` is out of date. */
    bool is_used;
    /* The newest write. Each one has an epoch of its own. */
    char *want_machine;
    uint64_t want_start;
    uint64_t want_epoch;
    uint64_t want_term; /* 0 when written without a lease */
    int64_t refused_write_us;
};

struct ctr {
    char *machine;
    uint64_t start;
    struct ctr_callbacks callbacks;
    struct cnt_set *counters;
    GPtrArray *contracts; /* in order of arrival */
    GHashTable *by_id;
    bool is_listed;
    size_t outstanding;
    int64_t window_us; /* start of the current second */
    size_t window_writes;
    int64_t rebalance_us;
    size_t next; /* where the next pass begins */
};

static guint
ctr_id_hash(const void *key)
{
    const struct ctr_id *id = key;
    return g_str_hash(id->service) * 31 + g_str_hash(id->instance);
}

static gboolean
ctr_id_equal(const void *a, const void *b)
{
    const struct ctr_id *left = a;
    const struct ctr_id *right = b;
    return strcmp(left->instance, right->instance) == 0 &&
           strcmp(left->service, right->service) == 0;
}

static void
ctr_contract_free(void *data)
{
    struct ctr_contract *contract = data;
    g_free(contract->key);
    g_free(contract->id.service);
    g_free(contract->id.instance);
    g_free(contract->machine);
    g_free(contract->want_machine);
    wrm_clear(&contract->warm);
    wrm_clear(&contract->release_warm);
    g_free(contract);
}

struct ctr *
ctr_new(const char *machine, uint64_t start,
        const struct ctr_callbacks *callbacks, struct cnt_set *counters)
{
    struct ctr *contracts = g_new0(struct ctr, 1);
    contracts->machine = g_strdup(machine);
    contracts->start = start;
    contracts->callbacks = *callbacks;
    contracts->counters = counters;
    contracts->contracts = g_ptr_array_new_with_free_func(ctr_contract_free);
    contracts->by_id = g_hash_table_new(ctr_id_hash, ctr_id_equal);
    contracts->window_us = INT64_MIN / 2;
    contracts->rebalance_us = INT64_MIN / 2;
    return contracts;
}

void
ctr_free(struct ctr *contracts)
{
    if (contracts == NULL) {
        return;
    }
    g_hash_table_destroy(contracts->by_id);
    g_ptr_array_free(contracts->contracts, TRUE);
    g_free(contracts->machine);
    g_free(contracts);
}

static struct ctr_contract *
ctr_find(const struct ctr *contracts, const char *service,
         const char *instance)
{
    const struct ctr_id id = {
        .service = (char *)service,
        .instance = (char *)instance,
    };
    return g_hash_table_lookup(contracts->by_id, &id);
}

static struct ctr_contract *
ctr_get(struct ctr *contracts, const char *service, const char *instance)
{
    struct ctr_contract *contract = ctr_find(contracts, service, instance);
    if (contract == NULL) {
        contract = g_new0(struct ctr_contract, 1);
        contract->key = g_strconcat(service, ":", instance, NULL);
        contract->id.service = g_strdup(service);
        contract->id.instance = g_strdup(instance);
        contract->machine = g_strdup("");
        contract->want_machine = g_strdup("");
        contract->refused_write_us = INT64_MIN / 2;
        g_ptr_array_add(contracts->contracts, contract);
        g_hash_table_insert(contracts->by_id, contract, contract);
    }
    return contract;
}

static struct ctr_contract *
ctr_at(const struct ctr *contracts, size_t i)
{
    return g_ptr_array_index(contracts->contracts, i);
}

void
ctr_set_config(struct ctr *contracts, const struct cfg *cfg)
{
    for (size_t i = 0; i < contracts->contracts->len; i++) {
        ctr_at(contracts, i)->is_wanted = false;
    }
    for (size_t i = 0; i < cfg->service_count; i++) {
        const struct cfg_service *service = &cfg->services[i];
        for (size_t j = 0; j < service->instance_count; j++) {
            ctr_get(contracts, service->name, service->instances[j].name)
                ->is_wanted = true;
        }
    }
}

bool
ctr_is_preferred(const char *key, const char *a, const char *b)
{
    uint64_t seed = XXH64(key, strlen(key), 0);
    uint64_t weight_a = XXH64(a, strlen(a), seed);
    uint64_t weight_b = XXH64(b, strlen(b), seed);
    return weight_a > weight_b || (weight_a == weight_b && strcmp(a, b) < 0);
}

static bool
ctr_names_self(const struct ctr *contracts,
               const struct ctr_contract *contract)
{
    return contract->version > 0 && contract->start == contracts->start &&
           strcmp(contract->machine, contracts->machine) == 0;
}

/* The store named this start in this epoch during the current term. */
static bool
ctr_is_confirmed(const struct ctr *contracts,
                 const struct ctr_contract *contract,
                 const struct ctr_view *view)
{
    return view->is_leased && contract->confirmed_epoch > 0 &&
           contract->confirmed_term == view->term &&
           contract->confirmed_epoch == contract->epoch &&
           ctr_names_self(contracts, contract);
}

static void
ctr_set_step(struct ctr_contract *contract, int64_t now_us, enum ctr_step step)
{
    contract->step = step;
    contract->step_us = now_us;
}

/* What the next handover says of the searchers. */
static void
ctr_set_release(struct ctr_contract *contract, uint64_t orderly,
                const struct msg_warm *warm, size_t warm_count)
{
    contract->release_orderly = orderly;
    wrm_set(&contract->release_warm, warm, orderly != 0 ? warm_count : 0);
}

/*
 * Another machine may have used the contract before a version that this one
 * did not write last, even if it names this one.
 */
static void
ctr_note_writer(const struct ctr *contracts, struct ctr_contract *contract)
{
    bool is_self = ctr_names_self(contracts, contract);
    if (!is_self || contract->epoch != contract->want_epoch) {
        ctr_set_release(contract, 0, NULL, 0);
    }
    contract->is_used = contract->is_used && is_self;
}

/* Takes over a newer version of the object. Older ones are ignored. */
static void
ctr_learn(struct ctr *contracts, struct ctr_contract *contract, int64_t now_us,
          const struct ctr_object *object)
{
    if (object->version <= contract->version) {
        return;
    }
    if (object->holder.epoch < contract->epoch) {
        cnt_add(contracts->counters, "contract_epoch_decreased_total", NULL);
    }
    contract->version = object->version;
    contract->start = object->holder.start;
    contract->epoch = object->holder.epoch;
    contract->orderly = object->holder.orderly;
    wrm_set(&contract->warm, object->holder.warm, object->holder.warm_count);
    contract->seen_us = now_us;
    if (strcmp(contract->machine, object->holder.machine) != 0) {
        g_free(contract->machine);
        contract->machine = g_strdup(object->holder.machine);
    }
    if (contract->confirmed_epoch != 0 &&
        !ctr_names_self(contracts, contract)) {
        contract->confirmed_epoch = 0;
        cnt_add(contracts->counters, "contract_ended_total", NULL);
    }
    ctr_note_writer(contracts, contract);
    if (contract->step == CTR_DRAINING || contract->step == CTR_RELEASED) {
        ctr_set_step(contract, now_us, CTR_IDLE);
    }
    contracts->callbacks.changed(contracts->callbacks.ctx);
}

void
ctr_on_list(struct ctr *contracts, int64_t now_us,
            const struct ctr_object *objects, size_t object_count,
            bool is_whole)
{
    for (size_t i = 0; i < object_count; i++) {
        struct ctr_contract *contract = ctr_get(
            contracts, objects[i].holder.service, objects[i].holder.instance);
        ctr_learn(contracts, contract, now_us, &objects[i]);
    }
    contracts->is_listed = contracts->is_listed || is_whole;
}

/*
 * Checks whether the object is what this machine wrote last; then it is
 * confirmed for the term in which the write was started.
 */
static void
ctr_settle(struct ctr *contracts, struct ctr_contract *contract,
           int64_t now_us, const struct ctr_view *view)
{
    ctr_set_step(contract, now_us, CTR_IDLE);
    bool is_ours = contract->want_epoch > 0 &&
                   contract->epoch == contract->want_epoch &&
                   contract->start == contract->want_start &&
                   strcmp(contract->machine, contract->want_machine) == 0;
    if (!is_ours) {
        return;
    }
    cnt_add(contracts->counters, "contract_confirmed_total", NULL);
    if (ctr_names_self(contracts, contract) && view->is_leased &&
        contract->want_term == view->term) {
        contract->confirmed_epoch = contract->epoch;
        contract->confirmed_term = view->term;
        contract->is_used = true;
        ctr_set_release(contract, 0, NULL, 0);
        contracts->callbacks.changed(contracts->callbacks.ctx);
    }
}

void
ctr_on_write(struct ctr *contracts, int64_t now_us,
             const struct ctr_view *view, int rc,
             const struct ctr_object *object)
{
    struct ctr_contract *contract =
        ctr_find(contracts, object->holder.service, object->holder.instance);
    if (contract == NULL || contract->step != CTR_WRITING) {
        return;
    }
    contracts->outstanding -= 1;
    if (rc != RC_OK && rc != RC_CONFLICT) {
        cnt_add(contracts->counters, "contract_write_failed_total",
                rc_name(rc));
        ctr_set_step(contract, now_us - CTR_READ_RETRY_US, CTR_DOUBTFUL);
        return;
    }
    if (rc == RC_CONFLICT) {
        cnt_add(contracts->counters, "contract_write_failed_total",
                rc_name(rc));
    }
    ctr_learn(contracts, contract, now_us, object);
    ctr_settle(contracts, contract, now_us, view);
}

static void
ctr_drain(struct ctr *contracts, struct ctr_contract *contract, int64_t now_us,
          const char *reason)
{
    cnt_add(contracts->counters, "contract_drains_total", reason);
    ctr_set_step(contract, now_us, CTR_DRAINING);
    contracts->callbacks.changed(contracts->callbacks.ctx);
}

/* The store answered, or not, before a drain for rebalancing. */
static void
ctr_on_checked(struct ctr *contracts, struct ctr_contract *contract,
               int64_t now_us, const struct ctr_view *view, int rc,
               const struct ctr_object *object)
{
    ctr_set_step(contract, now_us, CTR_IDLE);
    if (rc != RC_OK) {
        cnt_add(contracts->counters, "contract_rebalance_put_off_total",
                rc_name(rc));
        return;
    }
    ctr_learn(contracts, contract, now_us, object);
    if (ctr_is_confirmed(contracts, contract, view)) {
        ctr_drain(contracts, contract, now_us, "rebalance");
    }
}

void
ctr_on_read(struct ctr *contracts, int64_t now_us, const struct ctr_view *view,
            int rc, const struct ctr_object *object)
{
    struct ctr_contract *contract =
        ctr_find(contracts, object->holder.service, object->holder.instance);
    if (contract == NULL ||
        (contract->step != CTR_READING && contract->step != CTR_CHECKING)) {
        return;
    }
    contracts->outstanding -= 1;
    if (contract->step == CTR_CHECKING) {
        ctr_on_checked(contracts, contract, now_us, view, rc, object);
        return;
    }
    if (rc != RC_OK) {
        ctr_set_step(contract, now_us, CTR_DOUBTFUL);
        return;
    }
    ctr_learn(contracts, contract, now_us, object);
    ctr_settle(contracts, contract, now_us, view);
}

static bool
ctr_may_write(struct ctr *contracts, int64_t now_us,
              const struct ctr_view *view)
{
    if (now_us - contracts->window_us >= 1000 * 1000) {
        contracts->window_us = now_us;
        contracts->window_writes = 0;
    }
    return view->is_store_usable && contracts->outstanding < CTR_WRITES_MAX &&
           contracts->window_writes < CTR_WRITES_MAX;
}

/* What a write says besides the machine and the epoch. */
struct ctr_terms {
    uint64_t orderly;
    const struct wrm *warm; /* NULL for none */
    const char *reason;     /* for the counter */
};

/*
 * Only handovers write multiples of CTR_HANDOVER_EPOCH. Otherwise a machine
 * could take a handover to it for its own write of the same epoch, which was
 * refused, and use a contract that was not confirmed in its term.
 */
static uint64_t
ctr_next_epoch(uint64_t epoch, bool is_self)
{
    if (!is_self) {
        return (epoch / CTR_HANDOVER_EPOCH + 1) * CTR_HANDOVER_EPOCH;
    }
    return epoch + 1 + ((epoch + 1) % CTR_HANDOVER_EPOCH == 0);
}

static void
ctr_write(struct ctr *contracts, struct ctr_contract *contract, int64_t now_us,
          const struct ctr_view *view, const char *machine, uint64_t start,
          const struct ctr_terms *terms)
{
    if (!ctr_may_write(contracts, now_us, view)) {
        cnt_add(contracts->counters, "contract_write_deferred_total", NULL);
        return;
    }
    contracts->window_writes += 1;
    contracts->outstanding += 1;
    cnt_add(contracts->counters, "contract_writes_total", terms->reason);
    /*
     * An earlier write of unknown outcome may still take effect; with an
     * epoch of its own it cannot be taken for this one.
     */
    contract->want_epoch =
        ctr_next_epoch(MAX(contract->epoch, contract->want_epoch),
                       machine == contracts->machine);
    g_free(contract->want_machine);
    contract->want_machine = g_strdup(machine);
    contract->want_start = start;
    contract->want_term = view->is_leased ? view->term : 0;
    /* The write may take effect at once, so the old epoch ends here. */
    if (contract->confirmed_epoch != 0) {
        contract->confirmed_epoch = 0;
        contracts->callbacks.changed(contracts->callbacks.ctx);
    }
    ctr_set_step(contract, now_us, CTR_WRITING);
    struct msg_holder value = {
        .service = contract->id.service,
        .instance = contract->id.instance,
        .machine = machine,
        .start = start,
        .epoch = contract->want_epoch,
        .orderly = terms->orderly,
    };
    if (terms->orderly != 0 && terms->warm != NULL) {
        value.warm = terms->warm->items;
        value.warm_count = terms->warm->count;
    }
    contracts->callbacks.write(contracts->callbacks.ctx, contract->version,
                               &value);
}

enum ctr_scope {
    CTR_SCOPE_ALL,   /* any machine that can hold contracts */
    CTR_SCOPE_CELL,  /* of the cell, beats heard within CTR_LIVE_US */
    CTR_SCOPE_OTHER, /* as CTR_SCOPE_CELL without this machine */
};

static const struct ctr_machine *
ctr_prefer(const struct ctr *contracts, const struct ctr_contract *contract,
           int64_t now_us, const struct ctr_view *view, enum ctr_scope scope)
{
    const struct ctr_machine *best = NULL;
    for (size_t i = 0; i < view->machine_count; i++) {
        const struct ctr_machine *machine = &view->machines[i];
        bool is_self = strcmp(machine->name, contracts->machine) == 0;
        bool is_fit = is_self ? view->can_hold : machine->can_hold;
        if (scope != CTR_SCOPE_ALL) {
            is_fit =
                is_fit && machine->is_in_cell &&
                (is_self || (machine->accepted_us >= 0 &&
                             now_us - machine->accepted_us <= CTR_LIVE_US));
        }
        if (scope == CTR_SCOPE_OTHER) {
            is_fit = is_fit && !is_self;
        }
        if (is_fit &&
            (best == NULL ||
             ctr_is_preferred(contract->key, machine->name, best->name))) {
            best = machine;
        }
    }
    return best;
}

static bool
ctr_prefers_self(const struct ctr *contracts,
                 const struct ctr_contract *contract, int64_t now_us,
                 const struct ctr_view *view, enum ctr_scope scope)
{
    const struct ctr_machine *best =
        ctr_prefer(contracts, contract, now_us, view, scope);
    return best != NULL && strcmp(best->name, contracts->machine) == 0;
}

static void
ctr_tick_unheld(struct ctr *contracts, struct ctr_contract *contract,
                int64_t now_us, const struct ctr_view *view)
{
    if (contract->is_wanted && contracts->is_listed && view->is_leased &&
        view->can_hold &&
        ctr_prefers_self(contracts, contract, now_us, view, CTR_SCOPE_ALL)) {
        const struct ctr_terms terms = {.orderly = 1, .reason = "claim"};
        ctr_write(contracts, contract, now_us, view, contracts->machine,
                  contracts->start, &terms);
    }
}

/* Takes over a contract whose holder a majority has not heard for a LEASE. */
static void
ctr_tick_foreign(struct ctr *contracts, struct ctr_contract *contract,
                 int64_t now_us, const struct ctr_view *view)
{
    const struct ctr_callbacks *callbacks = &contracts->callbacks;
    if (!contract->is_wanted || !view->is_leased || !view->can_hold ||
        now_us - contract->seen_us < LSE_LEASE_US ||
        !callbacks->is_in_cell(callbacks->ctx, contract->machine)) {
        return;
    }
    int64_t accepted_us = callbacks->accepted_us(
        callbacks->ctx, contract->machine, contract->start);
    if ((accepted_us >= 0 && now_us - accepted_us < LSE_LEASE_US) ||
        !ctr_prefers_self(contracts, contract, now_us, view, CTR_SCOPE_CELL)) {
        return;
    }
    int64_t voted_us = callbacks->voted_out_us(
        callbacks->ctx, contract->machine, contract->start);
    /* The version must have stood for a LEASE before the cell was asked. */
    if (voted_us >= 0 && voted_us - contract->seen_us >= LSE_LEASE_US) {
        const struct ctr_terms terms = {.orderly = 0, .reason = "takeover"};
        ctr_write(contracts, contract, now_us, view, contracts->machine,
                  contracts->start, &terms);
        return;
    }
    callbacks->ask(callbacks->ctx, contract->machine, contract->start);
}

static void
ctr_hand_over(struct ctr *contracts, struct ctr_contract *contract,
              int64_t now_us, const struct ctr_view *view)
{
    const struct ctr_machine *best =
        ctr_prefer(contracts, contract, now_us, view, CTR_SCOPE_OTHER);
    if (best == NULL) {
        return;
    }
    struct ctr_terms terms = {
        .orderly = contract->release_orderly,
        .warm = &contract->release_warm,
        .reason = "handover",
    };
    if (!contract->is_used) {
        /* Nothing ran here, so what the holder before said still counts. */
        terms.orderly = contract->orderly;
        terms.warm = &contract->warm;
    }
    ctr_write(contracts, contract, now_us, view, best->name, best->start,
              &terms);
}

static size_t
ctr_drain_count(const struct ctr *contracts)
{
    size_t count = 0;
    for (size_t i = 0; i < contracts->contracts->len; i++) {
        count += ctr_at(contracts, i)->step == CTR_DRAINING ||
                 ctr_at(contracts, i)->step == CTR_RELEASED;
    }
    return count;
}

/*
 * One contract at a time moves for rebalancing: what was released cannot be
 * used again before the store names a holder, and the store may fail
 * meanwhile.
 */
static bool
ctr_is_any_moving(const struct ctr *contracts)
{
    for (size_t i = 0; i < contracts->contracts->len; i++) {
        if (ctr_at(contracts, i)->step != CTR_IDLE) {
            return true;
        }
    }
    return false;
}

/* A confirmed contract: starts a drain when it should be elsewhere. */
static void
ctr_tick_held(struct ctr *contracts, struct ctr_contract *contract,
              int64_t now_us, const struct ctr_view *view)
{
    const struct ctr_machine *other =
        ctr_prefer(contracts, contract, now_us, view, CTR_SCOPE_OTHER);
    if (other == NULL) {
        return;
    }
    if (!view->can_hold) {
        if (ctr_drain_count(contracts) < CTR_DRAINS_MAX) {
            ctr_drain(contracts, contract, now_us, "stop");
        }
        return;
    }
    /* The last condition looks at every contract. */
    if (contract->is_wanted &&
        now_us - view->stable_since_us >= CTR_STABLE_US &&
        now_us - contracts->rebalance_us >= CTR_REBALANCE_US &&
        ctr_is_preferred(contract->key, other->name, contracts->machine) &&
        !ctr_is_any_moving(contracts)) {
        contracts->rebalance_us = now_us;
        contracts->outstanding += 1;
        ctr_set_step(contract, now_us, CTR_CHECKING);
        contracts->callbacks.read(contracts->callbacks.ctx,
                                  contract->id.service, contract->id.instance);
    }
}

static void
ctr_tick_draining(struct ctr *contracts, struct ctr_contract *contract,
                  int64_t now_us, const struct ctr_view *view)
{
    if (view->is_relay_gone) {
        ctr_set_release(contract, 0, NULL, 0);
        ctr_set_step(contract, now_us, CTR_RELEASED);
    }
    else if (view->can_hold && now_us - contract->step_us > CTR_DRAIN_MAX_US) {
        /* Nothing was written yet, so the contract can go on here. */
        cnt_add(contracts->counters, "contract_drains_given_up_total", NULL);
        ctr_set_step(contract, now_us, CTR_IDLE);
        contracts->callbacks.changed(contracts->callbacks.ctx);
    }
}

/* Writes a newer epoch for this machine. */
static void
ctr_renew(struct ctr *contracts, struct ctr_contract *contract, int64_t now_us,
          const struct ctr_view *view, const char *reason)
{
    const struct ctr_terms terms = {
        .orderly = contract->orderly,
        .warm = contract->is_used ? NULL : &contract->warm,
        .reason = reason,
    };
    ctr_write(contracts, contract, now_us, view, contracts->machine,
              contracts->start, &terms);
}

/* Named by the store but not confirmed in this term: nothing is used. */
static void
ctr_tick_unconfirmed(struct ctr *contracts, struct ctr_contract *contract,
                     int64_t now_us, const struct ctr_view *view)
{
    if (view->is_leased && view->can_hold) {
        ctr_renew(contracts, contract, now_us, view, "confirm");
    }
    else if (view->is_leased) {
        ctr_hand_over(contracts, contract, now_us, view);
    }
    else if (view->is_refused &&
             now_us - contract->refused_write_us >= CTR_REFUSED_WRITE_US) {
        /* Voters accept beats again when they see a newer epoch. */
        contract->refused_write_us = now_us;
        ctr_renew(contracts, contract, now_us, view, "refused");
    }
}

static void
ctr_tick_named(struct ctr *contracts, struct ctr_contract *contract,
               int64_t now_us, const struct ctr_view *view)
{
    if (!ctr_is_confirmed(contracts, contract, view)) {
        ctr_set_step(contract, now_us, CTR_IDLE);
        if (contract->confirmed_epoch != 0) {
            contract->confirmed_epoch = 0;
            contracts->callbacks.changed(contracts->callbacks.ctx);
        }
        ctr_tick_unconfirmed(contracts, contract, now_us, view);
    }
    else if (contract->step == CTR_DRAINING) {
        ctr_tick_draining(contracts, contract, now_us, view);
    }
    else if (contract->step == CTR_RELEASED) {
        ctr_hand_over(contracts, contract, now_us, view);
    }
    else {
        ctr_tick_held(contracts, contract, now_us, view);
    }
}

static void
ctr_tick_contract(struct ctr *contracts, struct ctr_contract *contract,
                  int64_t now_us, const struct ctr_view *view)
{
    if (contract->step == CTR_WRITING || contract->step == CTR_READING ||
        contract->step == CTR_CHECKING) {
        return;
    }
    if (contract->step == CTR_DOUBTFUL) {
        if (view->is_store_usable &&
            now_us - contract->step_us >= CTR_READ_RETRY_US) {
            contracts->outstanding += 1;
            ctr_set_step(contract, now_us, CTR_READING);
            contracts->callbacks.read(contracts->callbacks.ctx,
                                      contract->id.service,
                                      contract->id.instance);
        }
        return;
    }
    if (contract->version == 0) {
        ctr_tick_unheld(contracts, contract, now_us, view);
    }
    else if (ctr_names_self(contracts, contract)) {
        ctr_tick_named(contracts, contract, now_us, view);
    }
    else {
        ctr_tick_foreign(contracts, contract, now_us, view);
    }
}

void
ctr_tick(struct ctr *contracts, int64_t now_us, const struct ctr_view *view)
{
    size_t count = contracts->contracts->len;
    /* Each pass begins elsewhere, so that no contract waits for ever. */
    contracts->next = count > 0 ? (contracts->next + 1) % count : 0;
    for (size_t i = 0; i < count; i++) {
        struct ctr_contract *contract =
            ctr_at(contracts, (contracts->next + i) % count);
        ctr_tick_contract(contracts, contract, now_us, view);
    }
    CH_INVARIANT(contracts->outstanding <= CTR_WRITES_MAX + count);
}

void
ctr_on_released(struct ctr *contracts, int64_t now_us,
                const struct msg_released *released)
{
    struct ctr_contract *contract =
        ctr_find(contracts, released->service, released->instance);
    if (contract == NULL || contract->step != CTR_DRAINING ||
        contract->epoch != released->epoch) {
        cnt_add(contracts->counters, "contract_released_ignored_total", NULL);
        return;
    }
    ctr_set_release(contract, 1, released->warm, released->warm_count);
    ctr_set_step(contract, now_us, CTR_RELEASED);
}

void
ctr_on_relay_replaced(struct ctr *contracts, int64_t now_us)
{
    for (size_t i = 0; i < contracts->contracts->len; i++) {
        struct ctr_contract *contract = ctr_at(contracts, i);
        if (ctr_names_self(contracts, contract)) {
            contract->orderly = 0;
            wrm_clear(&contract->warm);
        }
        if (contract->step == CTR_DRAINING) {
            ctr_set_release(contract, 0, NULL, 0);
            ctr_set_step(contract, now_us, CTR_RELEASED);
        }
    }
    contracts->callbacks.changed(contracts->callbacks.ctx);
}

static bool
ctr_contract_is_held(const struct ctr *contracts,
                     const struct ctr_contract *contract,
                     const struct ctr_view *view)
{
    return ctr_is_confirmed(contracts, contract, view) &&
           contract->step != CTR_DRAINING && contract->step != CTR_RELEASED;
}

bool
ctr_is_held(const struct ctr *contracts, const struct ctr_view *view,
            const char *service, const char *instance)
{
    const struct ctr_contract *contract =
        ctr_find(contracts, service, instance);
    return contract != NULL && ctr_contract_is_held(contracts, contract, view);
}

bool
ctr_is_used(const struct ctr *contracts, const struct ctr_view *view,
            const char *service, const char *instance)
{
    const struct ctr_contract *contract =
        ctr_find(contracts, service, instance);
    return contract != NULL && ctr_is_confirmed(contracts, contract, view) &&
           contract->step != CTR_RELEASED;
}

size_t
ctr_holders(const struct ctr *contracts, const struct ctr_view *view,
            struct msg_holder **out)
{
    size_t count = 0;
    *out = g_new0(struct msg_holder, contracts->contracts->len + 1);
    for (size_t i = 0; i < contracts->contracts->len; i++) {
        const struct ctr_contract *contract = ctr_at(contracts, i);
        if (contract->version == 0 ||
            (ctr_names_self(contracts, contract) &&
             !ctr_contract_is_held(contracts, contract, view))) {
            continue;
        }
        (*out)[count] = (struct msg_holder){
            .service = contract->id.service,
            .instance = contract->id.instance,
            .machine = contract->machine,
            .start = contract->start,
            .epoch = contract->epoch,
            .orderly = contract->orderly,
        };
        if (ctr_names_self(contracts, contract) && contract->orderly != 0) {
            (*out)[count].warm = contract->warm.items;
            (*out)[count].warm_count = contract->warm.count;
        }
        count += 1;
    }
    return count;
}

size_t
ctr_named_count(const struct ctr *contracts)
{
    size_t count = 0;
    for (size_t i = 0; i < contracts->contracts->len; i++) {
        count += ctr_names_self(contracts, ctr_at(contracts, i));
    }
    return count;
}

size_t
ctr_held_count(const struct ctr *contracts, const struct ctr_view *view)
{
    size_t count = 0;
    for (size_t i = 0; i < contracts->contracts->len; i++) {
        count += ctr_contract_is_held(contracts, ctr_at(contracts, i), view);
    }
    return count;
}

bool
ctr_names_machine(const struct ctr *contracts, const char *machine)
{
    for (size_t i = 0; i < contracts->contracts->len; i++) {
        const struct ctr_contract *contract = ctr_at(contracts, i);
        if (contract->version > 0 && strcmp(contract->machine, machine) == 0) {
            return true;
        }
    }
    return false;
}
