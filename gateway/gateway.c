#include <string.h>

#include "common/log.h"
#include "common/rc.h"
#include "gateway/request.h"
#include "gateway/member.h"
#include "gateway/share.h"
#include "gateway/split.h"

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
        .request_max = UINT32_MAX,
        .drained_dcs =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .routes =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .budgets =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .splits = split_table_new(),
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
    uint32_t permille =
        gateway_extra_permille(gateway, gateway_first_service(route));
    if (stats == NULL) {
        stats = g_new0(struct route_stats, 1);
        hedge_init(&stats->hedge, permille);
        g_hash_table_insert(gateway->routes, g_strdup(route->name), stats);
    }
    hedge_set_budget(&stats->hedge, permille);
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
    budget_set_limits(budget, permille, share);
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
    return split_pick(gateway->splits, route);
}

void
gateway_advance(struct request *request, int64_t now_us)
{
    request->due_us = MIN(request->due_us, now_us);
    request_advance(request, now_us);
}

void
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

const struct service *
gateway_find_service(const struct gateway *gateway, const char *name)
{
    return gateway->config != NULL
               ? gateway_config_find_service(gateway->config, name)
               : NULL;
}

int64_t
gateway_warmup_us(const struct gateway *gateway, const char *service)
{
    const struct service *declared = gateway_find_service(gateway, service);
    return declared != NULL ? declared->warmup_us : 0;
}

void
gateway_on_new_backend(struct gateway *gateway, const char *id, int64_t now_us)
{
    struct backend *backend = backend_find(&gateway->backends, id);
    backend->cold_until_us =
        now_us + gateway_warmup_us(gateway, backend->service);
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
        request_fail(gateway->requests.head->data, RC_STOPPING, now_us);
    }
}
