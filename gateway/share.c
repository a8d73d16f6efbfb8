#include <glib.h>

#include "gateway/share.h"

/* Share of the connections that is used. A VM that loses power leaves its
 * connections open at the backend servers and opens new ones after its
 * restart: the other two fifths are reserved for these. */
#define SHARE_CONNECTIONS_PERMILLE 600
/* A VM starts with a full budget, so with one restart it can spend its share
 * twice within one window. */
#define SHARE_RESTART_FACTOR 2
/* Part of a share below one that is used: VMs may disagree on their places for
 * a moment. */
#define SHARE_FRACTION_USED 0.8
/* One request runs in a slot, and one waits for it. */
#define SHARE_REQUESTS_PER_SLOT 2

static uint32_t
share_usable_connections(uint32_t max)
{
    return (uint32_t)((uint64_t)max * SHARE_CONNECTIONS_PERMILLE / 1000);
}

uint32_t
share_connections(uint32_t max, uint32_t vms)
{
    return MAX(share_usable_connections(max) / MAX(vms, 1), 1);
}

uint32_t
share_connections_max(uint32_t max, uint32_t vms)
{
    return MAX(max / MAX(vms, 1), 1);
}

bool
share_has_connection(uint32_t max, uint32_t vms)
{
    return share_usable_connections(max) >= vms;
}

uint32_t
share_slot_requests(uint32_t slots, uint32_t vms)
{
    return MAX(slots * SHARE_REQUESTS_PER_SLOT / MAX(vms, 1), 1);
}

uint32_t
share_cold_per_s(double per_s, double overshoot, uint32_t slack, uint32_t vms,
                 struct share_place place)
{
    double share = (per_s * overshoot + slack) / MAX(vms, 1);
    if (share >= 1 || place.count == 0) {
        return (uint32_t)share;
    }
    /* Places are spread evenly; the sum over all is the limit. */
    double used = share * SHARE_FRACTION_USED;
    uint32_t place_index = place.index % place.count;
    return (uint32_t)(used * (place_index + 1)) -
           (uint32_t)(used * place_index);
}

uint32_t
share_extra_sends(uint32_t extra, uint32_t vms)
{
    return extra / (MAX(vms, 1) * SHARE_RESTART_FACTOR);
}
