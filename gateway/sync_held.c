#include "common/log.h"
#include "common/rc.h"
#include "gateway/sync.h"

/* What other VMs hold since a return of the store: a VM that has started since
 * then, or that had not learned of a change before, takes it from them. */

void
sync_holds(const struct sync *sync, int64_t now_us, int64_t *out)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        const struct cache *cache = &sync->feeds[i].cache;
        bool is_told = i != OBJECT_CONFIG && cache->has_held;
        out[i] = is_told ? MAX(cache->hold_until_us - now_us, 0) : 0;
    }
}

/* Ends a request that had no usable reply. */
static void
sync_lose_held(struct sync_feed *feed, struct members *members, int64_t now_us)
{
    if (feed->held_sent_us != 0 &&
        now_us - feed->held_sent_us >= SYNC_HELD_TIMEOUT_US) {
        feed->held_sent_us = 0;
        feed->is_held_lost = true;
    }
    if (!feed->is_held_lost) {
        return;
    }
    log_info("sync", "peer has not told what it holds kind=%s vm=%s",
             sync_kind_name(feed->kind), feed->held_vm);
    feed->is_held_lost = false;
    member_on_held_lost(members, feed->held_vm, feed->kind, now_us);
}

void
sync_fetch_held(struct sync *sync, enum object_kind kind,
                struct members *members, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    sync_lose_held(feed, members, now_us);
    if (feed->held_sent_us != 0 || now_us < feed->held_due_us ||
        !feed->cache.has_list || feed->cache.change.era != sync->store.era) {
        return;
    }
    struct member_vm *vm =
        member_find_holder(members, kind, sync->store.era, now_us);
    if (vm == NULL) {
        return;
    }
    member_on_held_request(vm, kind, now_us);
    feed->held_due_us = now_us + SYNC_HELD_FETCH_INTERVAL_US;
    feed->held_sent_us = now_us;
    feed->held_serial += 1;
    g_free(feed->held_vm);
    feed->held_vm = g_strdup(vm->name);
    log_info("sync",
             "asking for what a peer holds kind=%s vm=%s "
             "left_ms=%" G_GINT64_FORMAT,
             sync_kind_name(kind), vm->name,
             (vm->hold_until_us[kind] - now_us) / 1000);
    struct sync_fetch fetch = {
        .kind = kind,
        .peer = vm->peer_address,
        .is_held = true,
        .serial = feed->held_serial,
    };
    sync->callbacks->fetch(&fetch, sync->ctx);
}

void
sync_on_held(struct sync *sync, const struct sync_fetch *fetch,
             const struct store_reply *reply, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[fetch->kind];
    /* A late reply tells of a hold that may have ended. */
    bool is_late = feed->held_sent_us == 0 ||
                   fetch->serial != feed->held_serial ||
                   now_us - feed->held_sent_us >= SYNC_HELD_TIMEOUT_US;
    if (is_late) {
        return;
    }
    feed->held_sent_us = 0;
    feed->is_held_lost = reply->rc != RC_OK ||
                         reply->current.era != sync->store.era ||
                         feed->cache.change.era != sync->store.era;
    if (feed->is_held_lost) {
        return;
    }
    struct sync_apply_ctx apply_ctx = {
        .sync = sync,
        .kind = fetch->kind,
        .source = CACHE_PEER,
        .now_us = now_us,
    };
    bool has_seen_return = sync->store_returns > 0;
    uint32_t taken = cache_take_held(&feed->cache, reply, !has_seen_return,
                                     now_us, sync_on_object, &apply_ctx);
    if (taken > 0) {
        log_info("sync",
                 "taken what a peer holds kind=%s objects=%u "
                 "left_ms=%" G_GINT64_FORMAT,
                 sync_kind_name(fetch->kind), taken,
                 (feed->cache.hold_until_us - now_us) / 1000);
    }
}
