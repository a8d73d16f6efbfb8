#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/config_schema.h"
#include "common/rc.h"
#include "ctl/agents.h"
#include "ctl/commands.h"
#include "ctl/files.h"
#include "ctl/object.h"

#define CELL_CALL_MS 2000

static bool
cell_has(const json_t *members, const char *name)
{
    for (size_t i = 0; i < json_array_size(members); i++) {
        if (strcmp(json_string_value(json_array_get(members, i)), name) == 0) {
            return true;
        }
    }
    return false;
}

/* The list of --members, or NULL when it is empty or names one twice. */
static json_t *
cell_members(const struct ctl *ctl)
{
    json_t *members = json_array();
    char **names = g_strsplit(
        ctl->options.members != NULL ? ctl->options.members : "", ",", -1);
    bool is_valid = names[0] != NULL;
    for (size_t i = 0; names[i] != NULL && is_valid; i++) {
        is_valid = names[i][0] != '\0' && !cell_has(members, names[i]);
        json_array_append_new(members, json_string(names[i]));
    }
    g_strfreev(names);
    if (!is_valid) {
        json_decref(members);
        return NULL;
    }
    return members;
}

static enum ctl_exit
cell_fail(struct ctl *ctl, const struct obj *cell, int rc)
{
    switch (rc) {
    case RC_CONFLICT:
        return ctl_fail(ctl, CTL_REFUSED, rc,
                        "cell %s changed since it was read; nothing was "
                        "changed by this command",
                        cell->name);
    case RC_STORE_DOWN:
        return ctl_fail(ctl, CTL_UNKNOWN, rc,
                        "the store cannot be reached; nothing was changed");
    case RC_OUTCOME_UNKNOWN:
        return ctl_fail(ctl, CTL_UNKNOWN, rc,
                        "whether cell %s was reset is not known", cell->name);
    default:
        return ctl_fail(ctl, CTL_REFUSED, rc, "the store refused the change");
    }
}

/* Agents that are not reached learn the new version from the store. */
static enum ctl_exit
cell_report(struct ctl *ctl, const struct agt *agents)
{
    json_t *told = json_array();
    json_t *not_told = json_array();
    for (guint i = 0; i < ctl->agent_count; i++) {
        bool is_told = agents[i].is_told;
        ctl_print(ctl, "%s: %s", is_told ? "told" : "not told",
                  agents[i].address);
        json_array_append_new(is_told ? told : not_told,
                              json_string(agents[i].address));
    }
    bool is_complete = json_array_size(not_told) == 0;
    json_object_set_new(ctl->result, "told", told);
    json_object_set_new(ctl->result, "not_told", not_told);
    return is_complete ? CTL_DONE : CTL_NOT_YET;
}

static enum ctl_exit
cell_tell_agents(struct ctl *ctl, const char *name, const json_t *value)
{
    json_t *body = json_deep_copy(value);
    json_object_set_new(body, "cell", json_string(name));
    char *text = fil_encode(body);
    json_decref(body);
    struct agt *agents = agt_new(ctl);
    agt_post(ctl, agents, INT64_MAX, "/cell/reset", text, CELL_CALL_MS);
    enum ctl_exit code = cell_report(ctl, agents);
    agt_free(ctl, agents);
    free(text);
    return code;
}

static enum ctl_exit
cell_write(struct ctl *ctl, const struct obj *cell, json_t *members)
{
    int64_t version = obj_number(cell) + 1;
    json_t *value = json_pack("{s:O, s:I}", "members", members, "version",
                              (json_int_t)version);
    int rc = obj_update(ctl, cell, value);
    enum ctl_exit code = CTL_DONE;
    if (rc == RC_OK) {
        ctl_print(ctl, "cell %s: version %" PRId64 ", %zu members", cell->name,
                  version, json_array_size(members));
        json_object_set(ctl->result, "cell", value);
        code = cell_tell_agents(ctl, cell->name, value);
    }
    else {
        code = cell_fail(ctl, cell, rc);
    }
    json_decref(value);
    return code;
}

enum ctl_exit
cmd_cell(struct ctl *ctl, int argc, char **argv)
{
    if (strcmp(argv[1], "reset") != 0) {
        return ctl_fail(ctl, CTL_USAGE, RC_USAGE, "cell: '%s' is not 'reset'",
                        argv[1]);
    }
    json_t *members = cell_members(ctl);
    if (members == NULL) {
        return ctl_fail(ctl, CTL_USAGE, RC_USAGE,
                        "cell reset: --members needs different names");
    }
    struct obj cell = {
        .kind = "cell", .name = argv[2], .number_key = "version"};
    enum ctl_exit code = CTL_DONE;
    int rc = obj_read(ctl, &cell);
    if (rc != RC_OK) {
        code = cell_fail(ctl, &cell, rc);
    }
    else if (cell.version == 0) {
        code = ctl_fail(ctl, CTL_REFUSED, RC_NOT_FOUND,
                        "the store has no cell '%s'", argv[2]);
    }
    else {
        code = cell_write(ctl, &cell, members);
    }
    obj_clear(&cell);
    json_decref(members);
    return code;
}
