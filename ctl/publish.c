#include <inttypes.h>

#include "common/config_schema.h"
#include "common/rc.h"
#include "ctl/vms.h"
#include "ctl/coverage.h"
#include "ctl/diff.h"
#include "ctl/publish.h"

struct object
publish_current(void)
{
    return (struct object){
        .kind = "config", .name = "current", .number_key = "revision"};
}

void
publish_show(struct ctl *ctl, const GPtrArray *changes)
{
    for (guint i = 0; i < changes->len; i++) {
        char *line = diff_line(g_ptr_array_index(changes, i));
        ctl_print(ctl, "%s", line);
        g_free(line);
    }
    json_object_set_new(ctl->result, "changes", diff_to_json(changes));
}

/* An operator's `zone out` must not be undone by files without notice. */
void
publish_warn_zones(struct ctl *ctl, const GPtrArray *changes)
{
    for (guint i = 0; i < changes->len; i++) {
        const struct diff_change *change = g_ptr_array_index(changes, i);
        if (g_str_has_prefix(change->path, "zones[") &&
            g_str_has_suffix(change->path, "].state") &&
            change->from != NULL && change->to != NULL) {
            ctl_warn(ctl, "%s changes from %s to %s", change->path,
                     change->from, change->to);
        }
    }
}

static enum ctl_exit
publish_fail(struct ctl *ctl, const struct object *current, int rc)
{
    switch (rc) {
    case RC_CONFLICT:
        return ctl_fail(ctl, CTL_REFUSED, rc,
                        "another change was faster than this one, which was "
                        "not applied (revision %" PRId64 " was read)",
                        object_number(current));
    case RC_STORE_DOWN:
        return ctl_fail(ctl, CTL_UNKNOWN, rc,
                        "the store cannot be reached; nothing was changed");
    case RC_OUTCOME_UNKNOWN:
        return ctl_fail(ctl, CTL_UNKNOWN, rc,
                        "whether revision %" PRId64
                        " was accepted is not known; run diff when the "
                        "store answers",
                        object_number(current) + 1);
    default:
        return ctl_fail(ctl, CTL_REFUSED, rc, "the store refused the change");
    }
}

/* VMs would refuse an invalid document that is then the stored one. */
static bool
publish_is_valid(struct ctl *ctl, const json_t *document)
{
    struct config_error fault = {.path = NULL};
    int rc = config_check(document, CONFIG_WHOLE, &fault);
    if (rc != RC_OK) {
        (void)ctl_fail(ctl, CTL_REFUSED, rc, "%s: %s", fault.path, fault.text);
    }
    config_error_clear(&fault);
    return rc == RC_OK;
}

static enum ctl_exit
publish_update(struct ctl *ctl, const struct object *current, json_t *document)
{
    int64_t revision = object_number(current) + 1;
    json_object_set_new(document, "revision", json_integer(revision));
    if (!publish_is_valid(ctl, document)) {
        return CTL_REFUSED;
    }
    coverage_warn(ctl, document);
    int rc = object_update(ctl, current, document);
    if (rc != RC_OK) {
        return publish_fail(ctl, current, rc);
    }
    ctl_print(ctl, "accepted: revision %" PRId64, revision);
    json_object_set_new(ctl->result, "revision", json_integer(revision));
    return vm_follow(ctl, document);
}

enum ctl_exit
publish_write(struct ctl *ctl, const struct object *current, json_t *document,
              const GPtrArray *changes)
{
    if (changes->len > 0 || current->value == NULL) {
        return publish_update(ctl, current, document);
    }
    ctl_print(ctl, "unchanged: revision %" PRId64, object_number(current));
    json_object_set_new(ctl->result, "revision",
                        json_integer(object_number(current)));
    return vm_follow(ctl, current->value);
}
