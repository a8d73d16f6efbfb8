#include "common/rc.h"
#include "gateway/balancer_check.h"

/* Requests queue at a backend server whose latency is above this multiple of
 * the usual one, in thousandths. */
#define BALANCER_LOADED_PERMILLE 3500
#define BALANCER_PERMILLE 1000

bool
balancer_is_tried(const struct balancer_request *request,
                  const struct backend *backend)
{
    for (uint32_t i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == backend) {
            return true;
        }
    }
    return false;
}

static bool
balancer_is_cold_limited(const struct balancer_request *request,
                         const struct backend *backend, int64_t now_us)
{
    if (request->service->warmup_per_s <= 0 ||
        !backend_is_cold(backend, now_us)) {
        return false;
    }
    /* Requests that wait for their connection will be sent too. */
    uint32_t used =
        cold_count(&backend->cold, now_us) + backend_connecting_count(backend);
    struct share_place place = request->bounds.place;
    /* Shifted by the backend server, so that each VM may send to some of
     * them. */
    place.index += g_str_hash(backend->id) % MAX(place.count, 1);
    uint32_t share = share_cold_per_s(
        request->service->warmup_per_s, request->bounds.warmup_overshoot,
        request->bounds.warmup_slack, request->bounds.vms, place);
    return used >= MIN(share, COLD_COUNT_MAX);
}

/*
 * Whether requests queue at the backend server: it takes much longer than is
 * usual on the route. They should wait in this VM's queue instead, where a
 * request that is cancelled costs the backend server nothing.
 */
static bool
balancer_is_loaded(const struct balancer_request *request,
                   const struct backend *backend)
{
    return request->baseline_us > 0 &&
           backend->latency_us > request->baseline_us *
                                     BALANCER_LOADED_PERMILLE /
                                     BALANCER_PERMILLE;
}

uint32_t
balancer_request_limit(const struct balancer_request *request,
                       const struct backend *backend)
{
    uint32_t share = share_connections(request->service->connections_max,
                                       request->bounds.vms);
    return balancer_is_loaded(request, backend)
               ? MIN(share,
                     share_slot_requests(backend->slots, request->bounds.vms))
               : share;
}

static bool
balancer_is_available(const struct backend_set *set,
                      const struct balancer_request *request,
                      const struct backend *backend, int64_t now_us)
{
    uint32_t share = share_connections(request->service->connections_max,
                                       request->bounds.vms);
    if (request->is_late && now_us < backend->next_late_us) {
        return false;
    }
    if (balancer_is_loaded(request, backend)) {
        if (request->is_hedge) {
            return false;
        }
        uint32_t limit =
            share_slot_requests(backend->slots, request->bounds.vms);
        if (backend_busy_count(backend) >= limit) {
            return false;
        }
    }
    return backend_idle_link(backend, now_us) != NULL ||
           (backend->links->len < share &&
            backend_has_link_room(set, backend->service) &&
            backend_may_connect(backend, now_us));
}

/* Whether the backend server has said that it is leaving and may no longer be
 * used, not even if no other one can serve. */
static bool
balancer_has_left(const struct backend *backend, int64_t leaving_use_us,
                  int64_t now_us)
{
    return notice_is_leaving(&backend->notice) &&
           now_us - backend->notice.leaving_us >= leaving_use_us;
}

bool
balancer_is_unwanted(const struct backend *backend, int64_t leaving_use_us,
                     int64_t now_us)
{
    return notice_is_backing_off(&backend->notice, now_us) ||
           balancer_has_left(backend, leaving_use_us, now_us);
}

/* Whether operators or the backend server itself took it out of use. */
static bool
balancer_is_out(const struct backend *backend, GHashTable *drained_dcs,
                int64_t leaving_use_us, int64_t now_us)
{
    return backend->is_draining ||
           g_hash_table_contains(drained_dcs, backend->dc) ||
           balancer_has_left(backend, leaving_use_us, now_us);
}

int
balancer_check(const struct backend_set *set,
               const struct balancer_request *request,
               const struct backend *backend, int64_t now_us)
{
    if (balancer_is_out(backend, request->drained_dcs,
                        request->bounds.leaving_use_us, now_us)) {
        return RC_ZONE_OUT;
    }
    if (backend->wrong_id_us > 0 ||
        (request->exclude_tried && balancer_is_tried(request, backend))) {
        return RC_NO_SEARCHER;
    }
    if (notice_is_backing_off(&backend->notice, now_us)) {
        return backend->notice.backoff_until_us < request->wait_until_us
                   ? RC_LIMIT
                   : RC_BACKOFF;
    }
    if (backend_is_unreachable(backend, now_us) &&
        backend_idle_link(backend, now_us) == NULL) {
        return RC_LINK_FAILED;
    }
    if (balancer_is_cold_limited(request, backend, now_us) ||
        !balancer_is_available(set, request, backend, now_us)) {
        return RC_LIMIT;
    }
    return RC_OK;
}

void
balancer_on_send(struct backend *backend, bool is_late, uint32_t vms,
                 int64_t now_us)
{
    if (is_late) {
        /* Spaces late requests so that all VMs together have about as many of
         * them in flight as the backend server has slots. */
        backend->next_late_us =
            now_us + backend->latency_us * vms / MAX(backend->slots, 1);
    }
    if (backend_is_cold(backend, now_us)) {
        cold_on_send(&backend->cold, now_us);
    }
}

int64_t
balancer_usable_in_us(const struct backend_set *set, const char *service,
                      GHashTable *drained_dcs, int64_t leaving_use_us,
                      int64_t now_us)
{
    int64_t usable_in_us = INT64_MAX;
    const GPtrArray *all = backend_replicas(set, service);
    for (guint i = 0; all != NULL && i < all->len; i++) {
        const struct backend *backend = g_ptr_array_index(all, i);
        if (backend->wrong_id_us == 0 &&
            !balancer_is_out(backend, drained_dcs, leaving_use_us, now_us)) {
            int64_t wait_us = backend->notice.backoff_until_us - now_us;
            usable_in_us = MIN(usable_in_us, MAX(wait_us, 0));
        }
    }
    return usable_in_us;
}
