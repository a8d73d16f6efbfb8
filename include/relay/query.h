#ifndef CH_RELAY_QUERY_H
#define CH_RELAY_QUERY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/msg.h"
#include "common/zsock.h"
#include "relay/dispatch.h"
#include "relay/merge.h"

struct rly;

/* Key of what an entry asked for. */
struct qry_key {
    struct zsk_peer peer;
    uint64_t qid;
};

/* One QUERY: its parts and their merged hits. */
struct qry {
    struct qry_key key; /* must be first */
    struct rly *rly;
    uint64_t version;
    char *text;
    int64_t deadline_us;
    struct job *jobs;
    uint32_t job_count;
    uint32_t open_count;
    GArray *done;    /* struct msg_shard */
    GArray *missing; /* struct msg_missing */
    struct mrg merge;
};

#define QRY_LIMIT_MAX 1000

guint qry_key_hash(gconstpointer key);
gboolean qry_key_equal(gconstpointer a, gconstpointer b);

/* Time until the reply must be sent, for a budget that starts now (us). */
int64_t qry_time_us(int64_t budget_us);

void qry_start(struct rly *rly, const struct zsk_peer *peer,
               const struct msg_query *query, int64_t now_us);

/* Replies with what there is. */
void qry_expire(struct qry *query, int64_t now_us);

/* Drops the query without a reply. */
void qry_cancel(struct qry *query, int64_t now_us);

#endif
