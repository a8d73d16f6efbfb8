#ifndef CH_RELAY_RELAY_H
#define CH_RELAY_RELAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/config.h"
#include "common/counter.h"
#include "common/msg.h"
#include "common/zsock.h"
#include "relay/dedup.h"
#include "relay/dispatch.h"
#include "relay/instance.h"
#include "relay/link.h"
#include "relay/order.h"
#include "relay/query.h"

/* The relay without its I/O: what arrives is passed in with the time, what is
 * to be sent goes out through callbacks. */

struct rly_calls {
    struct lnk_calls link;
    /* Sends a request on the link. Returns RC_OK, or the reason why no byte
     * was handed over: RC_NOT_HOLDER if the lease ended between the decision
     * and the call, since the process may have been paused in between. */
    int (*search)(struct lnk *link, const struct job *job, int64_t budget_us,
                  void *ctx);
    int (*execute)(struct lnk *link, const struct job *job, int64_t budget_us,
                   void *ctx);
    void (*send_entry)(const struct zsk_peer *peer, enum msg_type type,
                       const void *body, void *ctx);
    /* Sends an encoded OFFER: the same bytes go to every entry. */
    void (*send_offer)(const struct zsk_peer *peer, const void *data,
                       size_t data_bytes, void *ctx);
    void (*send_agent)(enum msg_type type, const void *body, void *ctx);
};

struct rly {
    char *machine;
    uint64_t start;
    const struct rly_calls *calls;
    void *ctx;
    struct cnt_set *counters;
    struct cfg *cfg; /* NULL until the first STATE */
    bool has_state;
    uint64_t agent_start;
    uint64_t state_seq;
    int64_t lease_until_us;
    uint32_t holder_count; /* contracts of the last STATE that name us */
    GHashTable *instances; /* "service\tinstance" -> struct ins */
    GHashTable *queries;   /* struct qry_key -> struct qry */
    GHashTable *orders;    /* struct qry_key -> struct exe */
    GHashTable *peers;     /* GBytes -> struct rly_peer */
    struct ddp dedup;
    GByteArray *offered; /* the newest OFFER, encoded */
    uint64_t offer_seq;
    int64_t offer_until_us; /* from then on time alone may change the offer */
    int64_t subscribed_us;
    bool is_stopping;
    int64_t stopping_us;
    int64_t stopping_sent_us;
    int64_t links_ticked_us;
};

struct rly *rly_new(const char *machine, uint64_t start,
                    const struct rly_calls *calls, void *ctx,
                    struct cnt_set *counters);

/* Replies to nobody; what is open is dropped. */
void rly_free(struct rly *rly);

/* A message of an entry or of the agent. */
void rly_on_entry(struct rly *rly, const struct zsk_peer *peer,
                  const struct msg *msg, int64_t now_us);
void rly_on_agent(struct rly *rly, const struct msg *msg, int64_t now_us);

/*
 * The agent's STATE with its configuration parsed: `cfg` is NULL when it is
 * unchanged, and is taken over by the call.
 */
void rly_on_state(struct rly *rly, const struct msg_state *state,
                  struct cfg *cfg, int64_t now_us);

/* What happened on a link; it may be gone after the call. */
void rly_on_connected(struct lnk *link, int rc, int64_t now_us);
void rly_on_lost(struct lnk *link, int rc, int64_t now_us);
/* Answer to a probe; `status` is NULL when it could not be read. */
void rly_on_status(struct lnk *link, const struct sch_status *status,
                   bool is_reusable, int64_t now_us);
void rly_on_answer(struct lnk *link, const struct dsp_answer *answer,
                   int64_t now_us);

/* Called every millisecond while requests are open, else at least every
 * LNK_TICK_US. */
void rly_tick(struct rly *rly, int64_t now_us);

bool rly_is_busy(const struct rly *rly);

/* Starts a planned stop. */
void rly_stop(struct rly *rly, int64_t now_us);

/* Whether a stopping relay may exit. */
bool rly_is_stopped(const struct rly *rly, int64_t now_us);

/* Whether this machine's contracts may be used now. */
bool rly_has_lease(const struct rly *rly, int64_t now_us);

/* The instance, or NULL. */
struct ins *rly_find(const struct rly *rly, const char *service,
                     const char *instance);

/*
 * Sends OFFER to the entries in touch if what is offered changed. Returns true
 * if it did.
 */
bool rly_offer_if_changed(struct rly *rly, int64_t now_us);

/* Counts a refusal of a part or order by its reason. */
void rly_count_refusal(const struct rly *rly, int rc);

/*
 * From offer.c: notes that an entry is in touch; answers its HELLO; forgets
 * entries out of touch.
 */
void rly_note_peer(struct rly *rly, const struct zsk_peer *peer,
                   int64_t now_us);
void rly_on_hello(struct rly *rly, const struct zsk_peer *peer,
                  const struct msg_hello *hello, int64_t now_us);
void rly_forget_peers(struct rly *rly, int64_t now_us);

#endif
