#ifndef CH_GATEWAY_HEARTBEAT_H
#define CH_GATEWAY_HEARTBEAT_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/member.h"

/*
 * Heartbeats on the network: one msgpack array `[type, fields...]` each. A
 * newer sender may append fields.
 */

/* A VM that the sender knows to be alive and ready. */
struct heartbeat_vouched {
    const char *name;
    const char *request_address;
};

struct heartbeat {
    struct member_heartbeat heartbeat;
    struct heartbeat_vouched vouched[MEMBER_VOUCHED_MAX];
    size_t vouched_count;
    msgpack_zone zone; /* holds what was decoded */
};

/* Appends the heartbeat to `out`. */
void heartbeat_encode(const struct heartbeat *heartbeat, msgpack_sbuffer *out);

/*
 * Reads a heartbeat; what it points to lives until heartbeat_clear(). Returns
 * RC_OK, or RC_INVALID and leaves nothing to clear.
 */
int heartbeat_decode(const void *data, size_t data_bytes,
                     struct heartbeat *out);

void heartbeat_clear(struct heartbeat *heartbeat);

#endif
