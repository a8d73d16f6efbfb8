#ifndef CH_ENTRY_GATHER_QUERY_H
#define CH_ENTRY_GATHER_QUERY_H

#include <glib.h>

#include "common/budget.h"
#include "entry/gather.h"

/* What the files of the gatherer share; others use entry/gather.h. */

enum gth_part_state {
    GTH_PENDING, /* not asked, or to be asked again */
    GTH_SENT,    /* asked with `qid` */
    GTH_GONE,    /* the version is gone; waits for a restart */
    GTH_DONE,
    GTH_FAILED,
};

struct gth_part {
    uint64_t shard;
    enum gth_part_state state;
    int rc; /* why it is not done */
    uint64_t qid;
    uint64_t mark; /* last reply that named this part */
    uint32_t turn;
    uint32_t bad_replies;
};

/* One QUERY message without a reply yet. */
struct gth_sent {
    uint64_t qid;
    uint32_t relay;
    struct gth_query *query;
    size_t *indexes; /* of the parts asked */
    size_t index_count;
};

struct gth_query {
    uint64_t serial;
    char *service;
    char *text;
    char *key;
    uint64_t limit;
    int64_t started_us;
    int64_t deadline_us;
    void *ctx;
    uint64_t version; /* 0 before the query is pinned */
    uint64_t shards;
    struct gth_part *parts;
    size_t part_count;
    size_t done_count;
    size_t failed_count;
    size_t gone_count;
    size_t unrouted_count; /* pending parts without a relay */
    GArray *hits;          /* of struct gth_hit */
    int64_t retry_us;      /* when pending parts are sent again, 0: none */
    bool is_restarted;
};

struct gth {
    struct pln *plan;
    struct cnt_set *counters;
    struct gth_callbacks callbacks;
    GHashTable *queries; /* serial -> struct gth_query, so that the order of
                          * walking does not depend on addresses */
    GHashTable *sent;    /* qid -> struct gth_sent */
    struct bgt restarts;
    uint64_t last_serial;
    uint64_t mark;
};

/* A query that is not pinned yet. */
struct gth_query *gth_query_new(const struct gth_request *request,
                                uint64_t serial, int64_t now_us);

/* For tables; relays are not told. */
void gth_query_free(gpointer data);

void gth_sent_free(gpointer data);

/* The part of this shard, or NULL when the query does not need it. */
struct gth_part *gth_part_find(struct gth_query *query, uint64_t shard);

/* Pins the query to a version and starts its parts anew. */
void gth_pin(struct gth_query *query, const struct pln_layout *layout);

/* Forgets the outstanding QUERY messages and tells the relays. */
void gth_cancel_sent(struct gth *gth, struct gth_query *query);

/* Sends the pending parts, one QUERY per relay. */
void gth_dispatch(struct gth *gth, struct gth_query *query, int64_t now_us);

/* The last moment at which a restart is worth its while. */
int64_t gth_half_us(const struct gth_query *query);

/*
 * Restarts the query on another version when the pinned one has lost shards
 * that another one offers. Returns false if nothing changed.
 */
bool gth_restart(struct gth *gth, struct gth_query *query, int64_t now_us);

/* Gives up waiting for another version once a restart is out of question. */
void gth_settle_gone(struct gth_query *query, int64_t now_us);

/* Tells the answer and ends the query. */
void gth_finish(struct gth *gth, struct gth_query *query);

/* Ends the query if nothing more can be gained. Returns true if it ended. */
bool gth_settle(struct gth *gth, struct gth_query *query, int64_t now_us);

/* The parts that are still unanswered get `rc`. */
void gth_fail_sent(struct gth *gth, const struct gth_sent *sent, int rc,
                   int64_t now_us);

#endif
