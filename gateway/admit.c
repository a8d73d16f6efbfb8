#include <stdlib.h>

#include <glib.h>

#include "common/invariant.h"
#include "common/resource.h"
#include "gateway/admit.h"

#define ADMIT_MILLI UINT64_C(1000)
#define ADMIT_LIMIT_MAX_MILLI (UINT64_C(4096) * ADMIT_MILLI)
#define ADMIT_LATE_LIMIT_INITIAL_MILLI (UINT64_C(32) * ADMIT_MILLI)
/* Each priority step below the highest gets a tenth of the limit less, for at
 * most ADMIT_PRIORITY_STEP_MAX steps. */
#define ADMIT_PRIORITY_STEPS 10
#define ADMIT_PRIORITY_STEP_MAX 5
/* Retries may use this share of the limit: the number of callers served stays
 * the same, and first attempts are answered sooner. */
#define ADMIT_RETRY_LIMIT_PERMILLE 500
/* A limit is decreased while at least this share of the requests misses its
 * target, at most once per ADMIT_DECREASE_INTERVAL_US, so that one burst of
 * load decreases it only once. */
#define ADMIT_MISS_MAX_PERMILLE 150
/* The limit of late requests is also decreased while at least this share of
 * the requests that cannot be answered in time is refused: the load is far
 * above the capacity, and late answers take capacity from those in time. */
#define ADMIT_REFUSED_MAX_PERMILLE 200
#define ADMIT_MISS_DECREASE_PERMILLE 800
#define ADMIT_REFUSED_DECREASE_PERMILLE 500
#define ADMIT_DECREASE_INTERVAL_US (100 * 1000)
/* A limit of N requests is increased by one after this many times N answers.
 */
#define ADMIT_ROUNDS_PER_INCREASE 2
/* Largest share of the time left until the objective that the expected time
 * may take: the slowest of many parts takes longer than expected. */
#define ADMIT_OBJECTIVE_PERMILLE 650
/* Retry times are spaced so that one in this many accepted requests is a
 * retry. */
#define ADMIT_ACCEPTS_PER_RETRY 2
/* Weight of a new value in the moving averages: 1 in 16. */
#define ADMIT_AVERAGE_WEIGHT 16
/* Upper bound on one sample of the time between accepted requests. */
#define ADMIT_INTERVAL_MAX_US (200 * 1000)
/* A caller backs off for at most its remaining wait divided by this: with more
 * than a third of it, little time would be left for the request itself. */
#define ADMIT_BACKOFF_DIVISOR 3

static int
admit_compare_times(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return left < right ? -1 : left > right;
}

int64_t
admit_coverage_us(int64_t *part_us, uint32_t part_count,
                  uint32_t coverage_min_permille)
{
    uint32_t needed =
        (uint32_t)(((uint64_t)part_count * coverage_min_permille + 999) /
                   1000);
    qsort(part_us, part_count, sizeof(part_us[0]), admit_compare_times);
    return part_us[CLAMP(needed, 1, part_count) - 1];
}

void
admit_init(struct admit *admit)
{
    *admit = (struct admit){
        .pools =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
}

void
admit_clear(struct admit *admit)
{
    g_hash_table_destroy(admit->pools);
}

struct admit_pool *
admit_get_pool(struct admit *admit, const char *service)
{
    struct admit_pool *pool = g_hash_table_lookup(admit->pools, service);
    if (pool == NULL) {
        pool = g_new(struct admit_pool, 1);
        *pool = (struct admit_pool){
            .in_time = {.limit_milli = ADMIT_LIMIT_MAX_MILLI},
            .late = {.limit_milli = ADMIT_LATE_LIMIT_INITIAL_MILLI},
            .top_priority = INT32_MAX,
        };
        g_hash_table_insert(admit->pools, g_strdup(service), pool);
    }
    return pool;
}

bool
admit_leaves_room(const struct admit *admit, const struct admit_pool *pool,
                  uint32_t running, uint32_t running_max)
{
    /* One more for a service that has not had a request yet. */
    guint pools = g_hash_table_size(admit->pools) + 1;
    uint64_t least = resource_group_least(running_max, pools);
    struct resource_group group = {
        .used = running,
        .max = running_max,
        .own = pool->in_time.running + pool->late.running,
        .least = least,
        .kept = least,
    };
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, admit->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct admit_pool *other = value;
        uint64_t count = other->in_time.running + other->late.running;
        if (other != pool && count < group.least) {
            group.kept += group.least - count;
        }
    }
    return resource_group_has_room(&group);
}

static gboolean
admit_is_unused(gpointer service, gpointer data, gpointer services)
{
    const struct admit_pool *pool = data;
    return pool->in_time.running + pool->late.running == 0 &&
           !g_hash_table_contains(services, service);
}

void
admit_prune(struct admit *admit, GHashTable *services)
{
    g_hash_table_foreach_remove(admit->pools, admit_is_unused, services);
}

/* Returns the share of the limit that a request of this priority may use. */
static uint64_t
admit_allowed_milli(const struct admit_pool *pool,
                    const struct admit_request *request)
{
    uint64_t level = (uint64_t)CLAMP(request->priority - pool->top_priority, 0,
                                     ADMIT_PRIORITY_STEP_MAX);
    uint64_t allowed_milli = pool->in_time.limit_milli *
                             (ADMIT_PRIORITY_STEPS - level) /
                             ADMIT_PRIORITY_STEPS;
    return request->is_retry
               ? allowed_milli * ADMIT_RETRY_LIMIT_PERMILLE / ADMIT_MILLI
               : allowed_milli;
}

static bool
admit_has_room(const struct admit_class *class, uint64_t allowed_milli)
{
    return (class->running + 1) * ADMIT_MILLI <=
           MAX(allowed_milli, ADMIT_MILLI);
}

static struct admit_class *
admit_class_of(struct admit_pool *pool, bool is_late)
{
    return is_late ? &pool->late : &pool->in_time;
}

/* Returns the moving average of a share after one more sample. */
static uint32_t
admit_update_average(uint32_t permille, bool is_counted)
{
    return permille - permille / ADMIT_AVERAGE_WEIGHT +
           (is_counted ? 1000 / ADMIT_AVERAGE_WEIGHT : 0);
}

static void
admit_increase_limit(struct admit_class *class)
{
    /* A limit that is not reached says nothing about the capacity. Half of it
     * counts as reached, since retries may use only that much. */
    if ((class->running + 1) * 2 * ADMIT_MILLI >= class->limit_milli) {
        uint64_t step = ADMIT_MILLI * ADMIT_MILLI / ADMIT_ROUNDS_PER_INCREASE /
                        class->limit_milli;
        class->limit_milli =
            MIN(class->limit_milli + step, ADMIT_LIMIT_MAX_MILLI);
    }
}

static void
admit_decrease_limit(struct admit_class *class, uint64_t permille,
                     int64_t now_us)
{
    if (now_us - class->last_decrease_us < ADMIT_DECREASE_INTERVAL_US) {
        return;
    }
    /* Starts from the number of running requests if that is lower: the limit
     * may be far above it. */
    uint64_t limit_milli =
        MIN(class->limit_milli, class->running * ADMIT_MILLI);
    class->limit_milli = MAX(limit_milli * permille / 1000, ADMIT_MILLI);
    class->last_decrease_us = now_us;
}

enum admit_decision
admit_decide(struct admit_pool *pool, const struct admit_request *request,
             int64_t now_us)
{
    pool->top_priority = MIN(pool->top_priority, request->priority);
    if (admit_has_room(&pool->in_time, admit_allowed_milli(pool, request)) &&
        request->expected_us <=
            request->objective_left_us * ADMIT_OBJECTIVE_PERMILLE / 1000) {
        return ADMIT_ACCEPT;
    }
    bool is_refused = !admit_has_room(&pool->late, pool->late.limit_milli);
    pool->refused_permille =
        admit_update_average(pool->refused_permille, is_refused);
    if (!is_refused) {
        return ADMIT_ACCEPT_LATE;
    }
    if (pool->refused_permille >= ADMIT_REFUSED_MAX_PERMILLE) {
        admit_decrease_limit(&pool->late, ADMIT_REFUSED_DECREASE_PERMILLE,
                             now_us);
    }
    return ADMIT_REFUSE;
}

static void
admit_record_miss(struct admit_class *class, int64_t now_us)
{
    class->miss_permille = admit_update_average(class->miss_permille, true);
    if (class->miss_permille >= ADMIT_MISS_MAX_PERMILLE) {
        admit_decrease_limit(class, ADMIT_MISS_DECREASE_PERMILLE, now_us);
    }
}

void
admit_on_start(struct admit_pool *pool, bool is_late)
{
    admit_class_of(pool, is_late)->running += 1;
}

void
admit_on_late(struct admit_pool *pool, bool has_waited, int64_t now_us)
{
    CH_INVARIANT(pool->in_time.running > 0);
    if (has_waited) {
        admit_record_miss(&pool->in_time, now_us);
    }
    pool->in_time.running -= 1;
    pool->late.running += 1;
}

void
admit_on_end(struct admit_pool *pool, bool is_late, bool is_missed,
             int64_t now_us)
{
    struct admit_class *class = admit_class_of(pool, is_late);
    CH_INVARIANT(class->running > 0);
    if (is_missed) {
        admit_record_miss(class, now_us);
    }
    else {
        class->miss_permille =
            admit_update_average(class->miss_permille, false);
        admit_increase_limit(class);
    }
    class->running -= 1;
}

void
admit_on_accept(struct admit *admit, int64_t now_us)
{
    int64_t interval_us =
        MIN(now_us - admit->last_accept_us, ADMIT_INTERVAL_MAX_US);
    admit->last_accept_us = now_us;
    admit->accept_interval_us +=
        (interval_us - admit->accept_interval_us) / ADMIT_AVERAGE_WEIGHT;
}

int64_t
admit_retry_after_us(struct admit *admit, int64_t wait_us, int64_t now_us)
{
    int64_t first_us = now_us + ADMIT_RETRY_AFTER_MIN_US;
    int64_t last_us = MAX(now_us + wait_us / ADMIT_BACKOFF_DIVISOR, first_us);
    int64_t next_us = admit->last_retry_us +
                      ADMIT_ACCEPTS_PER_RETRY * admit->accept_interval_us;
    admit->last_retry_us = CLAMP(next_us, first_us, last_us);
    return admit->last_retry_us - now_us;
}
