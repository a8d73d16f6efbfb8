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
struct bea_vouched {
    const char *name;
    const char *request_address;
};

struct bea {
    struct mem_beat beat;
    struct bea_vouched vouched[MEM_VOUCHED_MAX];
    size_t vouched_count;
    msgpack_zone zone; /* holds what was decoded */
};

/* Appends the heartbeat to `out`. */
void bea_encode(const struct bea *beat, msgpack_sbuffer *out);

/*
 * Reads a heartbeat; what it points to lives until bea_clear(). Returns RC_OK,
 * or RC_INVALID and leaves nothing to clear.
 */
int bea_decode(const void *data, size_t data_bytes, struct bea *out);

void bea_clear(struct bea *beat);

#endif
