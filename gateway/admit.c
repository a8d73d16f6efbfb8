#include <stdlib.h>

#include <glib.h>

#include "common/invariant.h"
#include "gateway/admit.h"

#define ADM_MILLI UINT64_C(1000)
#define ADM_LIMIT_MAX (UINT64_C(4096) * ADM_MILLI)
#define ADM_LATE_LIMIT_START (UINT64_C(32) * ADM_MILLI)
/* Each rank below the highest may use a tenth of the limit less. */
#define ADM_LEVELS 10
#define ADM_LEVEL_MAX 5
/* Callers that return may use this share: as many are served, and those that
 * come for the first time get their answer sooner. */
#define ADM_RETURNED_PERMILLE 500
/* A limit shrinks while this share of the requests misses its aim, once for
 * what one moment of load caused. */
#define ADM_MISS_PERMILLE 150
/* So does the limit of late ones while this share of those that cannot be in
 * time is refused: the load is far above what is borne, and what is spent on
 * late answers is taken from others. */
#define ADM_REFUSED_PERMILLE 200
#define ADM_MISS_SHRINK_PERMILLE 800
#define ADM_REFUSED_SHRINK_PERMILLE 500
#define ADM_SHRINK_IVL_US (100 * 1000)
/* It grows by one for this many times as many answers as it allows. */
#define ADM_GROWTH 2
/* Share of the time until the objective that the expected time may take: the
 * slowest of many parts takes longer than expected. */
#define ADM_OBJECTIVE_PERMILLE 650
/* Of two requests that are taken one is of a caller that returns. */
#define ADM_RETURN_SHARE 2
/* Weight of a new value in the moving averages: 1 in 16. */
#define ADM_AVERAGE_WEIGHT 16
/* An interval counts as at most this long. */
#define ADM_IVL_MAX_US (200 * 1000)
/* A caller that spends more than a third of its time away has little left for
 * the request itself. */
#define ADM_AWAY_DIVISOR 3

static int
adm_compare(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return left < right ? -1 : left > right;
}

int64_t
adm_covered_us(int64_t *part_us, uint32_t part_count,
               uint32_t coverage_min_permille)
{
    uint32_t needed =
        (uint32_t)(((uint64_t)part_count * coverage_min_permille + 999) /
                   1000);
    qsort(part_us, part_count, sizeof(part_us[0]), adm_compare);
    return part_us[CLAMP(needed, 1, part_count) - 1];
}

void
adm_init(struct adm *admit)
{
    *admit = (struct adm){
        .pools =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
}

void
adm_clear(struct adm *admit)
{
    g_hash_table_destroy(admit->pools);
}

struct adm_pool *
adm_pool_of(struct adm *admit, const char *service)
{
    struct adm_pool *pool = g_hash_table_lookup(admit->pools, service);
    if (pool == NULL) {
        pool = g_new(struct adm_pool, 1);
        *pool = (struct adm_pool){
            .in_time = {.limit_milli = ADM_LIMIT_MAX},
            .late = {.limit_milli = ADM_LATE_LIMIT_START},
            .priority = INT32_MAX,
        };
        g_hash_table_insert(admit->pools, g_strdup(service), pool);
    }
    return pool;
}

static gboolean
adm_is_unused(gpointer service, gpointer data, gpointer services)
{
    const struct adm_pool *pool = data;
    return pool->in_time.running + pool->late.running == 0 &&
           !g_hash_table_contains(services, service);
}

void
adm_forget(struct adm *admit, GHashTable *services)
{
    g_hash_table_foreach_remove(admit->pools, adm_is_unused, services);
}

/* The part of the limit that a request may use. */
static uint64_t
adm_allowed_milli(const struct adm_pool *pool,
                  const struct adm_request *request)
{
    uint64_t level =
        (uint64_t)CLAMP(request->priority - pool->priority, 0, ADM_LEVEL_MAX);
    uint64_t allowed_milli =
        pool->in_time.limit_milli * (ADM_LEVELS - level) / ADM_LEVELS;
    return request->has_returned
               ? allowed_milli * ADM_RETURNED_PERMILLE / ADM_MILLI
               : allowed_milli;
}

static bool
adm_has_room(const struct adm_class *class, uint64_t allowed_milli)
{
    return (class->running + 1) * ADM_MILLI <= MAX(allowed_milli, ADM_MILLI);
}

static struct adm_class *
adm_class_of(struct adm_pool *pool, bool is_late)
{
    return is_late ? &pool->late : &pool->in_time;
}

/* The moving average of a share after one more value. */
static uint32_t
adm_average(uint32_t permille, bool is_counted)
{
    return permille - permille / ADM_AVERAGE_WEIGHT +
           (is_counted ? 1000 / ADM_AVERAGE_WEIGHT : 0);
}

static void
adm_grow(struct adm_class *class)
{
    /* A limit that is not used says nothing about what would be borne. Half of
     * it is, where one more is above what callers that return may use. */
    if ((class->running + 1) * 2 * ADM_MILLI >= class->limit_milli) {
        uint64_t step =
            ADM_MILLI * ADM_MILLI / ADM_GROWTH / class->limit_milli;
        class->limit_milli = MIN(class->limit_milli + step, ADM_LIMIT_MAX);
    }
}

static void
adm_shrink(struct adm_class *class, uint64_t permille, int64_t now_us)
{
    if (now_us - class->shrunk_us < ADM_SHRINK_IVL_US) {
        return;
    }
    /* From where it is used: the limit may be far above. */
    uint64_t limit_milli = MIN(class->limit_milli, class->running * ADM_MILLI);
    class->limit_milli = MAX(limit_milli * permille / 1000, ADM_MILLI);
    class->shrunk_us = now_us;
}

enum adm_verdict
adm_judge(struct adm_pool *pool, const struct adm_request *request,
          int64_t now_us)
{
    pool->priority = MIN(pool->priority, request->priority);
    if (adm_has_room(&pool->in_time, adm_allowed_milli(pool, request)) &&
        request->covered_us <=
            request->objective_us * ADM_OBJECTIVE_PERMILLE / 1000) {
        return ADM_TAKE;
    }
    bool is_refused = !adm_has_room(&pool->late, pool->late.limit_milli);
    pool->refused_permille = adm_average(pool->refused_permille, is_refused);
    if (!is_refused) {
        return ADM_TAKE_LATE;
    }
    if (pool->refused_permille >= ADM_REFUSED_PERMILLE) {
        adm_shrink(&pool->late, ADM_REFUSED_SHRINK_PERMILLE, now_us);
    }
    return ADM_REFUSE;
}

static void
adm_miss(struct adm_class *class, int64_t now_us)
{
    class->miss_permille = adm_average(class->miss_permille, true);
    if (class->miss_permille >= ADM_MISS_PERMILLE) {
        adm_shrink(class, ADM_MISS_SHRINK_PERMILLE, now_us);
    }
}

void
adm_on_start(struct adm_pool *pool, bool is_late)
{
    adm_class_of(pool, is_late)->running += 1;
}

void
adm_on_late(struct adm_pool *pool, bool is_loaded, int64_t now_us)
{
    CH_INVARIANT(pool->in_time.running > 0);
    if (is_loaded) {
        adm_miss(&pool->in_time, now_us);
    }
    pool->in_time.running -= 1;
    pool->late.running += 1;
}

void
adm_on_end(struct adm_pool *pool, bool is_late, bool is_missed, int64_t now_us)
{
    struct adm_class *class = adm_class_of(pool, is_late);
    CH_INVARIANT(class->running > 0);
    if (is_missed) {
        adm_miss(class, now_us);
    }
    else {
        class->miss_permille = adm_average(class->miss_permille, false);
        adm_grow(class);
    }
    class->running -= 1;
}

void
adm_on_take(struct adm *admit, int64_t now_us)
{
    int64_t ivl_us = MIN(now_us - admit->taken_us, ADM_IVL_MAX_US);
    admit->taken_us = now_us;
    admit->taken_ivl_us += (ivl_us - admit->taken_ivl_us) / ADM_AVERAGE_WEIGHT;
}

int64_t
adm_return_us(struct adm *admit, int64_t wait_us, int64_t now_us)
{
    int64_t first_us = now_us + ADM_RETURN_MIN_US;
    int64_t last_us = MAX(now_us + wait_us / ADM_AWAY_DIVISOR, first_us);
    int64_t turn_us =
        admit->return_us + ADM_RETURN_SHARE * admit->taken_ivl_us;
    admit->return_us = CLAMP(turn_us, first_us, last_us);
    return admit->return_us - now_us;
}
