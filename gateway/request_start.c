#include "common/log.h"
#include "common/rc.h"
#include "gateway/request.h"

#define GTW_SECOND_US 1e6

/* What happens to a request when it arrives: refused at once, or its parts are
 * started. */

/*
 * Time that the caller has already spent on earlier tries and on connecting:
 * it says how long it still waits, and all callers of a route wait as long.
 * Beyond the objective the difference says nothing, since it is lost or the
 * caller is of another kind.
 */
static int64_t
gtw_spent_us(struct gtw *gtw, const struct gcf_route *route, int64_t wait_us)
{
    struct gtw_route *known = gtw_route(gtw, route);
    known->wait_max_us = MAX(known->wait_max_us, wait_us);
    int64_t spent_us = known->wait_max_us - wait_us;
    return spent_us < route->objective_us ? spent_us : 0;
}

/* Whether the caller was refused before, as far as its wait tells. */
static bool
gtw_has_returned(struct gtw *gtw, const struct gcf_route *route,
                 int64_t wait_us)
{
    return gtw_route(gtw, route)->wait_max_us - wait_us >= ADM_RETURN_MIN_US;
}

/* A request and what is known when it arrives. */
struct arrival {
    const struct ask_request *request;
    const struct gcf_route *route;
    uint32_t first_target; /* those that are asked */
    uint32_t target_count;
    int64_t spent_us;
    int64_t deadline_us;
    bool has_returned; /* the caller was refused before */
};

static struct arrival
gtw_arrival(struct gtw *gtw, const struct gcf_route *route,
            const struct ask_request *request, int64_t now_us)
{
    bool asks_all =
        route->is_gather && request->only_target == ASK_ALL_TARGETS;
    struct arrival arrival = {
        .request = request,
        .route = route,
        .target_count = asks_all ? route->targets->len : 1,
        .deadline_us = MIN(request->deadline_us, now_us + route->timeout_us),
    };
    if (request->only_target != ASK_ALL_TARGETS) {
        arrival.first_target = (uint32_t)request->only_target;
    }
    else if (!route->is_gather) {
        arrival.first_target = gtw_split(gtw, route);
    }
    if (request->tells_spent && request->deadline_us < INT64_MAX) {
        int64_t wait_us = request->deadline_us - now_us;
        arrival.spent_us = gtw_spent_us(gtw, route, wait_us);
        arrival.has_returned = gtw_has_returned(gtw, route, wait_us);
    }
    return arrival;
}

/* Routes that share their first service share all. */
static struct adm_pool *
gtw_pool(struct gtw *gtw, const struct arrival *arrival)
{
    return adm_pool_of(&gtw->admit, g_array_index(arrival->route->targets,
                                                  struct gcf_target, 0)
                                        .service->name);
}

static const struct gcf_service *
gtw_target(const struct arrival *arrival, uint32_t i)
{
    return g_array_index(arrival->route->targets, struct gcf_target,
                         arrival->first_target + i)
        .service;
}

static struct ask *
ask_new(struct gtw *gtw, const struct arrival *arrival, bool is_late,
        int64_t now_us)
{
    struct ask *ask = g_new0(struct ask, 1);
    gtw->ask_serial += 1;
    ask->gtw = gtw;
    ask->request = *arrival->request;
    ask->serial = gtw->ask_serial;
    ask->config = gcf_ref(gtw->config);
    ask->route = arrival->route;
    ask->started_us = now_us;
    ask->spent_us = arrival->spent_us;
    ask->deadline_us = arrival->deadline_us;
    ask->due_us = ask->deadline_us;
    ask->part_count = arrival->target_count;
    ask->parts = g_new0(struct prt, ask->part_count);
    for (uint32_t i = 0; i < ask->part_count; i++) {
        struct prt *part = &ask->parts[i];
        part->ask = ask;
        part->target = arrival->first_target + i;
        part->service = gtw_target(arrival, i);
        part->waiting = (struct que_item){
            .link = {.data = part},
            .order_us = now_us - ask->spent_us,
            .is_late = is_late,
        };
    }
    if (ask->route->is_gather) {
        ask->records = g_byte_array_new();
    }
    ask->pool = gtw_pool(gtw, arrival);
    ask->is_late = is_late;
    adm_on_start(ask->pool, is_late);
    ask->link.data = ask;
    g_queue_push_tail_link(&gtw->asks, &ask->link);
    return ask;
}

/* Answers a request of which nothing was sent. */
static void
gtw_refuse(struct gtw *gtw, const struct ask_request *request, int rc,
           int64_t retry_after_us)
{
    cnt_add(gtw->counters, "gateway_answers", rc_name(rc));
    log_sample("request",
               "refused id=%s rc=%s host=%s target=%s config=%" G_GINT64_FORMAT
               " stale=%d",
               request->id, rc_name(rc), request->host, request->target,
               gtw->config != NULL ? gtw->config->version : 0,
               gtw->is_config_stale);
    struct ask_answer answer = {
        .rc = rc,
        .retry_after_us = retry_after_us,
    };
    request->on_answer(&answer, request->ctx);
}

/* How many services of the route have a backend server. */
static guint
gtw_served_count(const struct gtw *gtw, const struct gcf_route *route)
{
    guint count = 0;
    for (guint i = 0; i < route->targets->len; i++) {
        const struct gcf_target *target =
            &g_array_index(route->targets, struct gcf_target, i);
        count += chs_can_serve(&gtw->backends, target->service->name,
                               gtw->drained_dcs)
                     ? 1
                     : 0;
    }
    return count;
}

/*
 * Whether enough shards have a backend server for the least coverage. If not,
 * the request is refused before any part is sent, so that "not run" is true
 * and the caller may come back.
 */
static bool
gtw_can_cover(const struct gtw *gtw, const struct gcf_route *route)
{
    return (uint64_t)gtw_served_count(gtw, route) * 1000 >=
           (uint64_t)route->targets->len * route->coverage_min_permille;
}

bool
gtw_lacks_backends(const struct gtw *gtw)
{
    if (gtw->config == NULL) {
        return false;
    }
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, gtw->config->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct gcf_route *route = value;
        if (gtw_served_count(gtw, route) < route->targets->len) {
            return true;
        }
    }
    return false;
}

/*
 * How long a part of the service would take here: the parts before it, and
 * itself. 0 when none waits: a slow answer alone is no reason to refuse.
 */
static int64_t
gtw_part_us(struct gtw *gtw, const struct arrival *arrival, uint32_t target,
            uint32_t ahead_count, int64_t now_us)
{
    if (ahead_count == 0) {
        return 0;
    }
    struct chs_request request =
        gtw_choice(gtw, gtw_target(arrival, target), arrival->route);
    struct chs_capacity capacity =
        chs_capacity(&gtw->backends, &request, now_us);
    if (capacity.per_s <= 0) {
        return INT64_MAX;
    }
    return capacity.latency_us +
           (int64_t)(ahead_count / capacity.per_s * GTW_SECOND_US);
}

/* The time until enough parts are there for the least coverage. */
static int64_t
gtw_covered_us(struct gtw *gtw, const struct arrival *arrival, int64_t now_us)
{
    int64_t *part_us = g_new(int64_t, arrival->target_count);
    for (uint32_t i = 0; i < arrival->target_count; i++) {
        uint32_t ahead_count =
            que_ahead_count(&gtw->queue, gtw_target(arrival, i)->name,
                            now_us - arrival->spent_us);
        part_us[i] = gtw_part_us(gtw, arrival, i, ahead_count, now_us);
    }
    const struct gcf_route *route = arrival->route;
    int64_t covered_us =
        adm_covered_us(part_us, arrival->target_count,
                       route->is_gather ? route->coverage_min_permille : 1000);
    g_free(part_us);
    return covered_us;
}

static enum adm_verdict
gtw_judge(struct gtw *gtw, const struct arrival *arrival, int64_t now_us)
{
    int64_t left_us = arrival->route->objective_us > 0
                          ? arrival->route->objective_us - arrival->spent_us
                          : arrival->deadline_us - now_us;
    struct adm_request request = {
        .covered_us = gtw_covered_us(gtw, arrival, now_us),
        .objective_us = left_us - FIN_RETURN_US,
        .priority = arrival->route->priority + arrival->request->priority,
        .has_returned = arrival->has_returned,
    };
    struct adm_pool *pool = gtw_pool(gtw, arrival);
    enum adm_verdict verdict = adm_judge(pool, &request, now_us);
    if (verdict == ADM_TAKE) {
        adm_on_take(&gtw->admit, now_us);
        return verdict;
    }
    log_sample("request",
               "overload id=%s route=%s refused=%d returned=%d "
               "expected_us=%" G_GINT64_FORMAT " left_us=%" G_GINT64_FORMAT
               " waiting_parts=%u running=%u limit_milli=%" G_GUINT64_FORMAT
               " late_running=%u late_limit_milli=%" G_GUINT64_FORMAT,
               arrival->request->id, arrival->route->name,
               verdict == ADM_REFUSE, request.has_returned, request.covered_us,
               left_us, gtw->queue.count, pool->in_time.running,
               pool->in_time.limit_milli, pool->late.running,
               pool->late.limit_milli);
    return verdict;
}

/* Takes the request and starts its parts; NULL when it is answered already. */
static struct ask *
gtw_take(struct gtw *gtw, const struct arrival *arrival, bool is_late,
         int64_t now_us)
{
    struct ask *ask = ask_new(gtw, arrival, is_late, now_us);
    ask_hold(ask);
    for (uint32_t i = 0; i < ask->part_count; i++) {
        prt_start(&ask->parts[i], now_us);
    }
    ask->due_us = now_us;
    ask_settle(ask, now_us);
    bool is_closed = ask->is_closed;
    ask_release(ask);
    return is_closed ? NULL : ask;
}

struct ask *
gtw_ask(struct gtw *gtw, const struct ask_request *request, int64_t now_us)
{
    if (gtw->config == NULL) {
        gtw_refuse(gtw, request, RC_NOT_READY, GTW_NO_CONFIG_RETRY_US);
        return NULL;
    }
    const struct gcf_route *route =
        gcf_find_route(gtw->config, request->host, request->target);
    if (route == NULL) {
        gtw_refuse(gtw, request,
                   gtw->is_config_stale ? RC_NOT_READY : RC_NO_ROUTE,
                   GTW_NO_CONFIG_RETRY_US);
        return NULL;
    }
    if (request->body_bytes > gtw->config->limits.body_max_bytes) {
        gtw_refuse(gtw, request, RC_TOO_LARGE, 0);
        return NULL;
    }
    if (route->is_gather && request->only_target == ASK_ALL_TARGETS &&
        !gtw_can_cover(gtw, route)) {
        gtw_refuse(gtw, request, RC_NO_SEARCHER, GTW_NO_BACKEND_RETRY_US);
        return NULL;
    }
    struct arrival arrival = gtw_arrival(gtw, route, request, now_us);
    enum adm_verdict verdict = gtw_judge(gtw, &arrival, now_us);
    if (verdict == ADM_REFUSE) {
        gtw_refuse(
            gtw, request, RC_QUEUE_FULL,
            adm_return_us(&gtw->admit, arrival.deadline_us - now_us, now_us));
        return NULL;
    }
    return gtw_take(gtw, &arrival, verdict == ADM_TAKE_LATE, now_us);
}
