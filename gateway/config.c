#include <string.h>

#include "gateway/config.h"

static void
gateway_config_service_free(gpointer data)
{
    struct service *service = data;
    g_free(service->name);
    g_free(service);
}

struct route *
route_new(void)
{
    struct route *route = g_new0(struct route, 1);
    route->targets = g_array_new(FALSE, FALSE, sizeof(struct route_target));
    return route;
}

void
route_free(gpointer data)
{
    struct route *route = data;
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    g_array_free(route->targets, TRUE);
    g_free(route);
}

struct gateway_config *
gateway_config_new(int64_t version)
{
    struct gateway_config *config = g_new0(struct gateway_config, 1);
    config->references = 1;
    config->version = version;
    config->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                             gateway_config_service_free);
    config->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, route_free);
    config->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return config;
}

struct gateway_config *
gateway_config_ref(struct gateway_config *config)
{
    config->references += 1;
    return config;
}

void
gateway_config_unref(struct gateway_config *config)
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
    config_free(config->document_config);
    g_free(config);
}

void
gateway_config_add_service(struct gateway_config *config,
                           struct service *service)
{
    g_hash_table_replace(config->services, service->name, service);
}

static char *
gateway_config_route_key(const char *host, const char *path,
                         size_t prefix_bytes)
{
    return g_strdup_printf("%s\n%.*s", host, (int)prefix_bytes, path);
}

void
gateway_config_add_route(struct gateway_config *config, struct route *route)
{
    size_t prefix_bytes = strlen(route->prefix);
    char *key =
        gateway_config_route_key(route->host, route->prefix, prefix_bytes);
    config->prefix_max_bytes = MAX(config->prefix_max_bytes, prefix_bytes);
    g_hash_table_replace(config->routes, key, route);
    g_hash_table_add(config->hosts, g_strdup(route->host));
}

const struct service *
gateway_config_find_service(const struct gateway_config *config,
                            const char *name)
{
    return g_hash_table_lookup(config->services, name);
}

const struct route *
gateway_config_find_route(const struct gateway_config *config,
                          const char *host, const char *path)
{
    if (!g_hash_table_contains(config->hosts, host)) {
        return NULL;
    }
    /* Prefixes end with a slash. */
    size_t end = MIN(strcspn(path, "?"), config->prefix_max_bytes);
    while (end > 0) {
        if (path[end - 1] == '/') {
            char *key = gateway_config_route_key(host, path, end);
            const struct route *route =
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
