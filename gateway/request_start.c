#include "common/log.h"
#include "common/rc.h"
#include "gateway/request.h"

/* Arrival of a request: looks up its route, decides on its admission, and
 * either refuses it or starts its parts. */

#define GATEWAY_SECOND_US 1e6

/*
 * Returns the time that the caller has already spent on earlier tries and on
 * connecting. A request says how long its caller still waits, and all callers
 * of a route start with the same wait, so it is the difference to the longest
 * wait seen. Returns 0 if that is not below the objective: the request is late
 * in any case, or its caller started with another wait.
 */
static int64_t
gateway_spent_us(struct gateway *gateway, const struct route *route,
                 int64_t wait_us)
{
    struct route_stats *stats = gateway_route_stats(gateway, route);
    stats->wait_max_us = MAX(stats->wait_max_us, wait_us);
    int64_t spent_us = stats->wait_max_us - wait_us;
    return spent_us < route->objective_us ? spent_us : 0;
}

/* Whether the caller was refused before, inferred from how much of its wait
 * has passed. */
static bool
gateway_is_retry(struct gateway *gateway, const struct route *route,
                 int64_t wait_us)
{
    return gateway_route_stats(gateway, route)->wait_max_us - wait_us >=
           ADMIT_RETRY_AFTER_MIN_US;
}

/* A request at its arrival, with what is derived from it. */
struct arrival {
    const struct request_params *params;
    const struct route *route;
    uint32_t first_target; /* first of the targets that are asked */
    uint32_t target_count;
    int64_t spent_us;
    int64_t deadline_us;
    bool is_retry; /* see gateway_is_retry() */
};

static struct arrival
gateway_arrival(struct gateway *gateway, const struct route *route,
                const struct request_params *params, int64_t now_us)
{
    bool asks_all =
        route->is_gather && params->only_target == REQUEST_ALL_TARGETS;
    struct arrival arrival = {
        .params = params,
        .route = route,
        .target_count = asks_all ? route->targets->len : 1,
        .deadline_us = MIN(params->deadline_us, now_us + route->timeout_us),
    };
    if (params->only_target != REQUEST_ALL_TARGETS) {
        arrival.first_target = (uint32_t)params->only_target;
    }
    else if (!route->is_gather) {
        arrival.first_target = gateway_pick_target(gateway, route);
    }
    if (params->estimate_spent && params->deadline_us < INT64_MAX) {
        int64_t wait_us = params->deadline_us - now_us;
        arrival.spent_us = gateway_spent_us(gateway, route, wait_us);
        arrival.is_retry = gateway_is_retry(gateway, route, wait_us);
    }
    return arrival;
}

/* Returns the pool of the route's first service: routes that have it in common
 * have all their services in common. */
static struct admit_pool *
gateway_admit_pool(struct gateway *gateway, const struct arrival *arrival)
{
    return admit_get_pool(
        &gateway->admit,
        g_array_index(arrival->route->targets, struct route_target, 0)
            .service->name);
}

static const struct service *
gateway_target_service(const struct arrival *arrival, uint32_t i)
{
    return g_array_index(arrival->route->targets, struct route_target,
                         arrival->first_target + i)
        .service;
}

/* Returns the memory of a request in progress that counts in its share. */
static uint64_t
request_bytes(const struct arrival *arrival)
{
    uint64_t bytes =
        sizeof(struct request) + arrival->target_count * sizeof(struct part);
    return bytes > RESOURCE_SMALL_BYTES ? bytes : 0;
}

/* Takes the room for a request. Returns RC_OK, RC_LIMIT if too many requests
 * are in progress, or RC_NO_MEMORY. */
static int
gateway_take_room(struct gateway *gateway, const struct arrival *arrival)
{
    const struct admit_pool *pool = gateway_admit_pool(gateway, arrival);
    if (!admit_leaves_room(&gateway->admit, pool, gateway->requests.length,
                           gateway->request_max)) {
        return RC_LIMIT;
    }
    return resource_reserve(gateway->request_share, request_bytes(arrival))
               ? RC_OK
               : RC_NO_MEMORY;
}

static struct request *
request_new(struct gateway *gateway, const struct arrival *arrival,
            bool is_late, int64_t now_us)
{
    struct request *request = g_new0(struct request, 1);
    gateway->request_serial += 1;
    request->gateway = gateway;
    request->params = *arrival->params;
    request->serial = gateway->request_serial;
    request->config = gateway_config_ref(gateway->config);
    request->route = arrival->route;
    request->started_us = now_us;
    request->spent_us = arrival->spent_us;
    request->deadline_us = arrival->deadline_us;
    request->due_us = request->deadline_us;
    request->part_count = arrival->target_count;
    request->reserved_bytes = request_bytes(arrival);
    request->parts = g_new0(struct part, request->part_count);
    for (uint32_t i = 0; i < request->part_count; i++) {
        struct part *part = &request->parts[i];
        part->request = request;
        part->target = arrival->first_target + i;
        part->service = gateway_target_service(arrival, i);
        part->queue_item = (struct queue_item){
            .link = {.data = part},
            .arrival_us = now_us - request->spent_us,
            .is_late = is_late,
        };
    }
    if (request->route->is_gather) {
        request->records = buffer_new(gateway->answer_share);
    }
    request->pool = gateway_admit_pool(gateway, arrival);
    request->is_late = is_late;
    admit_on_start(request->pool, is_late);
    request->link.data = request;
    g_queue_push_tail_link(&gateway->requests, &request->link);
    return request;
}

/* Answers a request that was not sent to any backend server. */
static void
gateway_refuse(struct gateway *gateway, const struct request_params *params,
               int rc, int64_t retry_after_us)
{
    counter_add(gateway->counters, "gateway_answers", rc_name(rc));
    log_sample("request",
               "request refused id=%s rc=%s host=%s target=%s "
               "config=%" G_GINT64_FORMAT " stale=%d",
               params->id, rc_name(rc), params->host, params->target,
               gateway->config != NULL ? gateway->config->version : 0,
               gateway->is_config_stale);
    struct caller_answer answer = {
        .rc = rc,
        .retry_after_us = retry_after_us,
    };
    params->on_answer(&answer, params->ctx);
}

/* As balancer_usable_in_us() for the service of the route's target. */
static int64_t
gateway_usable_in_us(const struct gateway *gateway, const struct route *route,
                     uint32_t target, int64_t now_us)
{
    const struct service *service =
        g_array_index(route->targets, struct route_target, target).service;
    return balancer_usable_in_us(&gateway->backends, service->name,
                                 gateway->drained_dcs,
                                 gateway->bounds.leaving_use_us, now_us);
}

static uint32_t
gateway_coverage_permille(const struct route *route)
{
    return route->is_gather ? route->coverage_min_permille : 1000;
}

int64_t
gateway_coverage_in_us(const struct gateway *gateway,
                       const struct route *route, uint32_t first_target,
                       uint32_t target_count, int64_t now_us)
{
    int64_t *part_us = g_new(int64_t, target_count);
    for (uint32_t i = 0; i < target_count; i++) {
        part_us[i] =
            gateway_usable_in_us(gateway, route, first_target + i, now_us);
    }
    int64_t coverage_us = admit_coverage_us(part_us, target_count,
                                            gateway_coverage_permille(route));
    g_free(part_us);
    return coverage_us;
}

bool
gateway_has_dc_in_use(const struct gateway *gateway)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, gateway->backends.by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct backend *backend = value;
        if (!g_hash_table_contains(gateway->drained_dcs, backend->dc)) {
            return true;
        }
    }
    return false;
}

bool
gateway_lacks_backends(const struct gateway *gateway, int64_t now_us)
{
    if (gateway->config == NULL) {
        return false;
    }
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, gateway->config->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct route *route = value;
        for (guint i = 0; i < route->targets->len; i++) {
            if (gateway_usable_in_us(gateway, route, i, now_us) == INT64_MAX) {
                return true;
            }
        }
    }
    return false;
}

/*
 * Returns the expected time of a part of the target's service: the time for
 * the parts ahead of it in the queue, and its own. Returns 0 if none is ahead:
 * slow answers alone are no reason to refuse. Returns INT64_MAX if no backend
 * server can be used.
 */
static int64_t
gateway_part_expected_us(struct gateway *gateway,
                         const struct arrival *arrival, uint32_t target,
                         uint32_t ahead_count, int64_t now_us)
{
    if (ahead_count == 0) {
        return 0;
    }
    struct balancer_request request = gateway_balancer_request(
        gateway, gateway_target_service(arrival, target), arrival->route);
    struct balancer_capacity capacity =
        balancer_capacity(&gateway->backends, &request, now_us);
    if (capacity.per_s <= 0) {
        return INT64_MAX;
    }
    return capacity.latency_us +
           (int64_t)(ahead_count / capacity.per_s * GATEWAY_SECOND_US);
}

/* Returns the expected time until the minimum coverage is reached. */
static int64_t
gateway_expected_us(struct gateway *gateway, const struct arrival *arrival,
                    int64_t now_us)
{
    int64_t *part_us = g_new(int64_t, arrival->target_count);
    for (uint32_t i = 0; i < arrival->target_count; i++) {
        uint32_t ahead_count = queue_ahead_count(
            &gateway->queue, gateway_target_service(arrival, i)->name,
            now_us - arrival->spent_us);
        part_us[i] =
            gateway_part_expected_us(gateway, arrival, i, ahead_count, now_us);
    }
    const struct route *route = arrival->route;
    int64_t expected_us = admit_coverage_us(part_us, arrival->target_count,
                                            gateway_coverage_permille(route));
    g_free(part_us);
    return expected_us;
}

/* Returns the time left until the objective, or until the deadline if the
 * route has none. */
static int64_t
gateway_objective_left_us(const struct arrival *arrival, int64_t now_us)
{
    return arrival->route->objective_us > 0
               ? arrival->route->objective_us - arrival->spent_us
               : arrival->deadline_us - now_us;
}

/*
 * Refuses a request that too few backend servers can serve, before any part is
 * sent, so that the answer can say "not run" and the caller may retry. Returns
 * whether it did. A request whose backend servers only want a pause waits for
 * them if it can still be in time.
 */
static bool
gateway_refuse_uncovered(struct gateway *gateway,
                         const struct arrival *arrival, int64_t now_us)
{
    int64_t coverage_us =
        gateway_coverage_in_us(gateway, arrival->route, arrival->first_target,
                               arrival->target_count, now_us);
    bool asks_all = arrival->route->is_gather &&
                    arrival->params->only_target == REQUEST_ALL_TARGETS;
    if (coverage_us == INT64_MAX && asks_all) {
        gateway_refuse(gateway, arrival->params, RC_NO_SEARCHER,
                       GATEWAY_NO_BACKEND_RETRY_US);
        return true;
    }
    int64_t left_us =
        gateway_objective_left_us(arrival, now_us) - FINISH_MARGIN_US;
    if (coverage_us > 0 && coverage_us < INT64_MAX && coverage_us >= left_us) {
        gateway_refuse(gateway, arrival->params, RC_BACKOFF, coverage_us);
        return true;
    }
    return false;
}

static enum admit_decision
gateway_admit(struct gateway *gateway, const struct arrival *arrival,
              int64_t now_us)
{
    int64_t left_us = gateway_objective_left_us(arrival, now_us);
    struct admit_request request = {
        .expected_us = gateway_expected_us(gateway, arrival, now_us),
        .objective_left_us = left_us - FINISH_MARGIN_US,
        .priority = arrival->route->priority + arrival->params->priority,
        .is_retry = arrival->is_retry,
    };
    struct admit_pool *pool = gateway_admit_pool(gateway, arrival);
    enum admit_decision decision = admit_decide(pool, &request, now_us);
    if (decision == ADMIT_ACCEPT) {
        admit_on_accept(&gateway->admit, now_us);
        return decision;
    }
    log_sample("request",
               "over capacity id=%s route=%s refused=%d returned=%d "
               "expected_us=%" G_GINT64_FORMAT " left_us=%" G_GINT64_FORMAT
               " waiting_parts=%u running=%u limit_milli=%" G_GUINT64_FORMAT
               " late_running=%u late_limit_milli=%" G_GUINT64_FORMAT,
               arrival->params->id, arrival->route->name,
               decision == ADMIT_REFUSE, request.is_retry, request.expected_us,
               left_us, gateway->queue.count, pool->in_time.running,
               pool->in_time.limit_milli, pool->late.running,
               pool->late.limit_milli);
    return decision;
}

/* Starts the parts of an accepted request. Returns NULL if the request was
 * answered meanwhile. */
static struct request *
gateway_start_request(struct gateway *gateway, const struct arrival *arrival,
                      bool is_late, int64_t now_us)
{
    struct request *request = request_new(gateway, arrival, is_late, now_us);
    request_hold(request);
    if (request_is_wanted(request, now_us)) {
        for (uint32_t i = 0; i < request->part_count; i++) {
            part_start(&request->parts[i], now_us);
        }
    }
    request->due_us = now_us;
    request_advance(request, now_us);
    bool is_closed = request->is_closed;
    request_release(request);
    return is_closed ? NULL : request;
}

struct request *
gateway_submit(struct gateway *gateway, const struct request_params *params,
               int64_t now_us)
{
    if (gateway->config == NULL) {
        gateway_refuse(gateway, params, RC_NOT_READY,
                       GATEWAY_NO_CONFIG_RETRY_US);
        return NULL;
    }
    const struct route *route = gateway_config_find_route(
        gateway->config, params->host, params->target);
    if (route == NULL) {
        gateway_refuse(gateway, params,
                       gateway->is_config_stale ? RC_NOT_READY : RC_NO_ROUTE,
                       GATEWAY_NO_CONFIG_RETRY_US);
        return NULL;
    }
    if (params->body_bytes > gateway->config->limits.body_max_bytes) {
        gateway_refuse(gateway, params, RC_TOO_LARGE, 0);
        return NULL;
    }
    struct arrival arrival = gateway_arrival(gateway, route, params, now_us);
    if (gateway_refuse_uncovered(gateway, &arrival, now_us)) {
        return NULL;
    }
    enum admit_decision decision = gateway_admit(gateway, &arrival, now_us);
    if (decision == ADMIT_REFUSE) {
        gateway_refuse(gateway, params, RC_QUEUE_FULL,
                       admit_retry_after_us(&gateway->admit,
                                            arrival.deadline_us - now_us,
                                            now_us));
        return NULL;
    }
    int rc = gateway_take_room(gateway, &arrival);
    if (rc != RC_OK) {
        gateway_refuse(gateway, params, rc, GATEWAY_NO_ROOM_RETRY_US);
        return NULL;
    }
    return gateway_start_request(gateway, &arrival,
                                 decision == ADMIT_ACCEPT_LATE, now_us);
}
