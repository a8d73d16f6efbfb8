#include <inttypes.h>

#include "common/rc.h"
#include "ctl/publish.h"
#include "ctl/source.h"

enum ctl_exit
source_load_files(struct ctl *ctl, struct files_document *out)
{
    char *error = NULL;
    int rc = files_load(ctl->options.base, ctl->options.overlay, out, &error);
    if (rc == RC_OK) {
        return CTL_DONE;
    }
    enum ctl_exit code = ctl_fail(ctl, CTL_USAGE, rc, "%s", error);
    g_free(error);
    return code;
}

enum ctl_exit
source_read_stored(struct ctl *ctl, struct object *out)
{
    *out = publish_config_object();
    int rc = object_read(ctl, out);
    if (rc != RC_OK) {
        return ctl_fail(ctl, CTL_UNKNOWN, rc,
                        "the store at %s cannot be read; nothing was changed",
                        ctl->options.store);
    }
    return CTL_DONE;
}

enum ctl_exit
source_open(struct ctl *ctl, struct files_document *document,
            struct object *current)
{
    *document = (struct files_document){.root = NULL};
    *current = (struct object){.value = NULL};
    enum ctl_exit code = source_load_files(ctl, document);
    return code == CTL_DONE ? source_read_stored(ctl, current) : code;
}

void
source_close(struct files_document *document, struct object *current)
{
    object_clear(current);
    files_clear(document);
}

enum ctl_exit
source_check_revision(struct ctl *ctl, const struct object *current)
{
    int64_t expected = ctl->options.expect_revision;
    if (expected < 0 || expected == object_revision(current)) {
        return CTL_DONE;
    }
    return ctl_fail(ctl, CTL_REFUSED, RC_CONFLICT,
                    "revision %" PRId64 " is stored, not %" PRId64
                    "; nothing was changed",
                    object_revision(current), expected);
}
