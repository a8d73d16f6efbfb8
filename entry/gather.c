#include "common/invariant.h"
#include "common/rc.h"
#include "entry/gather_query.h"
#include "entry/running.h"
#include "entry/snapshot.h"

/* Restarts are at most a quarter of all queries. A version that disappears
 * hits all running queries at once, hence the burst. */
#define GTH_RESTART_PERMILLE 250
#define GTH_RESTART_BURST 64

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

bool
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
    struct gth_query *query =
        gth_query_new(request, ++gth->last_serial, now_us);
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
