#include <string.h>

#include "common/log.h"
#include "common/rc.h"
#include "gateway/request.h"
#include "gateway/member.h"
#include "gateway/record.h"
#include "gateway/share.h"

/* Weight of one part in a route's moving average (1 in 64), and how many times
 * the average one part counts at most. */
#define GATEWAY_AVERAGE_WEIGHT 64
#define GATEWAY_AVERAGE_MAX_FACTOR 3
/* With each part the baseline, the usual time of a part without load, rises by
 * 1 us and by its value divided by this, unless the moving average is below
 * it. So it doubles after about this many parts. */
#define GATEWAY_BASELINE_RISE_DIVISOR 16384

/* All queued parts are tried again at this interval, also without an event
 * that freed a backend server: some limits end only with time. */
#define GATEWAY_DISPATCH_INTERVAL_US (4 * 1000)

/* State of smooth weighted round robin over a route's targets. */
struct split {
    int64_t *current;
    guint count;
};

static void
split_free(gpointer data)
{
    struct split *split = data;
    g_free(split->current);
    g_free(split);
}

void
gateway_init(struct gateway *gateway, const char *dc,
             const struct gateway_callbacks *callbacks, void *ctx,
             struct counter_set *counters)
{
    *gateway = (struct gateway){
        .callbacks = callbacks,
        .ctx = ctx,
        .counters = counters,
        .dc = g_strdup(dc),
        .vms = MEMBER_ASSUMED_COUNT,
        .drained_dcs =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .routes =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .budgets =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .splits =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, split_free),
    };
    g_queue_init(&gateway->requests);
    queue_init(&gateway->queue);
    admit_init(&gateway->admit);
    backend_set_init(&gateway->backends, &callbacks->link, ctx);
}

void
gateway_clear(struct gateway *gateway)
{
    while (!g_queue_is_empty(&gateway->requests)) {
        request_close(gateway->requests.head->data, 0, 0);
    }
    queue_clear(&gateway->queue);
    admit_clear(&gateway->admit);
    backend_set_clear(&gateway->backends);
    gateway_config_unref(gateway->config);
    g_hash_table_destroy(gateway->drained_dcs);
    g_hash_table_destroy(gateway->routes);
    g_hash_table_destroy(gateway->budgets);
    g_hash_table_destroy(gateway->splits);
    g_free(gateway->dc);
}

static gboolean
gateway_is_unused(gpointer name, gpointer value, gpointer names)
{
    return !g_hash_table_contains(names, name);
}

/* Frees the state of routes and services that are no longer configured. */
static void
gateway_prune(struct gateway *gateway)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, gateway->config->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_hash_table_add(names, ((struct route *)value)->name);
    }
    g_hash_table_foreach_remove(gateway->routes, gateway_is_unused, names);
    g_hash_table_foreach_remove(gateway->splits, gateway_is_unused, names);
    g_hash_table_destroy(names);
    g_hash_table_foreach_remove(gateway->budgets, gateway_is_unused,
                                gateway->config->services);
    queue_prune(&gateway->queue, gateway->config->services);
    admit_prune(&gateway->admit, gateway->config->services);
}

int
gateway_apply_config(struct gateway *gateway, struct gateway_config *config)
{
    if (gateway->config != NULL &&
        config->version <= gateway->config->version) {
        gateway_config_unref(config);
        return RC_STALE;
    }
    log_info("config",
             "configuration applied version=%" G_GINT64_FORMAT
             " before=%" G_GINT64_FORMAT " routes=%u services=%u",
             config->version,
             gateway->config != NULL ? gateway->config->version : 0,
             g_hash_table_size(config->routes),
             g_hash_table_size(config->services));
    gateway_config_unref(gateway->config);
    gateway->config = config;
    gateway_prune(gateway);
    return RC_OK;
}

static const struct service *
gateway_first_service(const struct route *route)
{
    return g_array_index(route->targets, struct route_target, 0).service;
}

static uint32_t
gateway_extra_permille(const struct gateway *gateway,
                       const struct service *service)
{
    return service->extra_permille > 0 ? service->extra_permille
                                       : gateway->bounds.extra_permille;
}

struct route_stats *
gateway_route_stats(struct gateway *gateway, const struct route *route)
{
    struct route_stats *stats =
        g_hash_table_lookup(gateway->routes, route->name);
    if (stats == NULL) {
        stats = g_new0(struct route_stats, 1);
        hedge_init(&stats->hedge, gateway_extra_permille(
                                      gateway, gateway_first_service(route)));
        g_hash_table_insert(gateway->routes, g_strdup(route->name), stats);
    }
    return stats;
}

void
gateway_add_sample(struct route_stats *stats, int64_t took_us)
{
    hedge_add_sample(&stats->hedge, took_us);
    if (stats->average_us == 0) {
        stats->average_us = took_us;
        stats->baseline_us = took_us;
        return;
    }
    int64_t counted_us =
        MIN(took_us, stats->average_us * GATEWAY_AVERAGE_MAX_FACTOR);
    stats->average_us +=
        (counted_us - stats->average_us) / GATEWAY_AVERAGE_WEIGHT;
    if (stats->average_us < stats->baseline_us) {
        stats->baseline_us = stats->average_us;
    }
    else {
        stats->baseline_us +=
            1 + stats->baseline_us / GATEWAY_BASELINE_RISE_DIVISOR;
    }
}

struct budget *
gateway_budget(struct gateway *gateway, const struct service *service)
{
    struct budget *budget =
        g_hash_table_lookup(gateway->budgets, service->name);
    uint32_t permille = gateway_extra_permille(gateway, service);
    uint32_t share =
        share_extra_sends(gateway->bounds.extra_count, gateway->vms);
    if (budget == NULL) {
        budget = g_new0(struct budget, 1);
        budget_init_full(budget, permille, share);
        g_hash_table_insert(gateway->budgets, g_strdup(service->name), budget);
    }
    budget_set_max(budget, share);
    return budget;
}

struct balancer_request
gateway_balancer_request(struct gateway *gateway,
                         const struct service *service,
                         const struct route *route)
{
    return (struct balancer_request){
        .service = service,
        .dc = gateway->dc,
        .drained_dcs = gateway->drained_dcs,
        .bounds = {.vms = gateway->vms,
                   .place = gateway->place,
                   .warmup_overshoot = gateway->bounds.warmup_overshoot,
                   .warmup_slack = gateway->bounds.warmup_slack,
                   .leaving_use_us = gateway->bounds.leaving_use_us},
        .baseline_us = gateway_route_stats(gateway, route)->baseline_us,
        .random = gateway->callbacks->random(gateway->ctx),
    };
}

uint32_t
gateway_pick_target(struct gateway *gateway, const struct route *route)
{
    guint count = route->targets->len;
    struct route_target *targets = (struct route_target *)route->targets->data;
    if (count == 1) {
        return 0;
    }
    struct split *split = g_hash_table_lookup(gateway->splits, route->name);
    if (split == NULL || split->count != count) {
        split = g_new0(struct split, 1);
        split->count = count;
        split->current = g_new0(int64_t, count);
        g_hash_table_replace(gateway->splits, g_strdup(route->name), split);
    }
    int64_t total = 0;
    guint best = 0;
    for (guint i = 0; i < count; i++) {
        split->current[i] += targets[i].weight;
        total += targets[i].weight;
        if (split->current[i] > split->current[best]) {
            best = i;
        }
    }
    split->current[best] -= total;
    return best;
}

/* Advances a request after one of its parts has changed, and makes its timers
 * due: when they run next may depend on the part. */
static void
gateway_advance(struct request *request, int64_t now_us)
{
    request->due_us = MIN(request->due_us, now_us);
    request_advance(request, now_us);
}

/* Sends queued parts of the service to backend servers that are free now. */
static void
gateway_dispatch(struct gateway *gateway, const char *service, int64_t now_us)
{
    struct part *part = NULL;
    while ((part = queue_peek(&gateway->queue, service)) != NULL) {
        struct request *request = part->request;
        request_hold(request);
        bool has_left_queue = part_dispatch_waiting(part, now_us);
        if (has_left_queue) {
            gateway_advance(request, now_us);
        }
        request_release(request);
        if (!has_left_queue) {
            return;
        }
    }
}

/* Sends queued parts of all services. */
static void
gateway_dispatch_all(struct gateway *gateway, int64_t now_us)
{
    gateway->last_dispatch_us = now_us;
    GList *services = g_hash_table_get_keys(gateway->queue.lines);
    for (GList *item = services; item != NULL; item = item->next) {
        gateway_dispatch(gateway, item->data, now_us);
    }
    g_list_free(services);
}

static const struct service *
gateway_find_service(const struct gateway *gateway, const char *name)
{
    return gateway->config != NULL
               ? gateway_config_find_service(gateway->config, name)
               : NULL;
}

/* Closes idle links to the backend server if there are more VMs than it has
 * connections. */
static void
gateway_close_surplus_links(struct gateway *gateway, struct backend *backend)
{
    const struct service *service =
        gateway_find_service(gateway, backend->service);
    if (service != NULL &&
        !share_has_connection(service->connections_max, gateway->vms)) {
        backend_close_idle_links(&gateway->backends, backend);
    }
}

void
gateway_on_connected(struct gateway *gateway, struct backend_link *link,
                     int rc, int64_t now_us)
{
    struct attempt *attempt = link->attempt;
    if (rc != RC_OK) {
        gateway_on_lost(gateway, link, rc, now_us);
        return;
    }
    if (attempt == NULL) {
        struct backend *backend = backend_ref(link->backend);
        backend_release_link(link, BACKEND_IDLE_MAX_US, now_us);
        gateway_dispatch(gateway, backend->service, now_us);
        gateway_close_surplus_links(gateway, backend);
        backend_unref(backend);
        return;
    }
    struct request *request = attempt->part->request;
    request_hold(request);
    part_on_connected(attempt, now_us);
    gateway_advance(request, now_us);
    request_release(request);
}

/* Keeps the link of an answered request for reuse, or closes it. */
static void
gateway_release_link(struct gateway *gateway, struct backend_link *link,
                     const struct backend_answer *answer, int64_t now_us)
{
    struct backend *backend = link->backend;
    bool is_usable =
        answer->is_reusable && !backend->is_draining && !backend->is_removed;
    if (is_usable) {
        backend_release_link(link, answer->keepalive_us, now_us);
    }
    else {
        backend_close_link(&gateway->backends, link);
    }
}

/* Returns how long a backend server of the service is cold after its start, 0
 * if the service is not configured. */
static int64_t
gateway_warmup_us(const struct gateway *gateway, const char *service)
{
    const struct service *declared = gateway_find_service(gateway, service);
    return declared != NULL ? declared->warmup_us : 0;
}

/* Notes that the backend server is leaving. If another one answered at its
 * address, it is that one that is leaving. */
static void
gateway_on_leaving(struct gateway *gateway, const struct backend *backend,
                   const struct backend_answer *answer, int64_t now_us)
{
    const struct backend *leaving =
        answer->rc == RC_WRONG_BACKEND
            ? backend_find_at_same_address(&gateway->backends, backend)
            : backend;
    if (leaving == NULL ||
        !backend_on_leaving(&gateway->backends, leaving->id,
                            leaving->started_unix_ms, now_us)) {
        return;
    }
    counter_add(gateway->counters, "gateway_leaving", "answer");
    log_info("backend", "backend server says it is leaving id=%s service=%s",
             leaving->id, leaving->service);
}

/*
 * Obeys the Retry-After of a rejection. With 503 the backend server wants no
 * requests at all. 429 concerns the rate of requests: others are preferred
 * meanwhile, but a request that only this one can serve may still be accepted.
 */
static void
gateway_on_retry_after(struct gateway *gateway, struct backend *backend,
                       const struct backend_answer *answer, int64_t now_us)
{
    if (answer->status == 429) {
        backend_prefer_others(backend, answer->retry_after_us, now_us);
        counter_add(gateway->counters, "gateway_backoffs", "429");
        return;
    }
    if (answer->status != 503) {
        return;
    }
    counter_add(gateway->counters, "gateway_backoffs", "503");
    if (notice_on_backoff(&backend->notice, answer->retry_after_us, now_us)) {
        log_info("backend",
                 "backend server wants no requests id=%s service=%s "
                 "for_ms=%" G_GINT64_FORMAT,
                 backend->id, backend->service, answer->retry_after_us / 1000);
    }
}

/* Updates the state of the backend server from its answer. */
static void
gateway_update_backend(struct gateway *gateway, struct backend_link *link,
                       const struct backend_answer *answer, int64_t now_us)
{
    struct backend *backend = link->backend;
    if (answer->start != 0) {
        backend_record_start(backend, answer->start,
                             gateway_warmup_us(gateway, backend->service),
                             now_us);
    }
    if (answer->warmup_us >= 0) {
        backend->cold_until_us = now_us + answer->warmup_us;
    }
    if (answer->is_leaving) {
        gateway_on_leaving(gateway, backend, answer, now_us);
    }
    if (answer->retry_after_us > 0) {
        gateway_on_retry_after(gateway, backend, answer, now_us);
    }
    if (answer->rc == RC_OK) {
        backend_on_answer(backend, now_us - link->state_since_us);
    }
}

/* Completes the attempt with its answer; advances or ends its request. */
static void
gateway_handle_answer(struct gateway *gateway, struct attempt *attempt,
                      const struct backend_answer *answer, int64_t now_us)
{
    struct part *part = attempt->part;
    struct request *request = part->request;
    request_hold(request);
    if (answer->rc != RC_OK) {
        part_on_failure(attempt, answer->rc, now_us);
        if (part->state == PART_FAILED && answer->rc == RC_BACKEND_ERROR &&
            !request->route->is_gather) {
            request_answer_single(request, answer, now_us);
            request_release(request);
            return;
        }
    }
    else {
        part_on_success(attempt, answer, now_us);
        if (!request->route->is_gather) {
            request_answer_single(request, answer, now_us);
            request_release(request);
            return;
        }
        if (request->route->has_records) {
            record_add(request->records, answer->body, answer->body_bytes);
        }
        else {
            g_byte_array_append(request->records, answer->body,
                                (guint)answer->body_bytes);
        }
    }
    gateway_advance(request, now_us);
    request_release(request);
}

void
gateway_on_answer(struct gateway *gateway, struct backend_link *link,
                  const struct backend_answer *answer, int64_t now_us)
{
    struct attempt *attempt = link->attempt;
    struct backend *backend = backend_ref(link->backend);
    gateway_update_backend(gateway, link, answer, now_us);
    gateway_release_link(gateway, link, answer, now_us);
    if (attempt != NULL) {
        gateway_handle_answer(gateway, attempt, answer, now_us);
    }
    gateway_dispatch(gateway, backend->service, now_us);
    gateway_close_surplus_links(gateway, backend);
    backend_unref(backend);
}

void
gateway_on_lost(struct gateway *gateway, struct backend_link *link, int rc,
                int64_t now_us)
{
    struct attempt *attempt = link->attempt;
    struct backend *backend = backend_ref(link->backend);
    backend_close_link(&gateway->backends, link);
    if (attempt != NULL) {
        counter_add(gateway->counters, "gateway_links_lost", rc_name(rc));
        struct request *request = attempt->part->request;
        request_hold(request);
        part_on_failure(attempt, rc, now_us);
        gateway_advance(request, now_us);
        request_release(request);
    }
    gateway_dispatch(gateway, backend->service, now_us);
    backend_unref(backend);
}

void
gateway_on_new_backend(struct gateway *gateway, const char *id, int64_t now_us)
{
    struct backend *backend = backend_find(&gateway->backends, id);
    backend->cold_until_us =
        now_us + gateway_warmup_us(gateway, backend->service);
}

void
gateway_on_peer_leaving(struct gateway *gateway, const char *id,
                        int64_t started_unix_ms, int64_t now_us)
{
    if (!backend_on_leaving(&gateway->backends, id, started_unix_ms, now_us)) {
        return;
    }
    counter_add(gateway->counters, "gateway_leaving", "peer");
    log_info("backend",
             "another VM says that the backend server is leaving "
             "id=%s",
             id);
}

void
gateway_on_dc_undrained(struct gateway *gateway, const char *dc,
                        int64_t now_us)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, gateway->backends.by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct backend *backend = value;
        if (strcmp(backend->dc, dc) == 0) {
            backend->cold_until_us =
                now_us + gateway_warmup_us(gateway, backend->service);
        }
    }
}

void
gateway_tick(struct gateway *gateway, int64_t now_us)
{
    uint64_t last_serial = gateway->request_serial;
    GList *item = gateway->requests.head;
    while (item != NULL) {
        struct request *request = item->data;
        /* A step ends no other request, so the next item stays valid. */
        item = item->next;
        if (request->serial <= last_serial && now_us >= request->due_us) {
            request_tick(request, now_us);
        }
    }
    if (gateway->queue.count > 0 &&
        now_us - gateway->last_dispatch_us >= GATEWAY_DISPATCH_INTERVAL_US) {
        gateway_dispatch_all(gateway, now_us);
    }
}

int64_t
gateway_due_us(const struct gateway *gateway)
{
    int64_t due_us = INT64_MAX;
    for (const GList *item = gateway->requests.head; item != NULL;
         item = item->next) {
        const struct request *request = item->data;
        due_us = MIN(due_us, request->due_us);
    }
    if (gateway->queue.count > 0) {
        due_us = MIN(due_us,
                     gateway->last_dispatch_us + GATEWAY_DISPATCH_INTERVAL_US);
    }
    return due_us;
}

void
gateway_fail_all(struct gateway *gateway, int64_t now_us)
{
    while (!g_queue_is_empty(&gateway->requests)) {
        struct request *request = gateway->requests.head->data;
        bool may_have_run = false;
        for (uint32_t i = 0; i < request->part_count; i++) {
            may_have_run =
                may_have_run || part_may_have_run(&request->parts[i]);
        }
        request_fail(request, may_have_run ? RC_OUTCOME_UNKNOWN : RC_STOPPING,
                     now_us);
    }
}
