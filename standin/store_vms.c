#include <glib.h>
#include <string.h>

#include "common/rc.h"
#include "standin/store_vms.h"

struct vms {
    uv_loop_t *loop;
    int64_t lag_ms;
    json_t *shown; /* name -> entry */
};

struct vms_change {
    uv_timer_t timer;
    struct vms *vms;
    char *name;
    json_t *entry; /* NULL: remove */
};

struct vms *
vms_new(uv_loop_t *loop, int64_t lag_ms)
{
    struct vms *vms = g_new0(struct vms, 1);
    vms->loop = loop;
    vms->lag_ms = lag_ms;
    vms->shown = json_object();
    return vms;
}

static void
vms_on_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
vms_on_shown(uv_timer_t *timer)
{
    struct vms_change *change = timer->data;
    if (change->entry != NULL) {
        json_object_set_new(change->vms->shown, change->name, change->entry);
    }
    else {
        json_object_del(change->vms->shown, change->name);
    }
    g_free(change->name);
    uv_close((uv_handle_t *)timer, vms_on_closed);
}

static json_t *
vms_entry(const char *name, const json_t *entry)
{
    const char *zone = json_string_value(json_object_get(entry, "zone"));
    const char *address = json_string_value(json_object_get(entry, "address"));
    const char *state = json_string_value(json_object_get(entry, "state"));
    if (zone == NULL || address == NULL || state == NULL ||
        (strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0)) {
        return NULL;
    }
    return json_pack("{s:s, s:s, s:s, s:s}", "name", name, "zone", zone,
                     "address", address, "state", state);
}

int
vms_set(struct vms *vms, const char *name, const json_t *entry)
{
    json_t *checked = entry == NULL ? NULL : vms_entry(name, entry);
    if (entry != NULL && checked == NULL) {
        return RC_BAD_FIELD;
    }
    struct vms_change *change = g_new0(struct vms_change, 1);
    change->vms = vms;
    change->name = g_strdup(name);
    change->entry = checked;
    change->timer.data = change;
    uv_timer_init(vms->loop, &change->timer);
    /* The loop's time may be old; timers of one lag keep their order. */
    uv_update_time(vms->loop);
    uv_timer_start(&change->timer, vms_on_shown, (uint64_t)vms->lag_ms, 0);
    return RC_OK;
}

static gint
vms_compare(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

json_t *
vms_list(const struct vms *vms)
{
    GList *names = NULL;
    const char *key;
    json_t *entry;
    json_object_foreach(vms->shown, key, entry)
    {
        names = g_list_prepend(names, (gpointer)key);
    }
    names = g_list_sort(names, vms_compare);
    json_t *list = json_array();
    for (GList *item = names; item != NULL; item = item->next) {
        json_array_append(list, json_object_get(vms->shown, item->data));
    }
    g_list_free(names);
    return list;
}
