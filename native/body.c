#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/json_room.h"
#include "common/rc.h"
#include "native/body.h"

#define BODY_KEY_MAX_BYTES 1024

struct body_field
body_key_field(const char **key, bool is_required)
{
    return (struct body_field){
        .name = "key",
        .kind = BODY_STRING,
        .target = key,
        .is_required = is_required,
        .min = 1,
        .max = BODY_KEY_MAX_BYTES,
        .range_rc = RC_BAD_FIELD,
    };
}

struct body_field
body_deadline_field(int64_t *deadline_ms, int64_t max_ms)
{
    return (struct body_field){
        .name = "deadline_ms",
        .kind = BODY_INT,
        .target = deadline_ms,
        .min = 1,
        .max = max_ms,
        .range_rc = RC_BAD_DEADLINE,
    };
}

static int
body_set_error(struct body_error *error, int rc, const char *field,
               const char *problem)
{
    error->field = field;
    (void)snprintf(error->message, sizeof(error->message), "%s%s%s",
                   field != NULL ? field : "", field != NULL ? ": " : "",
                   problem);
    return rc;
}

static int
body_check_range(const struct body_field *field, int64_t value,
                 const char *unit, struct body_error *error)
{
    if (value >= field->min && value <= field->max) {
        return RC_OK;
    }
    char problem[96];
    (void)snprintf(problem, sizeof(problem),
                   "%" PRId64 "%s is outside %" PRId64 "..%" PRId64, value,
                   unit, field->min, field->max);
    return body_set_error(error, field->range_rc, field->name, problem);
}

static int
body_read_field(const struct body_field *field, json_t *value,
                struct body_error *error)
{
    int64_t number = 0;
    const char *text = NULL;
    switch (field->kind) {
    case BODY_INT:
        if (!json_is_integer(value)) {
            return body_set_error(error, RC_BAD_FIELD, field->name,
                                  "must be a whole number");
        }
        number = json_integer_value(value);
        *(int64_t *)field->target = number;
        return body_check_range(field, number, "", error);
    case BODY_STRING:
        if (!json_is_string(value)) {
            return body_set_error(error, RC_BAD_FIELD, field->name,
                                  "must be a string");
        }
        text = json_string_value(value);
        *(const char **)field->target = text;
        return body_check_range(field, (int64_t)strlen(text), " bytes", error);
    case BODY_STRING_OR_OBJECT:
        if (!json_is_string(value) && !json_is_object(value)) {
            return body_set_error(error, RC_BAD_FIELD, field->name,
                                  "must be a string or an object");
        }
        *(json_t **)field->target = value;
        return RC_OK;
    }
    return RC_BAD_FIELD;
}

static int
body_check_unknown_fields(json_t *root, const struct body_field *fields,
                          size_t field_count, struct body_error *error)
{
    const char *key = NULL;
    json_t *value = NULL;
    json_object_foreach(root, key, value)
    {
        bool is_known = false;
        for (size_t i = 0; i < field_count; i++) {
            is_known = is_known || strcmp(fields[i].name, key) == 0;
        }
        if (!is_known) {
            (void)snprintf(error->unknown, sizeof(error->unknown), "%.63s",
                           key);
            return body_set_error(error, RC_BAD_FIELD, error->unknown,
                                  "unknown field");
        }
    }
    return RC_OK;
}

static int
body_read(json_t *root, const struct body_field *fields, size_t field_count,
          struct body_error *error)
{
    if (!json_is_object(root)) {
        return body_set_error(error, RC_BAD_FIELD, NULL,
                              "body must be an object");
    }
    int rc = body_check_unknown_fields(root, fields, field_count, error);
    for (size_t i = 0; rc == RC_OK && i < field_count; i++) {
        json_t *value = json_object_get(root, fields[i].name);
        if (value != NULL) {
            rc = body_read_field(&fields[i], value, error);
        }
        else if (fields[i].is_required) {
            rc = body_set_error(error, RC_BAD_FIELD, fields[i].name,
                                "is missing");
        }
    }
    return rc;
}

int
body_parse(const char *body, size_t body_bytes,
           const struct body_field *fields, size_t field_count, json_t **out,
           struct body_error *error)
{
    *out = NULL;
    *error = (struct body_error){.field = NULL};
    if (body_bytes > BODY_MAX_BYTES) {
        return body_set_error(error, RC_TOO_LARGE, NULL,
                              "body is larger than 262144 bytes");
    }
    json_error_t problem;
    json_t *root =
        json_room_load(body, body_bytes, JSON_REJECT_DUPLICATES, &problem);
    if (root == NULL) {
        (void)snprintf(error->message, sizeof(error->message),
                       "body is not valid JSON: %.80s at byte %d",
                       problem.text, problem.position);
        return RC_BAD_JSON;
    }
    int rc = body_read(root, fields, field_count, error);
    if (rc != RC_OK) {
        json_decref(root);
        return rc;
    }
    *out = root;
    return RC_OK;
}
