#ifndef CH_GATEWAY_SYNC_H
#define CH_GATEWAY_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/cache.h"
#include "gateway/member.h"

/*
 * Follows the kinds of objects in the store: lists them, watches them, asks a
 * peer that knows more, and backs off while the store fails. Does no I/O.
 *
 * A watch that waits tells nothing: the store may have no news, or may never
 * answer it. So the first live VM in rank keeps its watches short, and
 * heartbeats say how old each kind's news are. A VM whose news are too old, by
 * its own calls and by the heartbeats of VMs before it in rank, asks the store
 * itself.
 */

/* What to fetch. */
struct sync_fetch {
    enum object_kind kind;
    bool is_watch;
    int64_t revision;  /* of a watch */
    int64_t wait_ms;   /* of a watch */
    const char *after; /* name after which a list goes on, NULL: the start */
    const char *peer;  /* address of the peer to ask, NULL: the store */
    int64_t since;     /* a peer is asked for what changed after this */
    uint32_t serial;   /* to be passed back with the reply */
};

struct sync_calls {
    void (*fetch)(const struct sync_fetch *fetch, void *ctx);
    /* A changed object; `remove_us` is when a deletion takes effect. */
    void (*apply)(enum object_kind kind, const struct cache_object *object,
                  int64_t remove_us, int64_t now_us, void *ctx);
};

struct sync_feed {
    struct cache news;
    bool is_in_flight; /* a fetch is not answered */
    bool is_from_peer; /* and goes to a peer */
    bool is_watch;     /* or is a watch */
    uint32_t serial;   /* of that fetch */
    int64_t sent_us;
    int64_t wait_us;     /* that the watch asked for */
    int64_t due_us;      /* when to fetch next */
    int64_t peer_due_us; /* when a peer may be asked next */
    bool is_covered;     /* a VM before this one in rank follows the store */
    int64_t noted_us;    /* age at which the news were last logged as old */
};

/* Calls that were given up without an answer. */
enum sync_call {
    SYNC_LIST,
    SYNC_WATCH,
    SYNC_PEER, /* a question to a peer */
    SYNC_CALL_COUNT,
};

struct sync {
    const struct sync_calls *calls;
    void *ctx;
    struct sync_feed feeds[OBJECT_KIND_COUNT];
    bool is_follower;     /* hubs follow the store for this VM */
    int64_t age_max_us;   /* older news are checked with the store */
    uint32_t fail_run;    /* fetches from the store that failed in a row */
    int64_t failing_us;   /* since when, 0: it answers */
    int64_t answered_us;  /* its last answer */
    int64_t recovered_us; /* when it answered again after an outage */
    int64_t started_us;   /* first call of sync_tick() */
    uint64_t unanswered[SYNC_CALL_COUNT]; /* calls that were given up */
    uint64_t checks;                      /* of news that had become too old */
};

/* Watches are asked again at most this often, so that a burst of changes
 * costs one call. */
#define SYNC_WATCH_IVL_US (500 * 1000)
#define SYNC_WATCH_WAIT_MS 25000
/* A VM that none before it in rank tells how new its news are has the store
 * answer its watches when its news have this age, after the shorter wait at
 * the earliest. */
#define SYNC_WATCH_SHORT_MS 1000
#define SYNC_WATCH_MIN_MS 200
/* Without a reply for this long beyond its wait a watch has failed. */
#define SYNC_WATCH_TIMEOUT_US (1000 * 1000)
/* Older news are checked with the store. A short watch and a lost heartbeat
 * take 2 s; a change must be in force 3 s after the store took it. */
#define SYNC_AGE_MAX_US (2000 * 1000)
/* The same for the first VM that leaves following the store to hubs: in a
 * large fleet they exchange heartbeats each second. */
#define SYNC_FOLLOWER_AGE_MAX_US (3500 * 1000)
/* Added for each one before it in rank. Hubs that missed news ask the first
 * ones for it, and a store that has failed is not called by all at once. */
#define SYNC_FOLLOWER_STEP_US (100 * 1000)
/* Without a reply for this long a list has failed. */
#define SYNC_TIMEOUT_US (2000 * 1000)
/* The same for a question to a peer, who answers from memory. Meanwhile
 * answers of the store are not taken. */
#define SYNC_PEER_TIMEOUT_US (1000 * 1000)
/* The same while nothing is known and no request can be served. */
#define SYNC_FIRST_TIMEOUT_US (600 * 1000)
/* The same after a failure. With the pause after it a VM knows within 1.5 s
 * that the store is back, and what lapsed is dropped before 4 s have passed.
 */
#define SYNC_RETRY_TIMEOUT_US (1000 * 1000)
#define SYNC_BACKOFF_MIN_US (200 * 1000)
#define SYNC_BACKOFF_MAX_US (1000 * 1000)
#define SYNC_FIRST_BACKOFF_MAX_US (250 * 1000)
#define SYNC_FOLLOWER_BACKOFF_MAX_US (4000 * 1000)
/* While one kind finds out whether the store answers again, the others wait
 * for the end of its call. */
#define SYNC_OTHERS_WAIT_US (SYNC_RETRY_TIMEOUT_US + SYNC_BACKOFF_MIN_US)
/* News of this age are logged as old, and again each time it has doubled. */
#define SYNC_OLD_US (4000 * 1000)
/* Failing for this long is an outage, in which entries lapse. */
#define SYNC_OUTAGE_US (500 * 1000)

/* A VM that leaves following the store to hubs asks them at most this often.
 */
#define SYNC_FOLLOW_IVL_US (500 * 1000)
/* While a kind was never read, a peer that has it is asked as soon as the
 * store has taken this long: many times its usual answer. */
#define SYNC_FIRST_PATIENCE_US (100 * 1000)
/* A VM that starts waits this long for the list of VMs before it lists the
 * store for itself. */
#define SYNC_MEMBERS_WAIT_US (500 * 1000)

void sync_init(struct sync *sync, const struct sync_calls *calls, void *ctx);

void sync_clear(struct sync *sync);

/* Fetches what is due. */
void sync_tick(struct sync *sync, struct members *members, int64_t now_us);

/* The reply to a fetch; one with another serial than the last is dropped. */
void sync_on_reply(struct sync *sync, const struct sync_fetch *fetch,
                   const struct store_reply *reply, int64_t now_us);

/*
 * An operator hands over the whole of a kind as of `reply->change`. It is
 * taken if it is newer than what is known; the store is followed as before.
 */
void sync_on_offer(struct sync *sync, enum object_kind kind,
                   const struct store_reply *reply, int64_t now_us);

/* The newest changes known, one for each kind. */
void sync_changes(const struct sync *sync, int64_t *out);

/* How old the news are, one age for each kind, for heartbeats. */
void sync_ages(const struct sync *sync, int64_t now_us, int64_t *out);

/* Whether the configuration is not known as of `age_us` ago. */
bool sync_is_stale(const struct sync *sync, int64_t age_us, int64_t now_us);

/* For how long the store may have changed without this VM's knowledge. */
int64_t sync_age_us(const struct sync *sync, enum object_kind kind,
                    int64_t now_us);

/* Names for logs and metrics. */
const char *sync_kind_name(enum object_kind kind);
const char *sync_call_name(enum sync_call call);

/* What is known of a kind, for a peer. */
const struct cache *sync_news_of(const struct sync *sync,
                                 enum object_kind kind);

#endif
