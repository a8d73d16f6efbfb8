#ifndef CH_CTL_PUBLISH_H
#define CH_CTL_PUBLISH_H

#include "ctl/ctl.h"
#include "ctl/object.h"

/*
 * Stores a configuration document as the next revision and rolls it out to the
 * VMs, with the output that the commands share.
 */

/* The store's object that holds the configuration, for object_read(). */
struct object publish_config_object(void);

/* Prints the changes and adds them to the result. */
void publish_print_changes(struct ctl *ctl, const GPtrArray *changes);

/* Warns of each zone whose state changes. */
void publish_warn_zone_changes(struct ctl *ctl, const GPtrArray *changes);

/*
 * Stores `document` as the next revision after `current`, posts it to the VMs
 * and waits until it is in force on all of them. Without changes nothing is
 * stored, and the VMs get `current`. Reports a failure itself.
 */
enum ctl_exit publish_document(struct ctl *ctl, const struct object *current,
                               json_t *document, const GPtrArray *changes);

#endif
