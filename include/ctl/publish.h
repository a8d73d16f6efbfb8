#ifndef CH_CTL_PUBLISH_H
#define CH_CTL_PUBLISH_H

#include "ctl/ctl.h"
#include "ctl/object.h"

/* The stored configuration, to be read by object_read(). */
struct object publish_current(void);

/* Prints what a document changes; an apply also warns of zone states. */
void publish_show(struct ctl *ctl, const GPtrArray *changes);
void publish_warn_zones(struct ctl *ctl, const GPtrArray *changes);

/*
 * Makes `document` the next revision after `current` and follows it on the
 * vms. Without changes it is not written again, only followed. Reports a
 * failure itself.
 */
enum ctl_exit publish_write(struct ctl *ctl, const struct object *current,
                            json_t *document, const GPtrArray *changes);

#endif
