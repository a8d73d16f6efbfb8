#ifndef CH_CTL_VMS_H
#define CH_CTL_VMS_H

#include "ctl/ctl.h"

/* What one VM answered last. */
struct vm {
    const char *address;
    json_t *status; /* body of GET /status, NULL when it did not answer */
    int64_t revision;
    bool is_done; /* needs no further call */
};

/* One per address of --vms; free with vm_free(). */
struct vm *vm_new(const struct ctl *ctl);

void vm_free(const struct ctl *ctl, struct vm *vms);

/* Asks those VMs that are not done for their status. */
void vm_read(const struct ctl *ctl, struct vm *vms, int64_t timeout_ms);

/* A field of the status as text, "-" when it is not there; g_free. */
char *vm_text(const struct vm *vm, const char *key);

/* The machine's name, or the address of a VM that never answered. */
const char *vm_name(const struct vm *vm);

/* Whether the status of a VM that answered is the one waited for. */
typedef bool (*vm_is_done_cb)(const struct vm *vm, const void *ctx);

/*
 * Reads the VMs' status until `is_done` holds for all or the deadline has
 * passed, and prints the machines on which it holds and the others. `offer`,
 * if not NULL, is posted to /config of the others each second.
 */
enum ctl_exit vm_wait(struct ctl *ctl, const char *offer,
                      vm_is_done_cb is_done, const void *ctx);

/* Hands a configuration to the VMs and waits until it is in force. */
enum ctl_exit vm_follow(struct ctl *ctl, const json_t *document);

#endif
