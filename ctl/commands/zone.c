#include <string.h>

#include "common/rc.h"
#include "ctl/commands.h"
#include "ctl/diff.h"
#include "ctl/publish.h"
#include "ctl/source.h"

static json_t *
zone_find(const json_t *document, const char *name)
{
    const json_t *zones = json_object_get(document, "zones");
    for (size_t i = 0; i < json_array_size(zones); i++) {
        json_t *zone = json_array_get(zones, i);
        const char *other = json_string_value(json_object_get(zone, "name"));
        if (other != NULL && strcmp(other, name) == 0) {
            return zone;
        }
    }
    return NULL;
}

static enum ctl_exit
zone_write(struct ctl *ctl, const struct object *current, const char *state,
           const char *name)
{
    json_t *document = json_deep_copy(current->value);
    json_t *zone = zone_find(document, name);
    enum ctl_exit code = CTL_REFUSED;
    if (zone == NULL) {
        code = ctl_fail(ctl, CTL_REFUSED, RC_NOT_FOUND,
                        "zone '%s' is not in the stored configuration", name);
    }
    else {
        json_object_set_new(zone, "state", json_string(state));
        GPtrArray *changes = diff_compare(current->value, document);
        publish_print_changes(ctl, changes);
        code = publish_document(ctl, current, document, changes);
        g_ptr_array_free(changes, TRUE);
    }
    json_decref(document);
    return code;
}

/*
 * zone: sets the state of one zone in the stored configuration, without the
 * operators' files, and waits until the new revision is in force.
 */
enum ctl_exit
command_zone(struct ctl *ctl, int argc, char **argv)
{
    const char *state = argv[1];
    if (strcmp(state, "in") != 0 && strcmp(state, "out") != 0) {
        return ctl_fail(ctl, CTL_USAGE, RC_USAGE,
                        "zone: '%s' is neither 'in' nor 'out'", state);
    }
    struct object current;
    enum ctl_exit code = source_read_stored(ctl, &current);
    if (code == CTL_DONE) {
        code = source_check_revision(ctl, &current);
    }
    if (code == CTL_DONE) {
        code = zone_write(ctl, &current, state, argv[2]);
    }
    object_clear(&current);
    return code;
}
