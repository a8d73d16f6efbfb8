#include <string.h>

#include "common/budget.h"
#include "common/invariant.h"
#include "common/rc.h"
#include "entry/gather.h"
#include "entry/running.h"
#include "entry/snapshot.h"

/* Restarts are at most a quarter of all queries. A version that disappears
 * hits all running queries at once, hence the burst. */
#define GTH_RESTART_PERMILLE 250
#define GTH_RESTART_BURST 64
/* A part whose reply was unusable is asked once more. */
#define GTH_MAX_BAD_REPLIES 2
/* No result code is below the negative of this. */
#define GTH_MAX_RC 63

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

static void
gth_sent_free(gpointer data)
{
    struct gth_sent *sent = data;
    g_free(sent->indexes);
    g_free(sent);
}

static void
gth_hit_clear(gpointer data)
{
    struct gth_hit *hit = data;
    g_free(hit->id);
}

static void
gth_query_free(gpointer data)
{
    struct gth_query *query = data;
    g_free(query->service);
    g_free(query->text);
    g_free(query->key);
    g_free(query->parts);
    g_array_free(query->hits, TRUE);
    g_free(query);
}

struct gth *
gth_new(struct pln *plan, struct cnt_set *counters,
        const struct gth_callbacks *callbacks)
{
    struct gth *gth = g_new0(struct gth, 1);
    gth->plan = plan;
    gth->counters = counters;
    gth->callbacks = *callbacks;
    gth->queries = run_table_new(gth_query_free);
    gth->sent = run_table_new(gth_sent_free);
    bgt_init(&gth->restarts, GTH_RESTART_PERMILLE, GTH_RESTART_BURST);
    return gth;
}

void
gth_free(struct gth *gth)
{
    if (gth == NULL) {
        return;
    }
    g_hash_table_destroy(gth->sent);
    g_hash_table_destroy(gth->queries);
    g_free(gth);
}

int64_t
gth_relay_budget(int64_t left_us)
{
    return left_us - MIN(GTH_MARGIN_US, left_us / 4);
}

size_t
gth_running(const struct gth *gth)
{
    return g_hash_table_size(gth->queries);
}

static struct gth_part *
gth_part_find(struct gth_query *query, uint64_t shard)
{
    if (query->key != NULL) {
        bool is_it = query->part_count == 1 && query->parts[0].shard == shard;
        return is_it ? &query->parts[0] : NULL;
    }
    return shard < query->part_count ? &query->parts[shard] : NULL;
}

/* Forgets the outstanding QUERY messages and tells the relays. */
static void
gth_cancel_sent(struct gth *gth, struct gth_query *query)
{
    for (size_t i = 0; i < query->part_count; i++) {
        const struct gth_part *part = &query->parts[i];
        if (part->state != GTH_SENT) {
            continue;
        }
        const struct gth_sent *sent =
            g_hash_table_lookup(gth->sent, &part->qid);
        if (sent != NULL) {
            uint64_t qid = sent->qid;
            gth->callbacks.cancel(gth->callbacks.ctx, sent->relay, qid);
            g_hash_table_remove(gth->sent, &qid);
        }
    }
}

static void
gth_pin(struct gth_query *query, const struct pln_layout *layout)
{
    query->version = layout->version;
    query->shards = layout->shards;
    query->part_count = query->key != NULL ? 1 : layout->shards;
    g_free(query->parts);
    query->parts = g_new0(struct gth_part, query->part_count);
    for (size_t i = 0; i < query->part_count; i++) {
        query->parts[i].shard = i;
        query->parts[i].rc = RC_NO_RELAY;
    }
    if (query->key != NULL) {
        query->parts[0].shard = snp_key_shard(query->key, layout->shards);
    }
    query->done_count = 0;
    query->failed_count = 0;
    query->gone_count = 0;
    query->unrouted_count = 0;
    g_array_set_size(query->hits, 0);
}

/* Parts of one QUERY message while it is built. */
struct gth_batch {
    uint32_t relay;
    GArray *parts;   /* of struct msg_part */
    GArray *indexes; /* of size_t */
};

static void
gth_batch_free(gpointer data)
{
    struct gth_batch *batch = data;
    g_array_free(batch->parts, TRUE);
    g_array_free(batch->indexes, TRUE);
    g_free(batch);
}

static void
gth_batch_add(GHashTable *batches, const struct pln_holder *holder,
              const struct gth_part *part, size_t index)
{
    gpointer key = GUINT_TO_POINTER(holder->relay);
    struct gth_batch *batch = g_hash_table_lookup(batches, key);
    if (batch == NULL) {
        batch = g_new0(struct gth_batch, 1);
        batch->relay = holder->relay;
        batch->parts = g_array_new(FALSE, FALSE, sizeof(struct msg_part));
        batch->indexes = g_array_new(FALSE, FALSE, sizeof(size_t));
        g_hash_table_insert(batches, key, batch);
    }
    struct msg_part asked = {
        .instance = holder->instance,
        .shard = part->shard,
    };
    g_array_append_val(batch->parts, asked);
    g_array_append_val(batch->indexes, index);
}

static void
gth_batch_send(struct gth *gth, struct gth_query *query,
               const struct gth_batch *batch, int64_t now_us)
{
    uint64_t qid = gth->callbacks.next_qid(gth->callbacks.ctx);
    struct msg_query message = {
        .qid = qid,
        .service = query->service,
        .version = query->version,
        .budget_us = gth_relay_budget(query->deadline_us - now_us),
        .limit = query->limit,
        .query = query->text,
        .parts = (struct msg_part *)batch->parts->data,
        .part_count = batch->parts->len,
    };
    int rc = gth->callbacks.send(gth->callbacks.ctx, batch->relay, &message);
    for (guint i = 0; i < batch->indexes->len; i++) {
        size_t index = g_array_index(batch->indexes, size_t, i);
        struct gth_part *part = &query->parts[index];
        CH_INVARIANT(part->state == GTH_PENDING);
        part->turn += 1;
        if (rc != RC_OK) {
            part->rc = rc;
            continue;
        }
        part->state = GTH_SENT;
        part->qid = qid;
    }
    if (rc != RC_OK) {
        cnt_add(gth->counters, "query_unsent_total", rc_name(rc));
        return;
    }
    struct gth_sent *sent = g_new0(struct gth_sent, 1);
    sent->qid = qid;
    sent->relay = batch->relay;
    sent->query = query;
    sent->indexes =
        g_memdup2(batch->indexes->data, batch->indexes->len * sizeof(size_t));
    sent->index_count = batch->indexes->len;
    g_hash_table_insert(gth->sent, &sent->qid, sent);
}

/* Sends the pending parts, one QUERY per relay. */
static void
gth_dispatch(struct gth *gth, struct gth_query *query, int64_t now_us)
{
    const struct pln_layout *layout = pln_layout_find(
        pln_layouts(gth->plan, query->service), query->version, query->shards);
    GHashTable *batches = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                                NULL, gth_batch_free);
    query->unrouted_count = 0;
    for (size_t i = 0; i < query->part_count; i++) {
        struct gth_part *part = &query->parts[i];
        if (part->state != GTH_PENDING) {
            continue;
        }
        const struct pln_holder *holder =
            pln_holder_pick(layout, part->shard, query->version + part->turn);
        if (holder == NULL) {
            query->unrouted_count += 1;
            continue;
        }
        gth_batch_add(batches, holder, part, i);
    }
    GHashTableIter iter;
    gpointer batch = NULL;
    g_hash_table_iter_init(&iter, batches);
    while (g_hash_table_iter_next(&iter, NULL, &batch)) {
        gth_batch_send(gth, query, batch, now_us);
    }
    g_hash_table_destroy(batches);
    query->retry_us = 0;
    for (size_t i = 0; i < query->part_count && query->retry_us == 0; i++) {
        if (query->parts[i].state == GTH_PENDING) {
            query->retry_us = now_us + GTH_RETRY_US;
        }
    }
}

/* The last moment at which a restart is worth its while. */
static int64_t
gth_half_us(const struct gth_query *query)
{
    return query->started_us + (query->deadline_us - query->started_us) / 2;
}

/* Whether the layout covers more of the query than the pinned one can. */
static bool
gth_is_gain(const struct gth_query *query, const struct pln_layout *layout)
{
    uint64_t lost = query->gone_count + query->unrouted_count;
    uint64_t reachable = query->part_count - MIN(lost, query->part_count);
    if (query->key != NULL) {
        uint64_t shard = snp_key_shard(query->key, layout->shards);
        return reachable == 0 && layout->by_shard[shard] != NULL;
    }
    return layout->covered * query->part_count > reachable * layout->shards;
}

/*
 * Restarts the query on another version when the pinned one has lost shards
 * that another one offers. Returns false if nothing changed.
 */
static bool
gth_restart(struct gth *gth, struct gth_query *query, int64_t now_us)
{
    if (query->gone_count + query->unrouted_count == 0 ||
        query->is_restarted || now_us > gth_half_us(query)) {
        return false;
    }
    const struct pln_layout *layout =
        snp_pick(pln_layouts(gth->plan, query->service), query->version);
    if (layout == NULL || !gth_is_gain(query, layout)) {
        return false;
    }
    query->is_restarted = true;
    if (!bgt_spend(&gth->restarts)) {
        cnt_add(gth->counters, "restart_refused_total", rc_name(RC_BUDGET));
        return false;
    }
    cnt_add(gth->counters, "restart_total", rc_name(RC_VERSION_GONE));
    gth_cancel_sent(gth, query);
    gth_pin(query, layout);
    gth_dispatch(gth, query, now_us);
    return true;
}

/* Gives up waiting for another version once a restart is out of question. */
static void
gth_settle_gone(struct gth_query *query, int64_t now_us)
{
    if (query->gone_count == 0 ||
        (!query->is_restarted && now_us <= gth_half_us(query))) {
        return;
    }
    for (size_t i = 0; i < query->part_count; i++) {
        if (query->parts[i].state == GTH_GONE) {
            query->parts[i].state = GTH_FAILED;
            query->failed_count += 1;
        }
    }
    query->gone_count = 0;
}

static gint
gth_hit_compare(gconstpointer a, gconstpointer b)
{
    const struct gth_hit *hit_a = a;
    const struct gth_hit *hit_b = b;
    if (hit_a->score != hit_b->score) {
        return hit_a->score > hit_b->score ? -1 : 1;
    }
    return strcmp(hit_a->id, hit_b->id);
}

/*
 * The code that explains best why no shard answered: the most frequent one; a
 * passed deadline only if there is no other.
 */
static int
gth_telling_rc(const GArray *missing)
{
    guint counts[GTH_MAX_RC + 1] = {0};
    int best = missing->len > 0 ? RC_DEADLINE : RC_NO_RELAY;
    guint best_count = 0;
    for (guint i = 0; i < missing->len; i++) {
        int rc = g_array_index(missing, struct gth_missing, i).rc;
        CH_INVARIANT(rc < 0 && rc >= -GTH_MAX_RC);
        counts[-rc] += 1;
        if (rc != RC_DEADLINE && counts[-rc] > best_count) {
            best = rc;
            best_count = counts[-rc];
        }
    }
    return best;
}

static GArray *
gth_collect_missing(const struct gth_query *query)
{
    GArray *missing = g_array_new(FALSE, FALSE, sizeof(struct gth_missing));
    for (size_t i = 0; i < query->part_count; i++) {
        const struct gth_part *part = &query->parts[i];
        if (part->state != GTH_DONE) {
            struct gth_missing item = {
                .shard = part->shard,
                .rc = part->state == GTH_SENT ? RC_DEADLINE : part->rc,
            };
            g_array_append_val(missing, item);
        }
    }
    return missing;
}

static void
gth_finish(struct gth *gth, struct gth_query *query)
{
    gth_cancel_sent(gth, query);
    GArray *missing = gth_collect_missing(query);
    /* Each needed shard is either done once or listed as missing. */
    CH_INVARIANT(query->done_count + missing->len == query->part_count);
    g_array_sort(query->hits, gth_hit_compare);
    struct gth_answer answer = {
        .rc = query->done_count > 0 ? RC_OK : gth_telling_rc(missing),
        .version = query->version,
        .shards_needed = query->part_count,
        .shards_done = query->done_count,
        .missing = (const struct gth_missing *)missing->data,
        .missing_count = missing->len,
        .hits = (const struct gth_hit *)query->hits->data,
        .hit_count = MIN(query->hits->len, query->limit),
    };
    for (guint i = 0; i < missing->len; i++) {
        int rc = g_array_index(missing, struct gth_missing, i).rc;
        cnt_add(gth->counters, "shard_missing_total", rc_name(rc));
    }
    if (answer.rc != RC_OK) {
        cnt_add(gth->counters, "search_failed_total", rc_name(answer.rc));
    }
    else if (missing->len > 0) {
        cnt_add(gth->counters, "search_partial_total", NULL);
    }
    else {
        cnt_add(gth->counters, "search_complete_total", NULL);
    }
    gth->callbacks.finish(gth->callbacks.ctx, query->ctx, &answer);
    g_array_free(missing, TRUE);
    g_hash_table_remove(gth->queries, &query->serial);
}

/* Ends the query if nothing more can be gained. Returns true if it ended. */
static bool
gth_settle(struct gth *gth, struct gth_query *query, int64_t now_us)
{
    (void)gth_restart(gth, query, now_us);
    gth_settle_gone(query, now_us);
    bool is_settled =
        query->version != 0 &&
        query->done_count + query->failed_count == query->part_count;
    if (is_settled || now_us >= query->deadline_us) {
        gth_finish(gth, query);
        return true;
    }
    return false;
}

/* Pins the query if it is not yet, then sends its pending parts. */
static void
gth_advance(struct gth *gth, struct gth_query *query, int64_t now_us)
{
    if (query->version == 0) {
        const struct pln_layout *layout =
            snp_pick(pln_layouts(gth->plan, query->service), 0);
        if (layout == NULL) {
            query->retry_us = now_us + GTH_RETRY_US;
            return;
        }
        gth_pin(query, layout);
    }
    gth_dispatch(gth, query, now_us);
}

struct gth_query *
gth_start(struct gth *gth, const struct gth_request *request, int64_t now_us)
{
    struct gth_query *query = g_new0(struct gth_query, 1);
    query->service = g_strdup(request->service);
    query->text = g_strdup(request->query);
    query->key = g_strdup(request->key);
    query->limit = request->limit;
    query->started_us = now_us;
    query->deadline_us = request->deadline_us;
    query->ctx = request->ctx;
    query->hits = g_array_new(FALSE, FALSE, sizeof(struct gth_hit));
    g_array_set_clear_func(query->hits, gth_hit_clear);
    query->serial = ++gth->last_serial;
    g_hash_table_insert(gth->queries, &query->serial, query);
    bgt_earn(&gth->restarts);
    cnt_add(gth->counters, "search_total", NULL);
    if (now_us < query->deadline_us) {
        gth_advance(gth, query, now_us);
    }
    return gth_settle(gth, query, now_us) ? NULL : query;
}

void
gth_abandon(struct gth *gth, struct gth_query *query)
{
    CH_INVARIANT(g_hash_table_contains(gth->queries, &query->serial));
    gth_cancel_sent(gth, query);
    cnt_add(gth->counters, "search_failed_total", rc_name(RC_CANCELLED));
    g_hash_table_remove(gth->queries, &query->serial);
}

static bool
gth_mark_part(struct gth_query *query, uint64_t shard, uint64_t qid,
              uint64_t mark)
{
    struct gth_part *part = gth_part_find(query, shard);
    if (part == NULL || part->state != GTH_SENT || part->qid != qid ||
        part->mark == mark) {
        return false;
    }
    part->mark = mark;
    return true;
}

/*
 * Why the reply must not be merged, or NULL. Hits are not marked with their
 * shard, so one wrong shard makes all hits of the reply unusable.
 */
static const char *
gth_reply_fault(struct gth *gth, struct gth_query *query,
                const struct msg_reply *reply)
{
    uint64_t mark = ++gth->mark;
    if (reply->version != query->version) {
        return "wrong_version";
    }
    for (size_t i = 0; i < reply->done_count; i++) {
        if (!gth_mark_part(query, reply->done[i].shard, reply->qid, mark)) {
            return "shard_not_asked";
        }
    }
    for (size_t i = 0; i < reply->missing_count; i++) {
        if (!gth_mark_part(query, reply->missing[i].shard, reply->qid, mark)) {
            return "shard_not_asked";
        }
    }
    if (reply->done_count == 0 && reply->hit_count > 0) {
        return "hits_without_shard";
    }
    return NULL;
}

/* Asks the part again after the retry time. */
static void
gth_part_retry(struct gth *gth, struct gth_query *query, struct gth_part *part,
               int64_t now_us)
{
    part->state = GTH_PENDING;
    if (query->retry_us == 0) {
        query->retry_us = now_us + GTH_RETRY_US;
    }
    cnt_add(gth->counters, "part_retry_total", rc_name(part->rc));
}

static void
gth_part_fail(struct gth *gth, struct gth_query *query, struct gth_part *part,
              int rc, int64_t now_us)
{
    part->rc = rc;
    switch (rc) {
    case RC_NOT_HOLDER:
    case RC_STOPPING:
    case RC_RELAY_LOST:
        gth_part_retry(gth, query, part, now_us);
        return;
    case RC_VERSION_GONE:
        part->state = GTH_GONE;
        query->gone_count += 1;
        return;
    case RC_BAD_REPLY:
        part->bad_replies += 1;
        if (part->bad_replies < GTH_MAX_BAD_REPLIES) {
            gth_part_retry(gth, query, part, now_us);
            return;
        }
        break;
    default:
        break;
    }
    part->state = GTH_FAILED;
    query->failed_count += 1;
}

/* The parts that are still unanswered get `rc`. */
static void
gth_fail_sent(struct gth *gth, const struct gth_sent *sent, int rc,
              int64_t now_us)
{
    for (size_t i = 0; i < sent->index_count; i++) {
        struct gth_part *part = &sent->query->parts[sent->indexes[i]];
        if (part->state == GTH_SENT && part->qid == sent->qid) {
            gth_part_fail(gth, sent->query, part, rc, now_us);
        }
    }
}

static void
gth_merge(struct gth *gth, struct gth_query *query,
          const struct msg_reply *reply, int64_t now_us)
{
    for (size_t i = 0; i < reply->done_count; i++) {
        struct gth_part *part = gth_part_find(query, reply->done[i].shard);
        CH_INVARIANT(part->state == GTH_SENT);
        part->state = GTH_DONE;
        part->rc = RC_OK;
        query->done_count += 1;
    }
    for (size_t i = 0; i < reply->missing_count; i++) {
        int rc = (int)reply->missing[i].rc;
        bool is_known = rc != RC_OK && strcmp(rc_name(rc), "unknown") != 0;
        gth_part_fail(gth, query,
                      gth_part_find(query, reply->missing[i].shard),
                      is_known ? rc : RC_BAD_REPLY, now_us);
    }
    size_t hit_count = MIN(reply->hit_count, query->limit);
    for (size_t i = 0; i < hit_count; i++) {
        struct gth_hit hit = {
            .score = reply->hits[i].score,
            .id = g_strdup(reply->hits[i].id),
        };
        g_array_append_val(query->hits, hit);
    }
}

void
gth_reply(struct gth *gth, uint32_t relay, const struct msg_reply *reply,
          int64_t now_us)
{
    const struct gth_sent *sent = g_hash_table_lookup(gth->sent, &reply->qid);
    if (sent == NULL) {
        cnt_add(gth->counters, "reply_dropped_total", "unknown_qid");
        return;
    }
    if (sent->relay != relay) {
        cnt_add(gth->counters, "reply_dropped_total", "wrong_relay");
        return;
    }
    struct gth_query *query = sent->query;
    const char *fault = gth_reply_fault(gth, query, reply);
    if (fault != NULL) {
        cnt_add(gth->counters, "reply_dropped_total", fault);
    }
    else {
        gth_merge(gth, query, reply, now_us);
    }
    /* A relay replies once, so parts that it left out are asked again. */
    gth_fail_sent(gth, sent, RC_BAD_REPLY, now_us);
    g_hash_table_remove(gth->sent, &reply->qid);
    (void)gth_settle(gth, query, now_us);
}

void
gth_relay_lost(struct gth *gth, uint32_t relay, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, gth->sent);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct gth_sent *sent = value;
        if (sent->relay == relay) {
            gth_fail_sent(gth, sent, RC_RELAY_LOST, now_us);
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
gth_map_changed(struct gth *gth, int64_t now_us)
{
    GPtrArray *queries = run_table_values(gth->queries);
    for (guint i = 0; i < queries->len; i++) {
        struct gth_query *query = g_ptr_array_index(queries, i);
        if ((query->retry_us != 0 || query->version == 0) &&
            now_us < query->deadline_us) {
            gth_advance(gth, query, now_us);
        }
        (void)gth_settle(gth, query, now_us);
    }
    g_ptr_array_free(queries, TRUE);
}

void
gth_tick(struct gth *gth, int64_t now_us)
{
    GPtrArray *queries = run_table_values(gth->queries);
    for (guint i = 0; i < queries->len; i++) {
        struct gth_query *query = g_ptr_array_index(queries, i);
        if (query->retry_us != 0 && now_us >= query->retry_us &&
            now_us < query->deadline_us) {
            gth_advance(gth, query, now_us);
        }
        (void)gth_settle(gth, query, now_us);
    }
    g_ptr_array_free(queries, TRUE);
}

int64_t
gth_next_due(const struct gth *gth)
{
    int64_t due_us = INT64_MAX;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, gth->queries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct gth_query *query = value;
        due_us = MIN(due_us, query->deadline_us);
        if (query->retry_us != 0) {
            due_us = MIN(due_us, query->retry_us);
        }
        if (query->gone_count > 0) {
            due_us = MIN(due_us, gth_half_us(query) + 1);
        }
    }
    return due_us;
}
