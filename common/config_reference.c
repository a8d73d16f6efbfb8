#include <inttypes.h>

#include "common/config_checker.h"
#include "common/rc.h"

/* Names and addresses of the document, used to check references to them and
 * that they are unique. */
struct config_index {
    GHashTable *zones;
    GHashTable *addresses;
    GHashTable *instances; /* SERVICE.INSTANCE, owned */
};

/* Checks that `zone` of each item is declared. */
static int
config_check_zones(struct config_checker *checker, GHashTable *zones,
                   const json_t *items)
{
    for (size_t i = 0; i < json_array_size(items); i++) {
        const json_t *item = json_array_get(items, i);
        const char *zone = json_string_value(json_object_get(item, "zone"));
        if (!g_hash_table_contains(zones, zone)) {
            config_checker_push_index(checker, i);
            config_checker_push_key(checker, "zone");
            return config_checker_fail(checker, "zone '%s' is not declared",
                                       zone);
        }
    }
    return RC_OK;
}

/*
 * Checks that no two searchers share an address: the slots and connections of
 * the server behind it would be counted twice.
 */
static int
config_check_addresses(struct config_checker *checker, GHashTable *seen,
                       const json_t *items)
{
    for (size_t i = 0; i < json_array_size(items); i++) {
        const json_t *item = json_array_get(items, i);
        const char *address =
            json_string_value(json_object_get(item, "address"));
        if (!g_hash_table_add(seen, (gpointer)address)) {
            config_checker_push_index(checker, i);
            config_checker_push_key(checker, "address");
            return config_checker_fail(checker, "address %s is used twice",
                                       address);
        }
    }
    return RC_OK;
}

static int
config_check_instance(struct config_checker *checker,
                      struct config_index *index, const char *service,
                      const json_t *instance)
{
    const char *name = json_string_value(json_object_get(instance, "name"));
    gsize saved_len = config_checker_push_key(checker, "name");
    /* Names may contain dots: services a.b and a with the instances c and b.c
     * would both have the object name a.b.c. */
    char *object_name = g_strconcat(service, ".", name, NULL);
    if (!g_hash_table_add(index->instances, object_name)) {
        return config_checker_fail(
            checker, "SERVICE.INSTANCE '%s.%s' is used twice", service, name);
    }
    config_checker_pop(checker, saved_len);
    saved_len = config_checker_push_key(checker, "searchers");
    const json_t *searchers = json_object_get(instance, "searchers");
    int rc = config_check_zones(checker, index->zones, searchers);
    if (rc == RC_OK) {
        rc = config_check_addresses(checker, index->addresses, searchers);
    }
    if (rc == RC_OK) {
        config_checker_pop(checker, saved_len);
    }
    return rc;
}

static int
config_check_deadlines(struct config_checker *checker, const json_t *service)
{
    const char *keys[] = {"deadline_default_ms", "deadline_max_ms"};
    int64_t values[2];
    for (size_t i = 0; i < 2; i++) {
        const json_t *value = json_object_get(service, keys[i]);
        const struct config_schema *schema =
            config_schema_find(&config_schema_document, "services")->item;
        values[i] = value != NULL
                        ? json_integer_value(value)
                        : config_schema_find(schema, keys[i])->default_value;
    }
    if (values[0] > values[1]) {
        config_checker_push_key(checker, keys[0]);
        return config_checker_fail(
            checker, "%" PRId64 " is above deadline_max_ms %" PRId64,
            values[0], values[1]);
    }
    return RC_OK;
}

static int
config_check_service(struct config_checker *checker,
                     struct config_index *index, const json_t *service)
{
    const char *name = json_string_value(json_object_get(service, "name"));
    const json_t *instances = json_object_get(service, "instances");
    int rc = config_check_deadlines(checker, service);
    if (rc != RC_OK) {
        return rc;
    }
    gsize saved_len = config_checker_push_key(checker, "instances");
    for (size_t i = 0; i < json_array_size(instances); i++) {
        gsize saved_item_len = config_checker_push_index(checker, i);
        rc = config_check_instance(checker, index, name,
                                   json_array_get(instances, i));
        if (rc != RC_OK) {
            return rc;
        }
        config_checker_pop(checker, saved_item_len);
    }
    config_checker_pop(checker, saved_len);
    return RC_OK;
}

static void
config_index_add_zones(struct config_index *index, const json_t *zones)
{
    for (size_t i = 0; i < json_array_size(zones); i++) {
        const json_t *zone = json_array_get(zones, i);
        g_hash_table_add(index->zones, (gpointer)json_string_value(
                                           json_object_get(zone, "name")));
    }
}

static int
config_check_services(struct config_checker *checker,
                      struct config_index *index, const json_t *services)
{
    int rc = RC_OK;
    config_checker_push_key(checker, "services");
    for (size_t i = 0; rc == RC_OK && i < json_array_size(services); i++) {
        gsize saved_len = config_checker_push_index(checker, i);
        rc = config_check_service(checker, index, json_array_get(services, i));
        if (rc == RC_OK) {
            config_checker_pop(checker, saved_len);
        }
    }
    return rc;
}

int
config_check_references(struct config_checker *checker, const json_t *document)
{
    struct config_index index = {
        .zones = g_hash_table_new(g_str_hash, g_str_equal),
        .addresses = g_hash_table_new(g_str_hash, g_str_equal),
        .instances =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    config_index_add_zones(&index, json_object_get(document, "zones"));
    int rc = config_check_services(checker, &index,
                                   json_object_get(document, "services"));
    g_hash_table_destroy(index.zones);
    g_hash_table_destroy(index.addresses);
    g_hash_table_destroy(index.instances);
    return rc;
}
