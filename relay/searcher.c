#include <string.h>

#include "relay/searcher.h"
#include "common/invariant.h"
#include "common/rc.h"

#define SCH_LATENCY_WEIGHT 8
/* After this time without a request half of the distance between the moving
 * average and the norm is forgotten, so that a bad moment does not keep a
 * replica without work, and without new samples, for good. */
#define SCH_FORGET_US 500000
#define SCH_FORGET_MAX 16
#define SCH_UNANSWERED_PENALTY_US 1000000

struct sch *
sch_new(const struct cfg_service *service, const struct cfg_searcher *searcher,
        const struct lnk_calls *calls, void *ctx, void *owner,
        struct cnt_set *counters)
{
    struct sch *sch = g_new0(struct sch, 1);
    sch->name = g_strdup(searcher->name);
    sch->zone = g_strdup(searcher->zone);
    sch->address = g_strdup(searcher->address);
    sch->slots = (uint32_t)service->slots;
    sch->owner = owner;
    sch->counters = counters;
    cold_init(&sch->cold, (uint32_t)service->cold_share_permille,
              service->cold_ramp_ms * 1000, sch->slots);
    lnk_pool_init(&sch->pool, (uint32_t)service->connections, sch->slots,
                  calls, ctx, sch, counters);
    return sch;
}

void
sch_free(struct sch *sch)
{
    lnk_pool_clear(&sch->pool);
    g_free(sch->name);
    g_free(sch->zone);
    g_free(sch->address);
    g_free(sch);
}

bool
sch_is_in(const struct sch *sch)
{
    return sch->is_zone_in && !sch->is_leaving && !sch->status.is_draining;
}

static void
sch_turn_cold(struct sch *sch, const char *reason)
{
    cnt_add(sch->counters, "cold_starts_total", reason);
}

static void
sch_rename(struct sch *sch, const struct cfg_searcher *searcher)
{
    g_free(sch->name);
    g_free(sch->zone);
    sch->name = g_strdup(searcher->name);
    sch->zone = g_strdup(searcher->zone);
}

bool
sch_configure(struct sch *sch, const struct cfg_service *service,
              const struct cfg_searcher *searcher, bool is_zone_in,
              int64_t now_us)
{
    bool was_out = !sch->is_zone_in || sch->is_leaving;
    bool was_in = sch_is_in(sch);
    sch->slots = (uint32_t)service->slots;
    sch->is_zone_in = is_zone_in;
    sch->is_leaving = searcher->is_leaving;
    sch->is_removed = false;
    sch_rename(sch, searcher);
    cold_configure(&sch->cold, (uint32_t)service->cold_share_permille,
                   service->cold_ramp_ms * 1000, sch->slots);
    lnk_pool_configure(&sch->pool, (uint32_t)service->connections, sch->slots);
    if (was_out && sch->is_zone_in && !sch->is_leaving) {
        cold_restart(&sch->cold, now_us);
        sch_turn_cold(sch, "returned");
    }
    return was_in != sch_is_in(sch);
}

void
sch_expect_warm(struct sch *sch, uint64_t start)
{
    if (sch->is_zone_in && !sch->is_leaving) {
        cold_expect_warm(&sch->cold, start);
    }
}

bool
sch_is_warm(const struct sch *sch, int64_t now_us)
{
    return sch_is_in(sch) && !sch->is_removed &&
           cold_is_warm(&sch->cold, now_us);
}

void
sch_note_start(struct sch *sch, uint64_t start, int64_t now_us)
{
    if (cold_note_start(&sch->cold, start, now_us)) {
        sch_turn_cold(sch, "start");
        /* What it serves may have changed: read the status soon. */
        sch->pool.polled_us = 0;
    }
}

static bool
sch_status_equal(const struct sch_status *a, const struct sch_status *b)
{
    return a->is_draining == b->is_draining &&
           a->version_count == b->version_count &&
           memcmp(a->versions, b->versions,
                  a->version_count * sizeof(a->versions[0])) == 0;
}

bool
sch_note_status(struct sch *sch, const struct sch_status *status,
                int64_t now_us)
{
    sch->answered_us = now_us;
    sch->unanswered_count = 0;
    if (cold_note_start(&sch->cold, status->start, now_us)) {
        sch_turn_cold(sch, "start");
    }
    bool is_changed =
        !sch->has_status || !sch_status_equal(&sch->status, status);
    sch->has_status = true;
    sch->status = *status;
    return is_changed;
}

void
sch_forget_version(struct sch *sch, uint64_t version, uint64_t shard)
{
    struct sch_status *status = &sch->status;
    for (uint32_t i = 0; i < status->version_count; i++) {
        if (status->versions[i].version == version &&
            status->versions[i].shard == shard) {
            status->version_count -= 1;
            status->versions[i] = status->versions[status->version_count];
            break;
        }
    }
    sch->pool.polled_us = 0;
}

bool
sch_serves(const struct sch *sch, uint64_t version, uint64_t shard)
{
    for (uint32_t i = 0; i < sch->status.version_count; i++) {
        if (sch->status.versions[i].version == version &&
            sch->status.versions[i].shard == shard) {
            return true;
        }
    }
    return false;
}

bool
sch_is_offered(const struct sch *sch, int64_t now_us)
{
    return sch_is_in(sch) && sch->has_status &&
           now_us - sch->answered_us < SCH_LOST_US;
}

uint32_t
sch_used(const struct sch *sch)
{
    return sch->in_flight + sch->pool.closing;
}

int
sch_may_start(struct sch *sch, int64_t now_us)
{
    if (!sch_is_in(sch)) {
        return RC_ZONE_OUT;
    }
    uint32_t used = sch_used(sch);
    if (used >= sch->slots || !cold_may_start(&sch->cold, used, now_us)) {
        return RC_LIMIT;
    }
    return RC_OK;
}

int64_t
sch_service_us(const struct sch *sch)
{
    return sch->latency_us > 0 ? sch->latency_us : SCH_LATENCY_GUESS_US;
}

int64_t
sch_expected_us(const struct sch *sch, int64_t now_us)
{
    int64_t service_us = sch_service_us(sch);
    if (sch->cold.norm_us > 0) {
        int64_t steps = (now_us - sch->latency_at_us) / SCH_FORGET_US;
        int64_t shift = CLAMP(steps, 0, SCH_FORGET_MAX);
        service_us = sch->cold.norm_us +
                     (service_us - sch->cold.norm_us) / (1LL << shift);
    }
    int64_t limit = MIN(cold_limit(&sch->cold, now_us), sch->slots);
    int64_t expected_us = service_us * (limit + sch->in_flight) / limit;
    if (sch->unanswered_count >= SCH_UNANSWERED_MAX) {
        expected_us += SCH_UNANSWERED_PENALTY_US;
    }
    return expected_us;
}

void
sch_on_start(struct sch *sch, int64_t now_us)
{
    uint32_t used = sch_used(sch);
    CH_INVARIANT(sch->is_zone_in);
    CH_INVARIANT(!sch->is_leaving);
    CH_INVARIANT(!sch->status.is_draining);
    CH_INVARIANT(used < sch->slots);
    cold_on_start(&sch->cold, used, now_us);
    sch->in_flight += 1;
    sch->started_count += 1;
}

static void
sch_note_latency(struct sch *sch, int64_t latency_us, int64_t now_us)
{
    if (sch->latency_us == 0) {
        sch->latency_us = latency_us;
    }
    sch->latency_us += (latency_us - sch->latency_us) / SCH_LATENCY_WEIGHT;
    sch->latency_at_us = now_us;
}

/* A request that was closed before its answer. Returns true if the searcher
 * turned cold. */
static bool
sch_note_closed(struct sch *sch, bool is_failed, int64_t latency_us,
                int64_t now_us)
{
    sch->unanswered_count += 1;
    bool is_slow = cold_is_slow(&sch->cold, latency_us);
    if (is_slow) {
        sch_note_latency(sch, latency_us, now_us);
    }
    return (is_slow || is_failed) &&
           cold_note_slow(&sch->cold, now_us - latency_us, now_us);
}

static bool
sch_judge_end(struct sch *sch, enum sch_end end, int64_t latency_us,
              int64_t now_us)
{
    if (end == SCH_CANCELLED || end == SCH_FAILED) {
        return sch_note_closed(sch, end == SCH_FAILED, latency_us, now_us);
    }
    sch->answered_us = now_us;
    sch->unanswered_count = 0;
    if (end == SCH_SHED) {
        return cold_note_shed(&sch->cold, now_us - latency_us, now_us);
    }
    if (end == SCH_ERROR) {
        return cold_note_slow(&sch->cold, now_us - latency_us, now_us);
    }
    if (end == SCH_DECLINED) {
        return false;
    }
    sch_note_latency(sch, latency_us, now_us);
    return cold_note_latency(&sch->cold, latency_us, now_us);
}

void
sch_on_end(struct sch *sch, enum sch_end end, int64_t started_us,
           int64_t now_us)
{
    CH_INVARIANT(sch->in_flight > 0);
    sch->in_flight -= 1;
    if (end == SCH_UNSENT) {
        return;
    }
    int64_t latency_us = now_us - started_us;
    cold_on_finish(&sch->cold, started_us, now_us);
    if (sch_judge_end(sch, end, latency_us, now_us)) {
        sch_turn_cold(sch, "latency");
    }
}
