#include <string.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "entry/gather_query.h"

/* No result code is below the negative of this. */
#define GTH_MAX_RC 63

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

/*
 * Relays do not offer what no searcher may serve. As many shards as there are
 * such instances are missing for that reason, not for want of a relay.
 */
static void
gth_explain_unrouted(const struct gth *gth, const struct gth_query *query,
                     GArray *missing)
{
    size_t unrouted = 0;
    for (guint i = 0; i < missing->len; i++) {
        unrouted +=
            g_array_index(missing, struct gth_missing, i).rc == RC_NO_RELAY;
    }
    if (unrouted == 0 || unrouted > gth->callbacks.idle_instances(
                                        gth->callbacks.ctx, query->service)) {
        return;
    }
    for (guint i = 0; i < missing->len; i++) {
        struct gth_missing *item =
            &g_array_index(missing, struct gth_missing, i);
        if (item->rc == RC_NO_RELAY) {
            item->rc = RC_ZONE_OUT;
        }
    }
}

void
gth_finish(struct gth *gth, struct gth_query *query)
{
    gth_cancel_sent(gth, query);
    GArray *missing = gth_collect_missing(query);
    gth_explain_unrouted(gth, query, missing);
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
