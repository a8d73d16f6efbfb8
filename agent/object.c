#include "agent/object.h"

static bool
obj_string(const json_t *object, const char *key, const char **out)
{
    *out = json_string_value(json_object_get(object, key));
    return *out != NULL;
}

static bool
obj_number(const json_t *object, const char *key, uint64_t *out)
{
    const json_t *value = json_object_get(object, key);
    if (!json_is_integer(value) || json_integer_value(value) < 0) {
        return false;
    }
    *out = (uint64_t)json_integer_value(value);
    return true;
}

/* Start ids have 64 bits; JSON integers of the store only 63. */
static bool
obj_start(const json_t *object, uint64_t *out)
{
    const char *text = NULL;
    if (!obj_string(object, "start", &text)) {
        return obj_number(object, "start", out);
    }
    char *end = NULL;
    *out = g_ascii_strtoull(text, &end, 16);
    return end != text && *end == '\0';
}

/* A searcher that cannot be read starts cold, like one that is not listed. */
static void
obj_read_warm(const json_t *list, struct msg_holder *out)
{
    out->warm = g_new0(struct msg_warm, json_array_size(list));
    size_t i = 0;
    const json_t *item = NULL;
    json_array_foreach(list, i, item)
    {
        struct msg_warm *warm = &out->warm[out->warm_count];
        if (obj_string(item, "address", &warm->address) &&
            obj_start(item, &warm->start)) {
            out->warm_count += 1;
        }
    }
}

bool
obj_read_contract(const json_t *object, struct ctr_object *out)
{
    *out = (struct ctr_object){.version = 0};
    if (!obj_number(object, "version", &out->version)) {
        return false;
    }
    const json_t *value = json_object_get(object, "value");
    if (out->version == 0) {
        return true;
    }
    if (!obj_string(value, "service", &out->holder.service) ||
        !obj_string(value, "instance", &out->holder.instance) ||
        !obj_string(value, "machine", &out->holder.machine) ||
        !obj_start(value, &out->holder.start) ||
        !obj_number(value, "epoch", &out->holder.epoch) ||
        !obj_number(value, "orderly", &out->holder.orderly)) {
        return false;
    }
    obj_read_warm(json_object_get(value, "warm"), &out->holder);
    return true;
}

void
obj_clear_contract(struct ctr_object *object)
{
    g_free(object->holder.warm);
    object->holder.warm = NULL;
    object->holder.warm_count = 0;
}

static json_t *
obj_start_value(uint64_t start)
{
    char *text = g_strdup_printf("%016" G_GINT64_MODIFIER "x", start);
    json_t *value = json_string(text);
    g_free(text);
    return value;
}

static json_t *
obj_warm_value(const struct msg_holder *holder)
{
    json_t *list = json_array();
    for (size_t i = 0; i < holder->warm_count; i++) {
        json_t *item =
            json_pack("{s:s, s:o}", "address", holder->warm[i].address,
                      "start", obj_start_value(holder->warm[i].start));
        (void)json_array_append_new(list, item);
    }
    return list;
}

json_t *
obj_contract_value(const struct msg_holder *holder)
{
    return json_pack("{s:s, s:s, s:s, s:o, s:I, s:I, s:o}", "service",
                     holder->service, "instance", holder->instance, "machine",
                     holder->machine, "start", obj_start_value(holder->start),
                     "epoch", (json_int_t)holder->epoch, "orderly",
                     (json_int_t)holder->orderly, "warm",
                     obj_warm_value(holder));
}

char *
obj_contract_name(const char *service, const char *instance)
{
    return g_strconcat(service, ":", instance, NULL);
}

GPtrArray *
obj_read_cell(const json_t *object, uint64_t *version)
{
    const json_t *members =
        json_object_get(json_object_get(object, "value"), "members");
    if (!obj_number(object, "version", version) || !json_is_array(members)) {
        return NULL;
    }
    GPtrArray *names = g_ptr_array_new();
    size_t i = 0;
    const json_t *member = NULL;
    json_array_foreach(members, i, member)
    {
        if (!json_is_string(member)) {
            g_ptr_array_free(names, TRUE);
            return NULL;
        }
        g_ptr_array_add(names, (char *)json_string_value(member));
    }
    return names;
}

char *
obj_canonical(const json_t *document)
{
    return json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS);
}
