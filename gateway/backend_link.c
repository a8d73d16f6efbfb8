#include <string.h>

#include "common/resource.h"
#include "gateway/backend.h"

/* The connections (links) to backend servers: opened, used, kept and closed.
 */

/* Pause after a failed connection; each further one doubles it, up to the
 * maximum. */
#define BACKEND_CONNECT_PAUSE_MIN_US (20 * 1000)
#define BACKEND_CONNECT_PAUSE_MAX_US (320 * 1000)

void
backend_close_idle_links(struct backend_set *set, struct backend *backend)
{
    for (guint i = backend->links->len; i > 0; i--) {
        struct backend_link *link = g_ptr_array_index(backend->links, i - 1);
        if (link->state == BACKEND_IDLE ||
            (backend->is_removed && link->attempt == NULL)) {
            backend_close_link(set, link);
        }
    }
}

void
backend_close_surplus_links(struct backend_set *set, struct backend *backend,
                            uint32_t max)
{
    for (guint i = backend->links->len; i > 0 && backend->links->len > max;
         i--) {
        struct backend_link *link = g_ptr_array_index(backend->links, i - 1);
        if (link->state == BACKEND_IDLE) {
            backend_close_link(set, link);
        }
    }
}

static bool
backend_links_near_max(const struct backend_set *set)
{
    return (uint64_t)set->link_count * 10 >= (uint64_t)set->link_max * 9;
}

void
backend_tick_links(struct backend_set *set, struct backend *backend,
                   int64_t now_us)
{
    for (guint i = backend->links->len; i > 0; i--) {
        struct backend_link *link = g_ptr_array_index(backend->links, i - 1);
        bool is_old =
            link->state == BACKEND_IDLE &&
            (now_us >= link->expires_us ||
             (backend_links_near_max(set) &&
              now_us - link->state_since_us >= BACKEND_NEAR_MAX_IDLE_US));
        bool is_abandoned = link->state != BACKEND_IDLE &&
                            link->attempt == NULL && now_us >= link->close_us;
        if (is_old || is_abandoned) {
            backend_close_link(set, link);
        }
    }
}

/* Returns how many links these backend servers have. */
static uint32_t
backend_count_links(const GPtrArray *backends)
{
    uint32_t count = 0;
    for (guint i = 0; i < backends->len; i++) {
        const struct backend *backend = g_ptr_array_index(backends, i);
        count += backend->links->len;
    }
    return count;
}

/* Returns how many links are kept for other services, each of which may have
 * `least`. */
static uint64_t
backend_links_kept(const struct backend_set *set, const char *service,
                   uint64_t least)
{
    GHashTableIter iter;
    gpointer name = NULL;
    gpointer backends = NULL;
    uint64_t kept = 0;
    g_hash_table_iter_init(&iter, set->by_service);
    while (g_hash_table_iter_next(&iter, &name, &backends)) {
        uint32_t count = backend_count_links(backends);
        if (count < least && strcmp(name, service) != 0) {
            kept += least - count;
        }
    }
    return kept;
}

bool
backend_has_link_room(const struct backend_set *set, const char *service)
{
    guint services = g_hash_table_size(set->by_service);
    uint64_t least = resource_group_least(set->link_max, services);
    if (set->link_count + least * services < set->link_max) {
        return true;
    }
    const GPtrArray *replicas = backend_replicas(set, service);
    struct resource_group group = {
        .used = set->link_count,
        .max = set->link_max,
        .own = replicas != NULL ? backend_count_links(replicas) : 0,
        .least = least,
        .kept = backend_links_kept(set, service, least),
    };
    return resource_group_has_room(&group);
}

struct backend_link *
backend_idle_link(const struct backend *backend, int64_t now_us)
{
    struct backend_link *best = NULL;
    for (guint i = 0; i < backend->links->len; i++) {
        struct backend_link *link = g_ptr_array_index(backend->links, i);
        if (link->state == BACKEND_IDLE && now_us < link->expires_us &&
            (best == NULL || link->state_since_us > best->state_since_us)) {
            best = link;
        }
    }
    return best;
}

struct backend_link *
backend_open_link(struct backend_set *set, struct backend *backend,
                  void *attempt, int64_t now_us)
{
    struct backend_link *link = g_new0(struct backend_link, 1);
    link->backend = backend_ref(backend);
    link->state = BACKEND_CONNECTING;
    link->state_since_us = now_us;
    link->attempt = attempt;
    g_ptr_array_add(backend->links, link);
    set->link_count += 1;
    set->callbacks->connect(link, set->ctx);
    return link;
}

void
backend_acquire_link(struct backend_link *link, void *attempt, int64_t now_us)
{
    link->state = BACKEND_BUSY;
    link->state_since_us = now_us;
    link->attempt = attempt;
}

void
backend_release_link(struct backend_link *link, int64_t keepalive_us,
                     int64_t now_us)
{
    link->state = BACKEND_IDLE;
    link->state_since_us = now_us;
    link->expires_us = now_us + MIN(keepalive_us, BACKEND_IDLE_MAX_US);
    link->attempt = NULL;
}

void
backend_abandon_link(struct backend_link *link, uint64_t serial,
                     int64_t until_us)
{
    link->attempt = NULL;
    link->request_serial = serial;
    link->close_us = until_us;
}

void
backend_hasten_abandoned(struct backend *backend, uint64_t serial,
                         int64_t until_us)
{
    for (guint i = 0; i < backend->links->len; i++) {
        struct backend_link *link = g_ptr_array_index(backend->links, i);
        if (link->state != BACKEND_IDLE && link->attempt == NULL &&
            link->request_serial == serial) {
            link->close_us = MIN(link->close_us, until_us);
        }
    }
}

uint32_t
backend_busy_count(const struct backend *backend)
{
    uint32_t count = 0;
    for (guint i = 0; i < backend->links->len; i++) {
        const struct backend_link *link = g_ptr_array_index(backend->links, i);
        count += link->state != BACKEND_IDLE ? 1 : 0;
    }
    return count;
}

uint32_t
backend_connecting_count(const struct backend *backend)
{
    uint32_t count = 0;
    for (guint i = 0; i < backend->links->len; i++) {
        const struct backend_link *link = g_ptr_array_index(backend->links, i);
        count += link->state == BACKEND_CONNECTING;
    }
    return count;
}

void
backend_on_connected(struct backend *backend)
{
    backend->connect_failures = 0;
    backend->connect_from_us = 0;
}

void
backend_on_connect_failure(struct backend *backend, int64_t now_us)
{
    /* Links that were opened together fail together: that is one try. */
    if (now_us < backend->connect_from_us) {
        return;
    }
    uint32_t doublings = MIN(backend->connect_failures, 8);
    int64_t pause_us = (int64_t)BACKEND_CONNECT_PAUSE_MIN_US << doublings;
    backend->connect_failures += 1;
    backend->connect_from_us =
        now_us + MIN(pause_us, BACKEND_CONNECT_PAUSE_MAX_US);
}

bool
backend_may_connect(const struct backend *backend, int64_t now_us)
{
    if (backend->connect_failures == 0) {
        return true;
    }
    return now_us >= backend->connect_from_us &&
           backend_connecting_count(backend) == 0;
}

bool
backend_is_unreachable(const struct backend *backend, int64_t now_us)
{
    return backend->connect_failures >= BACKEND_UNREACHABLE_FAILURES &&
           !backend_may_connect(backend, now_us);
}

void
backend_close_link(struct backend_set *set, struct backend_link *link)
{
    struct backend *backend = link->backend;
    g_ptr_array_remove_fast(backend->links, link);
    set->link_count -= 1;
    set->callbacks->close(link, set->ctx);
    g_free(link);
    backend_unref(backend);
}

int64_t
backend_oldest_request_us(const struct backend *backend, int64_t now_us)
{
    int64_t oldest_us = 0;
    for (guint i = 0; i < backend->links->len; i++) {
        const struct backend_link *link = g_ptr_array_index(backend->links, i);
        if (link->state != BACKEND_IDLE) {
            oldest_us = MAX(oldest_us, now_us - link->state_since_us);
        }
    }
    return oldest_us;
}
