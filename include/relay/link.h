#ifndef CH_RELAY_LINK_H
#define CH_RELAY_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/counter.h"

/* Links to one searcher: kept warm, probed, replaced when silent. */

enum lnk_state {
    LNK_CONNECTING,
    LNK_IDLE,
    LNK_PROBING, /* GET /status is unanswered */
    LNK_BUSY,    /* carries a request */
    LNK_CLOSING, /* its request was cancelled; the searcher may still run it */
};

struct lnk_pool;

struct lnk {
    struct lnk_pool *pool;
    enum lnk_state state;
    int64_t since_us;    /* when the state began */
    int64_t proven_us;   /* last answer on this link; 0 for none */
    void *request;       /* of the user, while busy */
    uint64_t request_id; /* that the answer must repeat */
    void *io;            /* of the I/O side */
};

/* I/O that the pool asks for. connect and probe return RC_OK or the reason
 * why nothing was started. shut_down ends the sending side, discards what
 * still arrives and reports the end of the connection as lost; it returns
 * RC_OK or RC_LINK_LOST. */
struct lnk_calls {
    int (*connect)(struct lnk *link, void *ctx);
    int (*probe)(struct lnk *link, void *ctx);
    int (*shut_down)(struct lnk *link, void *ctx);
    void (*close)(struct lnk *link, void *ctx);
};

struct lnk_pool {
    GPtrArray *links;
    uint32_t max;         /* links, connecting ones included */
    uint32_t idle_target; /* open ahead of need */
    uint32_t closing;     /* links in LNK_CLOSING */
    const struct lnk_calls *calls;
    void *ctx;
    void *owner;
    struct cnt_set *counters;
    bool is_stopped; /* opens and probes nothing more */
    int64_t retry_at_us;
    int64_t backoff_us;
    int64_t polled_us; /* when the last probe was sent */
};

/* A probe or connection attempt unanswered for this long ends the link. */
#define LNK_SILENT_US 1000000
/* A searcher that has not closed its end of a cancelled request's link by then
 * is taken to have finished: a lost packet is sent again after about 200 ms.
 */
#define LNK_CLOSING_MAX_US 250000
/* Age of the proof from which an idle link must be probed: together with
 * LNK_SILENT_US and two ticks it stays below 2 s. */
#define LNK_PROBE_MUST_US 800000
/* Age from which links are probed one at a time, so that they do not all
 * wait for a probe at the same moment. */
#define LNK_PROBE_MAY_US 400000
/* Status is read at least this often, also when requests prove all links. */
#define LNK_POLL_US 1000000
/* An order needs a proof that is not older. */
#define LNK_ORDER_PROOF_US 500000
/* Longest time between two calls of lnk_tick(). */
#define LNK_TICK_US 50000

void lnk_pool_init(struct lnk_pool *pool, uint32_t connections, uint32_t slots,
                   const struct lnk_calls *calls, void *ctx, void *owner,
                   struct cnt_set *counters);

void lnk_pool_configure(struct lnk_pool *pool, uint32_t connections,
                        uint32_t slots);

/* Closes links that carry no request and no cancelled one until at most `keep`
 * are left. */
void lnk_close_idle(struct lnk_pool *pool, uint32_t keep, int64_t now_us);

/* Closes all links. */
void lnk_pool_clear(struct lnk_pool *pool);

/* Opens links, probes idle ones and closes silent ones. */
void lnk_tick(struct lnk_pool *pool, int64_t now_us);

/* The idle link that was proven last, or NULL. */
struct lnk *lnk_idle(const struct lnk_pool *pool);

/* The same if it may carry an order now, else NULL. */
struct lnk *lnk_idle_proven(const struct lnk_pool *pool, int64_t now_us);

/* Probes the best idle link at once, unless a recent probe is under way. */
void lnk_probe_for_order(struct lnk_pool *pool, int64_t now_us);

/* Marks an idle link as carrying `request`. */
void lnk_take(struct lnk *link, void *request, int64_t now_us);

/* Gives back a link that was taken and on which nothing was sent. */
void lnk_untake(struct lnk *link, int64_t now_us);

/*
 * Cancels the request of a busy link by closing the sending side. The link
 * stays until the searcher closes its side as well, so that the request counts
 * until the searcher has seen the close. `reason` labels the counter.
 */
void lnk_cancel(struct lnk *link, const char *reason, int64_t now_us);

void lnk_on_connected(struct lnk *link, int rc, int64_t now_us);

/* A request or probe was answered; a link that cannot be reused is closed. */
void lnk_on_answer(struct lnk *link, bool is_reusable, int64_t now_us);

/* The link ended by itself or was silent: as lnk_drop(), and new links wait
 * for a backoff if this one never answered. Also the end of a cancelled
 * request's link. */
void lnk_on_lost(struct lnk *link, const char *reason, int64_t now_us);

/* Closes and frees the link; `reason` labels the counter. */
void lnk_drop(struct lnk *link, const char *reason, int64_t now_us);

uint32_t lnk_count(const struct lnk_pool *pool, enum lnk_state state);

/* Links that are up. */
uint32_t lnk_up_count(const struct lnk_pool *pool);

#endif
