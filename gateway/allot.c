#include <glib.h>

#include "gateway/allot.h"

/* Descriptors for files, timers, listeners and sockets of the process itself:
 * a quarter, at most this many. */
#define ALLOT_OWN_FILES_MAX 200
#define ALLOT_OWN_FILES_DIVISOR 4
/* Share of the memory for peers. The rest holds the program, the
 * configuration, the tables of backend servers and VMs, and the requests in
 * progress. */
#define ALLOT_PEERS_PERMILLE 750
/* Share of that memory for connections with their small buffers. */
#define ALLOT_CONNECTIONS_PERMILLE 400
#define ALLOT_PERMILLE 1000
/* Connections to the store: one for each kind of objects, for the registration
 * and for the roster; to other VMs: one for each kind of objects. */
#define ALLOT_STORE_CONNECTIONS_MIN 10
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

void
allot_set_limits(struct allot *allot, int64_t files, uint64_t memory_bytes)
{
    uint64_t peer_bytes = memory_bytes / ALLOT_PERMILLE * ALLOT_PEERS_PERMILLE;
    uint64_t connections = allot_connections(files, peer_bytes);
    /* What the minimums take is not divided a second time. */
    uint64_t fixed = ALLOT_STORE_CONNECTIONS_MIN +
                     (ALLOT_SHARE_COUNT - 1) * ALLOT_CONNECTIONS_MIN;
    uint64_t divided = connections > fixed ? connections - fixed : 0;
    uint64_t large_bytes =
        peer_bytes - MIN(peer_bytes, connections * RESOURCE_CONNECTION_BYTES);
    for (int i = 0; i < ALLOT_SHARE_COUNT; i++) {
        struct resource_share *share = &allot->shares[i];
        uint64_t least = i == ALLOT_STORE ? ALLOT_STORE_CONNECTIONS_MIN
                                          : ALLOT_CONNECTIONS_MIN;
        share->connection_max =
            (uint32_t)(least + divided * allot_table[i].connection_permille /
                                   ALLOT_PERMILLE);
        share->bytes_max =
            large_bytes / ALLOT_PERMILLE * allot_table[i].bytes_permille;
    }
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
