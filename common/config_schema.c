#include <glib.h>
#include <string.h>

#include "common/config.h"
#include "common/config_schema.h"

#define DAY_MS (24 * 60 * 60 * INT64_C(1000))

#define NAME_FIELD(type, member)                                              \
    {                                                                         \
        .key = #member, .kind = CONFIG_NAME,                                  \
        .offset = offsetof(type, member), .is_required = true                 \
    }
#define ADDRESS_FIELD(type, member)                                           \
    {                                                                         \
        .key = #member, .kind = CONFIG_ADDRESS,                               \
        .offset = offsetof(type, member), .is_required = true                 \
    }
#define REQUIRED_NUMBER(type, member, low, high)                              \
    {                                                                         \
        .key = #member, .kind = CONFIG_NUMBER,                                \
        .offset = offsetof(type, member), .is_required = true, .min = (low),  \
        .max = (high)                                                         \
    }
#define OPTIONAL_NUMBER(type, member, low, high, value)                       \
    {                                                                         \
        .key = #member, .kind = CONFIG_NUMBER,                                \
        .offset = offsetof(type, member), .min = (low), .max = (high),        \
        .default_value = (value)                                              \
    }
#define LIST_FIELD(type, member, counter, item_schema, required, least)       \
    {                                                                         \
        .key = #member, .kind = CONFIG_LIST,                                  \
        .offset = offsetof(type, member), .is_required = (required),          \
        .min = (least), .item = (item_schema),                                \
        .count_offset = offsetof(type, counter)                               \
    }
#define SCHEMA(type, field_table)                                             \
    {                                                                         \
        .fields = (field_table), .field_count = G_N_ELEMENTS(field_table),    \
        .struct_bytes = sizeof(type)                                          \
    }

static const struct config_field zone_fields[] = {
    NAME_FIELD(struct config_zone, name),
    {.key = "state",
     .kind = CONFIG_CHOICE,
     .offset = offsetof(struct config_zone, is_in_service),
     .choices = {"out", "in"},
     .default_value = 1},
};
static const struct config_schema zone_schema =
    SCHEMA(struct config_zone, zone_fields);

static const struct config_field caller_fields[] = {
    NAME_FIELD(struct config_caller, name),
    REQUIRED_NUMBER(struct config_caller, quota_per_s, 1, 1000000000),
    {.key = "burst",
     .kind = CONFIG_NUMBER,
     .offset = offsetof(struct config_caller, burst),
     .min = 1,
     .max = 1000000000,
     .default_key = "quota_per_s"},
    OPTIONAL_NUMBER(struct config_caller, priority, 0, 100, 0),
};
static const struct config_schema caller_schema =
    SCHEMA(struct config_caller, caller_fields);

static const struct config_field searcher_fields[] = {
    NAME_FIELD(struct config_searcher, name),
    NAME_FIELD(struct config_searcher, zone),
    ADDRESS_FIELD(struct config_searcher, address),
    {.key = "state",
     .kind = CONFIG_CHOICE,
     .offset = offsetof(struct config_searcher, is_leaving),
     .choices = {"in", "leaving"}},
};
static const struct config_schema searcher_schema =
    SCHEMA(struct config_searcher, searcher_fields);

static const struct config_field instance_fields[] = {
    NAME_FIELD(struct config_instance, name),
    LIST_FIELD(struct config_instance, searchers, searcher_count,
               &searcher_schema, true, 1),
};
static const struct config_schema instance_schema =
    SCHEMA(struct config_instance, instance_fields);

static const struct config_field service_fields[] = {
    NAME_FIELD(struct config_service, name),
    REQUIRED_NUMBER(struct config_service, slots, 1, 10000),
    REQUIRED_NUMBER(struct config_service, connections, 1, 100000),
    OPTIONAL_NUMBER(struct config_service, index_version, 1, INT64_MAX, 1),
    OPTIONAL_NUMBER(struct config_service, cold_per_s, 1, 1000000, 20),
    OPTIONAL_NUMBER(struct config_service, cold_ramp_ms, 0, DAY_MS, 10000),
    OPTIONAL_NUMBER(struct config_service, deadline_default_ms, 1, DAY_MS,
                    170),
    OPTIONAL_NUMBER(struct config_service, deadline_max_ms, 1, DAY_MS, 800),
    OPTIONAL_NUMBER(struct config_service, hedge_budget_permille, 0, 1000, 30),
    LIST_FIELD(struct config_service, instances, instance_count,
               &instance_schema, true, 1),
};
static const struct config_schema service_schema =
    SCHEMA(struct config_service, service_fields);

static const struct config_field document_fields[] = {
    REQUIRED_NUMBER(struct config, revision, 1, INT64_MAX),
    NAME_FIELD(struct config, cluster),
    LIST_FIELD(struct config, zones, zone_count, &zone_schema, true, 0),
    LIST_FIELD(struct config, callers, caller_count, &caller_schema, true, 0),
    LIST_FIELD(struct config, services, service_count, &service_schema, true,
               0),
};
const struct config_schema config_schema_document =
    SCHEMA(struct config, document_fields);

const struct config_field *
config_schema_find(const struct config_schema *schema, const char *key)
{
    for (size_t i = 0; i < schema->field_count; i++) {
        if (strcmp(schema->fields[i].key, key) == 0) {
            return &schema->fields[i];
        }
    }
    return NULL;
}

static json_t *
config_default_value(const struct config_field *field, const json_t *object)
{
    switch (field->kind) {
    case CONFIG_NUMBER:
        if (field->default_key != NULL) {
            return json_incref(json_object_get(object, field->default_key));
        }
        return json_integer(field->default_value);
    case CONFIG_CHOICE:
        return json_string(field->choices[field->default_value]);
    case CONFIG_LIST:
        return json_array();
    case CONFIG_NAME:
    case CONFIG_ADDRESS:
        break;
    }
    return NULL;
}

static void
config_set_item_defaults(json_t *object, const struct config_schema *schema)
{
    for (size_t i = 0; i < schema->field_count; i++) {
        const struct config_field *field = &schema->fields[i];
        json_t *value = json_object_get(object, field->key);
        if (value == NULL && !field->is_required) {
            json_object_set_new(object, field->key,
                                config_default_value(field, object));
        }
        if (field->kind != CONFIG_LIST) {
            continue;
        }
        size_t at = 0;
        json_t *item = NULL;
        json_array_foreach(value, at, item)
        {
            config_set_item_defaults(item, field->item);
        }
    }
}

void
config_set_defaults(json_t *document)
{
    config_set_item_defaults(document, &config_schema_document);
}
