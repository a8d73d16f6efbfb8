#include "common/log.h"
#include "common/rc.h"
#include "gateway/backend.h"
#include "gateway/sync_health.h"

bool
sync_health_has_all(const struct sync *sync)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        if (!sync->feeds[i].cache.has_list) {
            return false;
        }
    }
    return true;
}

static int64_t
sync_health_backoff_max_us(const struct sync *sync)
{
    if (sync->is_follower) {
        return SYNC_FOLLOWER_BACKOFF_MAX_US;
    }
    return sync_health_has_all(sync) ? SYNC_BACKOFF_MAX_US
                                     : SYNC_FIRST_BACKOFF_MAX_US;
}

/* The kind that probes the store after a failed call for this one. They take
 * turns: the store may refuse one kind and serve the others. */
static enum object_kind
sync_health_next_kind(const struct sync *sync, enum object_kind kind)
{
    if (sync->is_follower) {
        return kind;
    }
    for (int step = 1; step < OBJECT_KIND_COUNT; step++) {
        enum object_kind next = (kind + step) % OBJECT_KIND_COUNT;
        if (!sync->feeds[next].is_in_flight) {
            return next;
        }
    }
    return kind;
}

/* Delay after the given number of failures. */
static int64_t
sync_health_backoff_us(uint32_t failures, int64_t max_us)
{
    int64_t backoff_us = SYNC_BACKOFF_MIN_US << MIN(failures - 1, 8);
    return MIN(backoff_us, max_us);
}

void
sync_health_on_no_room(struct sync *sync, enum object_kind kind,
                       bool is_from_peer, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    log_sample("sync",
               "no room for all objects, call failed kind=%s rc=%s "
               "from_peer=%d bytes=%" G_GUINT64_FORMAT
               " max_bytes=%" G_GUINT64_FORMAT " no_room=%" G_GUINT64_FORMAT,
               sync_kind_name(kind), rc_name(RC_OBJECTS_NO_ROOM), is_from_peer,
               sync->room.bytes[kind], object_room_max(&sync->room),
               feed->cache.no_room);
    int64_t max_us =
        sync->is_follower ? SYNC_FOLLOWER_BACKOFF_MAX_US : SYNC_BACKOFF_MAX_US;
    if (is_from_peer) {
        feed->peer_due_us = now_us + max_us;
        return;
    }
    feed->no_room_count += 1;
    feed->due_us =
        now_us + sync_health_backoff_us(feed->no_room_count, max_us);
}

void
sync_health_on_failure(struct sync *sync, enum object_kind kind, int rc,
                       int64_t now_us)
{
    if (sync->failures == 0) {
        sync->failing_since_us = now_us;
        log_warn("sync", "store call failed, backing off kind=%s rc=%s",
                 sync_kind_name(kind), rc_name(rc));
    }
    sync->failures += 1;
    int64_t backoff_us = sync_health_backoff_us(
        sync->failures, sync_health_backoff_max_us(sync));
    /* The backoff starts when the call was sent, so that a store that does not
     * respond is called as often as one that returns errors. */
    int64_t due_us = MAX(sync->feeds[kind].sent_us + backoff_us,
                         now_us + SYNC_BACKOFF_MIN_US);
    /* Only one kind probes the store. */
    enum object_kind next = sync_health_next_kind(sync, kind);
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        struct sync_feed *feed = &sync->feeds[i];
        feed->due_us =
            i == (int)next
                ? due_us
                : MAX(feed->due_us, due_us + SYNC_OTHER_KINDS_DELAY_US);
    }
}

void
sync_health_on_success(struct sync *sync, int64_t now_us)
{
    sync->last_answer_us = now_us;
    if (sync->failures == 0) {
        return;
    }
    int64_t outage_us = now_us - sync->failing_since_us;
    log_info("sync",
             "store recovered after_ms=%" G_GINT64_FORMAT " failures=%u",
             outage_us / 1000, sync->failures);
    if (outage_us >= SYNC_OUTAGE_MIN_US) {
        sync->recovered_us = now_us;
    }
    sync->failures = 0;
    sync->failing_since_us = 0;
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        struct sync_feed *feed = &sync->feeds[i];
        /* A watch from before the failure may never be answered: watch again.
         */
        feed->is_in_flight = feed->is_in_flight && !feed->is_watch;
        feed->due_us = now_us;
    }
}

int64_t
sync_health_remove_us(const struct sync *sync, int64_t now_us)
{
    int64_t remove_us = now_us + BACKEND_EXPIRY_HOLD_US;
    if (sync->recovered_us > 0) {
        int64_t outage_us = MIN(sync->recovered_us + BACKEND_OUTAGE_HOLD_US,
                                now_us + BACKEND_OUTAGE_HOLD_MAX_US);
        remove_us = MAX(remove_us, outage_us);
    }
    return remove_us;
}
