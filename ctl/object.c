#include <stdlib.h>

#include "common/rc.h"
#include "ctl/call.h"
#include "ctl/files.h"
#include "ctl/object.h"

/* The store is expected to take up to 2 s for a reply. */
#define OBJECT_CALL_MS 2500
#define OBJECT_PAUSE_MS 100

void
object_clear(struct object *object)
{
    json_decref(object->value);
    object->value = NULL;
}

int64_t
object_number(const struct object *object)
{
    if (object->number_key == NULL) {
        return 0;
    }
    return json_integer_value(
        json_object_get(object->value, object->number_key));
}

static char *
object_path(const struct object *object)
{
    return g_strdup_printf("/v1/%s/%s", object->kind, object->name);
}

static bool
object_take(struct object *object, const json_t *reply)
{
    const json_t *version = json_object_get(reply, "version");
    json_t *value = json_object_get(reply, "value");
    if (!json_is_integer(version) || value == NULL) {
        return false;
    }
    object_clear(object);
    object->version = json_integer_value(version);
    object->value = json_is_null(value) ? NULL : json_incref(value);
    return true;
}

/* One attempt to read. */
static int
object_read_once(const struct ctl *ctl, struct object *object)
{
    char *path = object_path(object);
    struct call call = {
        .address = ctl->options.store, .method = "GET", .path = path};
    call_run(&call, 1, ctl_left_ms(ctl, OBJECT_CALL_MS));
    int rc = RC_STORE_DOWN;
    if (call_is_status(&call, 200) && object_take(object, call.reply)) {
        rc = RC_OK;
    }
    else if (call.rc == RC_OK && call.status == 404) {
        object_clear(object);
        object->version = 0;
        rc = RC_OK;
    }
    call_clear(&call, 1);
    g_free(path);
    return rc;
}

int
object_read(const struct ctl *ctl, struct object *object)
{
    int rc = object_read_once(ctl, object);
    while (rc != RC_OK && ctl_left_ms(ctl, 1) > 0) {
        ctl_pause(ctl, OBJECT_PAUSE_MS);
        rc = object_read_once(ctl, object);
    }
    return rc;
}

/* What the object, as it is now, says about an update whose reply was lost. */
static int
object_judge(const struct object *object, const struct object *now,
             const json_t *value)
{
    if (now->value != NULL && json_equal(now->value, value)) {
        return RC_OK;
    }
    if (now->version == object->version) {
        return RC_AGAIN;
    }
    if (object->number_key == NULL) {
        return RC_OUTCOME_UNKNOWN;
    }
    /* A later change may have replaced ours or another one of our number. */
    int64_t ours =
        json_integer_value(json_object_get(value, object->number_key));
    return object_number(now) > ours ? RC_OUTCOME_UNKNOWN : RC_CONFLICT;
}

static int
object_read_back(const struct ctl *ctl, const struct object *object,
                 const json_t *value)
{
    struct object now = {.kind = object->kind,
                         .name = object->name,
                         .number_key = object->number_key};
    int rc = object_read(ctl, &now);
    if (rc == RC_OK) {
        rc = object_judge(object, &now, value);
    }
    object_clear(&now);
    return rc == RC_STORE_DOWN ? RC_AGAIN : rc;
}

/* One attempt: RC_LINK_FAILED when not sent, RC_LINK_LOST when in doubt. */
static int
object_put_once(const struct ctl *ctl, const struct object *object,
                const char *body)
{
    char *path = object_path(object);
    struct call call = {.address = ctl->options.store,
                        .method = "PUT",
                        .path = path,
                        .body = body};
    call_run(&call, 1, ctl_left_ms(ctl, OBJECT_CALL_MS));
    int rc = RC_LINK_LOST;
    if (call.rc == RC_LINK_FAILED) {
        rc = RC_LINK_FAILED;
    }
    else if (call.rc == RC_OK && call.status == 200) {
        rc = RC_OK;
    }
    else if (call.rc == RC_OK && call.status == 409) {
        rc = RC_CONFLICT;
    }
    else if (call.rc == RC_OK && call.status >= 400 && call.status < 500) {
        rc = RC_INVALID;
    }
    call_clear(&call, 1);
    g_free(path);
    return rc;
}

int
object_update(const struct ctl *ctl, const struct object *object,
              const json_t *value)
{
    json_t *wrapped = json_pack("{s:I, s:O}", "version",
                                (json_int_t)object->version, "value", value);
    char *body = files_encode(wrapped);
    json_decref(wrapped);
    bool is_in_doubt = false;
    int rc = RC_AGAIN;
    while (rc == RC_AGAIN && ctl_left_ms(ctl, 1) > 0) {
        rc = object_put_once(ctl, object, body);
        if (rc == RC_LINK_LOST || (rc == RC_CONFLICT && is_in_doubt)) {
            is_in_doubt = true;
            rc = object_read_back(ctl, object, value);
        }
        /* The update is conditional, so that sending it again is safe. */
        if (rc == RC_LINK_FAILED || rc == RC_AGAIN) {
            ctl_pause(ctl, OBJECT_PAUSE_MS);
            rc = RC_AGAIN;
        }
    }
    free(body);
    if (rc == RC_AGAIN) {
        return is_in_doubt ? RC_OUTCOME_UNKNOWN : RC_STORE_DOWN;
    }
    return rc;
}
