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

static void
syn_known_free(gpointer data)
{
    struct syn_known *known = data;
    json_decref(known->spec);
    g_free(known);
}

static void
syn_removed_free(struct syn_removed *removed)
{
    g_free(removed->name);
    g_free(removed);
}

/* Keeps the end of an object for peers that ask what changed. */
static void
syn_keep_removed(struct syn_feed *feed, const char *name, int64_t change)
{
    struct syn_removed *removed = g_new0(struct syn_removed, 1);
    removed->name = g_strdup(name);
    removed->change = change;
    g_queue_push_tail(&feed->removed, removed);
    if (feed->removed.length > SYN_REMOVED_MAX) {
        struct syn_removed *oldest = g_queue_pop_head(&feed->removed);
        feed->floor = MAX(feed->floor, oldest->change);
        syn_removed_free(oldest);
    }
}

void
syn_init(struct syn *syn, const struct syn_calls *calls, void *ctx)
{
    *syn = (struct syn){.calls = calls, .ctx = ctx};
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        syn->feeds[i].known = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                    g_free, syn_known_free);
        g_queue_init(&syn->feeds[i].removed);
        syn->feeds[i].must_list = true;
    }
}

static void
syn_end_list(struct syn_feed *feed)
{
    if (feed->listed != NULL) {
        g_hash_table_destroy(feed->listed);
        feed->listed = NULL;
    }
    g_free(feed->after);
    feed->after = NULL;
}

void
syn_clear(struct syn *syn)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        syn_end_list(&syn->feeds[i]);
        g_hash_table_destroy(syn->feeds[i].known);
        while (!g_queue_is_empty(&syn->feeds[i].removed)) {
            syn_removed_free(g_queue_pop_head(&syn->feeds[i].removed));
        }
    }
}

/* The change that a reply shows. */
static int64_t
syn_change_of(const struct syn_reply *reply)
{
    return reply->change > 0 ? reply->change : reply->current_revision;
}

static void
syn_begin_list(struct syn_feed *feed)
{
    if (feed->listed == NULL) {
        feed->listed =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        feed->list_revision = 0;
        feed->list_change = 0;
    }
}

static bool
syn_is_old(const struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    return syn_age_us(syn, kind, now_us) >= syn->age_max_us;
}

/* How long the store may wait for a change before it answers a watch: not at
 * all when the answer is to show that nothing was missed. */
static int64_t
syn_wait_ms(const struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    if (syn_is_old(syn, kind, now_us)) {
        return 0;
    }
    return syn->feeds[kind].is_covered ? SYN_WATCH_WAIT_MS
                                       : SYN_WATCH_SHORT_MS;
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
        syn_end_list(feed);
    }
    /* While the store fails a list finds out whether it answers again: a watch
     * is answered only when something changes. */
    bool is_list = feed->must_list || peer != NULL || syn->fail_run > 0;
    feed->is_watch = !is_list;
    if (is_list) {
        syn_begin_list(feed);
    }
    int64_t wait_ms = is_list ? 0 : syn_wait_ms(syn, kind, now_us);
    feed->wait_us = wait_ms * 1000;
    struct syn_fetch fetch = {
        .kind = kind,
        .is_watch = !is_list,
        .revision = feed->revision,
        .wait_ms = wait_ms,
        .after = feed->after,
        .peer = peer,
        .since = feed->has_list ? feed->change : 0,
        .serial = feed->serial,
    };
    syn->calls->fetch(&fetch, syn->ctx);
}

/* Whether each kind was read since the process started. */
static bool
syn_has_all(const struct syn *syn)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        if (!syn->feeds[i].has_list) {
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

static void
syn_apply(struct syn *syn, enum mem_kind kind, const struct syn_object *object,
          int64_t change, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    struct syn_known *known = g_hash_table_lookup(feed->known, object->name);
    if (object->is_deleted) {
        if (known == NULL) {
            return;
        }
        g_hash_table_remove(feed->known, object->name);
        syn_keep_removed(feed, object->name, change);
    }
    else {
        if (known != NULL && known->revision >= object->revision) {
            return;
        }
        known = g_new0(struct syn_known, 1);
        known->revision = object->revision;
        known->spec = json_incref(object->spec);
        g_hash_table_replace(feed->known, g_strdup(object->name), known);
    }
    syn->calls->apply(kind, object, syn_remove_us(syn, now_us), now_us,
                      syn->ctx);
}

/* Objects that a whole list does not name are gone. Returns whether there were
 * any. */
static bool
syn_remove_unlisted(struct syn *syn, enum mem_kind kind, int64_t change,
                    int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    bool has_removed = false;
    GList *names = g_hash_table_get_keys(feed->known);
    for (GList *item = names; item != NULL; item = item->next) {
        if (!g_hash_table_contains(feed->listed, item->data)) {
            char *name = g_strdup(item->data);
            struct syn_object object = {.name = name, .is_deleted = true};
            syn_apply(syn, kind, &object, change, now_us);
            g_free(name);
            has_removed = true;
        }
    }
    g_list_free(names);
    return has_removed;
}

/* The end of a list that the store was asked for. What changed while its pages
 * were read may be missing on the first ones, so that all counts as of the
 * first page. */
static void
syn_end_store_list(struct syn_feed *feed, bool has_removed)
{
    int64_t change = has_removed ? feed->list_revision
                                 : MIN(feed->list_change, feed->list_revision);
    feed->change = MAX(feed->change, change);
    feed->checked_us = MAX(feed->checked_us, feed->list_us);
    feed->must_list = false;
    feed->revision = feed->list_revision;
}

static void
syn_on_list(struct syn *syn, const struct syn_fetch *fetch,
            const struct syn_reply *reply, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[fetch->kind];
    if (reply->has_more && reply->object_count > 0) {
        g_free(feed->after);
        feed->after = g_strdup(reply->objects[reply->object_count - 1].name);
        feed->due_us = now_us;
        return;
    }
    bool has_removed =
        syn_remove_unlisted(syn, fetch->kind, syn_change_of(reply), now_us);
    if (!feed->has_list) {
        /* Ends of objects before the first list were never known. */
        feed->floor = syn_change_of(reply);
    }
    if (fetch->peer == NULL) {
        syn_end_store_list(feed, has_removed);
    }
    syn_end_list(feed);
    feed->has_list = true;
    feed->due_us = now_us + SYN_WATCH_IVL_US;
}

/* Takes over the objects. Returns the newest change that they show, 0 for
 * none. */
static int64_t
syn_on_objects(struct syn *syn, enum mem_kind kind,
               const struct syn_reply *reply, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    int64_t change = reply->change;
    for (size_t i = 0; i < reply->object_count; i++) {
        const struct syn_object *object = &reply->objects[i];
        if (feed->listed != NULL) {
            g_hash_table_add(feed->listed, g_strdup(object->name));
        }
        int64_t object_change =
            object->is_deleted ? syn_change_of(reply) : object->revision;
        change = MAX(change, object_change);
        syn_apply(syn, kind, object, syn_change_of(reply), now_us);
    }
    return change;
}

static void
syn_on_usable(struct syn *syn, const struct syn_fetch *fetch,
              const struct syn_reply *reply, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[fetch->kind];
    if (reply->is_whole) {
        syn_begin_list(feed);
    }
    bool is_list = !reply->is_delta && (!fetch->is_watch || reply->is_whole);
    if (is_list && feed->list_revision == 0) {
        feed->list_revision = syn_change_of(reply);
        feed->list_us = now_us;
    }
    int64_t change = syn_on_objects(syn, fetch->kind, reply, now_us);
    if (fetch->peer != NULL) {
        /* A peer says how new its news are. */
        feed->change = MAX(feed->change, syn_change_of(reply));
    }
    else if (is_list) {
        feed->list_change = MAX(feed->list_change, change);
    }
    else {
        feed->change = MAX(feed->change, change);
        feed->checked_us = now_us;
    }
    if (reply->is_delta) {
        syn_end_list(feed);
        feed->due_us = now_us;
        return;
    }
    if (is_list) {
        syn_on_list(syn, fetch, reply, now_us);
        return;
    }
    feed->revision = MAX(feed->revision, reply->current_revision);
    feed->due_us = now_us + (reply->object_count > 0 ? SYN_WATCH_IVL_US : 0);
}

void
syn_on_reply(struct syn *syn, const struct syn_fetch *fetch,
             const struct syn_reply *reply, int64_t now_us)
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
    syn_end_list(feed);
    if (fetch->peer != NULL) {
        feed->due_us = now_us;
        return;
    }
    feed->must_list = feed->must_list || reply->rc == RC_VERSION_GONE;
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
        syn_end_list(feed);
        return;
    }
    struct syn_fetch fetch = {
        .kind = kind,
        .peer = feed->is_from_peer ? "" : NULL,
        .serial = feed->serial,
    };
    syn_on_reply(syn, &fetch, &(struct syn_reply){.rc = RC_STORE_DOWN},
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
             syn_names[kind], age_us / 1000, feed->change,
             feed->is_in_flight ? syn_call_names[syn_call_of(feed)] : "none",
             feed->is_in_flight ? (now_us - feed->sent_us) / 1000 : 0,
             syn->fail_run);
}

/* Takes over what heartbeats tell of the news' age. */
static void
syn_hear(struct syn *syn, enum mem_kind kind, struct mem *mem, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    int64_t same_us = mem_checked_us(mem, kind, feed->change);
    if (feed->has_list) {
        feed->checked_us = MAX(feed->checked_us, same_us);
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
             feed->change, (now_us - feed->sent_us) / 1000);
    feed->is_in_flight = false;
    feed->due_us = now_us;
}

/* Whether the store may still answer the first list of the kind in time. */
static bool
syn_is_first_pending(const struct syn_feed *feed, int64_t now_us)
{
    return !feed->has_list && feed->is_in_flight &&
           now_us - feed->sent_us < SYN_FIRST_PATIENCE_US;
}

/* Whether the store itself has to say what is new: peers may have missed it as
 * well. */
static bool
syn_must_check(const struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    return syn->feeds[kind].has_list && syn->fail_run == 0 &&
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
    int64_t ahead_us = syn->is_follower || !feed->has_list ? 0 : MEM_AHEAD_US;
    const struct mem_vm *vm =
        mem_ahead(mem, kind, feed->change, ahead_us, now_us);
    if (vm == NULL || vm->peer_address == NULL) {
        return false;
    }
    feed->peer_due_us =
        now_us + (syn->is_follower ? SYN_FOLLOW_IVL_US : SYN_BACKOFF_MAX_US);
    log_info("sync",
             "asking peer kind=%s vm=%s its_change=%" G_GINT64_FORMAT
             " own_change=%" G_GINT64_FORMAT,
             syn_names[kind], vm->name, vm->changes[kind], feed->change);
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
             const struct syn_reply *reply, int64_t now_us)
{
    struct syn_feed *feed = &syn->feeds[kind];
    if (reply->change <= feed->change) {
        return;
    }
    syn_end_list(feed);
    syn_begin_list(feed);
    int64_t change = syn_on_objects(syn, kind, reply, now_us);
    feed->change = MAX(feed->change, change);
    (void)syn_remove_unlisted(syn, kind, reply->change, now_us);
    syn_end_list(feed);
    feed->has_list = true;
}

void
syn_changes(const struct syn *syn, int64_t *out)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        out[i] = syn->feeds[i].change;
    }
}

void
syn_ages(const struct syn *syn, int64_t now_us, int64_t *out)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        out[i] =
            syn->feeds[i].has_list ? syn_age_us(syn, i, now_us) : MEM_AGE_NONE;
    }
}

bool
syn_is_stale(const struct syn *syn, int64_t age_us, int64_t now_us)
{
    return !syn->feeds[MEM_CONFIG].has_list ||
           syn_age_us(syn, MEM_CONFIG, now_us) >= age_us;
}

int64_t
syn_age_us(const struct syn *syn, enum mem_kind kind, int64_t now_us)
{
    return now_us - MAX(syn->feeds[kind].checked_us, syn->started_us);
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

const struct syn_feed *
syn_feed_of(const struct syn *syn, enum mem_kind kind)
{
    return &syn->feeds[kind];
}
