#include <inttypes.h>

#include "ctl/commands.h"
#include "ctl/coverage.h"
#include "ctl/diff.h"
#include "ctl/publish.h"
#include "ctl/source.h"

/* diff: prints the changes from the stored configuration to the files. */
enum ctl_exit
command_diff(struct ctl *ctl, int argc, char **argv)
{
    struct files_document document;
    struct object current;
    enum ctl_exit code = source_open(ctl, &document, &current);
    if (code == CTL_DONE) {
        GPtrArray *changes = diff_compare(current.value, document.root);
        ctl_print(ctl, "changes against revision %" PRId64 ": %u",
                  object_revision(&current), changes->len);
        publish_print_changes(ctl, changes);
        coverage_warn(ctl, document.root);
        json_object_set_new(ctl->result, "revision",
                            json_integer(object_revision(&current)));
        g_ptr_array_free(changes, TRUE);
    }
    source_close(&document, &current);
    return code;
}
