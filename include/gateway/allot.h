#ifndef CH_GATEWAY_ALLOT_H
#define CH_GATEWAY_ALLOT_H

#include <stdint.h>

#include "common/resource.h"

/*
 * Divides the descriptors and the memory of the VM among the groups of peers
 * of a gateway process. The shares are separate, so that no group of peers can
 * use up the room of another one.
 */

enum allot_share {
    ALLOT_CALLERS,   /* request listener: connections, requests, answers that
                      * are copied */
    ALLOT_BACKENDS,  /* links to backend servers, requests on the way to them,
                      * and answers until the caller has read them */
    ALLOT_DIRECTORY, /* listener for address lists */
    ALLOT_READY,     /* listener for readiness checks */
    ALLOT_METRICS,   /* listener for metrics */
    ALLOT_PEERS,     /* listener for other VMs */
    ALLOT_STORE,     /* connections to the store and to other VMs */
    ALLOT_ORDERS,    /* ids and outcomes of orders, no connections */
    ALLOT_OBJECTS,   /* objects of the store, no connections */
    ALLOT_SHARE_COUNT,
};

struct allot {
    struct resource_share shares[ALLOT_SHARE_COUNT];
};

/* Least descriptors and memory with which each group has room to work. */
#define ALLOT_FILES_MIN 64
#define ALLOT_MEMORY_MIN_MB 32

/*
 * Sets the limits of all shares for a process that may have `files`
 * descriptors and `memory_bytes` of memory; only one that `has_orders` keeps
 * their outcomes. What is in use stays in use. Sets the limit of JSON values
 * (json_room.h) too.
 */
void allot_set_limits(struct allot *allot, int64_t files,
                      uint64_t memory_bytes, bool has_orders);

/* Returns how many callers' requests may be in progress at a time. */
uint32_t allot_request_max(const struct allot *allot);

/* Name of a share in metrics. */
const char *allot_name(enum allot_share share);

#endif
