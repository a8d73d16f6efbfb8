#include "gateway/sync.h"

#include "common/log.h"
#include "common/rc.h"
#include "gateway/backend.h"

static const char *const sync_names[OBJECT_KIND_COUNT] = {
    [OBJECT_CONFIG] = "config",
    [OBJECT_BACKENDS] = "backends",
    [OBJECT_DRAINED_DCS] = "drained_dcs",
};

static const char *const sync_call_names[SYNC_CALL_COUNT] = {
    [SYNC_LIST] = "list",
    [SYNC_WATCH] = "watch",
    [SYNC_PEER] = "peer",
};

void
sync_init(struct sync *sync, const struct sync_calls *calls, void *ctx)
{
    *sync = (struct sync){.calls = calls, .ctx = ctx};
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        cache_init(&sync->feeds[i].news);
    }
}

void
sync_clear(struct sync *sync)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        cache_clear(&sync->feeds[i].news);
    }
}

static bool
sync_is_old(const struct sync *sync, enum object_kind kind, int64_t now_us)
{
    return sync_age_us(sync, kind, now_us) >= sync->age_max_us;
}

/* How long the store may wait for a change before it answers a watch: not at
 * all when the answer is to show that nothing was missed, and no longer than
 * until the news have a certain age when other VMs rely on them. */
static int64_t
sync_wait_ms(const struct sync *sync, enum object_kind kind, int64_t now_us)
{
    if (sync_is_old(sync, kind, now_us)) {
        return 0;
    }
    if (sync->feeds[kind].is_covered) {
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
    feed->is_from_peer = peer != NULL;
    feed->sent_us = now_us;
    if (peer != NULL) {
        cache_end_list(&feed->news);
    }
    /* While the store fails a list finds out whether it answers again: a watch
     * is answered only when something changes. */
    bool is_list = feed->news.must_list || peer != NULL || sync->fail_run > 0;
    feed->is_watch = !is_list;
    int64_t wait_ms = is_list ? 0 : sync_wait_ms(sync, kind, now_us);
    feed->wait_us = wait_ms * 1000;
    struct sync_fetch fetch = {
        .kind = kind,
        .is_watch = !is_list,
        .revision = feed->news.revision,
        .wait_ms = wait_ms,
        .after = feed->news.after,
        .peer = peer,
        .since = feed->news.has_list ? feed->news.change : 0,
        .serial = feed->serial,
    };
    sync->calls->fetch(&fetch, sync->ctx);
}

/* Whether each kind was read since the process started. */
static bool
sync_has_all(const struct sync *sync)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        if (!sync->feeds[i].news.has_list) {
            return false;
        }
    }
    return true;
}

/* How long a reply may take. */
static int64_t
sync_timeout_us(const struct sync *sync, const struct sync_feed *feed)
{
    if (feed->is_from_peer) {
        return SYNC_PEER_TIMEOUT_US;
    }
    if (feed->is_watch) {
        return feed->wait_us + SYNC_WATCH_TIMEOUT_US;
    }
    if (sync->fail_run > 0) {
        return SYNC_RETRY_TIMEOUT_US;
    }
    return sync_has_all(sync) ? SYNC_TIMEOUT_US : SYNC_FIRST_TIMEOUT_US;
}

static enum sync_call
sync_call_of(const struct sync_feed *feed)
{
    if (feed->is_from_peer) {
        return SYNC_PEER;
    }
    return feed->is_watch ? SYNC_WATCH : SYNC_LIST;
}

static int64_t
sync_backoff_max_us(const struct sync *sync)
{
    if (sync->is_follower) {
        return SYNC_FOLLOWER_BACKOFF_MAX_US;
    }
    return sync_has_all(sync) ? SYNC_BACKOFF_MAX_US
                              : SYNC_FIRST_BACKOFF_MAX_US;
}

static void
sync_note_failure(struct sync *sync, enum object_kind kind, int rc,
                  int64_t now_us)
{
    if (sync->fail_run == 0) {
        sync->failing_us = now_us;
        log_warn("sync", "store failed kind=%s rc=%s", sync_names[kind],
                 rc_name(rc));
    }
    sync->fail_run += 1;
    int64_t backoff_us = SYNC_BACKOFF_MIN_US << MIN(sync->fail_run - 1, 8);
    int64_t max_us = sync_backoff_max_us(sync);
    /* Counted from the call, so that a silent store is asked as often as one
     * that refuses. */
    int64_t due_us = MAX(sync->feeds[kind].sent_us + MIN(backoff_us, max_us),
                         now_us + SYNC_BACKOFF_MIN_US);
    /* One call finds out whether the store answers again. */
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        struct sync_feed *feed = &sync->feeds[i];
        feed->due_us = i == (int)kind
                           ? due_us
                           : MAX(feed->due_us, due_us + SYNC_OTHERS_WAIT_US);
    }
}

static void
sync_note_success(struct sync *sync, int64_t now_us)
{
    sync->answered_us = now_us;
    if (sync->fail_run == 0) {
        return;
    }
    int64_t outage_us = now_us - sync->failing_us;
    log_info("sync",
             "store answers again after_ms=%" G_GINT64_FORMAT " failures=%u",
             outage_us / 1000, sync->fail_run);
    if (outage_us >= SYNC_OUTAGE_US) {
        sync->recovered_us = now_us;
    }
    sync->fail_run = 0;
    sync->failing_us = 0;
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        struct sync_feed *feed = &sync->feeds[i];
        /* What waits since before the failure may never be answered. */
        feed->is_in_flight = feed->is_in_flight && !feed->is_watch;
        feed->due_us = now_us;
    }
}

/* When a deletion takes effect. */
static int64_t
sync_remove_us(const struct sync *sync, int64_t now_us)
{
    int64_t remove_us = now_us + BACKEND_LAPSE_HOLD_US;
    if (sync->recovered_us > 0) {
        int64_t outage_us = MIN(sync->recovered_us + BACKEND_OUTAGE_HOLD_US,
                                now_us + BACKEND_OUTAGE_HOLD_MAX_US);
        remove_us = MAX(remove_us, outage_us);
    }
    return remove_us;
}

/* Where the objects of a reply go. */
struct sync_sink {
    struct sync *sync;
    enum object_kind kind;
    int64_t now_us;
};

static void
sync_on_object(const struct cache_object *object, void *ctx)
{
    const struct sync_sink *sink = ctx;
    struct sync *sync = sink->sync;
    sync->calls->apply(sink->kind, object, sync_remove_us(sync, sink->now_us),
                       sink->now_us, sync->ctx);
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
sync_on_usable(struct sync *sync, const struct sync_fetch *fetch,
               const struct store_reply *reply, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[fetch->kind];
    struct sync_sink sink = {
        .sync = sync,
        .kind = fetch->kind,
        .now_us = now_us,
    };
    enum cache_result result =
        cache_take(&feed->news, sync_source_of(fetch), reply, now_us,
                   sync_on_object, &sink);
    bool is_followed = result == CACHE_WHOLE || result == CACHE_CHANGED;
    feed->due_us = now_us + (is_followed ? SYNC_WATCH_IVL_US : 0);
}

void
sync_on_reply(struct sync *sync, const struct sync_fetch *fetch,
              const struct store_reply *reply, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[fetch->kind];
    if (!feed->is_in_flight || fetch->serial != feed->serial) {
        return;
    }
    feed->is_in_flight = false;
    if (reply->rc == RC_OK) {
        if (fetch->peer == NULL) {
            sync_note_success(sync, now_us);
        }
        sync_on_usable(sync, fetch, reply, now_us);
        return;
    }
    cache_end_list(&feed->news);
    if (fetch->peer != NULL) {
        feed->due_us = now_us;
        return;
    }
    feed->news.must_list =
        feed->news.must_list || reply->rc == RC_VERSION_GONE;
    if (reply->rc == RC_VERSION_GONE) {
        sync_note_success(sync, now_us);
        feed->due_us = now_us;
        return;
    }
    sync_note_failure(sync, fetch->kind, reply->rc, now_us);
}

/* Gives up a fetch that was not answered in time. */
static void
sync_end_overdue(struct sync *sync, enum object_kind kind, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    if (!feed->is_in_flight ||
        now_us - feed->sent_us < sync_timeout_us(sync, feed)) {
        return;
    }
    enum sync_call call = sync_call_of(feed);
    sync->unanswered[call] += 1;
    log_warn("sync",
             "no answer kind=%s call=%s waited_ms=%" G_GINT64_FORMAT
             " age_ms=%" G_GINT64_FORMAT,
             sync_names[kind], sync_call_names[call],
             (now_us - feed->sent_us) / 1000,
             sync_age_us(sync, kind, now_us) / 1000);
    bool is_lost_alone =
        !feed->is_from_peer && feed->sent_us < sync->answered_us;
    if (is_lost_alone || (feed->is_watch && sync->fail_run > 0)) {
        /* The store has answered since, or another kind asks it. */
        feed->is_in_flight = false;
        feed->due_us = is_lost_alone ? now_us : feed->due_us;
        cache_end_list(&feed->news);
        return;
    }
    struct sync_fetch fetch = {
        .kind = kind,
        .peer = feed->is_from_peer ? "" : NULL,
        .serial = feed->serial,
    };
    sync_on_reply(sync, &fetch, &(struct store_reply){.rc = RC_STORE_DOWN},
                  now_us);
}

/* A line when the news of a kind have become old, with what is waited for. */
static void
sync_note_age(struct sync *sync, enum object_kind kind, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    int64_t age_us = sync_age_us(sync, kind, now_us);
    if (age_us < SYNC_OLD_US) {
        feed->noted_us = 0;
        return;
    }
    if (age_us < feed->noted_us * 2) {
        return;
    }
    feed->noted_us = age_us;
    log_warn("sync",
             "news are old kind=%s age_ms=%" G_GINT64_FORMAT
             " change=%" G_GINT64_FORMAT " call=%s waited_ms=%" G_GINT64_FORMAT
             " failures=%u",
             sync_names[kind], age_us / 1000, feed->news.change,
             feed->is_in_flight ? sync_call_names[sync_call_of(feed)] : "none",
             feed->is_in_flight ? (now_us - feed->sent_us) / 1000 : 0,
             sync->fail_run);
}

/* Takes over what heartbeats tell of the news' age. */
static void
sync_hear(struct sync *sync, enum object_kind kind, struct members *members,
          int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    int64_t same_us = member_checked_us(members, kind, feed->news.change);
    if (feed->news.has_list) {
        feed->news.checked_us = MAX(feed->news.checked_us, same_us);
    }
    int64_t any_us = member_checked_us(members, kind, INT64_MAX);
    feed->is_covered = any_us > 0 && now_us - any_us < SYNC_AGE_MAX_US;
}

/* Gives up a watch that may never be answered, so that the store is asked. */
static void
sync_end_old(struct sync *sync, enum object_kind kind, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    bool is_waiting = feed->is_in_flight && feed->is_watch &&
                      !feed->is_from_peer && feed->wait_us > SYNC_AGE_MAX_US;
    if (!is_waiting || sync->fail_run > 0 ||
        !sync_is_old(sync, kind, now_us)) {
        return;
    }
    sync->checks += 1;
    log_info("sync",
             "checking news kind=%s age_ms=%" G_GINT64_FORMAT
             " change=%" G_GINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT,
             sync_names[kind], sync_age_us(sync, kind, now_us) / 1000,
             feed->news.change, (now_us - feed->sent_us) / 1000);
    feed->is_in_flight = false;
    feed->due_us = now_us;
}

/* Whether the store may still answer the first list of the kind in time. */
static bool
sync_is_first_pending(const struct sync_feed *feed, int64_t now_us)
{
    return !feed->news.has_list && feed->is_in_flight &&
           now_us - feed->sent_us < SYNC_FIRST_PATIENCE_US;
}

/* Whether the store itself has to say what is new: peers may have missed it as
 * well. */
static bool
sync_must_check(const struct sync *sync, enum object_kind kind, int64_t now_us)
{
    return sync->feeds[kind].news.has_list && sync->fail_run == 0 &&
           sync_is_old(sync, kind, now_us);
}

/* Asks a peer that has newer news: at once when it is left to it to follow the
 * store or when nothing is known, else when it has had them for a while. */
static bool
sync_ask_peer(struct sync *sync, enum object_kind kind,
              const struct members *members, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    if (now_us < feed->peer_due_us ||
        (feed->is_in_flight && feed->is_from_peer) ||
        (!sync->is_follower && sync_is_first_pending(feed, now_us)) ||
        sync_must_check(sync, kind, now_us)) {
        return false;
    }
    int64_t ahead_us =
        sync->is_follower || !feed->news.has_list ? 0 : MEMBER_AHEAD_US;
    const struct member_vm *vm =
        member_ahead(members, kind, feed->news.change, ahead_us, now_us);
    if (vm == NULL || vm->peer_address == NULL) {
        return false;
    }
    feed->peer_due_us = now_us + (sync->is_follower ? SYNC_FOLLOW_IVL_US
                                                    : SYNC_BACKOFF_MAX_US);
    log_info("sync",
             "asking peer kind=%s vm=%s its_change=%" G_GINT64_FORMAT
             " own_change=%" G_GINT64_FORMAT,
             sync_names[kind], vm->name, vm->changes[kind], feed->news.change);
    sync_fetch(sync, kind, vm->peer_address, now_us);
    return true;
}

/* Whether the store may be called for the kind: by a VM that leaves it to hubs
 * only for news that are too old, one kind after the other. */
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
    return !is_calling && sync_is_old(sync, kind, now_us);
}

void
sync_tick(struct sync *sync, struct members *members, int64_t now_us)
{
    if (sync->started_us == 0) {
        sync->started_us = now_us;
    }
    bool is_early =
        !members->has_list && now_us - sync->started_us < SYNC_MEMBERS_WAIT_US;
    sync->is_follower = member_is_follower(members, now_us);
    sync->age_max_us = sync->is_follower ? SYNC_FOLLOWER_AGE_MAX_US +
                                               member_follower_index(members) *
                                                   SYNC_FOLLOWER_STEP_US
                                         : SYNC_AGE_MAX_US;
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        struct sync_feed *feed = &sync->feeds[i];
        sync_hear(sync, i, members, now_us);
        sync_end_overdue(sync, i, now_us);
        sync_end_old(sync, i, now_us);
        sync_note_age(sync, i, now_us);
        if (sync_ask_peer(sync, i, members, now_us) || is_early) {
            continue;
        }
        if (now_us >= feed->due_us && sync_may_call(sync, i, now_us)) {
            sync_fetch(sync, i, NULL, now_us);
        }
    }
}

void
sync_on_offer(struct sync *sync, enum object_kind kind,
              const struct store_reply *reply, int64_t now_us)
{
    struct sync_feed *feed = &sync->feeds[kind];
    if (reply->change <= feed->news.change) {
        return;
    }
    struct sync_sink sink = {.sync = sync, .kind = kind, .now_us = now_us};
    cache_take_whole(&feed->news, reply, sync_on_object, &sink);
}

void
sync_changes(const struct sync *sync, int64_t *out)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        out[i] = sync->feeds[i].news.change;
    }
}

void
sync_ages(const struct sync *sync, int64_t now_us, int64_t *out)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        out[i] = sync->feeds[i].news.has_list ? sync_age_us(sync, i, now_us)
                                              : MEMBER_AGE_NONE;
    }
}

bool
sync_is_stale(const struct sync *sync, int64_t age_us, int64_t now_us)
{
    return !sync->feeds[OBJECT_CONFIG].news.has_list ||
           sync_age_us(sync, OBJECT_CONFIG, now_us) >= age_us;
}

int64_t
sync_age_us(const struct sync *sync, enum object_kind kind, int64_t now_us)
{
    return now_us - MAX(sync->feeds[kind].news.checked_us, sync->started_us);
}

const char *
sync_kind_name(enum object_kind kind)
{
    return sync_names[kind];
}

const char *
sync_call_name(enum sync_call call)
{
    return sync_call_names[call];
}

const struct cache *
sync_news_of(const struct sync *sync, enum object_kind kind)
{
    return &sync->feeds[kind].news;
}
