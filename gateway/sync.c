#include "common/log.h"
#include "common/rc.h"
#include "gateway/sync_health.h"

static const char *const sync_kind_names[OBJECT_KIND_COUNT] = {
    [OBJECT_CONFIG] = "config",
    [OBJECT_BACKENDS] = "backends",
    [OBJECT_DRAINED_DCS] = "drained_dcs",
};

static const char *const sync_call_names[SYNC_CALL_COUNT] = {
    [SYNC_LIST] = "list",
    [SYNC_WATCH] = "watch",
    [SYNC_PEER] = "peer",
};

static const char *const sync_source_names[] = {
    [CACHE_LIST] = "list", [CACHE_WATCH] = "watch", [CACHE_PEER] = "peer",
    [CACHE_PUSH] = "push", [CACHE_HOLD] = "hold",
};

static bool
sync_outlives(const struct cache_object *held,
              const struct cache_object *listed, enum cache_past what,
              void *ctx)
{
    const struct sync_feed *feed = ctx;
    const struct sync *sync = feed->sync;
    return sync->callbacks->outlives != NULL &&
           sync->callbacks->outlives(feed->kind, held, listed, what,
                                     sync->ctx);
}

static uint64_t
sync_decoded_bytes(const struct cache_object *object, void *ctx)
{
    const struct sync_feed *feed = ctx;
    const struct sync *sync = feed->sync;
    return sync->callbacks->decoded_bytes != NULL
               ? sync->callbacks->decoded_bytes(feed->kind, object, sync->ctx)
               : 0;
}

/* Backend servers write their entries again within seconds, and deletions take
 * effect only after that time, so missing entries need no hold of their own. A
 * data centre that is listed as drained is drained, also if that was undone:
 * serving from it can break a rule, not serving from it only costs room. */
static const struct cache_rules sync_rules[OBJECT_KIND_COUNT] = {
    [OBJECT_CONFIG] = {.missing = CACHE_MISSING_KEPT},
    [OBJECT_BACKENDS] = {.missing = CACHE_MISSING_DELETED},
    [OBJECT_DRAINED_DCS] = {.missing = CACHE_MISSING_HELD},
};

void
sync_init(struct sync *sync, const struct sync_callbacks *callbacks, void *ctx)
{
    *sync = (struct sync){.callbacks = callbacks, .ctx = ctx};
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        struct sync_feed *feed = &sync->feeds[i];
        struct cache_rules rules = sync_rules[i];
        rules.outlives = sync_outlives;
        rules.decoded_bytes = sync_decoded_bytes;
        rules.ctx = feed;
        feed->sync = sync;
        feed->kind = i;
        cache_init(&feed->cache, &rules);
        cache_set_room(&feed->cache, &sync->room, i);
    }
}

void
sync_set_share(struct sync *sync, struct resource_share *share)
{
    sync->room.share = share;
}

void
sync_clear(struct sync *sync)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        cache_clear(&sync->feeds[i].cache);
        g_free(sync->feeds[i].held_vm);
    }
}

static bool
sync_is_outdated(const struct sync *sync, enum object_kind kind,
                 int64_t now_us)
{
    return sync_age_us(sync, kind, now_us) >= sync->age_max_us;
}

/* How long the store may hold a watch that has no change to report: not at all
 * when the answer is to confirm that no change was missed, and only until the
 * age reaches SYNC_WATCH_SHORT_MS when other VMs rely on this one. */
static int64_t
sync_wait_ms(const struct sync *sync, enum object_kind kind, int64_t now_us)
{
    if (sync_is_outdated(sync, kind, now_us)) {
        return 0;
    }
    if (sync->feeds[kind].has_upstream) {
        return SYNC_WATCH_WAIT_MS;
    }
    int64_t left_ms =
        SYNC_WATCH_SHORT_MS - sync_age_us(sync, kind, now_us) / 1000;
    return MAX(left_ms, SYNC_WATCH_MIN_MS);
}

static void
sync_fetch(struct sync *sync, enum object_kind kind, const char *peer,
           int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    feed->serial += 1;
    feed->is_in_flight = true;
    feed->is_late = false;
    feed->is_from_peer = peer != NULL;
    feed->sent_us = now_us;
    if (peer != NULL) {
        cache_reset_list(&feed->cache);
    }
    /* A failing store is probed with a list: a watch is answered only when
     * something changes. */
    bool is_list =
        feed->cache.needs_list || peer != NULL || sync->failures > 0;
    feed->is_watch = !is_list;
    feed->is_probe = peer == NULL && sync->failures > 0;
    int64_t wait_ms = is_list ? 0 : sync_wait_ms(sync, kind, now_us);
    feed->wait_us = wait_ms * 1000;
    struct sync_fetch fetch = {
        .kind = kind,
        .is_watch = !is_list,
        .from = feed->cache.position,
        .wait_ms = wait_ms,
        .after = feed->cache.after,
        .peer = peer,
        .since = feed->since,
        .serial = feed->serial,
    };
    sync->callbacks->fetch(&fetch, sync->ctx);
}

/* Timeout of the fetch in flight. */
static int64_t
sync_timeout_us(const struct sync *sync, const struct sync_feed *feed)
{
    if (feed->is_from_peer) {
        return SYNC_PEER_TIMEOUT_US;
    }
    if (feed->is_watch) {
        return feed->wait_us + SYNC_WATCH_TIMEOUT_US + sync->slow_us;
    }
    if (sync->failures > 0 || feed->is_probe) {
        return SYNC_RETRY_TIMEOUT_US;
    }
    int64_t timeout_us =
        sync_health_has_all(sync) ? SYNC_TIMEOUT_US : SYNC_FIRST_TIMEOUT_US;
    return timeout_us + sync->slow_us;
}

static enum sync_call
sync_call_of(const struct sync_feed *feed)
{
    if (feed->is_from_peer) {
        return SYNC_PEER;
    }
    return feed->is_watch ? SYNC_WATCH : SYNC_LIST;
}

void
sync_on_object(const struct cache_object *object, void *ctx)
{
    const struct sync_apply_ctx *apply_ctx = ctx;
    struct sync *sync = apply_ctx->sync;
    if (apply_ctx->kind != OBJECT_BACKENDS) {
        log_info(
            "sync",
            "object changed kind=%s name=%s deleted=%d "
            "era=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT " source=%s",
            sync_kind_names[apply_ctx->kind], object->name, object->is_deleted,
            object->position.era, object->position.revision,
            sync_source_names[apply_ctx->source]);
    }
    sync->callbacks->apply(apply_ctx->kind, object,
                           sync_health_remove_us(sync, apply_ctx->now_us),
                           apply_ctx->now_us, sync->ctx);
}

static enum cache_source
sync_source_of(const struct sync_fetch *fetch)
{
    if (fetch->peer != NULL) {
        return CACHE_PEER;
    }
    return fetch->is_watch ? CACHE_WATCH : CACHE_LIST;
}

static void
sync_on_objects(struct sync *sync, const struct sync_fetch *fetch,
                const struct store_reply *reply, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[fetch->kind];
    struct sync_apply_ctx apply_ctx = {
        .sync = sync,
        .kind = fetch->kind,
        .source = sync_source_of(fetch),
        .now_us = now_us,
    };
    bool is_new_era =
        feed->cache.has_list && reply->current.era > feed->cache.change.era;
    if (is_new_era) {
        /* What this list lacks has the time to be written again. */
        sync->recovered_us = now_us;
    }
    enum cache_result result =
        cache_apply_reply(&feed->cache, apply_ctx.source, reply, now_us,
                          sync_on_object, &apply_ctx);
    if (result == CACHE_LIST_STUCK) {
        log_warn("sync", "list does not go on, read again later kind=%s",
                 sync_kind_names[fetch->kind]);
        sync_health_on_failure(sync, fetch->kind, RC_BAD_REPLY, now_us);
        return;
    }
    if (result == CACHE_NO_ROOM) {
        sync_health_on_no_room(sync, fetch->kind, fetch->peer != NULL, now_us);
        return;
    }
    if (result != CACHE_LIST_PAGE && fetch->peer == NULL) {
        feed->no_room_count = 0;
    }
    if (result == CACHE_LIST_DONE && is_new_era) {
        log_info("sync",
                 "list of the new era read kind=%s era=%" G_GINT64_FORMAT
                 " revision=%" G_GINT64_FORMAT " objects=%u"
                 " kept=%" G_GUINT64_FORMAT,
                 sync_kind_names[fetch->kind], reply->current.era,
                 reply->current.revision,
                 g_hash_table_size(feed->cache.entries), feed->cache.kept);
    }
    /* Answers of a slow store are far enough apart. */
    bool must_delay_watch =
        result == CACHE_LIST_DONE ||
        (result == CACHE_WATCH_CHANGED && sync->slow_us == 0);
    feed->due_us = now_us + (must_delay_watch ? SYNC_WATCH_INTERVAL_US : 0);
}

/* Notes whether the store answers slowly. A watch that ends early, with a
 * change, does not show it. */
static void
sync_note_answer(struct sync *sync, const struct sync_feed *feed,
                 int64_t now_us)
{
    int64_t took_us = now_us - feed->sent_us - feed->wait_us;
    if (feed->is_from_peer || took_us < 0) {
        return;
    }
    bool is_slow = took_us >= SYNC_SLOW_ANSWER_US;
    sync->slow_us = is_slow ? MIN(took_us, SYNC_SLOW_ANSWER_MAX_US) : 0;
}

/* Handles the answer of the store to a call that has timed out: the store is
 * slow, not silent. */
static void
sync_on_late_reply(struct sync *sync, const struct sync_fetch *fetch,
                   const struct store_reply *reply, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[fetch->kind];
    feed->is_late = false;
    if (reply->rc != RC_OK ||
        position_is_after(feed->cache.change, reply->current)) {
        return;
    }
    log_info("sync",
             "answer came after its timeout kind=%s call=%s "
             "took_ms=%" G_GINT64_FORMAT,
             sync_kind_names[fetch->kind], sync_call_names[sync_call_of(feed)],
             (now_us - feed->sent_us) / 1000);
    int64_t synced_us = feed->cache.synced_us;
    sync_note_answer(sync, feed, now_us);
    sync_health_on_success(sync, now_us);
    if (position_is_after(reply->current, sync->store)) {
        sync->store = reply->current;
    }
    sync_on_objects(sync, fetch, reply, now_us);
    /* The answer is known to be as new as the call, but not newer. */
    feed->cache.synced_us =
        MIN(feed->cache.synced_us, MAX(synced_us, feed->sent_us));
}

void
sync_on_reply(struct sync *sync, const struct sync_fetch *fetch,
              const struct store_reply *reply, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[fetch->kind];
    if (fetch->is_held) {
        sync_on_held(sync, fetch, reply, now_us);
        return;
    }
    if (fetch->serial != feed->serial) {
        return;
    }
    if (feed->is_late) {
        sync_on_late_reply(sync, fetch, reply, now_us);
        return;
    }
    if (!feed->is_in_flight) {
        return;
    }
    feed->is_in_flight = false;
    if (reply->rc == RC_OK) {
        sync_note_answer(sync, feed, now_us);
        if (fetch->peer == NULL) {
            sync_health_on_success(sync, now_us);
            sync->store = reply->current;
        }
        else if (!sync_on_peer_era(sync, fetch->kind, reply->current.era,
                                   now_us)) {
            feed->due_us = now_us;
            return;
        }
        sync_on_objects(sync, fetch, reply, now_us);
        return;
    }
    cache_reset_list(&feed->cache);
    if (fetch->peer != NULL) {
        /* The store has its turn before a peer is asked again. */
        feed->due_us = now_us;
        feed->peer_due_us = now_us + SYNC_BACKOFF_MAX_US;
        return;
    }
    feed->cache.needs_list =
        feed->cache.needs_list || reply->rc == RC_VERSION_GONE;
    if (reply->rc == RC_VERSION_GONE) {
        sync_health_on_success(sync, now_us);
        feed->due_us = now_us;
        return;
    }
    sync_health_on_failure(sync, fetch->kind, reply->rc, now_us);
}

/* Ends a fetch that has timed out. */
static void
sync_time_out_fetch(struct sync *sync, enum object_kind kind, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    if (!feed->is_in_flight ||
        now_us - feed->sent_us < sync_timeout_us(sync, feed)) {
        return;
    }
    enum sync_call call = sync_call_of(feed);
    sync->unanswered[call] += 1;
    log_warn("sync",
             "call timed out kind=%s call=%s waited_ms=%" G_GINT64_FORMAT
             " age_ms=%" G_GINT64_FORMAT,
             sync_kind_names[kind], sync_call_names[call],
             (now_us - feed->sent_us) / 1000,
             sync_age_us(sync, kind, now_us) / 1000);
    /* The list in progress is given up, so a later page of it is of no use. */
    bool is_late = !feed->is_from_peer && feed->cache.after == NULL;
    if (!is_late && sync->callbacks->cancel != NULL) {
        sync->callbacks->cancel(kind, feed->is_from_peer, sync->ctx);
    }
    bool is_single_call_lost =
        !feed->is_from_peer && feed->sent_us < sync->last_answer_us;
    if (is_single_call_lost || (feed->is_watch && sync->failures > 0)) {
        /* The store has answered a later call, or another kind probes it: this
         * timeout says nothing about the store. */
        feed->is_in_flight = false;
        feed->is_late = is_late;
        feed->due_us = is_single_call_lost ? now_us : feed->due_us;
        cache_reset_list(&feed->cache);
        return;
    }
    struct sync_fetch fetch = {
        .kind = kind,
        .peer = feed->is_from_peer ? "" : NULL,
        .serial = feed->serial,
    };
    sync_on_reply(sync, &fetch, &(struct store_reply){.rc = RC_STORE_DOWN},
                  now_us);
    feed->is_late = is_late;
}

/* Logs that the state of a kind has become old, with the call in flight. */
static void
sync_log_age(struct sync *sync, enum object_kind kind, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    int64_t age_us = sync_age_us(sync, kind, now_us);
    if (age_us < SYNC_LOG_AGE_US) {
        feed->logged_age_us = 0;
        return;
    }
    if (age_us < feed->logged_age_us * 2) {
        return;
    }
    feed->logged_age_us = age_us;
    log_warn("sync",
             "state is out of date kind=%s age_ms=%" G_GINT64_FORMAT
             " change=%" G_GINT64_FORMAT " call=%s waited_ms=%" G_GINT64_FORMAT
             " failures=%u",
             sync_kind_names[kind], age_us / 1000, feed->cache.change.revision,
             feed->is_in_flight ? sync_call_names[sync_call_of(feed)] : "none",
             feed->is_in_flight ? (now_us - feed->sent_us) / 1000 : 0,
             sync->failures);
}

/* Lowest age worth a call to a store that answers slowly, 0 if it does not:
 * its answers confirm no lower age, and a watch that is aborted for one may be
 * the only call that tells of the next change. */
static int64_t
sync_slow_age_us(const struct sync *sync)
{
    return sync->slow_us > 0 ? sync->slow_us + SYNC_SLOW_AGE_US : 0;
}

/* Updates the age of a kind from the heartbeats of VMs that rank before this
 * one. */
static void
sync_apply_heartbeats(struct sync *sync, enum object_kind kind,
                      struct members *members, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    int64_t same_change_us =
        member_synced_us(members, kind, &feed->cache.change);
    if (feed->cache.has_list) {
        feed->cache.synced_us = MAX(feed->cache.synced_us, same_change_us);
    }
    int64_t any_change_us = member_synced_us(members, kind, NULL);
    feed->has_upstream =
        any_change_us > 0 &&
        now_us - any_change_us < MAX(SYNC_AGE_MAX_US, sync_slow_age_us(sync));
}

/* Aborts a long watch that may never be answered, so that the next fetch asks
 * the store for an immediate answer. */
static void
sync_abort_outdated_watch(struct sync *sync, enum object_kind kind,
                          int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    bool is_long_watch = feed->is_in_flight && feed->is_watch &&
                         !feed->is_from_peer &&
                         feed->wait_us > SYNC_AGE_MAX_US;
    if (!is_long_watch || sync->failures > 0 ||
        !sync_is_outdated(sync, kind, now_us)) {
        return;
    }
    sync->aborted_watches += 1;
    log_info(
        "sync",
        "watch aborted to check the store kind=%s age_ms=%" G_GINT64_FORMAT
        " change=%" G_GINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT,
        sync_kind_names[kind], sync_age_us(sync, kind, now_us) / 1000,
        feed->cache.change.revision, (now_us - feed->sent_us) / 1000);
    feed->is_in_flight = false;
    feed->due_us = now_us;
}

/* Whether the first list of the kind is in flight and not yet slow. */
static bool
sync_is_first_pending(const struct sync_feed *feed, int64_t now_us)
{
    return !feed->cache.has_list && feed->is_in_flight &&
           now_us - feed->sent_us < SYNC_FIRST_PEER_DELAY_US;
}

/* Whether to ask the store rather than a peer, which may have missed the same
 * changes. */
static bool
sync_must_ask_store(const struct sync *sync, enum object_kind kind,
                    int64_t now_us)
{
    return sync->feeds[kind].cache.has_list && sync->failures == 0 &&
           sync_is_outdated(sync, kind, now_us);
}

/* Returns a peer that reports newer changes, at once when this VM is a
 * follower or never read the kind, else once the peer has had them for
 * MEMBER_PEER_FETCH_DELAY_US, or NULL. Sets what to ask it for. */
static const struct member_vm *
sync_pick_peer(struct sync *sync, enum object_kind kind,
               const struct members *members, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    int64_t min_newer_us = sync->is_follower || !feed->cache.has_list
                               ? 0
                               : MEMBER_PEER_FETCH_DELAY_US;
    int64_t return_delay_us =
        sync->is_follower ? member_return_delay_us(members) : 0;
    const struct member_vm *vm =
        member_find_newer(members, kind, cache_known(&feed->cache),
                          min_newer_us, return_delay_us, now_us);
    feed->since = feed->cache.has_list ? feed->cache.change
                                       : (struct position){.revision = 0};
    if (vm == NULL && kind == OBJECT_CONFIG &&
        now_us >= feed->version_due_us) {
        /* It keeps a version that the store has lost. */
        vm = member_find_newer_config(members, feed->cache.change, now_us);
        feed->since = (struct position){.revision = 0};
    }
    bool has_later_era =
        vm != NULL && vm->changes[kind].era > feed->cache.change.era;
    if (vm == NULL || vm->peer_address == NULL ||
        (sync_must_ask_store(sync, kind, now_us) && !has_later_era)) {
        return NULL;
    }
    return vm;
}

/* Asks a peer for newer changes, if there is one to ask. Returns whether. */
static bool
sync_fetch_from_peer(struct sync *sync, enum object_kind kind,
                     const struct members *members, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    if (now_us < feed->peer_due_us ||
        (feed->is_in_flight && feed->is_from_peer) ||
        (!sync->is_follower && sync_is_first_pending(feed, now_us))) {
        return false;
    }
    const struct member_vm *vm = sync_pick_peer(sync, kind, members, now_us);
    if (vm == NULL) {
        return false;
    }
    if (feed->since.revision == 0 && feed->cache.has_list) {
        feed->version_due_us = now_us + SYNC_VERSION_FETCH_INTERVAL_US;
    }
    feed->peer_due_us =
        now_us + (sync->is_follower ? SYNC_PEER_FETCH_INTERVAL_US
                                    : SYNC_BACKOFF_MAX_US);
    log_info("sync",
             "fetching newer state from peer kind=%s vm=%s "
             "its_era=%" G_GINT64_FORMAT " its_change=%" G_GINT64_FORMAT
             " own_era=%" G_GINT64_FORMAT " own_change=%" G_GINT64_FORMAT,
             sync_kind_names[kind], vm->name, vm->changes[kind].era,
             vm->changes[kind].revision, feed->cache.change.era,
             feed->cache.change.revision);
    sync_fetch(sync, kind, vm->peer_address, now_us);
    return true;
}

/* Whether the store may be called for the kind. A follower calls it only for
 * kinds whose age is too high, one kind at a time. */
static bool
sync_may_call(const struct sync *sync, enum object_kind kind, int64_t now_us)
{
    if (!sync->is_follower) {
        return !sync->feeds[kind].is_in_flight;
    }
    bool is_calling = false;
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        is_calling = is_calling || sync->feeds[i].is_in_flight;
    }
    return !is_calling && sync_is_outdated(sync, kind, now_us);
}

/* Ends the hold of what outlived a return of the store, when it is due. */
static void
sync_tick_cache(struct sync *sync, enum object_kind kind, int64_t now_us)
{
    struct sync_apply_ctx apply_ctx = {
        .sync = sync,
        .kind = kind,
        .source = CACHE_HOLD,
        .now_us = now_us,
    };
    cache_tick(&sync->feeds[kind].cache, now_us, sync_on_object, &apply_ctx);
}

void
sync_tick(struct sync *sync, struct members *members, int64_t now_us)
{
    if (sync->started_us == 0) {
        sync->started_us = now_us;
    }
    bool must_wait_for_vms =
        !members->has_list && now_us - sync->started_us < SYNC_MEMBERS_WAIT_US;
    sync->is_follower = member_is_follower(members, now_us);
    sync->age_max_us = sync->is_follower ? SYNC_FOLLOWER_AGE_MAX_US +
                                               member_follower_index(members) *
                                                   SYNC_FOLLOWER_STAGGER_US
                                         : SYNC_AGE_MAX_US;
    sync->age_max_us = MAX(sync->age_max_us, sync_slow_age_us(sync));
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        struct sync_feed *feed = &sync->feeds[i];
        sync_apply_heartbeats(sync, i, members, now_us);
        sync_tick_cache(sync, i, now_us);
        sync_time_out_fetch(sync, i, now_us);
        sync_abort_outdated_watch(sync, i, now_us);
        sync_log_age(sync, i, now_us);
        sync_fetch_held(sync, i, members, now_us);
        if (sync_fetch_from_peer(sync, i, members, now_us) ||
            must_wait_for_vms) {
            continue;
        }
        if (now_us >= feed->due_us && sync_may_call(sync, i, now_us)) {
            sync_fetch(sync, i, NULL, now_us);
        }
    }
}

void
sync_on_push(struct sync *sync, enum object_kind kind,
             const struct store_reply *reply, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    if (!position_is_after(reply->change, feed->cache.change)) {
        return;
    }
    struct sync_apply_ctx apply_ctx = {
        .sync = sync,
        .kind = kind,
        .source = CACHE_PUSH,
        .now_us = now_us,
    };
    if (cache_replace_all(&feed->cache, reply, now_us, sync_on_object,
                          &apply_ctx) == CACHE_NO_ROOM) {
        sync_health_on_no_room(sync, kind, false, now_us);
    }
}

void
sync_changes(const struct sync *sync, struct position *out)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        out[i] = sync->feeds[i].cache.change;
    }
}

void
sync_known(const struct sync *sync, struct position *out)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        out[i] = cache_known(&sync->feeds[i].cache);
    }
}

void
sync_ages(const struct sync *sync, int64_t now_us, int64_t *out)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        out[i] = sync->feeds[i].cache.has_list ? sync_age_us(sync, i, now_us)
                                               : MEMBER_AGE_NONE;
    }
}

bool
sync_is_stale(const struct sync *sync, int64_t age_us, int64_t now_us)
{
    return !sync->feeds[OBJECT_CONFIG].cache.has_list ||
           sync_age_us(sync, OBJECT_CONFIG, now_us) >= age_us;
}

int64_t
sync_age_us(const struct sync *sync, enum object_kind kind, int64_t now_us)
{
    return now_us - MAX(sync->feeds[kind].cache.synced_us, sync->started_us);
}

const char *
sync_kind_name(enum object_kind kind)
{
    return sync_kind_names[kind];
}

const char *
sync_call_name(enum sync_call call)
{
    return sync_call_names[call];
}

const struct cache *
sync_cache_of(const struct sync *sync, enum object_kind kind)
{
    return &sync->feeds[kind].cache;
}
