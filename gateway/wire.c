#include <stdlib.h>

#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"
#include "gateway/wire.h"

char *
wire_json_text(json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

int
wire_read_vm(const struct cache_object *object, const char *dc_key,
             struct wire_vm *out)
{
    *out = (struct wire_vm){
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
        log_warn("wire", "VM object without a valid peer address name=%s",
                 object->name);
        return RC_INVALID;
    }
    return RC_OK;
}

void
wire_objects_clear(struct wire_objects *objects)
{
    if (objects->objects != NULL) {
        g_array_free(objects->objects, TRUE);
    }
    json_decref(objects->root);
    json_decref(objects->owned);
    *objects = (struct wire_objects){.root = NULL};
}

void
wire_request_clear(struct wire_request *request)
{
    g_free(request->id);
    g_free(request->host);
    if (request->fields != NULL) {
        g_string_free(request->fields, TRUE);
    }
    *request = (struct wire_request){.id = NULL};
}

void
wire_answer_init(struct wire_answer *answer)
{
    *answer = (struct wire_answer){
        .fields = g_string_new(NULL),
        .stamp = g_string_new(NULL),
    };
}

void
wire_answer_clear(struct wire_answer *answer)
{
    g_string_free(answer->fields, TRUE);
    g_string_free(answer->stamp, TRUE);
    if (answer->body != NULL) {
        g_byte_array_free(answer->body, TRUE);
    }
}
