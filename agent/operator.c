#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent.h"
#include "agent/object.h"
#include "common/rc.h"

typedef void (*opr_handler)(struct agent *agent, struct hsv_request *request);

static void
opr_answer(struct hsv_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
    hsv_respond(request, status, "application/json", text, strlen(text));
    free(text);
    json_decref(body);
}

static void
opr_refuse(struct hsv_request *request, int rc, const char *why)
{
    opr_answer(request, rc_http_status(rc),
               json_pack("{s:s, s:s}", "error", rc_name(rc), "text",
                         why != NULL ? why : rc_text(rc)));
}

static json_t *
opr_hex(uint64_t value)
{
    return json_sprintf("%016" G_GINT64_MODIFIER "x", value);
}

static const char *
opr_state_name(enum msg_machine_state state)
{
    static const char *const names[] = {
        [MSG_MACHINE_LIVE] = "live",
        [MSG_MACHINE_LEAVING] = "leaving",
        [MSG_MACHINE_DEAD] = "dead",
    };
    return names[state];
}

static json_t *
opr_machines(struct agent *agent, int64_t now_us)
{
    json_t *machines = json_array();
    for (size_t i = 0; i < mbr_count(agent->members); i++) {
        const struct mbr_machine *machine = mbr_at(agent->members, i);
        enum msg_machine_state state =
            agent_machine_state(agent, now_us, machine);
        json_array_append_new(
            machines,
            json_pack("{s:s, s:o, s:s, s:s, s:s}", "name", machine->name,
                      "start", opr_hex(machine->start), "zone", machine->zone,
                      "address", machine->agent_address, "state",
                      opr_state_name(state)));
    }
    return machines;
}

static json_t *
opr_held(struct agent *agent, int64_t now_us)
{
    json_t *held = json_array();
    struct msg_holder *holders = NULL;
    size_t count =
        ctr_holders(agent->contracts, agent_view(agent, now_us), &holders);
    for (size_t i = 0; i < count; i++) {
        if (holders[i].start == agent->start &&
            strcmp(holders[i].machine, agent->options->machine) == 0) {
            json_array_append_new(held,
                                  json_pack("{s:s, s:s, s:I}", "service",
                                            holders[i].service, "instance",
                                            holders[i].instance, "epoch",
                                            (json_int_t)holders[i].epoch));
        }
    }
    g_free(holders);
    return held;
}

static json_t *
opr_cell(const struct agent *agent)
{
    json_t *members = json_array();
    for (size_t i = 0; i < lse_member_count(agent->lease); i++) {
        json_array_append_new(members,
                              json_string(lse_member(agent->lease, i)));
    }
    return json_pack("{s:s, s:I, s:o}", "name", agent->options->cell,
                     "version", (json_int_t)lse_cell_version(agent->lease),
                     "members", members);
}

static void
opr_status(struct agent *agent, struct hsv_request *request)
{
    int64_t now_us = agent_now_us();
    int64_t left_us = MAX(lse_until_us(agent->lease) - now_us, 0);
    enum msg_machine_state state =
        agent->is_leaving ? MSG_MACHINE_LEAVING : MSG_MACHINE_LIVE;
    opr_answer(request, 200,
               json_pack("{s:s, s:o, s:s, s:I, s:o, s:s, s:I, s:o, s:o, s:o}",
                         "machine", agent->options->machine, "start",
                         opr_hex(agent->start), "zone", agent->options->zone,
                         "revision", (json_int_t)rev_number(agent->revision),
                         "digest", opr_hex(rev_digest(agent->revision)),
                         "state", opr_state_name(state), "lease_ms_left",
                         (json_int_t)(left_us / 1000), "held",
                         opr_held(agent, now_us), "machines",
                         opr_machines(agent, now_us), "cell",
                         opr_cell(agent)));
}

static void
opr_config(struct agent *agent, struct hsv_request *request)
{
    json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);
    const json_t *number = json_object_get(body, "revision");
    const json_t *document = json_object_get(body, "document");
    if (body == NULL) {
        opr_refuse(request, RC_BAD_JSON, NULL);
        return;
    }
    if (!json_is_integer(number) || json_integer_value(number) <= 0 ||
        !json_is_object(document)) {
        opr_refuse(request, RC_BAD_FIELD, NULL);
        json_decref(body);
        return;
    }
    char *text = obj_canonical(document);
    char *why = NULL;
    int rc = agent_offer_config(agent, "operator",
                                (uint64_t)json_integer_value(number), 0, text,
                                strlen(text), &why);
    /* An older revision is no error: the answer says what is in force. */
    if (rc == RC_OK || rc == RC_STALE) {
        opr_answer(request, 200,
                   json_pack("{s:I}", "revision",
                             (json_int_t)rev_number(agent->revision)));
    }
    else {
        opr_refuse(request, rc, why);
    }
    g_free(why);
    free(text);
    json_decref(body);
    agent_after_event(agent);
}

static void
opr_healthz(struct agent *agent, struct hsv_request *request)
{
    bool is_ready = rev_is_ready(agent->revision, agent_now_us());
    const char *text = is_ready ? "ok\n" : "not ready\n";
    hsv_respond(request, is_ready ? 200 : 503, "text/plain", text,
                strlen(text));
}

static void
opr_metrics(struct agent *agent, struct hsv_request *request)
{
    int64_t now_us = agent_now_us();
    *cnt_get(agent->counters, "contracts_held", NULL) =
        ctr_held_count(agent->contracts, agent_view(agent, now_us));
    *cnt_get(agent->counters, "config_revision", NULL) =
        rev_number(agent->revision);
    *cnt_get(agent->counters, "peer_connections", NULL) =
        prs_count(agent->peers);
    *cnt_get(agent->counters, "lease_terms_total", NULL) =
        lse_term(agent->lease);
    GString *out = g_string_new(NULL);
    cnt_render(agent->counters, out);
    hsv_respond(request, 200, "text/plain; version=0.0.4", out->str, out->len);
    g_string_free(out, TRUE);
}

static const struct {
    const char *method;
    const char *path;
    opr_handler run;
} opr_routes[] = {
    {"GET", "/status", opr_status},
    {"POST", "/config", opr_config},
    {"GET", "/healthz", opr_healthz},
    {"GET", "/metrics", opr_metrics},
};

void
agent_on_request(struct hsv_request *request, void *ctx)
{
    bool is_path = false;
    for (size_t i = 0; i < G_N_ELEMENTS(opr_routes); i++) {
        if (strcmp(request->path, opr_routes[i].path) != 0) {
            continue;
        }
        is_path = true;
        if (strcmp(request->method, opr_routes[i].method) == 0) {
            opr_routes[i].run(ctx, request);
            return;
        }
    }
    opr_refuse(request, is_path ? RC_BAD_METHOD : RC_NO_ROUTE, NULL);
}
