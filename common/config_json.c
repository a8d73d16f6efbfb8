#include <jansson.h>
#include <string.h>

#include "common/config.h"
#include "common/config_schema.h"
#include "common/rc.h"

static void cfg_fill(void *target, const struct cfg_schema *schema,
                     const json_t *object);

static void
cfg_fill_string(void *target, const struct cfg_field *field,
                const json_t *value)
{
    char *text = g_strdup(json_string_value(value));
    memcpy((char *)target + field->offset, &text, sizeof(text));
}

static void
cfg_fill_number(void *target, const struct cfg_field *field,
                const json_t *value)
{
    int64_t number = json_integer_value(value);
    memcpy((char *)target + field->offset, &number, sizeof(number));
}

static void
cfg_fill_choice(void *target, const struct cfg_field *field,
                const json_t *value)
{
    bool is_second = strcmp(json_string_value(value), field->choices[1]) == 0;
    memcpy((char *)target + field->offset, &is_second, sizeof(is_second));
}

static void
cfg_fill_list(void *target, const struct cfg_field *field, const json_t *value)
{
    size_t count = json_array_size(value);
    char *items = g_malloc0_n(count, field->item->struct_bytes);
    for (size_t i = 0; i < count; i++) {
        cfg_fill(items + i * field->item->struct_bytes, field->item,
                 json_array_get(value, i));
    }
    memcpy((char *)target + field->offset, &items, sizeof(items));
    memcpy((char *)target + field->count_offset, &count, sizeof(count));
}

typedef void (*cfg_fill_cb)(void *target, const struct cfg_field *field,
                            const json_t *value);

static const cfg_fill_cb cfg_fills[CFG_KIND_COUNT] = {
    [CFG_NAME] = cfg_fill_string,   [CFG_ADDRESS] = cfg_fill_string,
    [CFG_NUMBER] = cfg_fill_number, [CFG_CHOICE] = cfg_fill_choice,
    [CFG_LIST] = cfg_fill_list,
};

/* Copies a checked object with all defaults set into its struct. */
static void
cfg_fill(void *target, const struct cfg_schema *schema, const json_t *object)
{
    for (size_t i = 0; i < schema->field_count; i++) {
        const struct cfg_field *field = &schema->fields[i];
        cfg_fills[field->kind](target, field,
                               json_object_get(object, field->key));
    }
}

struct cfg *
cfg_build(const json_t *document)
{
    struct cfg *cfg = g_new0(struct cfg, 1);
    cfg_fill(cfg, &cfg_schema_document, document);
    return cfg;
}

int
cfg_parse(const char *json, size_t json_bytes, struct cfg **out, char **error)
{
    json_error_t json_error;
    json_t *document =
        json_loadb(json, json_bytes, JSON_REJECT_DUPLICATES, &json_error);
    if (document == NULL) {
        *error =
            g_strdup_printf("line %d: %s", json_error.line, json_error.text);
        return RC_BAD_JSON;
    }
    struct cfg_error fault = {.path = NULL};
    int rc = cfg_check(document, CFG_WHOLE, &fault);
    if (rc == RC_OK) {
        cfg_set_defaults(document);
        *out = cfg_build(document);
    }
    else {
        *error = g_strdup_printf(
            "%s: %s", fault.path[0] != '\0' ? fault.path : "document",
            fault.text);
    }
    cfg_error_clear(&fault);
    json_decref(document);
    return rc;
}
