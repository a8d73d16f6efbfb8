#include <stdlib.h>

#include "common/rc.h"
#include "ctl/call.h"
#include "ctl/files.h"
#include "ctl/object.h"

/* The store may take up to 2 s to reply. */
#define OBJECT_CALL_TIMEOUT_MS 2500
#define OBJECT_RETRY_DELAY_MS 100

void
object_clear(struct object *object)
{
    json_decref(object->value);
    object->value = NULL;
}

int64_t
object_revision(const struct object *object)
{
    if (object->revision_key == NULL) {
        return 0;
    }
    return json_integer_value(
        json_object_get(object->value, object->revision_key));
}

static char *
object_path(const struct object *object)
{
    return g_strdup_printf("/v1/%s/%s", object->kind, object->name);
}

static bool
object_set_from_reply(struct object *object, const json_t *reply)
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
    call_run(&call, 1, ctl_remaining_ms(ctl, OBJECT_CALL_TIMEOUT_MS));
    int rc = RC_STORE_DOWN;
    if (call_has_status(&call, 200) &&
        object_set_from_reply(object, call.reply)) {
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
    while (rc != RC_OK && ctl_remaining_ms(ctl, 1) > 0) {
        ctl_sleep(ctl, OBJECT_RETRY_DELAY_MS);
        rc = object_read_once(ctl, object);
    }
    return rc;
}

/*
 * Finds out what became of an update of `object` to `value` whose reply was
 * lost, from the object that is stored afterwards. Returns RC_OK when the
 * update took effect, RC_AGAIN when it did not and may be sent again,
 * RC_CONFLICT when another update took its place, or RC_OUTCOME_UNKNOWN.
 */
static int
object_check_update(const struct object *object, const struct object *stored,
                    const json_t *value)
{
    if (stored->value != NULL && json_equal(stored->value, value)) {
        return RC_OK;
    }
    if (stored->version == object->version) {
        return RC_AGAIN;
    }
    if (object->revision_key == NULL) {
        return RC_OUTCOME_UNKNOWN;
    }
    /* If the stored object has the revision of this update but another value,
     * another update won. If its revision is later, it is not known which
     * update wrote the one in between. */
    int64_t written_revision =
        json_integer_value(json_object_get(value, object->revision_key));
    return object_revision(stored) > written_revision ? RC_OUTCOME_UNKNOWN
                                                      : RC_CONFLICT;
}

static int
object_read_back(const struct ctl *ctl, const struct object *object,
                 const json_t *value)
{
    struct object stored = {.kind = object->kind,
                            .name = object->name,
                            .revision_key = object->revision_key};
    int rc = object_read(ctl, &stored);
    if (rc == RC_OK) {
        rc = object_check_update(object, &stored, value);
    }
    object_clear(&stored);
    return rc == RC_STORE_DOWN ? RC_AGAIN : rc;
}

/* One attempt to write. Returns RC_LINK_FAILED when nothing was sent and
 * RC_LINK_LOST when the update may have taken effect. */
static int
object_put_once(const struct ctl *ctl, const struct object *object,
                const char *body)
{
    char *path = object_path(object);
    struct call call = {.address = ctl->options.store,
                        .method = "PUT",
                        .path = path,
                        .body = body};
    call_run(&call, 1, ctl_remaining_ms(ctl, OBJECT_CALL_TIMEOUT_MS));
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
    json_t *envelope = json_pack("{s:I, s:O}", "version",
                                 (json_int_t)object->version, "value", value);
    char *body = files_encode(envelope);
    json_decref(envelope);
    bool is_outcome_unknown = false;
    int rc = RC_AGAIN;
    while (rc == RC_AGAIN && ctl_remaining_ms(ctl, 1) > 0) {
        rc = object_put_once(ctl, object, body);
        if (rc == RC_LINK_LOST || (rc == RC_CONFLICT && is_outcome_unknown)) {
            is_outcome_unknown = true;
            rc = object_read_back(ctl, object, value);
        }
        /* The update is conditional on the version: sending it twice cannot
         * apply it twice. */
        if (rc == RC_LINK_FAILED || rc == RC_AGAIN) {
            ctl_sleep(ctl, OBJECT_RETRY_DELAY_MS);
            rc = RC_AGAIN;
        }
    }
    free(body);
    if (rc == RC_AGAIN) {
        return is_outcome_unknown ? RC_OUTCOME_UNKNOWN : RC_STORE_DOWN;
    }
    return rc;
}
