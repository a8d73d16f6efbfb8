#ifndef CH_GATEWAY_SYNC_HEALTH_H
#define CH_GATEWAY_SYNC_HEALTH_H

#include "gateway/sync.h"

/*
 * Whether the store answers: backs off while it fails, and makes up for an
 * outage. Part of sync.c, which owns the state. Times are in microseconds of
 * the monotonic clock; the module does no I/O.
 */

/* Whether all kinds have been read. */
bool sync_health_has_all(const struct sync *sync);

/* A call for the kind has failed with this result code: only this kind probes
 * the store from now on, with growing delays. */
void sync_health_on_failure(struct sync *sync, enum object_kind kind, int rc,
                            int64_t now_us);

/* The call for the kind has brought objects that had no room. The store
 * answers, so the other kinds go on; this one is read again with the delays
 * that follow a failure. */
void sync_health_on_no_room(struct sync *sync, enum object_kind kind,
                            bool is_from_peer, int64_t now_us);

/* The store has answered: the calls of all kinds go on. */
void sync_health_on_success(struct sync *sync, int64_t now_us);

/* When a deletion takes effect: after a time in which the owner of an expired
 * entry can renew it, which is longer after an outage of the store. */
int64_t sync_health_remove_us(const struct sync *sync, int64_t now_us);

#endif
