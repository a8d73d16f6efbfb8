#include "relay/pick.h"
#include "common/rc.h"

static bool
pck_is_avoided(const struct pck_request *request, const struct sch *sch)
{
    for (uint32_t i = 0; i < request->avoid_count; i++) {
        if (request->avoid[i] == sch) {
            return true;
        }
    }
    return false;
}

/* Why no searcher can serve the part, now or soon. */
static int
pck_explain(const GPtrArray *searchers, const struct pck_request *request)
{
    int rc = RC_NO_SEARCHER;
    for (guint i = 0; i < searchers->len; i++) {
        const struct sch *sch = g_ptr_array_index(searchers, i);
        if (sch_is_in(sch) && !sch->has_status) {
            return RC_LIMIT; /* what it serves is not known yet */
        }
        if (!sch_is_in(sch) &&
            sch_serves(sch, request->version, request->shard)) {
            rc = RC_ZONE_OUT;
        }
        else if (rc == RC_NO_SEARCHER && sch_is_in(sch)) {
            rc = RC_VERSION_GONE;
        }
    }
    return rc;
}

static bool
pck_has_link(const struct sch *sch, bool is_order, int64_t now_us)
{
    return is_order ? lnk_idle_proven(&sch->pool, now_us) != NULL
                    : lnk_idle(&sch->pool) != NULL;
}

int
pck_choose(const GPtrArray *searchers, const struct pck_request *request,
           int64_t now_us, struct sch **out)
{
    bool is_served = false;
    bool has_fresh = false; /* one that was not tried and has links */
    struct sch *best = NULL;
    bool best_avoided = false;
    int64_t best_us = 0;
    for (guint i = 0; i < searchers->len; i++) {
        struct sch *sch = g_ptr_array_index(searchers, i);
        bool is_avoided = pck_is_avoided(request, sch);
        if (!sch_is_in(sch) ||
            !sch_serves(sch, request->version, request->shard) ||
            (is_avoided && request->is_strict)) {
            continue;
        }
        is_served = true;
        has_fresh |= !is_avoided && lnk_up_count(&sch->pool) > 0;
        if (sch_may_start(sch, now_us) != RC_OK ||
            !pck_has_link(sch, request->is_order, now_us)) {
            continue;
        }
        int64_t expected_us = sch_expected_us(sch, now_us);
        if (best == NULL || (best_avoided && !is_avoided) ||
            (best_avoided == is_avoided && expected_us < best_us)) {
            best = sch;
            best_avoided = is_avoided;
            best_us = expected_us;
        }
    }
    if (best != NULL && !(best_avoided && has_fresh)) {
        *out = best;
        return RC_OK;
    }
    return is_served ? RC_LIMIT : pck_explain(searchers, request);
}
