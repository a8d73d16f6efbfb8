#include <inttypes.h>
#include <stdlib.h>

#include "common/rc.h"
#include "ctl/agents.h"
#include "ctl/call.h"
#include "ctl/files.h"

#define AGENT_CALL_MS 1000
#define AGENT_PAUSE_MS 100
/* A document that an agent missed is offered to it again after this time. */
#define AGENT_REPEAT_US (1000 * INT64_C(1000))

struct agt *
agt_new(const struct ctl *ctl)
{
    struct agt *agents = g_new0(struct agt, ctl->agent_count);
    for (guint i = 0; i < ctl->agent_count; i++) {
        agents[i].address = ctl->agents[i];
    }
    return agents;
}

void
agt_free(const struct ctl *ctl, struct agt *agents)
{
    for (guint i = 0; i < ctl->agent_count; i++) {
        json_decref(agents[i].status);
    }
    g_free(agents);
}

char *
agt_text(const struct agt *agent, const char *key)
{
    const json_t *value = json_object_get(agent->status, key);
    if (value == NULL || json_is_string(value)) {
        return g_strdup(value != NULL ? json_string_value(value) : "-");
    }
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

const char *
agt_name(const struct agt *agent)
{
    const char *name =
        json_string_value(json_object_get(agent->status, "machine"));
    return name != NULL ? name : agent->address;
}

struct agt_batch {
    struct cll *calls;
    struct agt **agents; /* whom each call goes to */
    size_t count;
};

static void
agt_call(const struct ctl *ctl, struct agt *agents, int64_t below,
         const struct cll *call, struct agt_batch *out, int64_t timeout_ms)
{
    *out = (struct agt_batch){
        .calls = g_new0(struct cll, ctl->agent_count),
        .agents = g_new0(struct agt *, ctl->agent_count),
    };
    for (guint i = 0; i < ctl->agent_count; i++) {
        if (agents[i].revision < below) {
            out->calls[out->count] = *call;
            out->calls[out->count].address = agents[i].address;
            out->agents[out->count] = &agents[i];
            out->count += 1;
        }
    }
    cll_run(out->calls, out->count, ctl_left_ms(ctl, timeout_ms));
}

static void
agt_batch_clear(struct agt_batch *batch)
{
    cll_clear(batch->calls, batch->count);
    g_free(batch->calls);
    g_free(batch->agents);
}

void
agt_read(const struct ctl *ctl, struct agt *agents, int64_t below,
         int64_t timeout_ms)
{
    struct cll call = {.method = "GET", .path = "/status"};
    struct agt_batch batch;
    agt_call(ctl, agents, below, &call, &batch, timeout_ms);
    for (size_t i = 0; i < batch.count; i++) {
        struct agt *agent = batch.agents[i];
        json_decref(agent->status);
        agent->status = NULL;
        agent->revision = 0;
        if (cll_is_status(&batch.calls[i], 200)) {
            agent->status = json_incref(batch.calls[i].reply);
            agent->revision =
                json_integer_value(json_object_get(agent->status, "revision"));
        }
    }
    agt_batch_clear(&batch);
}

void
agt_post(const struct ctl *ctl, struct agt *agents, int64_t below,
         const char *path, const char *body, int64_t timeout_ms)
{
    struct cll call = {.method = "POST", .path = path, .body = body};
    struct agt_batch batch;
    agt_call(ctl, agents, below, &call, &batch, timeout_ms);
    for (size_t i = 0; i < batch.count; i++) {
        batch.agents[i]->is_told = cll_is_status(&batch.calls[i], 200);
    }
    agt_batch_clear(&batch);
}

static guint
agt_count_behind(const struct ctl *ctl, const struct agt *agents,
                 int64_t revision)
{
    guint count = 0;
    for (guint i = 0; i < ctl->agent_count; i++) {
        count += agents[i].revision < revision;
    }
    return count;
}

static void
agt_report(struct ctl *ctl, const struct agt *agents, int64_t revision)
{
    json_t *in_force = json_array();
    json_t *behind = json_array();
    for (guint i = 0; i < ctl->agent_count; i++) {
        const struct agt *agent = &agents[i];
        if (agent->revision >= revision) {
            ctl_print(ctl, "in force: %s", agt_name(agent));
            json_array_append_new(in_force, json_string(agt_name(agent)));
            continue;
        }
        json_array_append_new(behind, json_string(agt_name(agent)));
        if (agent->status == NULL) {
            ctl_print(ctl, "not in force: %s (no answer)", agent->address);
        }
        else {
            ctl_print(ctl, "not in force: %s (revision %" PRId64 ")",
                      agt_name(agent), agent->revision);
        }
    }
    json_object_set_new(ctl->result, "in_force", in_force);
    json_object_set_new(ctl->result, "not_in_force", behind);
}

enum ctl_exit
agt_follow(struct ctl *ctl, const json_t *document)
{
    int64_t revision =
        json_integer_value(json_object_get(document, "revision"));
    if (ctl->agent_count == 0) {
        ctl_warn(ctl, "no --agents: whether it is in force is not known");
        return CTL_DONE;
    }
    json_t *wrapped = json_pack("{s:I, s:O}", "revision", (json_int_t)revision,
                                "document", document);
    char *body = fil_encode(wrapped);
    json_decref(wrapped);
    struct agt *agents = agt_new(ctl);
    int64_t offered_us = ctl_now_us() - AGENT_REPEAT_US;
    while (agt_count_behind(ctl, agents, revision) > 0 &&
           ctl_left_ms(ctl, 1) > 0) {
        if (ctl_now_us() - offered_us >= AGENT_REPEAT_US) {
            agt_post(ctl, agents, revision, "/config", body, AGENT_CALL_MS);
            offered_us = ctl_now_us();
        }
        agt_read(ctl, agents, revision, AGENT_CALL_MS);
        if (agt_count_behind(ctl, agents, revision) > 0) {
            ctl_pause(ctl, AGENT_PAUSE_MS);
        }
    }
    agt_report(ctl, agents, revision);
    guint behind = agt_count_behind(ctl, agents, revision);
    agt_free(ctl, agents);
    free(body);
    return behind > 0 ? CTL_NOT_YET : CTL_DONE;
}
