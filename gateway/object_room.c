#include <glib.h>

#include "gateway/object_room.h"

static struct resource_group
object_room_group(const struct object_room *room, enum object_kind kind)
{
    uint64_t max = room->share->bytes_max;
    struct resource_group group = {
        .used = room->share->bytes,
        .max = max,
        .own = room->bytes[kind],
        .least = resource_group_least(max, OBJECT_KIND_COUNT),
    };
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        if (i != (int)kind) {
            group.kept += group.least - MIN(group.least, room->bytes[i]);
        }
    }
    return group;
}

bool
object_room_take(struct object_room *room, enum object_kind kind,
                 uint64_t bytes)
{
    if (room->share == NULL) {
        return true;
    }
    struct resource_group group = object_room_group(room, kind);
    if (!resource_group_has_room_for(&group, bytes) ||
        !resource_reserve(room->share, bytes)) {
        return false;
    }
    room->bytes[kind] += bytes;
    return true;
}

void
object_room_give_back(struct object_room *room, enum object_kind kind,
                      uint64_t bytes)
{
    if (room->share != NULL) {
        g_assert(room->bytes[kind] >= bytes);
        room->bytes[kind] -= bytes;
        resource_release(room->share, bytes);
    }
}

uint64_t
object_room_max(const struct object_room *room)
{
    return room->share != NULL ? room->share->bytes_max : UINT64_MAX;
}
