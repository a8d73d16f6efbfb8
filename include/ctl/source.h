#ifndef CH_CTL_SOURCE_H
#define CH_CTL_SOURCE_H

#include "ctl/ctl.h"
#include "ctl/files.h"
#include "ctl/object.h"

/*
 * The inputs that several commands share: the operators' files and the stored
 * configuration. Each function returns CTL_DONE, or reports the failure and
 * returns its exit code.
 */

/* Reads and checks the files of --base and --overlay. */
enum ctl_exit source_load_files(struct ctl *ctl, struct files_document *out);

/* Reads the stored configuration; free with object_clear(). */
enum ctl_exit source_read_stored(struct ctl *ctl, struct object *out);

/* Does both. The caller calls source_close() also after a failure. */
enum ctl_exit source_open(struct ctl *ctl, struct files_document *document,
                          struct object *current);

void source_close(struct files_document *document, struct object *current);

/* Fails when the stored revision is not that of --expect-revision. */
enum ctl_exit source_check_revision(struct ctl *ctl,
                                    const struct object *current);

#endif
