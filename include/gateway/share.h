#ifndef CH_GATEWAY_SHARE_H
#define CH_GATEWAY_SHARE_H

#include <stdint.h>

/*
 * This VM's share of limits that hold for all VMs together. `vms` counts the
 * VMs that may be sending; the shares of that many VMs stay within the limit.
 */

/* Connections to one backend server that takes `max`; at least 1. */
uint32_t share_connections(uint32_t max, uint32_t vms);

/* Requests at a time to a loaded backend server with `slots`: those that run
 * and as many that wait; at least 1. */
uint32_t share_slot_requests(uint32_t slots, uint32_t vms);

/* Requests a second to a cold backend server that bears `per_s`. */
uint32_t share_cold_per_s(double per_s, double overshoot, uint32_t slack,
                          uint32_t vms);

/* Extra sends to one service that may be made at once. */
uint32_t share_extra_sends(uint32_t extra, uint32_t vms);

#endif
