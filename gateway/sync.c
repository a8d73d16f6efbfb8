#include "gateway/sync.h"

#include "common/log.h"
#include "common/rc.h"
#include "gateway/backend.h"

static const char *const syn_names[MEM_KIND_COUNT] = {
    [MEM_CONFIG] = "config",
    [MEM_BACKENDS] = "backends",
    [MEM_DRAINED_DCS] = "drained_dcs",
};

static const char *const syn_call_names[SYN_CALL_COUNT] = {
    [SYN_LIST] = "list",
    [SYN_WATCH] = "watch",
    [SYN_PEER] = "peer",
};

void
syn_init(struct syn *syn, const struct syn_calls *calls, void *ctx)
{
    *syn = (struct syn){.calls = calls, .ctx = ctx};
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        fed_init(&syn->feeds[i].news);
    }
}

void
syn_clear(struct syn *syn)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        fed_clear(&syn->feeds[i].news);
    }
}

static bool
syn_is_old(const struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    return syn_age_us(syn, kind, now_us) >= syn->age_max_us;
}

/* How long the store may wait for a change before it answers a watch: not at
 * all when the answer is to show that nothing was missed, and no longer than
 * until the news have a certain age when other VMs rely on them. */
static int64_t
syn_wait_ms(const struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    if (syn_is_old(syn, kind, now_us)) {
        return 0;
    }
    if (syn->feeds[kind].is_covered) {
        return SYN_WATCH_WAIT_MS;
    }
    int64_t left_ms =
        SYN_WATCH_SHORT_MS - syn_age_us(syn, kind, now_us) / 1000;
    return MAX(left_ms, SYN_WATCH_MIN_MS);
}

static void
syn_fetch(struct syn *syn, enum mem_kind kind, const char *peer,
          int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    feed->serial += 1;
    feed->is_in_flight = true;
    feed->is_from_peer = peer != NULL;
    feed->sent_us = now_us;
    if (peer != NULL) {
        fed_end_list(&feed->news);
    }
    /* While the store fails a list finds out whether it answers again: a watch
     * is answered only when something changes. */
    bool is_list = feed->news.must_list || peer != NULL || syn->fail_run > 0;
    feed->is_watch = !is_list;
    int64_t wait_ms = is_list ? 0 : syn_wait_ms(syn, kind, now_us);
    feed->wait_us = wait_ms * 1000;
    struct syn_fetch fetch = {
        .kind = kind,
        .is_watch = !is_list,
        .revision = feed->news.revision,
        .wait_ms = wait_ms,
        .after = feed->news.after,
        .peer = peer,
        .since = feed->news.has_list ? feed->news.change : 0,
        .serial = feed->serial,
    };
    syn->calls->fetch(&fetch, syn->ctx);
}

/* Whether each kind was read since the process started. */
static bool
syn_has_all(const struct syn *syn)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        if (!syn->feeds[i].news.has_list) {
            return false;
        }
    }
    return true;
}

/* How long a reply may take. */
static int64_t
syn_timeout_us(const struct syn *syn, const struct syn_feed *feed)
{
    if (feed->is_from_peer) {
        return SYN_PEER_TIMEOUT_US;
    }
    if (feed->is_watch) {
        return feed->wait_us + SYN_WATCH_TIMEOUT_US;
    }
    if (syn->fail_run > 0) {
        return SYN_RETRY_TIMEOUT_US;
    }
    return syn_has_all(syn) ? SYN_TIMEOUT_US : SYN_FIRST_TIMEOUT_US;
}

static enum syn_call
syn_call_of(const struct syn_feed *feed)
{
    if (feed->is_from_peer) {
        return SYN_PEER;
    }
    return feed->is_watch ? SYN_WATCH : SYN_LIST;
}

static int64_t
syn_backoff_max_us(const struct syn *syn)
{
    if (syn->is_follower) {
        return SYN_FOLLOWER_BACKOFF_MAX_US;
    }
    return syn_has_all(syn) ? SYN_BACKOFF_MAX_US : SYN_FIRST_BACKOFF_MAX_US;
}

static void
syn_note_failure(struct syn *syn, enum mem_kind kind, int rc, int64_t now_us)
{
    if (syn->fail_run == 0) {
        syn->failing_us = now_us;
        log_warn("sync", "store failed kind=%s rc=%s", syn_names[kind],
                 rc_name(rc));
    }
    syn->fail_run += 1;
    int64_t backoff_us = SYN_BACKOFF_MIN_US << MIN(syn->fail_run - 1, 8);
    int64_t max_us = syn_backoff_max_us(syn);
    /* Counted from the call, so that a silent store is asked as often as one
     * that refuses. */
    int64_t due_us = MAX(syn->feeds[kind].sent_us + MIN(backoff_us, max_us),
                         now_us + SYN_BACKOFF_MIN_US);
    /* One call finds out whether the store answers again. */
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        struct syn_feed *feed = &syn->feeds[i];
        feed->due_us = i == (int)kind
                           ? due_us
                           : MAX(feed->due_us, due_us + SYN_OTHERS_WAIT_US);
    }
}

static void
syn_note_success(struct syn *syn, int64_t now_us)
{
    syn->answered_us = now_us;
    if (syn->fail_run == 0) {
        return;
    }
    int64_t outage_us = now_us - syn->failing_us;
    log_info("sync",
             "store answers again after_ms=%" G_GINT64_FORMAT " failures=%u",
             outage_us / 1000, syn->fail_run);
    if (outage_us >= SYN_OUTAGE_US) {
        syn->recovered_us = now_us;
    }
    syn->fail_run = 0;
    syn->failing_us = 0;
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        struct syn_feed *feed = &syn->feeds[i];
        /* What waits since before the failure may never be answered. */
        feed->is_in_flight = feed->is_in_flight && !feed->is_watch;
        feed->due_us = now_us;
    }
}

/* When a deletion takes effect. */
static int64_t
syn_remove_us(const struct syn *syn, int64_t now_us)
{
    int64_t remove_us = now_us + BKE_LAPSE_HOLD_US;
    if (syn->recovered_us > 0) {
        int64_t outage_us = MIN(syn->recovered_us + BKE_OUTAGE_HOLD_US,
                                now_us + BKE_OUTAGE_HOLD_MAX_US);
        remove_us = MAX(remove_us, outage_us);
    }
    return remove_us;
}

/* Where the objects of a reply go. */
struct syn_sink {
    struct syn *syn;
    enum mem_kind kind;
    int64_t now_us;
};

static void
syn_on_object(const struct fed_object *object, void *ctx)
{
    const struct syn_sink *sink = ctx;
    struct syn *syn = sink->syn;
    syn->calls->apply(sink->kind, object, syn_remove_us(syn, sink->now_us),
                      sink->now_us, syn->ctx);
}

static enum fed_source
syn_source_of(const struct syn_fetch *fetch)
{
    if (fetch->peer != NULL) {
        return FED_PEER;
    }
    return fetch->is_watch ? FED_WATCH : FED_LIST;
}

static void
syn_on_usable(struct syn *syn, const struct syn_fetch *fetch,
              const struct fed_reply *reply, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[fetch->kind];
    struct syn_sink sink = {
        .syn = syn,
        .kind = fetch->kind,
        .now_us = now_us,
    };
    enum fed_result result = fed_take(&feed->news, syn_source_of(fetch), reply,
                                      now_us, syn_on_object, &sink);
    bool is_followed = result == FED_WHOLE || result == FED_CHANGED;
    feed->due_us = now_us + (is_followed ? SYN_WATCH_IVL_US : 0);
}

void
syn_on_reply(struct syn *syn, const struct syn_fetch *fetch,
             const struct fed_reply *reply, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[fetch->kind];
    if (!feed->is_in_flight || fetch->serial != feed->serial) {
        return;
    }
    feed->is_in_flight = false;
    if (reply->rc == RC_OK) {
        if (fetch->peer == NULL) {
            syn_note_success(syn, now_us);
        }
        syn_on_usable(syn, fetch, reply, now_us);
        return;
    }
    fed_end_list(&feed->news);
    if (fetch->peer != NULL) {
        feed->due_us = now_us;
        return;
    }
    feed->news.must_list =
        feed->news.must_list || reply->rc == RC_VERSION_GONE;
    if (reply->rc == RC_VERSION_GONE) {
        syn_note_success(syn, now_us);
        feed->due_us = now_us;
        return;
    }
    syn_note_failure(syn, fetch->kind, reply->rc, now_us);
}

/* Gives up a fetch that was not answered in time. */
static void
syn_end_overdue(struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    if (!feed->is_in_flight ||
        now_us - feed->sent_us < syn_timeout_us(syn, feed)) {
        return;
    }
    enum syn_call call = syn_call_of(feed);
    syn->unanswered[call] += 1;
    log_warn("sync",
             "no answer kind=%s call=%s waited_ms=%" G_GINT64_FORMAT
             " age_ms=%" G_GINT64_FORMAT,
             syn_names[kind], syn_call_names[call],
             (now_us - feed->sent_us) / 1000,
             syn_age_us(syn, kind, now_us) / 1000);
    bool is_lost_alone =
        !feed->is_from_peer && feed->sent_us < syn->answered_us;
    if (is_lost_alone || (feed->is_watch && syn->fail_run > 0)) {
        /* The store has answered since, or another kind asks it. */
        feed->is_in_flight = false;
        feed->due_us = is_lost_alone ? now_us : feed->due_us;
        fed_end_list(&feed->news);
        return;
    }
    struct syn_fetch fetch = {
        .kind = kind,
        .peer = feed->is_from_peer ? "" : NULL,
        .serial = feed->serial,
    };
    syn_on_reply(syn, &fetch, &(struct fed_reply){.rc = RC_STORE_DOWN},
                 now_us);
}

/* A line when the news of a kind have become old, with what is waited for. */
static void
syn_note_age(struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    int64_t age_us = syn_age_us(syn, kind, now_us);
    if (age_us < SYN_OLD_US) {
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
             syn_names[kind], age_us / 1000, feed->news.change,
             feed->is_in_flight ? syn_call_names[syn_call_of(feed)] : "none",
             feed->is_in_flight ? (now_us - feed->sent_us) / 1000 : 0,
             syn->fail_run);
}

/* Takes over what heartbeats tell of the news' age. */
static void
syn_hear(struct syn *syn, enum mem_kind kind, struct mem *mem, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    int64_t same_us = mem_checked_us(mem, kind, feed->news.change);
    if (feed->news.has_list) {
        feed->news.checked_us = MAX(feed->news.checked_us, same_us);
    }
    int64_t any_us = mem_checked_us(mem, kind, INT64_MAX);
    feed->is_covered = any_us > 0 && now_us - any_us < SYN_AGE_MAX_US;
}

/* Gives up a watch that may never be answered, so that the store is asked. */
static void
syn_end_old(struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    bool is_waiting = feed->is_in_flight && feed->is_watch &&
                      !feed->is_from_peer && feed->wait_us > SYN_AGE_MAX_US;
    if (!is_waiting || syn->fail_run > 0 || !syn_is_old(syn, kind, now_us)) {
        return;
    }
    syn->checks += 1;
    log_info("sync",
             "checking news kind=%s age_ms=%" G_GINT64_FORMAT
             " change=%" G_GINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT,
             syn_names[kind], syn_age_us(syn, kind, now_us) / 1000,
             feed->news.change, (now_us - feed->sent_us) / 1000);
    feed->is_in_flight = false;
    feed->due_us = now_us;
}

/* Whether the store may still answer the first list of the kind in time. */
static bool
syn_is_first_pending(const struct syn_feed *feed, int64_t now_us)
{
    return !feed->news.has_list && feed->is_in_flight &&
           now_us - feed->sent_us < SYN_FIRST_PATIENCE_US;
}

/* Whether the store itself has to say what is new: peers may have missed it as
 * well. */
static bool
syn_must_check(const struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    return syn->feeds[kind].news.has_list && syn->fail_run == 0 &&
           syn_is_old(syn, kind, now_us);
}

/* Asks a peer that has newer news: at once when it is left to it to follow the
 * store or when nothing is known, else when it has had them for a while. */
static bool
syn_ask_peer(struct syn *syn, enum mem_kind kind, const struct mem *mem,
             int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    if (now_us < feed->peer_due_us ||
        (feed->is_in_flight && feed->is_from_peer) ||
        (!syn->is_follower && syn_is_first_pending(feed, now_us)) ||
        syn_must_check(syn, kind, now_us)) {
        return false;
    }
    int64_t ahead_us =
        syn->is_follower || !feed->news.has_list ? 0 : MEM_AHEAD_US;
    const struct mem_vm *vm =
        mem_ahead(mem, kind, feed->news.change, ahead_us, now_us);
    if (vm == NULL || vm->peer_address == NULL) {
        return false;
    }
    feed->peer_due_us =
        now_us + (syn->is_follower ? SYN_FOLLOW_IVL_US : SYN_BACKOFF_MAX_US);
    log_info("sync",
             "asking peer kind=%s vm=%s its_change=%" G_GINT64_FORMAT
             " own_change=%" G_GINT64_FORMAT,
             syn_names[kind], vm->name, vm->changes[kind], feed->news.change);
    syn_fetch(syn, kind, vm->peer_address, now_us);
    return true;
}

/* Whether the store may be called for the kind: by a VM that leaves it to hubs
 * only for news that are too old, one kind after the other. */
static bool
syn_may_call(const struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    if (!syn->is_follower) {
        return !syn->feeds[kind].is_in_flight;
    }
    bool is_calling = false;
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        is_calling = is_calling || syn->feeds[i].is_in_flight;
    }
    return !is_calling && syn_is_old(syn, kind, now_us);
}

void
syn_tick(struct syn *syn, struct mem *mem, int64_t now_us)
{
    if (syn->started_us == 0) {
        syn->started_us = now_us;
    }
    bool is_early =
        !mem->has_list && now_us - syn->started_us < SYN_MEMBERS_WAIT_US;
    syn->is_follower = mem_is_follower(mem, now_us);
    syn->age_max_us = syn->is_follower
                          ? SYN_FOLLOWER_AGE_MAX_US +
                                mem_follower_index(mem) * SYN_FOLLOWER_STEP_US
                          : SYN_AGE_MAX_US;
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        struct syn_feed *feed = &syn->feeds[i];
        syn_hear(syn, i, mem, now_us);
        syn_end_overdue(syn, i, now_us);
        syn_end_old(syn, i, now_us);
        syn_note_age(syn, i, now_us);
        if (syn_ask_peer(syn, i, mem, now_us) || is_early) {
            continue;
        }
        if (now_us >= feed->due_us && syn_may_call(syn, i, now_us)) {
            syn_fetch(syn, i, NULL, now_us);
        }
    }
}

void
syn_on_offer(struct syn *syn, enum mem_kind kind,
             const struct fed_reply *reply, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    if (reply->change <= feed->news.change) {
        return;
    }
    struct syn_sink sink = {.syn = syn, .kind = kind, .now_us = now_us};
    fed_take_whole(&feed->news, reply, syn_on_object, &sink);
}

void
syn_changes(const struct syn *syn, int64_t *out)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        out[i] = syn->feeds[i].news.change;
    }
}

void
syn_ages(const struct syn *syn, int64_t now_us, int64_t *out)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        out[i] = syn->feeds[i].news.has_list ? syn_age_us(syn, i, now_us)
                                             : MEM_AGE_NONE;
    }
}

bool
syn_is_stale(const struct syn *syn, int64_t age_us, int64_t now_us)
{
    return !syn->feeds[MEM_CONFIG].news.has_list ||
           syn_age_us(syn, MEM_CONFIG, now_us) >= age_us;
}

int64_t
syn_age_us(const struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    return now_us - MAX(syn->feeds[kind].news.checked_us, syn->started_us);
}

const char *
syn_kind_name(enum mem_kind kind)
{
    return syn_names[kind];
}

const char *
syn_call_name(enum syn_call call)
{
    return syn_call_names[call];
}

const struct fed *
syn_news_of(const struct syn *syn, enum mem_kind kind)
{
    return &syn->feeds[kind].news;
}
