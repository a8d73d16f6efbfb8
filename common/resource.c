#include <glib.h>

#include "common/resource.h"

#define RESOURCE_TIGHT_QUARTERS 3
#define RESOURCE_QUARTERS 4
/* Connections are crowded if more than one of so many equal parts is in use.
 */
#define RESOURCE_CROWDED_PARTS 2

/* The one place that decides whether there is room for `wanted` more. */
static bool
resource_has_room(uint64_t used, uint64_t wanted, uint64_t max)
{
    return used <= max && wanted <= max - used;
}

bool
resource_open(struct resource_share *share)
{
    if (share == NULL) {
        return true;
    }
    if (!resource_has_room(share->connection_count, 1,
                           share->connection_max)) {
        share->refused_connections += 1;
        return false;
    }
    share->connection_count += 1;
    return true;
}

void
resource_close(struct resource_share *share)
{
    if (share != NULL) {
        g_assert(share->connection_count > 0);
        share->connection_count -= 1;
    }
}

bool
resource_reserve(struct resource_share *share, uint64_t bytes)
{
    if (share == NULL || bytes == 0) {
        return true;
    }
    if (!resource_has_room(share->bytes, bytes, share->bytes_max)) {
        share->refused_bytes += 1;
        return false;
    }
    share->bytes += bytes;
    return true;
}

void
resource_release(struct resource_share *share, uint64_t bytes)
{
    if (share != NULL) {
        g_assert(share->bytes >= bytes);
        share->bytes -= bytes;
    }
}

uint64_t
resource_left(const struct resource_share *share)
{
    if (share == NULL) {
        return UINT64_MAX;
    }
    return share->bytes_max - MIN(share->bytes, share->bytes_max);
}

uint64_t
resource_group_least(uint64_t max, uint64_t groups)
{
    return MAX(max / RESOURCE_QUARTERS / MAX(groups, 1), 1);
}

bool
resource_group_has_room_for(const struct resource_group *group,
                            uint64_t wanted)
{
    bool is_within_least = resource_has_room(group->own, wanted, group->least);
    uint64_t kept = is_within_least ? 0 : group->kept;
    return resource_has_room(group->used + kept, wanted, group->max);
}

bool
resource_group_has_room(const struct resource_group *group)
{
    return resource_group_has_room_for(group, 1);
}

bool
resource_is_crowded(const struct resource_share *share)
{
    return share != NULL && share->connection_count >
                                share->connection_max / RESOURCE_CROWDED_PARTS;
}

bool
resource_is_tight(const struct resource_share *share)
{
    return share != NULL && share->bytes >= share->bytes_max /
                                                RESOURCE_QUARTERS *
                                                RESOURCE_TIGHT_QUARTERS;
}
