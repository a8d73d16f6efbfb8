#ifndef CH_GATEWAY_SHARE_H
#define CH_GATEWAY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Computes this VM's share of limits that hold for all VMs together. `vms` is
 * the number of VMs that may be sending; the shares of that many VMs stay
 * within the limit. The module keeps no state.
 */

/* Connections to one backend server that accepts `max` in all; at least 1,
 * see share_has_connection(). */
uint32_t share_connections(uint32_t max, uint32_t vms);

/* Connections to one backend server that this VM may keep when its share has
 * become smaller: also its part of those that the share leaves out. */
uint32_t share_connections_max(uint32_t max, uint32_t vms);

/*
 * Whether the share is a whole connection. If not, there are more VMs than
 * connections, and a VM opens one only while it has a request for the backend
 * server: idle ones of all VMs would take the place of those in use.
 */
bool share_has_connection(uint32_t max, uint32_t vms);

/* Requests in flight at a loaded backend server with `slots`: those that run
 * and as many that wait there; at least 1. */
uint32_t share_slot_requests(uint32_t slots, uint32_t vms);

/* Place of this VM among those that divide a share below one. */
struct share_place {
    uint32_t index;
    uint32_t count; /* 0: this VM gets none of such a share */
};

/*
 * Requests a second to a cold backend server with a capacity of `per_s`. The
 * limit for all VMs is `per_s` times `overshoot`, plus `slack`. If that is
 * less than one for each VM, some get one: `place` is this VM's place for that
 * backend server.
 */
uint32_t share_cold_per_s(double per_s, double overshoot, uint32_t slack,
                          uint32_t vms, struct share_place place);

/* Extra sends (hedges and retries) to one service that may be made at once. */
uint32_t share_extra_sends(uint32_t extra, uint32_t vms);

#endif
