#ifndef CH_NATIVE_ADDRESS_H
#define CH_NATIVE_ADDRESS_H

#include <glib.h>

#include "gateway/member.h"

/* Chooses the VMs whose addresses a client account gets. Holds no state. */

#define ADDRESS_PICK_MAX 3

/*
 * Picks up to ADDRESS_PICK_MAX of the VMs (struct member_vm): those in the
 * data centre `dc` first, within a data centre by rendezvous hashing of
 * `account`, so that an account keeps its VMs while others come and go. Stores
 * them in order of preference and returns their number.
 */
size_t address_pick(const GPtrArray *vms, const char *dc, const char *account,
                    const struct member_vm *out[ADDRESS_PICK_MAX]);

#endif
