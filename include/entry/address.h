#ifndef CH_ENTRY_ADDRESS_H
#define CH_ENTRY_ADDRESS_H

#include <stddef.h>

#include "common/msg.h"

#define ADR_MAX_ENTRIES 3

/*
 * Picks entry addresses for a caller: live machines only, those in `zone`
 * first, spread by rendezvous hashing on `caller`. `excluded` is a machine
 * that is not to be named, or NULL. Returns how many of `out` are set.
 */
size_t adr_pick(const struct msg_machine *machines, size_t machine_count,
                const char *zone, const char *caller, const char *excluded,
                const struct msg_machine *out[ADR_MAX_ENTRIES]);

#endif
