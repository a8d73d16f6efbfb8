#include <glib.h>

#include "common/json_room.h"
#include "gateway/allot.h"

/* Descriptors for files, timers, listeners and sockets of the process itself:
 * a quarter, at most this many. */
#define ALLOT_OWN_FILES_MAX 200
#define ALLOT_OWN_FILES_DIVISOR 4
/* Share of the memory for peers. */
#define ALLOT_PEERS_PERMILLE 750
/* Share of the memory for the objects of the store and what is made of them:
 * that of the smallest VM in use holds the 11,000 backend servers of the
 * design size, some 3 KB each. */
#define ALLOT_OBJECTS_PERMILLE 250
/* Share of the memory for the values of one JSON text while it is decoded. */
#define ALLOT_VALUES_PERMILLE 200
/* Share of the peers' memory for connections with their small buffers. */
#define ALLOT_CONNECTIONS_PERMILLE 400
#define ALLOT_PERMILLE 1000
/* Part of the memory beside connections for orders, if there are any. */
#define ALLOT_ORDERS_PERMILLE 400
/* Connections to the store: one for each kind of objects, for the registration
 * and for the roster; to other VMs: two for each kind of objects, since what
 * they hold is asked for beside their state. */
#define ALLOT_STORE_CONNECTIONS_MIN 11
/* Any other share needs a second connection to take the place of a stalled
 * one.
 */
#define ALLOT_CONNECTIONS_MIN 2
/* Part of the callers' connections on which no request may be in progress, so
 * that a caller can connect and learn that there is no room. */
#define ALLOT_SPARE_DIVISOR 4

static const struct {
    const char *name;
    uint32_t connection_permille;
    uint32_t bytes_permille;
} allot_table[ALLOT_SHARE_COUNT] = {
    [ALLOT_CALLERS] = {"callers", 330, 280},
    [ALLOT_BACKENDS] = {"backends", 500, 440},
    [ALLOT_DIRECTORY] = {"directory", 60, 10},
    [ALLOT_READY] = {"ready", 20, 5},
    [ALLOT_METRICS] = {"metrics", 20, 15},
    [ALLOT_PEERS] = {"peers", 30, 100},
    [ALLOT_STORE] = {"store", 40, 150},
    [ALLOT_ORDERS] = {"orders", 0, 0},
    [ALLOT_OBJECTS] = {"objects", 0, 0},
};

/* Returns how many connections all shares may have together. */
static uint64_t
allot_connections(int64_t files, uint64_t peer_bytes)
{
    int64_t own = MIN(files / ALLOT_OWN_FILES_DIVISOR, ALLOT_OWN_FILES_MAX);
    uint64_t by_memory = peer_bytes / ALLOT_PERMILLE *
                         ALLOT_CONNECTIONS_PERMILLE /
                         RESOURCE_CONNECTION_BYTES;
    return MIN((uint64_t)(files - own), by_memory);
}

/* Returns the connections of a share that it has in any case. */
static uint64_t
allot_least_connections(enum allot_share share)
{
    switch (share) {
    case ALLOT_ORDERS:
    case ALLOT_OBJECTS:
        return 0;
    case ALLOT_STORE:
        return ALLOT_STORE_CONNECTIONS_MIN;
    default:
        return ALLOT_CONNECTIONS_MIN;
    }
}

/* Divides the connections: each share has its least ones and a part of the
 * rest. */
static void
allot_divide_connections(struct allot *allot, uint64_t connections)
{
    uint64_t rest = connections;
    for (int i = 0; i < ALLOT_SHARE_COUNT; i++) {
        rest -= MIN(rest, allot_least_connections(i));
    }
    for (int i = 0; i < ALLOT_SHARE_COUNT; i++) {
        allot->shares[i].connection_max =
            (uint32_t)(allot_least_connections(i) +
                       rest * allot_table[i].connection_permille /
                           ALLOT_PERMILLE);
    }
}

void
allot_set_limits(struct allot *allot, int64_t files, uint64_t memory_bytes,
                 bool has_orders)
{
    uint64_t peer_bytes = memory_bytes / ALLOT_PERMILLE * ALLOT_PEERS_PERMILLE;
    uint64_t connections = allot_connections(files, peer_bytes);
    uint64_t bytes =
        peer_bytes - MIN(peer_bytes, connections * RESOURCE_CONNECTION_BYTES);
    uint64_t order_bytes =
        has_orders ? bytes / ALLOT_PERMILLE * ALLOT_ORDERS_PERMILLE : 0;
    allot_divide_connections(allot, connections);
    for (int i = 0; i < ALLOT_SHARE_COUNT; i++) {
        allot->shares[i].bytes_max = (bytes - order_bytes) / ALLOT_PERMILLE *
                                     allot_table[i].bytes_permille;
    }
    allot->shares[ALLOT_ORDERS].bytes_max = order_bytes;
    allot->shares[ALLOT_OBJECTS].bytes_max =
        memory_bytes / ALLOT_PERMILLE * ALLOT_OBJECTS_PERMILLE;
    json_room_set_max(memory_bytes / ALLOT_PERMILLE * ALLOT_VALUES_PERMILLE);
}

uint32_t
allot_request_max(const struct allot *allot)
{
    uint32_t connections = allot->shares[ALLOT_CALLERS].connection_max;
    return connections - connections / ALLOT_SPARE_DIVISOR;
}

const char *
allot_name(enum allot_share share)
{
    return allot_table[share].name;
}
