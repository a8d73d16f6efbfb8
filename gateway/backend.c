#include <string.h>

#include "common/rc.h"
#include "gateway/backend.h"

/* Weight of a new value in the moving averages: 1 in 8. */
#define BACKEND_AVERAGE_WEIGHT 8
/* One latency sample counts as at most this many times the average, so that a
 * single pause does not make a backend server look slow. */
#define BACKEND_LATENCY_MAX_FACTOR 3
/* A sample below the average divided by this counts half, so that a backend
 * server that has become fast again is used soon. */
#define BACKEND_LATENCY_FAST_DIVISOR 2
#define BACKEND_PERMILLE 1000
/* A backend server is avoided for the minimum after BACKEND_AVOID_FAILURES
 * consecutive failures; each further one doubles that, up to the maximum. */
#define BACKEND_AVOID_MIN_US (250 * 1000)
#define BACKEND_AVOID_MAX_US (4000 * 1000)
/* A backend server that refused a request as full is avoided for this time. */
#define BACKEND_SHED_AVOID_US (60 * 1000)

void
backend_set_init(struct backend_set *set,
                 const struct backend_callbacks *callbacks, void *ctx)
{
    *set = (struct backend_set){
        .by_id = g_hash_table_new(g_str_hash, g_str_equal),
        .by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_ptr_array_unref),
        .link_max = UINT32_MAX,
        .callbacks = callbacks,
        .ctx = ctx,
    };
    notice_table_init(&set->notices);
}

struct backend *
backend_ref(struct backend *backend)
{
    backend->references += 1;
    return backend;
}

void
backend_unref(struct backend *backend)
{
    backend->references -= 1;
    if (backend->references > 0) {
        return;
    }
    g_ptr_array_free(backend->links, TRUE);
    g_free(backend->id);
    g_free(backend->service);
    g_free(backend->address);
    g_free(backend->dc);
    g_free(backend);
}

static void
backend_add_to_service(struct backend_set *set, struct backend *backend)
{
    GPtrArray *list = g_hash_table_lookup(set->by_service, backend->service);
    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(set->by_service, g_strdup(backend->service), list);
    }
    g_ptr_array_add(list, backend);
}

static void
backend_remove(struct backend_set *set, struct backend *backend,
               int64_t now_us)
{
    notice_keep(&set->notices, backend->id, backend->started_unix_ms,
                &backend->notice, now_us);
    GPtrArray *list = g_hash_table_lookup(set->by_service, backend->service);
    g_ptr_array_remove(list, backend);
    if (list->len == 0) {
        g_hash_table_remove(set->by_service, backend->service);
    }
    g_hash_table_remove(set->by_id, backend->id);
    backend->is_removed = true;
    backend_close_idle_links(set, backend);
    backend_unref(backend);
}

void
backend_set_clear(struct backend_set *set)
{
    GList *all = g_hash_table_get_values(set->by_id);
    for (GList *item = all; item != NULL; item = item->next) {
        struct backend *backend = item->data;
        for (guint i = backend->links->len; i > 0; i--) {
            backend_close_link(set, g_ptr_array_index(backend->links, i - 1));
        }
        backend_remove(set, backend, 0);
    }
    g_list_free(all);
    g_hash_table_destroy(set->by_id);
    g_hash_table_destroy(set->by_service);
    notice_table_clear(&set->notices);
}

static struct backend *
backend_add(struct backend_set *set, const struct backend_entry *entry,
            int64_t now_us)
{
    struct backend *backend = g_new0(struct backend, 1);
    backend->references = 1;
    backend->id = g_strdup(entry->id);
    backend->service = g_strdup(entry->service);
    backend->address = g_strdup(entry->address);
    backend->dc = g_strdup(entry->dc);
    backend->started_unix_ms = entry->started_unix_ms;
    backend->notice =
        notice_take(&set->notices, entry->id, entry->started_unix_ms, now_us);
    backend->links = g_ptr_array_new();
    g_hash_table_insert(set->by_id, backend->id, backend);
    backend_add_to_service(set, backend);
    return backend;
}

/* A copy that the store has returned to may say less than was known of the
 * same process, which can become cold again at any moment. */
static void
backend_update_warmup(struct backend *backend,
                      const struct backend_entry *entry, int64_t now_us)
{
    bool is_copy = entry->era > backend->era;
    backend->era = entry->era;
    if (entry->warmup_left_us <= 0) {
        return;
    }
    int64_t until_us = now_us + entry->warmup_left_us;
    backend->cold_until_us =
        is_copy ? MAX(backend->cold_until_us, until_us) : until_us;
}

void
backend_update(struct backend_set *set, const struct backend_entry *entry,
               int64_t now_us)
{
    struct backend *backend = backend_find(set, entry->id);
    if (backend != NULL &&
        (strcmp(backend->service, entry->service) != 0 ||
         strcmp(backend->address, entry->address) != 0 ||
         strcmp(backend->dc, entry->dc) != 0 ||
         backend->started_unix_ms != entry->started_unix_ms)) {
        backend_remove(set, backend, now_us);
        backend = NULL;
    }
    if (backend == NULL) {
        backend = backend_add(set, entry, now_us);
    }
    backend->slots = entry->slots;
    backend->is_draining = entry->is_draining;
    backend->remove_us = 0;
    backend->wrong_id_us = 0;
    backend_update_warmup(backend, entry, now_us);
    if (backend->is_draining) {
        backend_close_idle_links(set, backend);
    }
}

void
backend_expire(struct backend_set *set, const char *id, int64_t remove_us)
{
    struct backend *backend = backend_find(set, id);
    if (backend != NULL && backend->remove_us == 0) {
        backend->remove_us = remove_us;
    }
}

/* Records that the process is leaving. Returns whether this is new. */
static bool
backend_record_leaving(struct backend_set *set, const char *id,
                       int64_t started_unix_ms, int64_t now_us)
{
    struct backend *backend = backend_find(set, id);
    if (backend != NULL && backend->started_unix_ms == started_unix_ms) {
        return notice_on_leaving(&backend->notice, now_us);
    }
    struct notice notice =
        notice_take(&set->notices, id, started_unix_ms, now_us);
    bool is_new = notice_on_leaving(&notice, now_us);
    notice_keep(&set->notices, id, started_unix_ms, &notice, now_us);
    return is_new;
}

bool
backend_on_leaving(struct backend_set *set, const char *id,
                   int64_t started_unix_ms, int64_t now_us)
{
    bool is_new = backend_record_leaving(set, id, started_unix_ms, now_us);
    if (is_new) {
        notice_tell(&set->notices, id, started_unix_ms, now_us);
    }
    return is_new;
}

struct backend *
backend_find_at_same_address(const struct backend_set *set,
                             const struct backend *backend)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, set->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct backend *other = value;
        if (other != backend &&
            strcmp(other->address, backend->address) == 0) {
            return other;
        }
    }
    return NULL;
}

void
backend_tick(struct backend_set *set, int64_t now_us)
{
    GList *all = g_hash_table_get_values(set->by_id);
    for (GList *item = all; item != NULL; item = item->next) {
        struct backend *backend = item->data;
        if (backend->remove_us > 0 && now_us >= backend->remove_us) {
            backend_remove(set, backend, now_us);
        }
        else {
            backend_tick_links(set, backend, now_us);
        }
    }
    g_list_free(all);
}

const GPtrArray *
backend_replicas(const struct backend_set *set, const char *service)
{
    return g_hash_table_lookup(set->by_service, service);
}

struct backend *
backend_find(const struct backend_set *set, const char *id)
{
    return g_hash_table_lookup(set->by_id, id);
}

bool
backend_is_cold(const struct backend *backend, int64_t now_us)
{
    return now_us < backend->cold_until_us;
}

/* Returns the moving average after one more sample. */
static int64_t
backend_update_average_us(int64_t average_us, int64_t latency_us)
{
    if (average_us == 0) {
        return latency_us;
    }
    if (latency_us < average_us / BACKEND_LATENCY_FAST_DIVISOR) {
        return (average_us + latency_us) / 2;
    }
    int64_t counted_us =
        MIN(latency_us, average_us * BACKEND_LATENCY_MAX_FACTOR);
    return average_us + (counted_us - average_us) / BACKEND_AVERAGE_WEIGHT;
}

static void
backend_update_failure_rate(struct backend *backend, bool is_failure)
{
    uint32_t rest = backend->fail_permille -
                    backend->fail_permille / BACKEND_AVERAGE_WEIGHT;
    backend->fail_permille =
        rest + (is_failure ? BACKEND_PERMILLE / BACKEND_AVERAGE_WEIGHT : 0);
}

void
backend_record_start(struct backend *backend, uint64_t start,
                     int64_t warmup_us, int64_t now_us)
{
    if (backend->start != 0 && backend->start != start) {
        backend->cold_until_us = now_us + warmup_us;
    }
    backend->start = start;
}

void
backend_on_answer(struct backend *backend, int64_t latency_us)
{
    backend->latency_us =
        backend_update_average_us(backend->latency_us, latency_us);
    backend->consecutive_failures = 0;
    backend->avoid_until_us = 0;
    backend_update_failure_rate(backend, false);
}

void
backend_on_failure(struct backend *backend, int64_t now_us)
{
    backend_update_failure_rate(backend, true);
    backend->consecutive_failures += 1;
    if (backend->consecutive_failures < BACKEND_AVOID_FAILURES) {
        return;
    }
    uint32_t doublings =
        MIN(backend->consecutive_failures - BACKEND_AVOID_FAILURES, 8);
    int64_t delay_us = (int64_t)BACKEND_AVOID_MIN_US << doublings;
    backend->avoid_until_us = now_us + MIN(delay_us, BACKEND_AVOID_MAX_US);
}

uint32_t
backend_on_overdue(struct backend_set *set, struct backend *backend,
                   int64_t sent_us, int64_t now_us)
{
    uint32_t count = 0;
    backend_on_failure(backend, now_us);
    for (guint i = backend->links->len; i > 0; i--) {
        struct backend_link *link = g_ptr_array_index(backend->links, i - 1);
        if (link->state == BACKEND_IDLE && link->state_since_us < sent_us) {
            backend_close_link(set, link);
            count += 1;
        }
    }
    return count;
}

void
backend_on_shed(struct backend *backend, int64_t now_us)
{
    backend_update_failure_rate(backend, true);
    backend->avoid_until_us =
        MAX(backend->avoid_until_us, now_us + BACKEND_SHED_AVOID_US);
}

void
backend_prefer_others(struct backend *backend, int64_t delay_us,
                      int64_t now_us)
{
    int64_t until_us = now_us + MIN(delay_us, BACKEND_PREFER_OTHERS_MAX_US);
    backend->avoid_until_us = MAX(backend->avoid_until_us, until_us);
}

void
backend_on_wrong_id(struct backend *backend, int64_t now_us)
{
    backend->wrong_id_us = now_us;
}
