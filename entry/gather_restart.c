#include "common/rc.h"
#include "entry/gather_query.h"
#include "entry/snapshot.h"

int64_t
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

bool
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

void
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
