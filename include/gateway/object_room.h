#ifndef CH_GATEWAY_OBJECT_ROOM_H
#define CH_GATEWAY_OBJECT_ROOM_H

#include "common/resource.h"
#include "gateway/member.h"

/*
 * The part of the process's account (gateway/allot.h) for the objects of the
 * store, wherever they come from, and for what is made of them. Each kind may
 * always use an equal part of a quarter of it, so that many objects of one
 * kind leave room for the others. The module does no I/O.
 */

struct object_room {
    struct resource_share *share; /* NULL: no limit */
    uint64_t bytes[OBJECT_KIND_COUNT];
};

/* Takes this many bytes for the kind. Returns whether there was room. */
bool object_room_take(struct object_room *room, enum object_kind kind,
                      uint64_t bytes);

void object_room_give_back(struct object_room *room, enum object_kind kind,
                           uint64_t bytes);

/* Bytes that all kinds together may take. */
uint64_t object_room_max(const struct object_room *room);

#endif
