#ifndef CH_CTL_SOURCE_H
#define CH_CTL_SOURCE_H

#include "ctl/ctl.h"
#include "ctl/files.h"
#include "ctl/object.h"

/*
 * Steps that several commands share. Each returns CTL_DONE, or reports the
 * failure and returns its exit code.
 */

/* Reads and checks the files of --base and --overlay. */
enum ctl_exit source_load(struct ctl *ctl, struct files_document *out);

/* Reads the stored configuration. */
enum ctl_exit source_read(struct ctl *ctl, struct object *out);

/* Does both; source_close() is due whatever it returns. */
enum ctl_exit source_open(struct ctl *ctl, struct files_document *document,
                          struct object *current);

void source_close(struct files_document *document, struct object *current);

/* Refuses a stored revision other than that of --expect-revision. */
enum ctl_exit source_check_revision(struct ctl *ctl,
                                    const struct object *current);

#endif
