#include <glib.h>
#include <string.h>

#include "common/rc.h"
#include "standin/store_fault.h"

struct store_fault_field {
    const char *name;
    size_t offset;
    bool is_flag;
    int64_t max;
};

static const struct store_fault_field store_fault_fields[] = {
    {"down", offsetof(struct store_fault, is_down), true, 0},
    {"refuse", offsetof(struct store_fault, is_refusing), true, 0},
    {"delay_ms", offsetof(struct store_fault, delay_ms), false, 600000},
    {"lose_replies", offsetof(struct store_fault, lose_count), false, 1000000},
    {"fail_permille", offsetof(struct store_fault, fail_permille), false,
     1000},
    {"down_after_answer", offsetof(struct store_fault, is_down_after_answer),
     true, 0},
    {"down_after_watch", offsetof(struct store_fault, is_down_after_watch),
     true, 0},
};

static int
store_fault_apply_one(struct store_fault *fault, const char *name,
                      const json_t *value)
{
    for (size_t i = 0; i < G_N_ELEMENTS(store_fault_fields); i++) {
        const struct store_fault_field *field = &store_fault_fields[i];
        if (strcmp(field->name, name) != 0) {
            continue;
        }
        char *target = (char *)fault + field->offset;
        if (field->is_flag && json_is_boolean(value)) {
            *(bool *)target = json_is_true(value);
            return RC_OK;
        }
        int64_t number = json_integer_value(value);
        if (!field->is_flag && json_is_integer(value) && number >= 0 &&
            number <= field->max) {
            *(int64_t *)target = number;
            return RC_OK;
        }
    }
    return RC_BAD_FIELD;
}

int
store_fault_apply(struct store_fault *fault, const json_t *fields)
{
    struct store_fault changed = *fault;
    const char *name;
    json_t *value;
    if (!json_is_object(fields)) {
        return RC_BAD_FIELD;
    }
    json_object_foreach((json_t *)fields, name, value)
    {
        int rc = store_fault_apply_one(&changed, name, value);
        if (rc != RC_OK) {
            return rc;
        }
    }
    *fault = changed;
    return RC_OK;
}

bool
store_fault_fails(struct store_fault *fault)
{
    if (fault->fail_permille == 0) {
        return false;
    }
    fault->random ^= fault->random << 13;
    fault->random ^= fault->random >> 17;
    fault->random ^= fault->random << 5;
    return fault->random % 1000 < fault->fail_permille;
}

bool
store_fault_loses_reply(struct store_fault *fault)
{
    if (fault->lose_count == 0) {
        return false;
    }
    fault->lose_count -= 1;
    return true;
}
