#ifndef CH_STANDIN_STORE_VMS_H
#define CH_STANDIN_STORE_VMS_H

#include <jansson.h>
#include <stdint.h>
#include <uv.h>

/* The platform's list of VMs, which shows each change only after a lag. */
struct vms;

struct vms *vms_new(uv_loop_t *loop, int64_t lag_ms);

/*
 * Notes {zone, address, state} for the machine; NULL removes it. Returns
 * RC_OK or RC_BAD_FIELD.
 */
int vms_set(struct vms *vms, const char *name, const json_t *entry);

/* The list as it shows now, in name order; release with json_decref. */
json_t *vms_list(const struct vms *vms);

#endif
