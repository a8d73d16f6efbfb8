#ifndef CH_CTL_VMS_H
#define CH_CTL_VMS_H

#include "ctl/ctl.h"

/*
 * The VMs of --gateways: reads their status and rolls a configuration out to
 * them.
 */

/* The last status of one VM. */
struct vm {
    const char *address;
    json_t *status;   /* body of GET /status, NULL when it did not answer */
    int64_t revision; /* in force on the VM; 0: unknown */
    bool is_done;     /* needs no further call */
};

/* One per address of --gateways; free with vm_free(). */
struct vm *vm_new(const struct ctl *ctl);

void vm_free(const struct ctl *ctl, struct vm *vms);

/* Reads the status of those VMs that are not done. */
void vm_read_status(const struct ctl *ctl, struct vm *vms, int64_t timeout_ms);

/* A field of the status as text, "-" when it is missing; free with g_free. */
char *vm_status_text(const struct vm *vm, const char *key);

/* The VM's name, or the address of a VM that did not answer. */
const char *vm_name(const struct vm *vm);

/* Whether a VM that answered has reached the expected status. */
typedef bool (*vm_is_done_cb)(const struct vm *vm, const void *ctx);

/*
 * Reads the VMs' status until `is_done` holds for all or the deadline has
 * passed, then prints for each VM whether it holds. `config_body`, if not
 * NULL, is posted each second to /config of those for which it does not hold.
 * Returns CTL_DONE, also with a warning when there are no VMs, or
 * CTL_NOT_IN_FORCE.
 */
enum ctl_exit vm_wait(struct ctl *ctl, const char *config_body,
                      vm_is_done_cb is_done, const void *ctx);

/* Posts a configuration to the VMs and waits until it is in force on all. */
enum ctl_exit vm_roll_out(struct ctl *ctl, const json_t *document);

#endif
