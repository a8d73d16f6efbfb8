#include <stdbool.h>
#include <string.h>

#include "ctl/cover.h"

/* More lines would hide the output of the command. */
#define COVER_MAX_WARNINGS 5

static bool
cov_is_in(const json_t *item)
{
    const char *state = json_string_value(json_object_get(item, "state"));
    return state == NULL || strcmp(state, "in") == 0;
}

static GHashTable *
cov_zones_out(const json_t *document)
{
    GHashTable *out = g_hash_table_new(g_str_hash, g_str_equal);
    const json_t *zones = json_object_get(document, "zones");
    for (size_t i = 0; i < json_array_size(zones); i++) {
        const json_t *zone = json_array_get(zones, i);
        if (!cov_is_in(zone)) {
            g_hash_table_add(out, (gpointer)json_string_value(
                                      json_object_get(zone, "name")));
        }
    }
    return out;
}

static bool
cov_is_served(const json_t *instance, GHashTable *zones_out)
{
    const json_t *searchers = json_object_get(instance, "searchers");
    for (size_t i = 0; i < json_array_size(searchers); i++) {
        const json_t *searcher = json_array_get(searchers, i);
        const char *zone =
            json_string_value(json_object_get(searcher, "zone"));
        if (cov_is_in(searcher) && !g_hash_table_contains(zones_out, zone)) {
            return true;
        }
    }
    return false;
}

static guint
cov_warn_service(struct ctl *ctl, const json_t *service, GHashTable *zones_out,
                 guint count)
{
    const json_t *instances = json_object_get(service, "instances");
    for (size_t i = 0; i < json_array_size(instances); i++) {
        const json_t *instance = json_array_get(instances, i);
        if (cov_is_served(instance, zones_out)) {
            continue;
        }
        count += 1;
        if (count <= COVER_MAX_WARNINGS) {
            ctl_warn(ctl,
                     "%s.%s has no searcher that takes new work: each is "
                     "leaving or in a zone that is out",
                     json_string_value(json_object_get(service, "name")),
                     json_string_value(json_object_get(instance, "name")));
        }
    }
    return count;
}

void
cov_warn(struct ctl *ctl, const json_t *document)
{
    GHashTable *zones_out = cov_zones_out(document);
    const json_t *services = json_object_get(document, "services");
    guint count = 0;
    for (size_t i = 0; i < json_array_size(services); i++) {
        count = cov_warn_service(ctl, json_array_get(services, i), zones_out,
                                 count);
    }
    if (count > COVER_MAX_WARNINGS) {
        ctl_warn(ctl, "%u more instances have no such searcher",
                 count - COVER_MAX_WARNINGS);
    }
    g_hash_table_destroy(zones_out);
}
