#include <jansson.h>
#include <string.h>

#include "common/config.h"
#include "common/config_schema.h"
#include "common/rc.h"

static void config_fill(void *target, const struct config_schema *schema,
                        const json_t *object);

static void
config_fill_string(void *target, const struct config_field *field,
                   const json_t *value)
{
    char *text = g_strdup(json_string_value(value));
    memcpy((char *)target + field->offset, &text, sizeof(text));
}

static void
config_fill_number(void *target, const struct config_field *field,
                   const json_t *value)
{
    int64_t number = json_integer_value(value);
    memcpy((char *)target + field->offset, &number, sizeof(number));
}

static void
config_fill_choice(void *target, const struct config_field *field,
                   const json_t *value)
{
    bool is_second = strcmp(json_string_value(value), field->choices[1]) == 0;
    memcpy((char *)target + field->offset, &is_second, sizeof(is_second));
}

static void
config_fill_list(void *target, const struct config_field *field,
                 const json_t *value)
{
    size_t count = json_array_size(value);
    char *items = g_malloc0_n(count, field->item->struct_bytes);
    for (size_t i = 0; i < count; i++) {
        config_fill(items + i * field->item->struct_bytes, field->item,
                    json_array_get(value, i));
    }
    memcpy((char *)target + field->offset, &items, sizeof(items));
    memcpy((char *)target + field->count_offset, &count, sizeof(count));
}

typedef void (*config_fill_cb)(void *target, const struct config_field *field,
                               const json_t *value);

static const config_fill_cb config_fills[CONFIG_KIND_COUNT] = {
    [CONFIG_NAME] = config_fill_string,
    [CONFIG_ADDRESS] = config_fill_string,
    [CONFIG_NUMBER] = config_fill_number,
    [CONFIG_CHOICE] = config_fill_choice,
    [CONFIG_LIST] = config_fill_list,
};

/* Fills a struct from a checked object that has all its optional fields. */
static void
config_fill(void *target, const struct config_schema *schema,
            const json_t *object)
{
    for (size_t i = 0; i < schema->field_count; i++) {
        const struct config_field *field = &schema->fields[i];
        config_fills[field->kind](target, field,
                                  json_object_get(object, field->key));
    }
}

struct config *
config_build(const json_t *document)
{
    struct config *config = g_new0(struct config, 1);
    config_fill(config, &config_schema_document, document);
    return config;
}

int
config_parse(const char *json, size_t json_bytes, struct config **out,
             char **error)
{
    json_error_t json_error;
    json_t *document =
        json_loadb(json, json_bytes, JSON_REJECT_DUPLICATES, &json_error);
    if (document == NULL) {
        *error =
            g_strdup_printf("line %d: %s", json_error.line, json_error.text);
        return RC_BAD_JSON;
    }
    struct config_error check_error = {.path = NULL};
    int rc = config_check(document, CONFIG_COMPLETE, &check_error);
    if (rc == RC_OK) {
        config_set_defaults(document);
        *out = config_build(document);
    }
    else {
        *error = g_strdup_printf("%s: %s",
                                 check_error.path[0] != '\0' ? check_error.path
                                                             : "document",
                                 check_error.text);
    }
    config_error_clear(&check_error);
    json_decref(document);
    return rc;
}
