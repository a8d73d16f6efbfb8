#include <string.h>
#include <xxhash.h>

#include "common/config.h"

const struct config_service *
config_service_find(const struct config *config, const char *name)
{
    for (size_t i = 0; i < config->service_count; i++) {
        if (strcmp(config->services[i].name, name) == 0) {
            return &config->services[i];
        }
    }
    return NULL;
}

const struct config_caller *
config_caller_find(const struct config *config, const char *name)
{
    for (size_t i = 0; i < config->caller_count; i++) {
        if (strcmp(config->callers[i].name, name) == 0) {
            return &config->callers[i];
        }
    }
    return NULL;
}

bool
config_zone_is_in_service(const struct config *config, const char *name)
{
    for (size_t i = 0; i < config->zone_count; i++) {
        if (strcmp(config->zones[i].name, name) == 0) {
            return config->zones[i].is_in_service;
        }
    }
    return false;
}

bool
config_instance_is_available(const struct config *config,
                             const struct config_instance *instance)
{
    for (size_t i = 0; i < instance->searcher_count; i++) {
        const struct config_searcher *searcher = &instance->searchers[i];
        if (!searcher->is_leaving &&
            config_zone_is_in_service(config, searcher->zone)) {
            return true;
        }
    }
    return false;
}

size_t
config_count_unavailable(const struct config *config,
                         const struct config_service *service)
{
    size_t count = 0;
    for (size_t i = 0; i < service->instance_count; i++) {
        count += !config_instance_is_available(config, &service->instances[i]);
    }
    return count;
}

uint64_t
config_digest(const char *json, size_t json_bytes)
{
    return XXH64(json, json_bytes, 0);
}

static void
config_instance_clear(struct config_instance *instance)
{
    for (size_t i = 0; i < instance->searcher_count; i++) {
        g_free(instance->searchers[i].name);
        g_free(instance->searchers[i].zone);
        g_free(instance->searchers[i].address);
    }
    g_free(instance->searchers);
    g_free(instance->name);
}

static void
config_service_clear(struct config_service *service)
{
    for (size_t i = 0; i < service->instance_count; i++) {
        config_instance_clear(&service->instances[i]);
    }
    g_free(service->instances);
    g_free(service->name);
}

void
config_free(struct config *config)
{
    if (config == NULL) {
        return;
    }
    for (size_t i = 0; i < config->zone_count; i++) {
        g_free(config->zones[i].name);
    }
    for (size_t i = 0; i < config->caller_count; i++) {
        g_free(config->callers[i].name);
    }
    for (size_t i = 0; i < config->service_count; i++) {
        config_service_clear(&config->services[i]);
    }
    g_free(config->zones);
    g_free(config->callers);
    g_free(config->services);
    g_free(config->cluster);
    g_free(config);
}
