#include "common/log.h"
#include "gateway/sync.h"

/* Eras of the store: what happens when it returns to an older copy. */

/* Gives up what is in flight to the store for the kind and lists it again. */
static void
sync_restart_feed(struct sync_feed *feed, int64_t now_us)
{
    feed->is_in_flight = feed->is_in_flight && feed->is_from_peer;
    feed->is_late = false;
    feed->due_us = now_us;
    cache_start_era(&feed->cache);
}

/* Whether nothing was read from the store yet. */
static bool
sync_is_empty(const struct sync *sync)
{
    bool is_empty = sync->store.era == 0 && sync->store.revision == 0;
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        is_empty = is_empty && !sync->feeds[i].cache.has_list;
    }
    return is_empty;
}

/* Records a later era. Returns whether the store has returned to an older
 * copy; else nothing was read before. A return counts like an outage, since
 * entries of backend servers may be missing until they are written again. */
static bool
sync_start_era(struct sync *sync, int64_t era, int64_t now_us)
{
    struct position before = sync->store;
    bool is_return = !sync_is_empty(sync);
    sync->store = (struct position){.era = era};
    if (!is_return) {
        return false;
    }
    sync->store_returns += 1;
    sync->recovered_us = now_us;
    log_warn("sync",
             "store has returned to an older copy, listing all kinds "
             "era=%" G_GINT64_FORMAT " before_era=%" G_GINT64_FORMAT
             " before_revision=%" G_GINT64_FORMAT
             " config_age_ms=%" G_GINT64_FORMAT,
             era, before.era, before.revision,
             sync_age_us(sync, OBJECT_CONFIG, now_us) / 1000);
    return true;
}

/* Counts an answer or a state of an earlier era. */
static void
sync_drop_past(struct sync *sync, const char *sender, int64_t era)
{
    sync->past_answers += 1;
    log_sample("sync",
               "answer of an earlier era dropped from=%s "
               "era=%" G_GINT64_FORMAT " latest_era=%" G_GINT64_FORMAT,
               sender, era, sync->store.era);
}

bool
sync_on_era(struct sync *sync, int64_t era, int64_t now_us)
{
    if (era == sync->store.era) {
        return true;
    }
    if (era < sync->store.era) {
        sync_drop_past(sync, "store", era);
        return false;
    }
    if (!sync_start_era(sync, era, now_us)) {
        return true;
    }
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        sync_restart_feed(&sync->feeds[i], now_us);
    }
    return false;
}

bool
sync_end_hold(struct sync *sync, enum object_kind kind, int64_t held_us,
              int64_t now_us)
{
    struct cache *cache = &sync->feeds[kind].cache;
    int64_t left_us = cache->hold_until_us - now_us;
    if (left_us <= 0 || left_us > CACHE_HOLD_US - held_us) {
        return false;
    }
    cache->hold_until_us = now_us;
    return true;
}

bool
sync_on_peer_era(struct sync *sync, enum object_kind kind, int64_t era,
                 int64_t now_us)
{
    if (era < sync->store.era) {
        sync_drop_past(sync, "peer", era);
        return false;
    }
    if (era == sync->store.era) {
        return true;
    }
    (void)sync_start_era(sync, era, now_us);
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        if (i != (int)kind) {
            sync_restart_feed(&sync->feeds[i], now_us);
        }
    }
    sync->feeds[kind].cache.needs_list = true;
    return true;
}
