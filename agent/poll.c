#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent.h"
#include "agent/object.h"
#include "common/log.h"
#include "common/rc.h"

#define POL_LIST_US (INT64_C(10) * 1000 * 1000)
#define POL_VMS_US (INT64_C(2) * 1000 * 1000)
/* Above 200 machines the list is read less often, or it would cost too much.
 */
#define POL_VMS_PER_MACHINE_US (INT64_C(10) * 1000)
#define POL_RETRY_US (INT64_C(500) * 1000)

enum pol_kind {
    POL_CONTRACT,
    POL_CONFIG,
    POL_VMS,
    POL_KIND_COUNT,
};

struct pol_list {
    struct agent_poll *poll;
    enum pol_kind kind;
    bool is_busy;
    bool has_answered;
    int64_t due_us;
};

struct agent_poll {
    struct agent *agent;
    struct pol_list lists[POL_KIND_COUNT];
};

static void
pol_take_contracts(struct agent *agent, const json_t *body, bool is_whole)
{
    const json_t *items = json_object_get(body, "items");
    size_t count = json_array_size(items);
    struct ctr_object *objects = g_new0(struct ctr_object, count + 1);
    size_t used = 0;
    for (size_t i = 0; i < count; i++) {
        if (obj_read_contract(json_array_get(items, i), &objects[used]) &&
            objects[used].version > 0) {
            used += 1;
        }
        else {
            obj_clear_contract(&objects[used]);
            cnt_add(agent->counters, "store_objects_malformed_total",
                    "contract");
        }
    }
    ctr_on_list(agent->contracts, agent_now_us(), objects, used, is_whole);
    for (size_t i = 0; i < used; i++) {
        obj_clear_contract(&objects[i]);
    }
    g_free(objects);
}

static void
pol_take_config(struct agent *agent, const json_t *body)
{
    const json_t *items = json_object_get(body, "items");
    for (size_t i = 0; i < json_array_size(items); i++) {
        const json_t *item = json_array_get(items, i);
        const char *name = json_string_value(json_object_get(item, "name"));
        const json_t *document = json_object_get(item, "value");
        const json_t *number = json_object_get(document, "revision");
        if (name == NULL || strcmp(name, "current") != 0 ||
            !json_is_integer(number)) {
            continue;
        }
        /* Reading the same document again is the usual case. */
        if ((uint64_t)json_integer_value(number) >
            rev_number(agent->revision)) {
            char *text = obj_canonical(document);
            (void)agent_offer_config(agent, "store",
                                     (uint64_t)json_integer_value(number), 0,
                                     text, strlen(text), NULL);
            free(text);
        }
    }
    rev_on_store(agent->revision);
}

static void
pol_take_vms(struct agent *agent, const json_t *body)
{
    size_t count = json_array_size(body);
    struct mbr_vm *vms = g_new0(struct mbr_vm, count + 1);
    size_t used = 0;
    for (size_t i = 0; i < count; i++) {
        const json_t *item = json_array_get(body, i);
        const char *state = json_string_value(json_object_get(item, "state"));
        struct mbr_vm vm = {
            .name = json_string_value(json_object_get(item, "name")),
            .zone = json_string_value(json_object_get(item, "zone")),
            .address = json_string_value(json_object_get(item, "address")),
        };
        if (vm.name == NULL || vm.zone == NULL || vm.address == NULL ||
            state == NULL) {
            cnt_add(agent->counters, "store_objects_malformed_total", "vms");
            continue;
        }
        vm.is_leaving = strcmp(state, "leaving") == 0;
        vms[used] = vm;
        used += 1;
    }
    mbr_set_vms(agent->members, agent_now_us(), vms, used);
    g_free(vms);
}

static void
pol_take(struct agent *agent, enum pol_kind kind, const json_t *body,
         bool is_whole)
{
    switch (kind) {
    case POL_CONTRACT:
        pol_take_contracts(agent, body, is_whole);
        break;
    case POL_CONFIG:
        pol_take_config(agent, body);
        break;
    default:
        pol_take_vms(agent, body);
        break;
    }
}

static const char *const pol_names[POL_KIND_COUNT] = {
    [POL_CONTRACT] = "contract",
    [POL_CONFIG] = "config",
    [POL_VMS] = "vms",
};

static int64_t
pol_period_us(const struct pol_list *list)
{
    if (list->kind != POL_VMS) {
        return POL_LIST_US;
    }
    int64_t machines = (int64_t)mbr_count(list->poll->agent->members);
    return MAX(POL_VMS_US, machines * POL_VMS_PER_MACHINE_US);
}

static void
pol_on_list(void *ctx, const struct sto_reply *reply)
{
    struct pol_list *list = ctx;
    struct agent *agent = list->poll->agent;
    list->is_busy = false;
    if (reply->rc == RC_OK) {
        list->has_answered = true;
        pol_take(agent, list->kind, reply->body, true);
        list->due_us = agent_now_us() + pol_period_us(list);
    }
    else {
        list->due_us = agent_now_us() + POL_RETRY_US;
    }
    agent_after_event(agent);
}

static void
pol_on_watch(void *ctx, const struct sto_reply *reply)
{
    struct pol_list *list = ctx;
    struct agent *agent = list->poll->agent;
    pol_take(agent, list->kind, reply->body, false);
    agent_after_event(agent);
}

struct agent_poll *
agent_poll_new(struct agent *agent)
{
    struct agent_poll *poll = g_new0(struct agent_poll, 1);
    poll->agent = agent;
    for (int i = 0; i < POL_KIND_COUNT; i++) {
        poll->lists[i] = (struct pol_list){
            .poll = poll,
            .kind = (enum pol_kind)i,
        };
    }
    sto_watch(agent->store, pol_names[POL_CONTRACT], pol_on_watch,
              &poll->lists[POL_CONTRACT]);
    sto_watch(agent->store, pol_names[POL_CONFIG], pol_on_watch,
              &poll->lists[POL_CONFIG]);
    return poll;
}

void
agent_poll_free(struct agent_poll *poll)
{
    g_free(poll);
}

void
agent_poll_tick(struct agent_poll *poll, int64_t now_us)
{
    for (int i = 0; i < POL_KIND_COUNT; i++) {
        struct pol_list *list = &poll->lists[i];
        if (!list->is_busy && now_us >= list->due_us &&
            sto_is_usable(poll->agent->store)) {
            list->is_busy = true;
            sto_get(poll->agent->store, pol_names[i], NULL, pol_on_list, list);
        }
    }
}

bool
agent_poll_has_vms(const struct agent_poll *poll)
{
    return poll->lists[POL_VMS].has_answered;
}
