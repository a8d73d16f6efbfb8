#include <inttypes.h>
#include <string.h>

#include "common/rc.h"
#include "ctl/agents.h"
#include "ctl/commands.h"
#include "ctl/object.h"

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

/* `ctx` is the object before the change. */
static bool
cell_has_adopted(const struct agt *agent, const void *ctx)
{
    const struct obj *before = ctx;
    const json_t *cell = json_object_get(agent->status, "cell");
    const char *name = json_string_value(json_object_get(cell, "name"));
    return name != NULL && strcmp(name, before->name) == 0 &&
           json_integer_value(json_object_get(cell, "version")) >
               before->version;
}

/*
 * Only this command writes the object: agents read it. A write by an agent
 * that handles the reset late could undo a later change of the cell.
 */
static enum ctl_exit
cell_write(struct ctl *ctl, const struct obj *cell, json_t *members)
{
    json_t *value = json_pack("{s:O}", "members", members);
    int rc = obj_update(ctl, cell, value);
    enum ctl_exit code = CTL_DONE;
    if (rc == RC_OK) {
        ctl_print(ctl, "cell %s: %zu members", cell->name,
                  json_array_size(members));
        json_object_set(ctl->result, "members", members);
        code = agt_wait(ctl, NULL, cell_has_adopted, cell);
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
    struct obj cell = {.kind = "cell", .name = argv[2]};
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
