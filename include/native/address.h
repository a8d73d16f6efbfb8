#ifndef CH_NATIVE_ADDRESS_H
#define CH_NATIVE_ADDRESS_H

#include <glib.h>

#include "gateway/member.h"

/* Which VMs a client account is sent to. */

#define ADDRESS_MAX 3

/*
 * Picks up to ADDRESS_MAX of the VMs (struct member_vm): those in the data
 * centre first, spread over client accounts by rendezvous hashing, so that an
 * account keeps its VMs while others come and go. Returns the count.
 */
size_t address_pick(const GPtrArray *vms, const char *dc, const char *account,
                    const struct member_vm *out[ADDRESS_MAX]);

#endif
