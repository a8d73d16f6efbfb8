#ifndef CH_ENTRY_GATHER_H
#define CH_ENTRY_GATHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"
#include "common/msg.h"
#include "entry/plan.h"

/*
 * Running queries of one entry: splits a query into parts, asks relays, merges
 * replies and accounts for the coverage. Each QUERY message has a qid of its
 * own, so a reply settles exactly the parts that were asked with it.
 */

/* Pending parts are sent again after this time. */
#define GTH_RETRY_US (10 * 1000)
/* Kept from a relay's budget for the way back and the merge; the slowest
 * link between zones takes 1.5 ms one way. At most a quarter of what is left
 * is kept, so that short budgets are not used up by the margin. */
#define GTH_MARGIN_US (4 * 1000)

struct gth;
struct gth_query;

struct gth_request {
    const char *service;
    const char *query;
    const char *key; /* NULL: all shards */
    uint64_t limit;  /* hits wanted */
    int64_t deadline_us;
    void *ctx;
};

struct gth_missing {
    uint64_t shard;
    int rc;
};

struct gth_hit {
    int64_t score;
    char *id;
};

struct gth_answer {
    int rc;           /* RC_OK if at least one shard is done */
    uint64_t version; /* 0 if the query was never pinned */
    uint64_t shards_needed;
    uint64_t shards_done;
    const struct gth_missing *missing; /* by shard */
    size_t missing_count;
    const struct gth_hit *hits; /* highest score first, at most `limit` */
    size_t hit_count;
};

struct gth_callbacks {
    /* Returns RC_OK, or RC_AGAIN when nothing was sent. */
    int (*send)(void *ctx, uint32_t relay, const struct msg_query *query);
    void (*cancel)(void *ctx, uint32_t relay, uint64_t qid);
    /* Called once for each query that was not abandoned; the query is gone
     * afterwards. Must not call into the gatherer. */
    void (*finish)(void *ctx, void *request_ctx,
                   const struct gth_answer *answer);
    /* Instances of the service whose searchers are all out of service. */
    size_t (*idle_instances)(void *ctx, const char *service);
    /* Returns a number that is used once in this process. */
    uint64_t (*next_qid)(void *ctx);
    void *ctx;
};

struct gth *gth_new(struct pln *plan, struct cnt_set *counters,
                    const struct gth_callbacks *callbacks);

/* Running queries are dropped without an answer. */
void gth_free(struct gth *gth);

/*
 * Starts a query. The finish callback may run before this returns; then NULL
 * is returned.
 */
struct gth_query *gth_start(struct gth *gth, const struct gth_request *request,
                            int64_t now_us);

/* Drops a query whose caller is gone and cancels its parts. */
void gth_abandon(struct gth *gth, struct gth_query *query);

void gth_reply(struct gth *gth, uint32_t relay, const struct msg_reply *reply,
               int64_t now_us);

/* The relay process is gone; what it was asked will not be answered. */
void gth_relay_lost(struct gth *gth, uint32_t relay, int64_t now_us);

/* To be called after the map changed. */
void gth_map_changed(struct gth *gth, int64_t now_us);

/* Ends queries at their deadline and sends pending parts again. */
void gth_tick(struct gth *gth, int64_t now_us);

/* When gth_tick() has something to do; INT64_MAX for never. */
int64_t gth_next_due(const struct gth *gth);

size_t gth_running(const struct gth *gth);

/* Budget that a relay gets of what is left, in microseconds. */
int64_t gth_relay_budget(int64_t left_us);

#endif
