#include "common/invariant.h"
#include "common/rc.h"
#include "gateway/balancer_check.h"

/* Latency assumed for a backend server that never answered. */
#define BALANCER_DEFAULT_LATENCY_US (5 * 1000)
/* A backend server is taken to be paused if a request is unanswered for more
 * than this many times the usual latency, and for more than this time. */
#define BALANCER_PAUSE_FACTOR 3
#define BALANCER_PAUSE_MIN_US (25 * 1000)
/* Added to the expected time of a backend server that should only be used if
 * no other one can. */
#define BALANCER_PENALTY_US (1000 * 1000)
/* Mean delay that a failed request causes; it is weighted with the failure
 * rate of the backend server. */
#define BALANCER_FAILURE_COST_US (40 * 1000)
#define BALANCER_PERMILLE 1000
/* A backend server that looked slower and was not used for this time is probed
 * with this share of the requests. */
#define BALANCER_PROBE_INTERVAL_US (1000 * 1000)
#define BALANCER_PROBE_SHARE 0.15
/* Replicas whose expected time is within this factor of the shortest, plus
 * this margin, count as equally good. */
#define BALANCER_EQUAL_PERMILLE 1500
#define BALANCER_EQUAL_US 1000
#define BALANCER_CANDIDATES_MAX 16
#define BALANCER_SECOND_US (1000 * 1000)

struct balancer_candidate {
    struct backend *backend;
    int64_t cost_us;
    bool is_remote; /* in another data centre */
};

static int64_t
balancer_latency_us(const struct backend *backend)
{
    return backend->latency_us > 0 ? backend->latency_us
                                   : BALANCER_DEFAULT_LATENCY_US;
}

/* Returns the expected time of one more request to the backend server,
 * including penalties. */
static int64_t
balancer_cost_us(const struct balancer_request *request,
                 const struct backend *backend, int64_t now_us)
{
    int64_t latency_us = balancer_latency_us(backend);
    uint32_t slots = MAX(backend->slots, 1);
    int64_t cost_us =
        latency_us + latency_us * backend_busy_count(backend) / slots;
    int64_t oldest_us = backend_oldest_request_us(backend, now_us);
    if (oldest_us > BALANCER_PAUSE_MIN_US &&
        oldest_us > latency_us * BALANCER_PAUSE_FACTOR) {
        cost_us += oldest_us;
    }
    cost_us += (int64_t)backend->fail_permille * BALANCER_FAILURE_COST_US /
               BALANCER_PERMILLE;
    if (now_us < backend->avoid_until_us || backend->remove_us > 0) {
        cost_us += BALANCER_PENALTY_US;
    }
    if (balancer_is_tried(request, backend)) {
        cost_us += BALANCER_PENALTY_US;
    }
    return cost_us;
}

/* Whether the backend server failed recently, or was tried for this request.
 */
static bool
balancer_has_failed(const struct balancer_request *request,
                    const struct backend *backend, int64_t now_us)
{
    return now_us < backend->avoid_until_us ||
           !backend_may_connect(backend, now_us) ||
           balancer_is_tried(request, backend);
}

/* Whether the backend server refused this request as full a moment ago. */
static bool
balancer_was_full(const struct balancer_request *request,
                  const struct backend *backend)
{
    for (uint32_t i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == backend && request->was_full[i]) {
            return true;
        }
    }
    return false;
}

/* Returns which of two reasons against two replicas of a service is reported:
 * the one that will end sooner. */
static int
balancer_merge_rc(int a, int b)
{
    static const int soonest_first[] = {RC_LIMIT, RC_LINK_FAILED, RC_BACKOFF,
                                        RC_ZONE_OUT};
    for (size_t i = 0; i < G_N_ELEMENTS(soonest_first); i++) {
        if (a == soonest_first[i] || b == soonest_first[i]) {
            return soonest_first[i];
        }
    }
    return RC_NO_SEARCHER;
}

/* Returns the expected time up to which replicas count as equally good. */
static int64_t
balancer_equal_limit_us(const struct balancer_candidate *candidates,
                        uint32_t count)
{
    int64_t best_us = INT64_MAX;
    for (uint32_t i = 0; i < count; i++) {
        best_us = MIN(best_us, candidates[i].cost_us);
    }
    return best_us * BALANCER_EQUAL_PERMILLE / BALANCER_PERMILLE +
           BALANCER_EQUAL_US;
}

/* Returns a backend server that looked slower and is due for a probe, or NULL.
 */
static struct backend *
balancer_probe(const struct balancer_candidate *candidates, uint32_t count,
               int64_t now_us)
{
    int64_t limit_us = balancer_equal_limit_us(candidates, count);
    for (uint32_t i = 0; i < count; i++) {
        struct backend *backend = candidates[i].backend;
        if (candidates[i].cost_us > limit_us && backend->last_chosen_us > 0 &&
            now_us - backend->last_chosen_us >= BALANCER_PROBE_INTERVAL_US &&
            now_us >= backend->avoid_until_us &&
            backend_busy_count(backend) == 0) {
            return backend;
        }
    }
    return NULL;
}

/*
 * Returns one of the replicas with about the shortest expected time. Those in
 * this data centre go first, since traffic between data centres costs money.
 */
static struct backend *
balancer_pick(const struct balancer_candidate *candidates, uint32_t count,
              double random)
{
    int64_t limit_us = balancer_equal_limit_us(candidates, count);
    uint32_t equal[BALANCER_CANDIDATES_MAX];
    uint32_t equal_count = 0;
    bool only_remote = true;
    for (uint32_t i = 0; i < count; i++) {
        if (candidates[i].cost_us > limit_us ||
            (candidates[i].is_remote && !only_remote)) {
            continue;
        }
        if (only_remote && !candidates[i].is_remote) {
            only_remote = false;
            equal_count = 0;
        }
        equal[equal_count] = i;
        equal_count += 1;
    }
    CH_INVARIANT(equal_count > 0);
    uint32_t chosen = (uint32_t)(random * equal_count);
    return candidates[equal[MIN(chosen, equal_count - 1)]].backend;
}

/* What a pass over the replicas of a service found. */
struct balancer_scan {
    struct balancer_candidate candidates[BALANCER_CANDIDATES_MAX];
    uint32_t count;
    bool has_healthy;      /* a candidate has not failed recently */
    bool has_healthy_busy; /* nor has one that is at a limit of this VM */
    int rc;                /* why the others may not get the request */
};

static void
balancer_scan_add(struct balancer_scan *scan, const struct backend_set *set,
                  const struct balancer_request *request,
                  struct backend *backend, int64_t now_us)
{
    int rc = balancer_check(set, request, backend, now_us);
    bool is_healthy = !balancer_has_failed(request, backend, now_us);
    if (rc == RC_OK && balancer_was_full(request, backend)) {
        rc = RC_LIMIT;
        is_healthy = true;
    }
    scan->has_healthy = scan->has_healthy || (rc == RC_OK && is_healthy);
    scan->has_healthy_busy =
        scan->has_healthy_busy || (rc == RC_LIMIT && is_healthy);
    if (rc != RC_OK) {
        scan->rc = balancer_merge_rc(scan->rc, rc);
        return;
    }
    if (scan->count < BALANCER_CANDIDATES_MAX) {
        scan->candidates[scan->count] = (struct balancer_candidate){
            .backend = backend,
            .cost_us = balancer_cost_us(request, backend, now_us),
            .is_remote = g_strcmp0(backend->dc, request->dc) != 0,
        };
        scan->count += 1;
    }
}

/* Scans the replicas that have said that they are leaving, or the others. */
static void
balancer_scan_replicas(struct balancer_scan *scan,
                       const struct backend_set *set,
                       const struct balancer_request *request, bool is_leaving,
                       int64_t now_us)
{
    *scan = (struct balancer_scan){.rc = RC_NO_SEARCHER};
    const GPtrArray *all = backend_replicas(set, request->service->name);
    guint all_count = all != NULL ? all->len : 0;
    /* Starts at a random replica: of more than BALANCER_CANDIDATES_MAX, each
     * one is considered at times. */
    guint first = (guint)(request->random * all_count);
    for (guint i = 0; i < all_count; i++) {
        struct backend *backend =
            g_ptr_array_index(all, (first + i) % all_count);
        if (notice_is_leaving(&backend->notice) == is_leaving) {
            balancer_scan_add(scan, set, request, backend, now_us);
        }
    }
}

/* Returns a replica to probe, if the request is chosen for that, or else one
 * of those with about the shortest expected time. */
static struct backend *
balancer_probe_or_pick(const struct balancer_request *request,
                       const struct balancer_scan *scan, int64_t now_us)
{
    struct backend *probed = NULL;
    double random = request->random;
    if (request->may_probe && random < BALANCER_PROBE_SHARE) {
        probed = balancer_probe(scan->candidates, scan->count, now_us);
        random /= BALANCER_PROBE_SHARE;
    }
    return probed != NULL
               ? probed
               : balancer_pick(scan->candidates, scan->count, random);
}

/* As balancer_choose() among the replicas that have said that they are
 * leaving, or among the others. */
static int
balancer_choose_among(const struct backend_set *set,
                      const struct balancer_request *request, bool is_leaving,
                      int64_t now_us, struct backend **out)
{
    struct balancer_scan scan;
    balancer_scan_replicas(&scan, set, request, is_leaving, now_us);
    if (scan.count == 0) {
        return scan.rc;
    }
    if (scan.has_healthy_busy && !scan.has_healthy) {
        /* Waiting for a busy backend server that works is better than using
         * one that just failed. */
        return RC_LIMIT;
    }
    *out = balancer_probe_or_pick(request, &scan, now_us);
    (*out)->last_chosen_us = now_us;
    return RC_OK;
}

int
balancer_choose(const struct backend_set *set,
                const struct balancer_request *request, int64_t now_us,
                struct backend **out)
{
    int rc = balancer_choose_among(set, request, false, now_us, out);
    if (rc == RC_OK || rc == RC_LIMIT) {
        return rc;
    }
    int leaving_rc = balancer_choose_among(set, request, true, now_us, out);
    return leaving_rc == RC_OK ? RC_OK : balancer_merge_rc(rc, leaving_rc);
}

struct balancer_capacity
balancer_capacity(const struct backend_set *set,
                  const struct balancer_request *request, int64_t now_us)
{
    struct balancer_capacity capacity = {.latency_us = INT64_MAX};
    const GPtrArray *all = backend_replicas(set, request->service->name);
    for (guint i = 0; all != NULL && i < all->len; i++) {
        const struct backend *backend = g_ptr_array_index(all, i);
        int rc = balancer_check(set, request, backend, now_us);
        if ((rc != RC_OK && rc != RC_LIMIT) ||
            now_us < backend->avoid_until_us) {
            continue;
        }
        int64_t latency_us = balancer_latency_us(backend);
        capacity.per_s += (double)balancer_request_limit(request, backend) *
                          BALANCER_SECOND_US / (double)latency_us;
        capacity.latency_us = MIN(capacity.latency_us, latency_us);
    }
    return capacity;
}
