#ifndef CH_AGENT_CONTRACT_H
#define CH_AGENT_CONTRACT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/config.h"
#include "common/counter.h"
#include "common/msg.h"

/*
 * Contracts: who should hold what, and the writes that make it so. The store's
 * object is the truth; this module never assumes that a write took effect
 * without a reply or a read that says so.
 */

/* Conditional updates that one agent starts per second and has under way. */
#define CTR_WRITES_MAX 50
#define CTR_REBALANCE_US (INT64_C(500) * 1000)
#define CTR_STABLE_US (INT64_C(5) * 1000 * 1000)
/* A handover goes only to a machine whose last accepted beat is so recent. */
#define CTR_LIVE_US (INT64_C(1000) * 1000)
/* Contracts that drain at the same time on a planned stop. */
#define CTR_DRAINS_MAX 4

struct ctr;

/* A contract as the store has it; version 0 means that there is none. */
struct ctr_object {
    uint64_t version;
    struct msg_holder holder;
};

/* A machine that contracts may go to. */
struct ctr_machine {
    const char *name;
    uint64_t start;
    int64_t accepted_us; /* last accepted beat, for machines of the cell */
    bool is_in_cell;
    bool can_hold; /* live, not leaving, with a relay */
};

/* What the decisions depend on besides the contracts. */
struct ctr_view {
    const struct ctr_machine *machines; /* this machine among them */
    size_t machine_count;
    int64_t stable_since_us;
    uint64_t term; /* lse_term() */
    bool is_leased;
    bool is_refused; /* a voter refuses this machine's beats */
    bool can_hold;   /* this machine may take and keep contracts */
    /* Nothing can run on this machine's relay any more. */
    bool is_relay_gone;
    bool is_store_usable;
};

struct ctr_callbacks {
    /* Conditional update of the object; answered by ctr_on_write(). */
    void (*write)(void *ctx, uint64_t version, const struct msg_holder *value);
    /* Reads the object; answered by ctr_on_read(). */
    void (*read)(void *ctx, const char *service, const char *instance);
    /* Whether the cell still hears a holder: lse_accepted_us() and so on. */
    int64_t (*accepted_us)(void *ctx, const char *machine, uint64_t start);
    int64_t (*voted_out_us)(void *ctx, const char *machine, uint64_t start);
    bool (*is_in_cell)(void *ctx, const char *machine);
    void (*ask)(void *ctx, const char *machine, uint64_t start);
    /* What this machine holds or what it knows of holders has changed. */
    void (*changed)(void *ctx);
    void *ctx;
};

struct ctr *ctr_new(const char *machine, uint64_t start,
                    const struct ctr_callbacks *callbacks,
                    struct cnt_set *counters);

void ctr_free(struct ctr *contracts);

/* Sets which instances are to have a holder. */
void ctr_set_config(struct ctr *contracts, const struct cfg *cfg);

/*
 * Takes over objects that a list or a watch returned. `is_whole` says that
 * the list has every object; claims wait for the first such list.
 */
void ctr_on_list(struct ctr *contracts, int64_t now_us,
                 const struct ctr_object *objects, size_t object_count,
                 bool is_whole);

void ctr_tick(struct ctr *contracts, int64_t now_us,
              const struct ctr_view *view);

/*
 * Result of a write: RC_OK with the new version in `object`, RC_CONFLICT with
 * the current object, any other code when the outcome is unknown (`object`
 * names the contract only).
 */
void ctr_on_write(struct ctr *contracts, int64_t now_us,
                  const struct ctr_view *view, int rc,
                  const struct ctr_object *object);

/*
 * Result of a read: RC_OK with the object (version 0 if there is none), any
 * other code when the store gave no answer.
 */
void ctr_on_read(struct ctr *contracts, int64_t now_us,
                 const struct ctr_view *view, int rc,
                 const struct ctr_object *object);

/* The relay says that nothing of this contract runs on it any more. */
void ctr_on_released(struct ctr *contracts, int64_t now_us,
                     const struct msg_released *released);

/*
 * The relay's process was replaced: what drained on it has ended, and requests
 * of the earlier one may still run at searchers, so no contract is "orderly".
 */
void ctr_on_relay_replaced(struct ctr *contracts, int64_t now_us);

/*
 * True when this machine's relay is to use the contract: confirmed by the
 * store in this term and not draining.
 */
bool ctr_is_held(const struct ctr *contracts, const struct ctr_view *view,
                 const char *service, const char *instance);

/* As ctr_is_held(), but true until a draining contract is released. */
bool ctr_is_used(const struct ctr *contracts, const struct ctr_view *view,
                 const char *service, const char *instance);

/*
 * The holders for STATE: other machines as the store has them, this machine
 * only where ctr_is_held(). Returns the count; free `*out` with g_free().
 * Strings belong to `contracts`.
 */
size_t ctr_holders(const struct ctr *contracts, const struct ctr_view *view,
                   struct msg_holder **out);

/* Contracts whose object names this process. */
size_t ctr_named_count(const struct ctr *contracts);

size_t ctr_held_count(const struct ctr *contracts,
                      const struct ctr_view *view);

/* True when an object names the machine, whatever its start. */
bool ctr_names_machine(const struct ctr *contracts, const char *machine);

/* Rendezvous hashing: true when `a` goes before `b` for this key. */
bool ctr_is_preferred(const char *key, const char *a, const char *b);

#endif
