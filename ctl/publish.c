#include <inttypes.h>

#include "common/config_schema.h"
#include "common/rc.h"
#include "ctl/vms.h"
#include "ctl/coverage.h"
#include "ctl/diff.h"
#include "ctl/publish.h"

struct object
publish_config_object(void)
{
    return (struct object){
        .kind = "config", .name = "current", .revision_key = "revision"};
}

void
publish_print_changes(struct ctl *ctl, const GPtrArray *changes)
{
    for (guint i = 0; i < changes->len; i++) {
        char *line = diff_format(g_ptr_array_index(changes, i));
        ctl_print(ctl, "%s", line);
        g_free(line);
    }
    json_object_set_new(ctl->result, "changes", diff_to_json(changes));
}

/* Makes sure that an operator notices when the files undo a `zone out`. */
void
publish_warn_zone_changes(struct ctl *ctl, const GPtrArray *changes)
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
                        object_revision(current));
    case RC_STORE_DOWN:
        return ctl_fail(ctl, CTL_UNKNOWN, rc,
                        "the store cannot be reached; nothing was changed");
    case RC_OUTCOME_UNKNOWN:
        return ctl_fail(ctl, CTL_UNKNOWN, rc,
                        "whether revision %" PRId64
                        " was accepted is not known; run diff when the "
                        "store answers",
                        object_revision(current) + 1);
    default:
        return ctl_fail(ctl, CTL_REFUSED, rc, "the store refused the change");
    }
}

/* Checked before the write: an invalid document would replace the stored one
 * although all VMs refuse it. */
static bool
publish_is_valid(struct ctl *ctl, const json_t *document)
{
    struct config_error check_error = {.path = NULL};
    int rc = config_check(document, CONFIG_COMPLETE, &check_error);
    if (rc != RC_OK) {
        (void)ctl_fail(ctl, CTL_REFUSED, rc, "%s: %s", check_error.path,
                       check_error.text);
    }
    config_error_clear(&check_error);
    return rc == RC_OK;
}

static enum ctl_exit
publish_new_revision(struct ctl *ctl, const struct object *current,
                     json_t *document)
{
    int64_t revision = object_revision(current) + 1;
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
    return vm_roll_out(ctl, document);
}

enum ctl_exit
publish_document(struct ctl *ctl, const struct object *current,
                 json_t *document, const GPtrArray *changes)
{
    if (changes->len > 0 || current->value == NULL) {
        return publish_new_revision(ctl, current, document);
    }
    ctl_print(ctl, "unchanged: revision %" PRId64, object_revision(current));
    json_object_set_new(ctl->result, "revision",
                        json_integer(object_revision(current)));
    return vm_roll_out(ctl, current->value);
}
