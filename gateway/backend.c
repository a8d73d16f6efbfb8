#include <string.h>

#include "common/rc.h"
#include "gateway/backend.h"

/* Weight of a new value in the moving averages: 1 in 8. */
#define BKE_AVERAGE_WEIGHT 8
/* A single pause must not make a backend server look slow: a latency counts
 * as at most this many times the average. */
#define BKE_LATENCY_MAX_FACTOR 3
/* One that answers in less than this share of the average is fast again. */
#define BKE_LATENCY_FAST_DIVISOR 2
#define BKE_PERMILLE 1000
/* Time that a backend server is avoided after BKE_FAIL_RUN failures; it
 * doubles with each further one. */
#define BKE_AVOID_MIN_US (250 * 1000)
#define BKE_AVOID_MAX_US (4000 * 1000)
/* Time that a full backend server is avoided. */
#define BKE_SHED_AVOID_US (60 * 1000)

void
bke_set_init(struct bke_set *set, const struct bke_calls *calls, void *ctx)
{
    *set = (struct bke_set){
        .by_id = g_hash_table_new(g_str_hash, g_str_equal),
        .by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_ptr_array_unref),
        .link_max = UINT32_MAX,
        .calls = calls,
        .ctx = ctx,
    };
}

struct bke *
bke_ref(struct bke *backend)
{
    backend->references += 1;
    return backend;
}

void
bke_unref(struct bke *backend)
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
bke_index(struct bke_set *set, struct bke *backend)
{
    GPtrArray *list = g_hash_table_lookup(set->by_service, backend->service);
    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(set->by_service, g_strdup(backend->service), list);
    }
    g_ptr_array_add(list, backend);
}

/* Closes the links that carry no request, and those that nobody waits for if
 * the backend server was removed. */
static void
bke_close_unused(struct bke_set *set, struct bke *backend)
{
    for (guint i = backend->links->len; i > 0; i--) {
        struct bke_link *link = g_ptr_array_index(backend->links, i - 1);
        if (link->state == BKE_IDLE ||
            (backend->is_removed && link->attempt == NULL)) {
            bke_drop_link(set, link);
        }
    }
}

static void
bke_remove(struct bke_set *set, struct bke *backend)
{
    GPtrArray *list = g_hash_table_lookup(set->by_service, backend->service);
    g_ptr_array_remove(list, backend);
    if (list->len == 0) {
        g_hash_table_remove(set->by_service, backend->service);
    }
    g_hash_table_remove(set->by_id, backend->id);
    backend->is_removed = true;
    bke_close_unused(set, backend);
    bke_unref(backend);
}

void
bke_set_clear(struct bke_set *set)
{
    GList *all = g_hash_table_get_values(set->by_id);
    for (GList *item = all; item != NULL; item = item->next) {
        struct bke *backend = item->data;
        for (guint i = backend->links->len; i > 0; i--) {
            bke_drop_link(set, g_ptr_array_index(backend->links, i - 1));
        }
        bke_remove(set, backend);
    }
    g_list_free(all);
    g_hash_table_destroy(set->by_id);
    g_hash_table_destroy(set->by_service);
}

static struct bke *
bke_add(struct bke_set *set, const struct bke_entry *entry)
{
    struct bke *backend = g_new0(struct bke, 1);
    backend->references = 1;
    backend->id = g_strdup(entry->id);
    backend->service = g_strdup(entry->service);
    backend->address = g_strdup(entry->address);
    backend->dc = g_strdup(entry->dc);
    backend->born_ms = entry->born_ms;
    backend->links = g_ptr_array_new();
    g_hash_table_insert(set->by_id, backend->id, backend);
    bke_index(set, backend);
    return backend;
}

void
bke_note(struct bke_set *set, const struct bke_entry *entry, int64_t now_us)
{
    struct bke *backend = bke_find(set, entry->id);
    if (backend != NULL && (strcmp(backend->service, entry->service) != 0 ||
                            strcmp(backend->address, entry->address) != 0 ||
                            strcmp(backend->dc, entry->dc) != 0 ||
                            backend->born_ms != entry->born_ms)) {
        bke_remove(set, backend);
        backend = NULL;
    }
    if (backend == NULL) {
        backend = bke_add(set, entry);
    }
    backend->slots = entry->slots;
    backend->is_draining = entry->is_draining;
    backend->remove_us = 0;
    backend->wrong_id_us = 0;
    if (entry->warmup_left_us > 0) {
        backend->warm_us = now_us + entry->warmup_left_us;
    }
    if (backend->is_draining) {
        bke_close_unused(set, backend);
    }
}

void
bke_lapse(struct bke_set *set, const char *id, int64_t remove_us)
{
    struct bke *backend = bke_find(set, id);
    if (backend != NULL && backend->remove_us == 0) {
        backend->remove_us = remove_us;
    }
}

static bool
bke_is_crowded(const struct bke_set *set)
{
    return (uint64_t)set->link_count * 10 >= (uint64_t)set->link_max * 9;
}

/* Links that carry an attempt are its owner's to drop. */
static void
bke_tick_links(struct bke_set *set, struct bke *backend, int64_t now_us)
{
    for (guint i = backend->links->len; i > 0; i--) {
        struct bke_link *link = g_ptr_array_index(backend->links, i - 1);
        bool is_old = link->state == BKE_IDLE &&
                      (now_us >= link->expires_us ||
                       (bke_is_crowded(set) &&
                        now_us - link->since_us >= BKE_CROWDED_IDLE_US));
        bool is_abandoned = link->state != BKE_IDLE && link->attempt == NULL &&
                            now_us >= link->abandon_us;
        if (is_old || is_abandoned) {
            bke_drop_link(set, link);
        }
    }
}

void
bke_tick(struct bke_set *set, int64_t now_us)
{
    GList *all = g_hash_table_get_values(set->by_id);
    for (GList *item = all; item != NULL; item = item->next) {
        struct bke *backend = item->data;
        if (backend->remove_us > 0 && now_us >= backend->remove_us) {
            bke_remove(set, backend);
        }
        else {
            bke_tick_links(set, backend, now_us);
        }
    }
    g_list_free(all);
}

const GPtrArray *
bke_of(const struct bke_set *set, const char *service)
{
    return g_hash_table_lookup(set->by_service, service);
}

struct bke *
bke_find(const struct bke_set *set, const char *id)
{
    return g_hash_table_lookup(set->by_id, id);
}

bool
bke_is_cold(const struct bke *backend, int64_t now_us)
{
    return now_us < backend->warm_us;
}

struct bke_link *
bke_idle_link(const struct bke *backend, int64_t now_us)
{
    struct bke_link *best = NULL;
    for (guint i = 0; i < backend->links->len; i++) {
        struct bke_link *link = g_ptr_array_index(backend->links, i);
        if (link->state == BKE_IDLE && now_us < link->expires_us &&
            (best == NULL || link->since_us > best->since_us)) {
            best = link;
        }
    }
    return best;
}

struct bke_link *
bke_open_link(struct bke_set *set, struct bke *backend, void *attempt,
              int64_t now_us)
{
    struct bke_link *link = g_new0(struct bke_link, 1);
    link->backend = bke_ref(backend);
    link->state = BKE_CONNECTING;
    link->since_us = now_us;
    link->attempt = attempt;
    g_ptr_array_add(backend->links, link);
    set->link_count += 1;
    if (set->calls->connect(link, set->ctx) != RC_OK) {
        bke_drop_link(set, link);
        return NULL;
    }
    return link;
}

void
bke_take_link(struct bke_link *link, void *attempt, int64_t now_us)
{
    link->state = BKE_BUSY;
    link->since_us = now_us;
    link->attempt = attempt;
}

void
bke_give_link(struct bke_link *link, int64_t keepalive_us, int64_t now_us)
{
    link->state = BKE_IDLE;
    link->since_us = now_us;
    link->expires_us = now_us + MIN(keepalive_us, BKE_IDLE_MAX_US);
    link->attempt = NULL;
}

void
bke_abandon_link(struct bke_link *link, int64_t until_us)
{
    link->attempt = NULL;
    link->abandon_us = until_us;
}

uint32_t
bke_busy_count(const struct bke *backend)
{
    uint32_t count = 0;
    for (guint i = 0; i < backend->links->len; i++) {
        const struct bke_link *link = g_ptr_array_index(backend->links, i);
        count += link->state != BKE_IDLE ? 1 : 0;
    }
    return count;
}

uint32_t
bke_connecting_count(const struct bke *backend)
{
    uint32_t count = 0;
    for (guint i = 0; i < backend->links->len; i++) {
        const struct bke_link *link = g_ptr_array_index(backend->links, i);
        count += link->state == BKE_CONNECTING;
    }
    return count;
}

void
bke_drop_link(struct bke_set *set, struct bke_link *link)
{
    struct bke *backend = link->backend;
    g_ptr_array_remove_fast(backend->links, link);
    set->link_count -= 1;
    set->calls->close(link, set->ctx);
    g_free(link);
    bke_unref(backend);
}

/* The average after one more latency. */
static int64_t
bke_average_us(int64_t average_us, int64_t latency_us)
{
    if (average_us == 0) {
        return latency_us;
    }
    if (latency_us < average_us / BKE_LATENCY_FAST_DIVISOR) {
        return (average_us + latency_us) / 2;
    }
    int64_t counted_us = MIN(latency_us, average_us * BKE_LATENCY_MAX_FACTOR);
    return average_us + (counted_us - average_us) / BKE_AVERAGE_WEIGHT;
}

static void
bke_note_result(struct bke *backend, bool is_failure)
{
    uint32_t rest =
        backend->fail_permille - backend->fail_permille / BKE_AVERAGE_WEIGHT;
    backend->fail_permille =
        rest + (is_failure ? BKE_PERMILLE / BKE_AVERAGE_WEIGHT : 0);
}

void
bke_note_start(struct bke *backend, uint64_t start, int64_t warmup_us,
               int64_t now_us)
{
    if (backend->start != 0 && backend->start != start) {
        backend->warm_us = now_us + warmup_us;
    }
    backend->start = start;
}

void
bke_on_answer(struct bke *backend, int64_t latency_us)
{
    backend->latency_us = bke_average_us(backend->latency_us, latency_us);
    backend->fail_run = 0;
    backend->avoid_us = 0;
    bke_note_result(backend, false);
}

void
bke_on_failure(struct bke *backend, int64_t now_us)
{
    bke_note_result(backend, true);
    backend->fail_run += 1;
    if (backend->fail_run < BKE_FAIL_RUN) {
        return;
    }
    uint32_t doublings = MIN(backend->fail_run - BKE_FAIL_RUN, 8);
    int64_t avoid_us = (int64_t)BKE_AVOID_MIN_US << doublings;
    backend->avoid_us = now_us + MIN(avoid_us, BKE_AVOID_MAX_US);
}

uint32_t
bke_on_overdue(struct bke_set *set, struct bke *backend, int64_t sent_us,
               int64_t now_us)
{
    uint32_t count = 0;
    bke_on_failure(backend, now_us);
    for (guint i = backend->links->len; i > 0; i--) {
        struct bke_link *link = g_ptr_array_index(backend->links, i - 1);
        if (link->state == BKE_IDLE && link->since_us < sent_us) {
            bke_drop_link(set, link);
            count += 1;
        }
    }
    return count;
}

void
bke_on_shed(struct bke *backend, int64_t now_us)
{
    bke_note_result(backend, true);
    backend->avoid_us = MAX(backend->avoid_us, now_us + BKE_SHED_AVOID_US);
}

void
bke_on_wrong_id(struct bke *backend, int64_t now_us)
{
    backend->wrong_id_us = now_us;
}

int64_t
bke_oldest_us(const struct bke *backend, int64_t now_us)
{
    int64_t oldest_us = 0;
    for (guint i = 0; i < backend->links->len; i++) {
        const struct bke_link *link = g_ptr_array_index(backend->links, i);
        if (link->state != BKE_IDLE) {
            oldest_us = MAX(oldest_us, now_us - link->since_us);
        }
    }
    return oldest_us;
}
