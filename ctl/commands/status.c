#include <inttypes.h>

#include "ctl/agents.h"
#include "ctl/commands.h"
#include "ctl/publish.h"
#include "ctl/source.h"

#define STATUS_CALL_MS 2000

static void
status_print(struct ctl *ctl, const struct agt *agent)
{
    if (agent->status == NULL) {
        ctl_print(ctl, "%-16s no answer", agent->address);
        return;
    }
    static const char *const keys[] = {"zone",     "state",  "start",
                                       "revision", "digest", "lease_ms_left"};
    GString *line = g_string_new(NULL);
    g_string_printf(line, "%-16s", agt_name(agent));
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        char *text = agt_text(agent, keys[i]);
        g_string_append_printf(line, " %s=%s", keys[i], text);
        g_free(text);
    }
    const json_t *held = json_object_get(agent->status, "held");
    g_string_append_printf(line, " held=%zu", json_array_size(held));
    ctl_print(ctl, "%s", line->str);
    g_string_free(line, TRUE);
}

static void
status_add_agents(struct ctl *ctl, const struct agt *agents)
{
    json_t *list = json_array();
    for (guint i = 0; i < ctl->agent_count; i++) {
        status_print(ctl, &agents[i]);
        json_t *entry = json_pack("{s:s, s:b}", "address", agents[i].address,
                                  "answered", agents[i].status != NULL);
        if (agents[i].status != NULL) {
            json_object_set(entry, "status", agents[i].status);
        }
        json_array_append_new(list, entry);
    }
    json_object_set_new(ctl->result, "agents", list);
}

static bool
status_is_behind(const struct ctl *ctl, const struct agt *agents,
                 int64_t revision)
{
    for (guint i = 0; i < ctl->agent_count; i++) {
        if (agents[i].status == NULL || agents[i].revision < revision) {
            return true;
        }
    }
    return false;
}

enum ctl_exit
cmd_status(struct ctl *ctl, int argc, char **argv)
{
    struct agt *agents = agt_new(ctl);
    agt_read(ctl, agents, STATUS_CALL_MS);
    status_add_agents(ctl, agents);
    enum ctl_exit code = CTL_DONE;
    int64_t revision = 0;
    if (ctl->options.store != NULL) {
        struct obj current;
        code = src_read(ctl, &current);
        revision = obj_number(&current);
        if (code == CTL_DONE) {
            ctl_print(ctl, "%-16s revision=%" PRId64, "store", revision);
            json_object_set_new(ctl->result, "revision",
                                json_integer(revision));
        }
        obj_clear(&current);
    }
    if (code == CTL_DONE && status_is_behind(ctl, agents, revision)) {
        code = CTL_NOT_YET;
    }
    agt_free(ctl, agents);
    return code;
}
