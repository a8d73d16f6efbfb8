#ifndef CH_ENTRY_PLAN_H
#define CH_ENTRY_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"
#include "common/msg.h"

/*
 * Instance-to-relay map of one entry, built from OFFER alone. Relays are
 * numbered from 1; a number is never used again.
 */

/* Offers of a relay that sent nothing for this long are dropped. */
#define PLN_SILENCE_US (2 * 1000 * 1000)
/* HELLO to a relay that sent or got nothing for this long. */
#define PLN_HELLO_IVL_US (500 * 1000)
/* HELLO is repeated this often while a newer offer is known to exist. */
#define PLN_ASK_IVL_US (50 * 1000)
/* Bounds the memory that one faulty offer can take. */
#define PLN_MAX_SHARDS 65536

struct pln;

/* An instance that serves a shard, and the relay that holds its contract. */
struct pln_holder {
    const char *instance;
    uint32_t relay;
};

/* One index version of a service with its shard layout. */
struct pln_layout {
    uint64_t version;
    uint64_t shards;
    uint64_t covered;  /* shards with at least one holder */
    GArray **by_shard; /* of struct pln_holder; NULL for none */
};

struct pln *pln_new(struct cnt_set *counters);

void pln_free(struct pln *plan);

/* Adds the relay of a machine and returns its number. */
uint32_t pln_relay_open(struct pln *plan, const char *machine, int64_t now_us);

/* Forgets a relay and its offers. */
void pln_relay_close(struct pln *plan, uint32_t relay);

/* Notes that the relay sent something. */
void pln_heard(struct pln *plan, uint32_t relay, int64_t now_us);

/* Notes that something was sent, which keeps the entry in touch. */
void pln_sent(struct pln *plan, uint32_t relay, int64_t now_us);

/*
 * Notes the relay's newest offer as a message other than OFFER names it. If
 * this entry does not have it, HELLO is due at once.
 */
void pln_note_offer(struct pln *plan, uint32_t relay, uint64_t start,
                    uint64_t seq);

/*
 * Whether HELLO is due. Sets what it says of the offer that this entry has: 0
 * and 0 for none.
 */
bool pln_hello_is_due(const struct pln *plan, uint32_t relay, int64_t now_us,
                      uint64_t *start, uint64_t *seq);

void pln_hello_sent(struct pln *plan, uint32_t relay, int64_t now_us);

/*
 * Whether the link to the relay at `address` is to be closed. `listed` is the
 * address of the machine's relay in STATE, NULL for none. A relay with another
 * address is another one. One that is not listed is kept while it is heard: a
 * restarted agent may know few machines at first, and a relay that stops
 * finishes what it runs after it has left STATE.
 */
bool pln_is_gone(const struct pln *plan, uint32_t relay, const char *address,
                 const char *listed, int64_t now_us);

/*
 * Replaces what the relay offers. Returns true when the relay process is
 * another one than before: all requests sent to the earlier one are lost.
 */
bool pln_offer(struct pln *plan, uint32_t relay, const struct msg_offer *offer,
               int64_t now_us);

/*
 * Drops the offers of relays that are silent; appends the numbers (uint32_t)
 * of those that became so since the last call to `lost`.
 */
void pln_expire(struct pln *plan, int64_t now_us, GArray *lost);

/* Grows whenever the map may have changed. */
uint64_t pln_generation(const struct pln *plan);

/*
 * The layouts (struct pln_layout) offered for a service, NULL for none. Valid
 * until the next call that changes the map.
 */
const GPtrArray *pln_layouts(struct pln *plan, const char *service);

/* The layout with this version and shard count, or NULL. */
const struct pln_layout *pln_layout_find(const GPtrArray *layouts,
                                         uint64_t version, uint64_t shards);

/*
 * Chooses a holder of the shard; `turn` spreads requests over instances that
 * serve the same shard. Returns NULL when there is none.
 */
const struct pln_holder *pln_holder_pick(const struct pln_layout *layout,
                                         uint64_t shard, uint64_t turn);

/* Relays heard within the last PLN_SILENCE_US, for the status page. */
typedef void (*pln_relay_cb)(uint32_t relay, const char *machine,
                             size_t instance_count, bool is_live, void *ctx);
void pln_relay_each(const struct pln *plan, pln_relay_cb visit, void *ctx);

#endif
