#include <string.h>

#include "common/config.h"
#include "common/config_schema.h"
#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"
#include "native/native.h"

/*
 * Decodes the configuration document of the operators into services and
 * routes, backend servers and drained data centres. A service of the document
 * becomes one gateway service per shard, its replica set.
 */

/* Attempts at one shard of a search. An order gets only one that may have been
 * executed. */
#define NATIVE_SEARCH_ATTEMPTS_MAX 3

/* Checks the document and sets all defaults. Returns NULL if it is invalid. */
static struct config *
native_parse_document(const json_t *document)
{
    struct config_error error = {.path = NULL};
    if (config_check(document, CONFIG_COMPLETE, &error) != RC_OK) {
        log_warn("native",
                 "configuration document is invalid and ignored path=%s "
                 "error=\"%s\"",
                 error.path, error.text);
        config_error_clear(&error);
        return NULL;
    }
    config_error_clear(&error);
    json_t *with_defaults = json_deep_copy(document);
    config_set_defaults(with_defaults);
    struct config *document_config = config_build(with_defaults);
    json_decref(with_defaults);
    return document_config;
}

/* Name of the replica set of one shard; free with g_free. */
static char *
native_replica_set_name(const struct config_service *service,
                        const struct config_instance *instance)
{
    return g_strdup_printf("%s.%s", service->name, instance->name);
}

static void
native_add_replica_set(const struct config_service *service,
                       const struct config_instance *instance,
                       struct gateway_config *out)
{
    struct service *set = g_new0(struct service, 1);
    set->name = native_replica_set_name(service, instance);
    set->connections_max = (uint32_t)service->connections;
    set->warmup_us = service->cold_ramp_ms * 1000;
    set->warmup_per_s = (double)service->cold_per_s;
    set->extra_permille = (uint32_t)service->hedge_budget_permille;
    set->is_unhedged = service->hedge_budget_permille == 0;
    gateway_config_add_service(out, set);
}

static void
native_add_route(const struct config_service *service, bool is_order,
                 struct gateway_config *out)
{
    struct route *route = route_new();
    const char *host = is_order ? NATIVE_ORDER_HOST : NATIVE_SEARCH_HOST;
    route->name = g_strdup_printf("%s.%s", host, service->name);
    route->host = g_strdup(host);
    route->prefix = g_strdup_printf("/%s/", service->name);
    route->is_gather = !is_order;
    route->is_idempotent = !is_order;
    route->attempts_max = is_order ? 1 : NATIVE_SEARCH_ATTEMPTS_MAX;
    route->timeout_us = service->deadline_max_ms * 1000;
    route->snapshot = service->index_version;
    for (size_t i = 0; i < service->instance_count; i++) {
        char *name = native_replica_set_name(service, &service->instances[i]);
        struct route_target target = {
            .service = gateway_config_find_service(out, name),
            .weight = 1,
        };
        g_array_append_val(route->targets, target);
        g_free(name);
    }
    gateway_config_add_route(out, route);
}

int
native_read_config(const struct cache_object *object,
                   struct gateway_config **out)
{
    struct config *document_config = native_parse_document(object->spec);
    if (document_config == NULL) {
        return RC_INVALID;
    }
    struct gateway_config *config =
        gateway_config_new((int64_t)document_config->revision);
    config->limits.body_max_bytes = G_MAXUINT32;
    for (size_t i = 0; i < document_config->service_count; i++) {
        const struct config_service *service = &document_config->services[i];
        for (size_t j = 0; j < service->instance_count; j++) {
            native_add_replica_set(service, &service->instances[j], config);
        }
        native_add_route(service, false, config);
        native_add_route(service, true, config);
    }
    config->document_config = document_config;
    *out = config;
    return RC_OK;
}

/* Appends an object; `out->owned` takes over its name and spec. */
static void
native_append_object(struct wire_objects *out, char *name, json_t *spec,
                     struct position change)
{
    if (out->owned == NULL) {
        out->owned = json_object();
    }
    json_object_set_new(out->owned, name, spec);
    /* The key in `out->owned` lives as long as `out`; `name` is freed. */
    void *entry = json_object_iter_at(out->owned, name);
    struct cache_object object = {
        .name = json_object_iter_key(entry),
        .position = change,
        .spec = json_object_iter_value(entry),
    };
    g_array_append_val(out->objects, object);
    g_free(name);
}

static void
native_expand_backends(const json_t *service, struct position change,
                       struct wire_objects *out)
{
    const char *service_name =
        json_string_value(json_object_get(service, "name"));
    json_t *slots = json_object_get(service, "slots");
    size_t i = 0;
    size_t j = 0;
    json_t *instance = NULL;
    json_t *backend = NULL;
    json_array_foreach(json_object_get(service, "instances"), i, instance)
    {
        const char *shard =
            json_string_value(json_object_get(instance, "name"));
        json_array_foreach(json_object_get(instance, "searchers"), j, backend)
        {
            const char *name =
                json_string_value(json_object_get(backend, "name"));
            char *replica_set = g_strdup_printf("%s.%s", service_name, shard);
            json_t *spec = json_copy(backend);
            json_object_set_new(spec, "service", json_string(replica_set));
            json_object_set(spec, "slots", slots);
            native_append_object(out,
                                 g_strdup_printf("%s.%s", replica_set, name),
                                 spec, change);
            g_free(replica_set);
        }
    }
}

static void
native_expand_drained(const json_t *document, struct position change,
                      struct wire_objects *out)
{
    size_t i = 0;
    json_t *zone = NULL;
    json_array_foreach(json_object_get(document, "zones"), i, zone)
    {
        const char *state = json_string_value(json_object_get(zone, "state"));
        const char *name = json_string_value(json_object_get(zone, "name"));
        if (g_strcmp0(state, "out") == 0 && name != NULL) {
            native_append_object(out, g_strdup(name), json_true(), change);
        }
    }
}

void
native_expand_document(enum object_kind kind, json_t *document,
                       struct wire_objects *out, struct position *change)
{
    *change = (struct position){
        .revision = json_integer_value(json_object_get(document, "revision")),
    };
    if (document == NULL) {
        return;
    }
    struct cache_object whole = {
        .name = "current",
        .position = *change,
        .spec = document,
    };
    size_t i = 0;
    json_t *service = NULL;
    switch (kind) {
    case OBJECT_CONFIG:
        g_array_append_val(out->objects, whole);
        break;
    case OBJECT_BACKENDS:
        json_array_foreach(json_object_get(document, "services"), i, service)
        {
            native_expand_backends(service, *change, out);
        }
        break;
    case OBJECT_DRAINED_DCS:
        native_expand_drained(document, *change, out);
        break;
    case OBJECT_KIND_COUNT:
        break;
    }
}

int
native_read_backend(const struct cache_object *object,
                    struct backend_entry *out, const char **bad_field)
{
    const json_t *spec = object->spec;
    const char *state = json_string_value(json_object_get(spec, "state"));
    *out = (struct backend_entry){
        .id = object->name,
        .service = json_string_value(json_object_get(spec, "service")),
        .address = json_string_value(json_object_get(spec, "address")),
        .dc = json_string_value(json_object_get(spec, "zone")),
        .slots = (uint32_t)json_integer_value(json_object_get(spec, "slots")),
        .is_draining = g_strcmp0(state, "leaving") == 0,
    };
    struct sockaddr_in address;
    *bad_field = NULL;
    if (out->service == NULL) {
        *bad_field = "service";
    }
    else if (out->address == NULL ||
             net_parse(out->address, &address) != RC_OK) {
        *bad_field = "address";
    }
    else if (out->dc == NULL) {
        *bad_field = "zone";
    }
    return *bad_field == NULL ? RC_OK : RC_INVALID;
}
