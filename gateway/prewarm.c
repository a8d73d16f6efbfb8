#include "gateway/balancer.h"
#include "gateway/prewarm.h"
#include "gateway/share.h"

void
prewarm_init(struct prewarm *prewarm)
{
    prewarm->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
prewarm_clear(struct prewarm *prewarm)
{
    g_hash_table_destroy(prewarm->services);
}

static gboolean
prewarm_is_gone(gpointer name, gpointer value, gpointer config)
{
    return gateway_config_find_service(config, name) == NULL;
}

void
prewarm_on_config(struct prewarm *prewarm, const struct gateway_config *before,
                  const struct gateway_config *after)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_foreach_remove(prewarm->services, prewarm_is_gone,
                                (gpointer)after);
    g_hash_table_iter_init(&iter, after->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct route *route = value;
        for (guint i = 0; route->is_gather && i < route->targets->len; i++) {
            const char *name =
                g_array_index(route->targets, struct route_target, i)
                    .service->name;
            if (before == NULL ||
                gateway_config_find_service(before, name) == NULL) {
                g_hash_table_add(prewarm->services, g_strdup(name));
            }
        }
    }
}

/* Returns the replica to connect to, or NULL if none can be used. Sets
 * `has_link` if one has a link already. */
static struct backend *
prewarm_pick(const struct backend_set *set,
             const struct prewarm_bounds *bounds, const char *service,
             bool *has_link, int64_t now_us)
{
    const GPtrArray *all = backend_replicas(set, service);
    struct backend *best = NULL;
    for (guint i = 0; all != NULL && i < all->len; i++) {
        struct backend *backend = g_ptr_array_index(all, i);
        *has_link = *has_link || backend->links->len > 0;
        bool is_usable =
            !backend->is_draining && backend->wrong_id_us == 0 &&
            !notice_is_leaving(&backend->notice) &&
            !notice_is_backing_off(&backend->notice, now_us) &&
            !g_hash_table_contains(bounds->drained_dcs, backend->dc);
        bool is_local = g_strcmp0(backend->dc, bounds->dc) == 0;
        if (is_usable && (best == NULL || is_local)) {
            best = backend;
        }
    }
    return best;
}

void
prewarm_tick(struct prewarm *prewarm, struct backend_set *set,
             const struct prewarm_bounds *bounds,
             const struct gateway_config *config, int64_t now_us)
{
    uint32_t opened = 0;
    GHashTableIter iter;
    gpointer name = NULL;
    g_hash_table_iter_init(&iter, prewarm->services);
    while (opened < PREWARM_LINKS_PER_TICK &&
           set->link_count < set->link_max / PREWARM_LINK_MAX_DIVISOR &&
           g_hash_table_iter_next(&iter, &name, NULL)) {
        const struct service *service =
            gateway_config_find_service(config, name);
        bool has_link = false;
        struct backend *backend =
            prewarm_pick(set, bounds, name, &has_link, now_us);
        bool is_shared_out =
            service == NULL ||
            !share_has_connection(service->connections_max, bounds->vms);
        if (backend != NULL && !has_link && !is_shared_out) {
            struct backend_link *link =
                backend_open_link(set, backend, NULL, now_us);
            if (link != NULL) {
                backend_abandon_link(link, now_us + BACKEND_CONNECT_MAX_US);
            }
            opened += 1;
        }
        if (backend != NULL || has_link || is_shared_out) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
