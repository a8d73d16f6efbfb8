#include <inttypes.h>

#include "ctl/commands.h"
#include "ctl/coverage.h"
#include "ctl/diff.h"
#include "ctl/publish.h"
#include "ctl/source.h"

enum ctl_exit
cmd_diff(struct ctl *ctl, int argc, char **argv)
{
    struct fil_document document;
    struct obj current;
    enum ctl_exit code = src_open(ctl, &document, &current);
    if (code == CTL_DONE) {
        GPtrArray *changes = dif_compare(current.value, document.root);
        ctl_print(ctl, "changes against revision %" PRId64 ": %u",
                  obj_number(&current), changes->len);
        pub_show(ctl, changes);
        cov_warn(ctl, document.root);
        json_object_set_new(ctl->result, "revision",
                            json_integer(obj_number(&current)));
        g_ptr_array_free(changes, TRUE);
    }
    src_close(&document, &current);
    return code;
}
