#include <string.h>

#include "common/log.h"
#include "common/rc.h"
#include "gateway/request.h"
#include "gateway/member.h"
#include "gateway/record.h"
#include "gateway/share.h"

/* Weight of a part in a route's usual time, and how many times that time one
 * part counts at most. */
#define GTW_NORM_WEIGHT 64
#define GTW_NORM_MAX_FACTOR 3
/* The usual time without load doubles after about this many parts. */
#define GTW_BASE_RISE 16384

/* How often waiting parts look for a backend server without a cause. */
#define GTW_SERVE_IVL_US (4 * 1000)

/* State of smooth weighted round robin over a route's targets. */
struct spl {
    int64_t *current;
    guint count;
};

static void
spl_free(gpointer data)
{
    struct spl *split = data;
    g_free(split->current);
    g_free(split);
}

void
gtw_init(struct gtw *gtw, const char *dc, const struct gtw_calls *calls,
         void *ctx, struct cnt_set *counters)
{
    *gtw = (struct gtw){
        .calls = calls,
        .ctx = ctx,
        .counters = counters,
        .dc = g_strdup(dc),
        .vms = MEM_UNKNOWN_COUNT,
        .drained_dcs =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .routes =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .budgets =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .splits =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, spl_free),
    };
    g_queue_init(&gtw->asks);
    que_init(&gtw->queue);
    adm_init(&gtw->admit);
    bke_set_init(&gtw->backends, &calls->link, ctx);
}

void
gtw_clear(struct gtw *gtw)
{
    while (!g_queue_is_empty(&gtw->asks)) {
        ask_close(gtw->asks.head->data, 0, 0);
    }
    que_clear(&gtw->queue);
    adm_clear(&gtw->admit);
    bke_set_clear(&gtw->backends);
    gcf_unref(gtw->config);
    g_hash_table_destroy(gtw->drained_dcs);
    g_hash_table_destroy(gtw->routes);
    g_hash_table_destroy(gtw->budgets);
    g_hash_table_destroy(gtw->splits);
    g_free(gtw->dc);
}

static gboolean
gtw_is_unnamed(gpointer name, gpointer value, gpointer names)
{
    return !g_hash_table_contains(names, name);
}

/* Forgets what is known of routes and services that are no longer there. */
static void
gtw_forget(struct gtw *gtw)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, gtw->config->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_hash_table_add(names, ((struct gcf_route *)value)->name);
    }
    g_hash_table_foreach_remove(gtw->routes, gtw_is_unnamed, names);
    g_hash_table_foreach_remove(gtw->splits, gtw_is_unnamed, names);
    g_hash_table_destroy(names);
    g_hash_table_foreach_remove(gtw->budgets, gtw_is_unnamed,
                                gtw->config->services);
    que_forget(&gtw->queue, gtw->config->services);
    adm_forget(&gtw->admit, gtw->config->services);
}

int
gtw_adopt(struct gtw *gtw, struct gcf *config)
{
    if (gtw->config != NULL && config->version <= gtw->config->version) {
        gcf_unref(config);
        return RC_STALE;
    }
    log_info("config",
             "in force version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
             " routes=%u services=%u",
             config->version, gtw->config != NULL ? gtw->config->version : 0,
             g_hash_table_size(config->routes),
             g_hash_table_size(config->services));
    gcf_unref(gtw->config);
    gtw->config = config;
    gtw_forget(gtw);
    return RC_OK;
}

static const struct gcf_service *
gtw_first_service(const struct gcf_route *route)
{
    return g_array_index(route->targets, struct gcf_target, 0).service;
}

static uint32_t
gtw_extra_permille(const struct gtw *gtw, const struct gcf_service *service)
{
    return service->extra_permille > 0 ? service->extra_permille
                                       : gtw->bounds.extra_permille;
}

struct gtw_route *
gtw_route(struct gtw *gtw, const struct gcf_route *route)
{
    struct gtw_route *known = g_hash_table_lookup(gtw->routes, route->name);
    if (known == NULL) {
        known = g_new0(struct gtw_route, 1);
        hdg_init(&known->hedge,
                 gtw_extra_permille(gtw, gtw_first_service(route)));
        g_hash_table_insert(gtw->routes, g_strdup(route->name), known);
    }
    return known;
}

void
gtw_note_part(struct gtw_route *known, int64_t took_us)
{
    hdg_note(&known->hedge, took_us);
    if (known->norm_us == 0) {
        known->norm_us = took_us;
        known->base_us = took_us;
        return;
    }
    int64_t counted_us = MIN(took_us, known->norm_us * GTW_NORM_MAX_FACTOR);
    known->norm_us += (counted_us - known->norm_us) / GTW_NORM_WEIGHT;
    if (known->norm_us < known->base_us) {
        known->base_us = known->norm_us;
    }
    else {
        known->base_us += 1 + known->base_us / GTW_BASE_RISE;
    }
}

struct bgt *
gtw_budget(struct gtw *gtw, const struct gcf_service *service)
{
    struct bgt *budget = g_hash_table_lookup(gtw->budgets, service->name);
    uint32_t permille = gtw_extra_permille(gtw, service);
    uint32_t share = shr_extra_sends(gtw->bounds.extra_count, gtw->vms);
    if (budget == NULL) {
        budget = g_new0(struct bgt, 1);
        bgt_init_full(budget, permille, share);
        g_hash_table_insert(gtw->budgets, g_strdup(service->name), budget);
    }
    bgt_set_max(budget, share);
    return budget;
}

struct chs_request
gtw_choice(struct gtw *gtw, const struct gcf_service *service,
           const struct gcf_route *route)
{
    return (struct chs_request){
        .service = service,
        .dc = gtw->dc,
        .drained_dcs = gtw->drained_dcs,
        .bounds = {.vms = gtw->vms,
                   .warmup_overshoot = gtw->bounds.warmup_overshoot,
                   .warmup_slack = gtw->bounds.warmup_slack},
        .base_us = gtw_route(gtw, route)->base_us,
        .random = gtw->calls->random(gtw->ctx),
    };
}

uint32_t
gtw_split(struct gtw *gtw, const struct gcf_route *route)
{
    guint count = route->targets->len;
    struct gcf_target *targets = (struct gcf_target *)route->targets->data;
    if (count == 1) {
        return 0;
    }
    struct spl *split = g_hash_table_lookup(gtw->splits, route->name);
    if (split == NULL || split->count != count) {
        split = g_new0(struct spl, 1);
        split->count = count;
        split->current = g_new0(int64_t, count);
        g_hash_table_replace(gtw->splits, g_strdup(route->name), split);
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

/* Brings a request's next step up to date after one of its parts changed. */
static void
gtw_step(struct ask *ask, int64_t now_us)
{
    ask->due_us = MIN(ask->due_us, now_us);
    ask_settle(ask, now_us);
}

/* Parts of the service that wait get what is free now. */
static void
gtw_serve(struct gtw *gtw, const char *service, int64_t now_us)
{
    struct prt *part = NULL;
    while ((part = que_first(&gtw->queue, service)) != NULL) {
        struct ask *ask = part->ask;
        ask_hold(ask);
        bool is_served = prt_serve(part, now_us);
        if (is_served) {
            gtw_step(ask, now_us);
        }
        ask_release(ask);
        if (!is_served) {
            return;
        }
    }
}

/* The same for all services, since some limits end with time. */
static void
gtw_serve_all(struct gtw *gtw, int64_t now_us)
{
    gtw->served_us = now_us;
    GList *services = g_hash_table_get_keys(gtw->queue.lines);
    for (GList *item = services; item != NULL; item = item->next) {
        gtw_serve(gtw, item->data, now_us);
    }
    g_list_free(services);
}

void
gtw_on_connected(struct gtw *gtw, struct bke_link *link, int rc,
                 int64_t now_us)
{
    struct att *att = link->attempt;
    if (rc != RC_OK) {
        gtw_on_lost(gtw, link, rc, now_us);
        return;
    }
    if (att == NULL) {
        bke_give_link(link, BKE_IDLE_MAX_US, now_us);
        gtw_serve(gtw, link->backend->service, now_us);
        return;
    }
    struct ask *ask = att->part->ask;
    ask_hold(ask);
    prt_on_connected(att, now_us);
    gtw_step(ask, now_us);
    ask_release(ask);
}

/* Gives back or closes the link of an answered request. */
static void
gtw_end_link(struct gtw *gtw, struct bke_link *link,
             const struct att_answer *answer, int64_t now_us)
{
    struct bke *backend = link->backend;
    bool is_usable =
        answer->is_reusable && !backend->is_draining && !backend->is_removed;
    if (is_usable) {
        bke_give_link(link, answer->keepalive_us, now_us);
    }
    else {
        bke_drop_link(&gtw->backends, link);
    }
}

/* How long a backend server of the service is cold, 0 if it is not declared.
 */
static int64_t
gtw_warmup_us(const struct gtw *gtw, const char *service)
{
    const struct gcf_service *declared =
        gtw->config != NULL ? gcf_find_service(gtw->config, service) : NULL;
    return declared != NULL ? declared->warmup_us : 0;
}

/* Notes what an answer says of the backend server itself. */
static void
gtw_note_answer(const struct gtw *gtw, struct bke_link *link,
                const struct att_answer *answer, int64_t now_us)
{
    struct bke *backend = link->backend;
    if (answer->start != 0) {
        bke_note_start(backend, answer->start,
                       gtw_warmup_us(gtw, backend->service), now_us);
    }
    if (answer->warmup_us >= 0) {
        backend->warm_us = now_us + answer->warmup_us;
    }
    if (answer->rc == RC_OK) {
        bke_on_answer(backend, now_us - link->since_us);
    }
}

/* An attempt has its answer. */
static void
gtw_settle_answer(struct gtw *gtw, struct att *att,
                  const struct att_answer *answer, int64_t now_us)
{
    struct prt *part = att->part;
    struct ask *ask = part->ask;
    ask_hold(ask);
    if (answer->rc != RC_OK) {
        prt_on_failure(att, answer->rc, now_us);
        if (part->state == PRT_FAILED && answer->rc == RC_BACKEND_ERROR &&
            !ask->route->is_gather) {
            ask_answer_single(ask, answer, now_us);
            ask_release(ask);
            return;
        }
    }
    else {
        prt_on_success(att, answer, now_us);
        if (!ask->route->is_gather) {
            ask_answer_single(ask, answer, now_us);
            ask_release(ask);
            return;
        }
        if (ask->route->has_records) {
            rec_add(ask->records, answer->body, answer->body_bytes);
        }
        else {
            g_byte_array_append(ask->records, answer->body,
                                (guint)answer->body_bytes);
        }
    }
    gtw_step(ask, now_us);
    ask_release(ask);
}

void
gtw_on_answer(struct gtw *gtw, struct bke_link *link,
              const struct att_answer *answer, int64_t now_us)
{
    struct att *att = link->attempt;
    struct bke *backend = bke_ref(link->backend);
    gtw_note_answer(gtw, link, answer, now_us);
    gtw_end_link(gtw, link, answer, now_us);
    if (att != NULL) {
        gtw_settle_answer(gtw, att, answer, now_us);
    }
    gtw_serve(gtw, backend->service, now_us);
    bke_unref(backend);
}

void
gtw_on_lost(struct gtw *gtw, struct bke_link *link, int rc, int64_t now_us)
{
    struct att *att = link->attempt;
    struct bke *backend = bke_ref(link->backend);
    bke_drop_link(&gtw->backends, link);
    if (att != NULL) {
        cnt_add(gtw->counters, "gateway_links_lost", rc_name(rc));
        struct ask *ask = att->part->ask;
        ask_hold(ask);
        prt_on_failure(att, rc, now_us);
        gtw_step(ask, now_us);
        ask_release(ask);
    }
    gtw_serve(gtw, backend->service, now_us);
    bke_unref(backend);
}

void
gtw_on_new_backend(struct gtw *gtw, const char *id, int64_t now_us)
{
    struct bke *backend = bke_find(&gtw->backends, id);
    backend->warm_us = now_us + gtw_warmup_us(gtw, backend->service);
}

void
gtw_on_dc_back(struct gtw *gtw, const char *dc, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, gtw->backends.by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct bke *backend = value;
        if (strcmp(backend->dc, dc) == 0) {
            backend->warm_us = now_us + gtw_warmup_us(gtw, backend->service);
        }
    }
}

void
gtw_tick(struct gtw *gtw, int64_t now_us)
{
    uint64_t last = gtw->ask_serial;
    GList *item = gtw->asks.head;
    while (item != NULL) {
        struct ask *ask = item->data;
        /* Only this request can end in this step. */
        item = item->next;
        if (ask->serial <= last && now_us >= ask->due_us) {
            ask_tick(ask, now_us);
        }
    }
    if (gtw->queue.count > 0 && now_us - gtw->served_us >= GTW_SERVE_IVL_US) {
        gtw_serve_all(gtw, now_us);
    }
}

int64_t
gtw_due_us(const struct gtw *gtw)
{
    int64_t due_us = INT64_MAX;
    for (const GList *item = gtw->asks.head; item != NULL; item = item->next) {
        const struct ask *ask = item->data;
        due_us = MIN(due_us, ask->due_us);
    }
    if (gtw->queue.count > 0) {
        due_us = MIN(due_us, gtw->served_us + GTW_SERVE_IVL_US);
    }
    return due_us;
}

void
gtw_end_all(struct gtw *gtw, int64_t now_us)
{
    while (!g_queue_is_empty(&gtw->asks)) {
        struct ask *ask = gtw->asks.head->data;
        bool may_have_run = false;
        for (uint32_t i = 0; i < ask->part_count; i++) {
            may_have_run = may_have_run || prt_may_have_run(&ask->parts[i]);
        }
        ask_refuse(ask, may_have_run ? RC_OUTCOME_UNKNOWN : RC_STOPPING,
                   now_us);
    }
}
