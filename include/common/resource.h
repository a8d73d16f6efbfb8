#ifndef CH_COMMON_RESOURCE_H
#define CH_COMMON_RESOURCE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Account of the connections and of the memory that a process holds for its
 * peers. Each group of peers has a share of its own, so that one group cannot
 * use up what another one needs. A holder asks before it opens a connection or
 * lets a buffer grow, and returns what it no longer needs; nothing is taken
 * away from a holder, which must end its waits by itself.
 *
 * A connection includes RESOURCE_CONNECTION_BYTES for its own state and for
 * buffers of at most RESOURCE_SMALL_BYTES each. Only larger buffers count as
 * bytes of the share, so that small requests and answers always have room.
 *
 * The owner of the account fills in the limits. A NULL share has no limits and
 * counts nothing; tools and stand-ins use it.
 */

/* A buffer up to this size is part of its connection. */
#define RESOURCE_SMALL_BYTES 2048
/* Memory of a connection with its small buffers: target, fields and their
 * offsets, what follows the request, target and path as the handler sees them,
 * body, decoded headers, and the request in progress. */
#define RESOURCE_CONNECTION_BYTES (9 * RESOURCE_SMALL_BYTES)

struct resource_share {
    uint32_t connection_max;
    uint64_t bytes_max;
    uint32_t connection_count;
    uint64_t bytes;
    uint64_t refused_connections; /* since the start */
    uint64_t refused_bytes;       /* calls without success since the start */
};

/* Takes one connection. Returns whether there was room. */
bool resource_open(struct resource_share *share);

/* Returns one connection. */
void resource_close(struct resource_share *share);

/* Takes this many bytes. Returns whether there was room. */
bool resource_reserve(struct resource_share *share, uint64_t bytes);

void resource_release(struct resource_share *share, uint64_t bytes);

/* Returns how many bytes there is room for. */
uint64_t resource_left(const struct resource_share *share);

/* One of several groups that draw on the same room. */
struct resource_group {
    uint64_t used; /* by all groups */
    uint64_t max;
    uint64_t own;   /* used by this group */
    uint64_t least; /* each group may use this much, whatever others use */
    uint64_t kept;  /* what the other groups have not used of it */
};

/* Returns what each of the groups may always use: a quarter of all in equal
 * parts, but at least one. */
uint64_t resource_group_least(uint64_t max, uint64_t groups);

/* Whether this group may use one more. */
bool resource_group_has_room(const struct resource_group *group);

/* Whether more than half of the connections are in use, so that those in
 * steady use should make room for new ones. Less than what requests to one
 * service may have in progress: a new connection finds room for its request,
 * too. */
bool resource_is_crowded(const struct resource_share *share);

/* Whether this group may use `wanted` more. */
bool resource_group_has_room_for(const struct resource_group *group,
                                 uint64_t wanted);

/* Whether three quarters of the bytes are in use, so that peers which make no
 * progress should be closed. */
bool resource_is_tight(const struct resource_share *share);

#endif
