#include <glib.h>

#include "agent/agent.h"
#include "agent/object.h"
#include "common/rc.h"

/* One call about one contract. */
struct wrt_call {
    struct agent *agent;
    char *service;
    char *instance;
    bool is_write;
};

static void
wrt_on_reply(void *ctx, const struct sto_reply *reply)
{
    struct wrt_call *call = ctx;
    struct agent *agent = call->agent;
    int64_t now_us = agent_now_us();
    int rc = reply->rc;
    struct ctr_object object = {.version = 0};
    if (rc == RC_OK || rc == RC_CONFLICT) {
        if (!obj_read_contract(reply->body, &object)) {
            /* Nothing can be concluded, so the object is read again. */
            cnt_add(agent->counters, "store_objects_malformed_total",
                    "contract");
            rc = RC_STORE_DOWN;
        }
    }
    else if (rc == RC_NOT_FOUND && !call->is_write) {
        rc = RC_OK;
    }
    if (rc != RC_OK && rc != RC_CONFLICT) {
        object = (struct ctr_object){.version = 0};
    }
    /* The object is known by its name, whatever its value says. */
    object.holder.service = call->service;
    object.holder.instance = call->instance;
    const struct ctr_view *view = agent_view(agent, now_us);
    if (call->is_write) {
        ctr_on_write(agent->contracts, now_us, view, rc, &object);
    }
    else {
        ctr_on_read(agent->contracts, now_us, view, rc, &object);
    }
    obj_clear_contract(&object);
    g_free(call->service);
    g_free(call->instance);
    g_free(call);
    agent_after_event(agent);
}

static struct wrt_call *
wrt_call_new(struct agent *agent, const char *service, const char *instance,
             bool is_write)
{
    struct wrt_call *call = g_new0(struct wrt_call, 1);
    call->agent = agent;
    call->service = g_strdup(service);
    call->instance = g_strdup(instance);
    call->is_write = is_write;
    return call;
}

void
agent_write_contract(void *ctx, uint64_t version,
                     const struct msg_holder *value)
{
    struct agent *agent = ctx;
    char *name = obj_contract_name(value->service, value->instance);
    sto_put(agent->store, "contract", name, version, obj_contract_value(value),
            wrt_on_reply,
            wrt_call_new(agent, value->service, value->instance, true));
    g_free(name);
}

void
agent_read_contract(void *ctx, const char *service, const char *instance)
{
    struct agent *agent = ctx;
    char *name = obj_contract_name(service, instance);
    sto_get(agent->store, "contract", name, wrt_on_reply,
            wrt_call_new(agent, service, instance, false));
    g_free(name);
}
