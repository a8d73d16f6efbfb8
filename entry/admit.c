#include <glib.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "entry/admit.h"

#define ADM_LIMIT_START 64
#define ADM_LIMIT_MIN 2
#define ADM_LIMIT_MAX 4096
#define ADM_MILLI 1000
/* One decrease for refusals that one burst of searches caused. */
#define ADM_WINDOW_US (INT64_C(100) * 1000)
#define ADM_DECREASE_PERMILLE 800
/*
 * Refusals by fewer shards than this share of the layout come from single
 * instances that are cold or lost; fewer searches would not help the others.
 */
#define ADM_SPREAD_DIVISOR 10
#define ADM_PRIORITY_MAX 5
/*
 * Answers that use more of their budget than 1 / this leave no room for more
 * load: with growth up to the deadline itself one admitted search in seven
 * missed a shard at twice the capacity.
 */
#define ADM_GROWTH_DIVISOR 2

struct adm_service {
    uint64_t limit_milli;
    uint64_t running;
    int64_t window_us;   /* when the window of refusals began */
    GHashTable *refused; /* set of shards refused in the window */
};

struct adm {
    struct cnt_set *counters;
    GHashTable *services;
};

static void
adm_service_free(gpointer data)
{
    struct adm_service *service = data;
    g_hash_table_destroy(service->refused);
    g_free(service);
}

struct adm *
adm_new(struct cnt_set *counters)
{
    struct adm *admit = g_new0(struct adm, 1);
    admit->counters = counters;
    admit->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            adm_service_free);
    return admit;
}

void
adm_free(struct adm *admit)
{
    if (admit == NULL) {
        return;
    }
    g_hash_table_destroy(admit->services);
    g_free(admit);
}

static struct adm_service *
adm_service_get(struct adm *admit, const char *name)
{
    struct adm_service *service = g_hash_table_lookup(admit->services, name);
    if (service == NULL) {
        service = g_new0(struct adm_service, 1);
        service->limit_milli = ADM_LIMIT_START * ADM_MILLI;
        service->refused =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
        g_hash_table_insert(admit->services, g_strdup(name), service);
    }
    return service;
}

int
adm_take(struct adm *admit, const char *service_name, int64_t priority)
{
    struct adm_service *service = adm_service_get(admit, service_name);
    uint64_t level = (uint64_t)CLAMP(priority, 0, ADM_PRIORITY_MAX);
    uint64_t allowed_milli = service->limit_milli * (10 - level) / 10;
    if ((service->running + 1) * ADM_MILLI > allowed_milli) {
        cnt_add(admit->counters, "refused_total", "admission");
        return RC_QUEUE_FULL;
    }
    service->running += 1;
    return RC_OK;
}

static void
adm_increase(struct adm_service *service)
{
    /* A bound that is not used says nothing about what would be borne. */
    if (service->running * 2 * ADM_MILLI < service->limit_milli) {
        return;
    }
    uint64_t step = ADM_MILLI * ADM_MILLI / service->limit_milli;
    service->limit_milli = MIN(service->limit_milli + MAX(step, 1),
                               (uint64_t)ADM_LIMIT_MAX * ADM_MILLI);
}

static void
adm_note_refused(struct adm *admit, struct adm_service *service,
                 const struct adm_result *result, int64_t now_us)
{
    if (now_us < service->window_us) {
        /* These searches were admitted under the bound before. */
        return;
    }
    if (now_us - service->window_us >= ADM_WINDOW_US) {
        g_hash_table_remove_all(service->refused);
        service->window_us = now_us;
    }
    for (size_t i = 0; i < result->refused_count; i++) {
        int64_t *shard = g_new(int64_t, 1);
        *shard = (int64_t)result->refused[i];
        g_hash_table_add(service->refused, shard);
    }
    uint64_t spread = MAX(1, (result->shards_needed + ADM_SPREAD_DIVISOR - 1) /
                                 ADM_SPREAD_DIVISOR);
    if (g_hash_table_size(service->refused) < spread) {
        return;
    }
    cnt_add(admit->counters, "admission_decreases_total", NULL);
    service->limit_milli =
        MAX(service->limit_milli * ADM_DECREASE_PERMILLE / 1000,
            (uint64_t)ADM_LIMIT_MIN * ADM_MILLI);
    g_hash_table_remove_all(service->refused);
    service->window_us = now_us + ADM_WINDOW_US;
}

void
adm_done(struct adm *admit, const char *service_name,
         const struct adm_result *result, int64_t now_us)
{
    struct adm_service *service = adm_service_get(admit, service_name);
    CH_INVARIANT(service->running > 0);
    if (result != NULL && result->is_complete) {
        if (result->latency_us < result->budget_us / ADM_GROWTH_DIVISOR) {
            adm_increase(service);
        }
    }
    else if (result != NULL && result->refused_count > 0) {
        adm_note_refused(admit, service, result, now_us);
    }
    service->running -= 1;
    CH_INVARIANT(service->limit_milli >= (uint64_t)ADM_LIMIT_MIN * ADM_MILLI);
}

uint64_t
adm_limit(const struct adm *admit, const char *service_name)
{
    const struct adm_service *service =
        g_hash_table_lookup(admit->services, service_name);
    return service != NULL ? service->limit_milli / ADM_MILLI
                           : ADM_LIMIT_START;
}

uint64_t
adm_running(const struct adm *admit, const char *service_name)
{
    const struct adm_service *service =
        g_hash_table_lookup(admit->services, service_name);
    return service != NULL ? service->running : 0;
}
