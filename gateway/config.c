#include <string.h>

#include "gateway/config.h"

static void
gcf_service_free(gpointer data)
{
    struct gcf_service *service = data;
    g_free(service->name);
    g_free(service);
}

struct gcf_route *
gcf_route_new(void)
{
    struct gcf_route *route = g_new0(struct gcf_route, 1);
    route->targets = g_array_new(FALSE, FALSE, sizeof(struct gcf_target));
    return route;
}

void
gcf_route_free(gpointer data)
{
    struct gcf_route *route = data;
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    g_array_free(route->targets, TRUE);
    g_free(route);
}

struct gcf *
gcf_new(int64_t version)
{
    struct gcf *config = g_new0(struct gcf, 1);
    config->references = 1;
    config->version = version;
    config->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, gcf_service_free);
    config->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, gcf_route_free);
    config->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return config;
}

struct gcf *
gcf_ref(struct gcf *config)
{
    config->references += 1;
    return config;
}

void
gcf_unref(struct gcf *config)
{
    if (config == NULL) {
        return;
    }
    config->references -= 1;
    if (config->references > 0) {
        return;
    }
    g_hash_table_destroy(config->routes);
    g_hash_table_destroy(config->services);
    g_hash_table_destroy(config->hosts);
    cfg_free(config->declared);
    g_free(config);
}

void
gcf_add_service(struct gcf *config, struct gcf_service *service)
{
    g_hash_table_replace(config->services, service->name, service);
}

static char *
gcf_route_key(const char *host, const char *path, size_t prefix_bytes)
{
    return g_strdup_printf("%s\n%.*s", host, (int)prefix_bytes, path);
}

void
gcf_add_route(struct gcf *config, struct gcf_route *route)
{
    char *key =
        gcf_route_key(route->host, route->prefix, strlen(route->prefix));
    g_hash_table_replace(config->routes, key, route);
    g_hash_table_add(config->hosts, g_strdup(route->host));
}

const struct gcf_service *
gcf_find_service(const struct gcf *config, const char *name)
{
    return g_hash_table_lookup(config->services, name);
}

const struct gcf_route *
gcf_find_route(const struct gcf *config, const char *host, const char *path)
{
    if (!g_hash_table_contains(config->hosts, host)) {
        return NULL;
    }
    /* Each prefix ends with a slash. */
    size_t end = strcspn(path, "?");
    while (end > 0) {
        if (path[end - 1] == '/') {
            char *key = gcf_route_key(host, path, end);
            const struct gcf_route *route =
                g_hash_table_lookup(config->routes, key);
            g_free(key);
            if (route != NULL) {
                return route;
            }
        }
        end -= 1;
    }
    return NULL;
}
