#include "ctl/commands.h"
#include "ctl/diff.h"
#include "ctl/publish.h"
#include "ctl/source.h"

/*
 * apply: stores the operators' files as the next revision and waits until it
 * is in force on the VMs.
 */
enum ctl_exit
command_apply(struct ctl *ctl, int argc, char **argv)
{
    struct files_document document;
    struct object current;
    enum ctl_exit code = source_open(ctl, &document, &current);
    if (code == CTL_DONE) {
        code = source_check_revision(ctl, &current);
    }
    if (code == CTL_DONE) {
        GPtrArray *changes = diff_compare(current.value, document.root);
        publish_print_changes(ctl, changes);
        publish_warn_zone_changes(ctl, changes);
        code = publish_document(ctl, &current, document.root, changes);
        g_ptr_array_free(changes, TRUE);
    }
    source_close(&document, &current);
    return code;
}
