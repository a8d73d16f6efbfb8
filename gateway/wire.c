#include <stdlib.h>

#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"
#include "gateway/wire.h"

char *
wir_text(json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

int
wir_read_vm(const struct fed_object *object, const char *dc_key,
            struct wir_vm *out)
{
    *out = (struct wir_vm){
        .name = object->name,
        .peer_address =
            json_string_value(json_object_get(object->spec, "peer_address")),
        .dc = json_string_value(json_object_get(object->spec, dc_key)),
        .capacity = (uint32_t)json_integer_value(
            json_object_get(object->spec, "capacity")),
    };
    struct sockaddr_in address;
    if (out->peer_address == NULL ||
        net_parse(out->peer_address, &address) != RC_OK) {
        log_warn("wire", "unusable VM entry name=%s", object->name);
        return RC_INVALID;
    }
    return RC_OK;
}

void
wir_objects_clear(struct wir_objects *objects)
{
    if (objects->objects != NULL) {
        g_array_free(objects->objects, TRUE);
    }
    json_decref(objects->root);
    json_decref(objects->kept);
    *objects = (struct wir_objects){.root = NULL};
}

void
wir_request_clear(struct wir_request *request)
{
    g_free(request->id);
    g_free(request->host);
    if (request->fields != NULL) {
        g_string_free(request->fields, TRUE);
    }
    *request = (struct wir_request){.id = NULL};
}

void
wir_answer_init(struct wir_answer *answer)
{
    *answer = (struct wir_answer){
        .fields = g_string_new(NULL),
        .stamp = g_string_new(NULL),
    };
}

void
wir_answer_clear(struct wir_answer *answer)
{
    g_string_free(answer->fields, TRUE);
    g_string_free(answer->stamp, TRUE);
    if (answer->body != NULL) {
        g_byte_array_free(answer->body, TRUE);
    }
}
