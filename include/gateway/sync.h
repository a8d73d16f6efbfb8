#ifndef CH_GATEWAY_SYNC_H
#define CH_GATEWAY_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/cache.h"
#include "gateway/member.h"

/*
 * Keeps the caches of all kinds of objects up to date: lists and watches the
 * kinds in the store, fetches newer state from peers, and backs off while the
 * store fails. The process (struct app) owns the state and performs the
 * fetches that the module asks for; the module does no I/O. Times are in
 * microseconds of the monotonic clock.
 *
 * A pending watch does not show whether the cache is current: the store may
 * have no change to report, or may never answer. So the first live VM by rank
 * keeps its watches short, and heartbeats carry the age of each kind, the time
 * since the sender last knew all changes. A VM whose age is too high, by its
 * own calls and by the heartbeats of VMs that rank before it, asks the store
 * itself.
 */

/* A list, a watch, or a request to a peer. */
struct sync_fetch {
    enum object_kind kind;
    bool is_watch;
    struct position from; /* that a watch starts from */
    int64_t wait_ms;      /* for which the store may hold a watch */
    const char *after; /* name after which a list continues, NULL: the start */
    const char *peer;  /* address of the peer to ask, NULL: the store */
    struct position since; /* a peer sends only what changed after */
    bool is_held;          /* a peer sends only what it holds since a return */
    uint32_t serial;       /* to be passed back with the reply */
};

struct sync_callbacks {
    /* Starts a fetch; its result goes to sync_on_reply(). */
    void (*fetch)(const struct sync_fetch *fetch, void *ctx);
    /* The last fetch of the kind, from a peer or from the store, has timed
     * out, and an answer would be of no use; may be NULL. */
    void (*cancel)(enum object_kind kind, bool is_from_peer, void *ctx);
    /* An object was changed or deleted; `remove_us` is when a deletion takes
     * effect. */
    void (*apply)(enum object_kind kind, const struct cache_object *object,
                  int64_t remove_us, int64_t now_us, void *ctx);
    /* As in struct cache_rules; may be NULL. */
    bool (*outlives)(enum object_kind kind, const struct cache_object *held,
                     const struct cache_object *listed, enum cache_past what,
                     void *ctx);
    /* As in struct cache_rules; may be NULL. */
    uint64_t (*decoded_bytes)(enum object_kind kind,
                              const struct cache_object *object, void *ctx);
};

struct sync;

/* Context of sync_on_object(). */
struct sync_apply_ctx {
    struct sync *sync;
    enum object_kind kind;
    enum cache_source source;
    int64_t now_us;
};

/* State of one kind. */
struct sync_feed {
    struct sync *sync;
    enum object_kind kind;
    struct cache cache;
    bool is_in_flight; /* the last fetch has no reply */
    bool is_late;      /* it timed out, and its answer is still of use */
    bool is_from_peer; /* it goes to a peer */
    bool is_watch;     /* it is a watch */
    bool is_probe;     /* it was sent while the store failed */
    uint32_t serial;   /* of that fetch */
    int64_t sent_us;
    int64_t wait_us;        /* that the watch asked for */
    int64_t due_us;         /* when to fetch next */
    struct position since;  /* that the next request to a peer names */
    int64_t peer_due_us;    /* when a peer may be asked next */
    bool has_upstream;      /* a VM ranked before this one is up to date */
    int64_t version_due_us; /* when a peer may be asked for its version next */
    /* The request for what a peer holds: sent_us is 0 if none is in flight. */
    int64_t held_sent_us;
    uint32_t held_serial;
    char *held_vm;          /* that is asked, NULL: none was */
    bool is_held_lost;      /* it has not answered */
    int64_t held_due_us;    /* when a peer may be asked for that next */
    int64_t logged_age_us;  /* age at the last warning, 0: none */
    uint32_t no_room_count; /* consecutive calls whose objects had no room */
};

/* Kinds of calls, to count those that timed out. */
enum sync_call {
    SYNC_LIST,
    SYNC_WATCH,
    SYNC_PEER,
    SYNC_CALL_COUNT,
};

struct sync {
    const struct sync_callbacks *callbacks;
    void *ctx;
    struct sync_feed feeds[OBJECT_KIND_COUNT];
    struct object_room room;  /* of the objects of all kinds */
    bool is_follower;         /* see member_is_follower() */
    int64_t age_max_us;       /* at a higher age the store is asked */
    uint32_t failures;        /* consecutive failed calls to the store */
    int64_t failing_since_us; /* 0: the store answers */
    int64_t last_answer_us;   /* of the store */
    int64_t slow_us; /* time of its last answer if that was slow, else 0 */
    int64_t recovered_us; /* when it first answered after an outage */
    int64_t started_us;   /* first call of sync_tick() */
    uint64_t unanswered[SYNC_CALL_COUNT]; /* calls that timed out */
    uint64_t aborted_watches; /* because the age had become too high */
    /* Latest position that the store has answered with. Its era is the latest
     * one seen in any answer of the store or state of a peer. */
    struct position store;
    uint64_t store_returns; /* how often a later era was seen */
    uint64_t past_answers;  /* answers of an earlier era, not used */
};

/* Shortest time between two watches of a kind, so that a burst of changes
 * costs one call. */
#define SYNC_WATCH_INTERVAL_US (500 * 1000)
#define SYNC_WATCH_WAIT_MS 25000
/* Without an upstream VM, watches are to be answered when the age reaches the
 * first value, but wait at least for the second. */
#define SYNC_WATCH_SHORT_MS 1000
#define SYNC_WATCH_MIN_MS 200
/* A watch has failed without a reply for this long beyond its wait. */
#define SYNC_WATCH_TIMEOUT_US (1000 * 1000)
/* An answer that takes this long is slow: with a lost watch and one such call
 * a change is not in force after 3 s. Calls to a slow store time out later, by
 * the time of its last answer, at most by the second value. */
#define SYNC_SLOW_ANSWER_US (1000 * 1000)
#define SYNC_SLOW_ANSWER_MAX_US (3000 * 1000)
/* Age at which a slow store is asked, beyond the time of its answers: a short
 * watch and a lost heartbeat. */
#define SYNC_SLOW_AGE_US (1500 * 1000)
/* At this age the store is asked. A short watch and a lost heartbeat take 2 s;
 * a change must be in force 3 s after the store accepted it. */
#define SYNC_AGE_MAX_US (2000 * 1000)
/* The same for the first follower: in a large fleet followers exchange
 * heartbeats with hubs only once a second. */
#define SYNC_FOLLOWER_AGE_MAX_US (3500 * 1000)
/* Added for each follower ranked before this one. The first followers find the
 * changes that all hubs missed, and the hubs fetch these from them; the
 * stagger keeps followers from all calling a failed store at the same time. */
#define SYNC_FOLLOWER_STAGGER_US (100 * 1000)
/* Timeout of a list. */
#define SYNC_TIMEOUT_US (2000 * 1000)
/* Timeout of a request to a peer, which answers from memory. Replies of the
 * store are not accepted meanwhile. */
#define SYNC_PEER_TIMEOUT_US (1000 * 1000)
/* Timeout of a list while some kind was never read and no request can be
 * served. */
#define SYNC_FIRST_TIMEOUT_US (600 * 1000)
/* Timeout of a list after a failure. With the backoff after it a VM detects
 * within 1.5 s that the store is back, and expired entries are removed within
 * 4 s. */
#define SYNC_RETRY_TIMEOUT_US (1000 * 1000)
#define SYNC_BACKOFF_MIN_US (200 * 1000)
#define SYNC_BACKOFF_MAX_US (1000 * 1000)
#define SYNC_FIRST_BACKOFF_MAX_US (250 * 1000)
#define SYNC_FOLLOWER_BACKOFF_MAX_US (4000 * 1000)
/* While a call for one kind probes whether the store answers again, the other
 * kinds wait until that call has ended. */
#define SYNC_OTHER_KINDS_DELAY_US (SYNC_RETRY_TIMEOUT_US + SYNC_BACKOFF_MIN_US)
/* An age of this much is logged, and again each time it has doubled. */
#define SYNC_LOG_AGE_US (4000 * 1000)
/* A store that failed for this long had an outage, in which the entries of
 * backend servers may have expired. */
#define SYNC_OUTAGE_MIN_US (500 * 1000)

/* Shortest time between two requests of a follower to peers. */
#define SYNC_PEER_FETCH_INTERVAL_US (500 * 1000)
/* Shortest time between two requests for a later version of the configuration
 * that a peer has in force: it may be one that this VM cannot take. */
#define SYNC_VERSION_FETCH_INTERVAL_US (5000 * 1000)
/* Shortest time between two requests for what peers hold since a return, and
 * their timeout: the answer is short, and another peer may give it. */
#define SYNC_HELD_FETCH_INTERVAL_US (100 * 1000)
#define SYNC_HELD_TIMEOUT_US (500 * 1000)
/* While a kind was never read, a peer is asked once the store has taken this
 * long, many times its usual answer time. */
#define SYNC_FIRST_PEER_DELAY_US (100 * 1000)
/* A starting VM waits this long for the list of VMs, which shows whether it
 * is a follower, before it lists the kinds itself. */
#define SYNC_MEMBERS_WAIT_US (500 * 1000)

void sync_init(struct sync *sync, const struct sync_callbacks *callbacks,
               void *ctx);

/* Limits the memory that the objects take to that of the share. What is more
 * is not taken; the call that brought it counts as failed, and the feed of the
 * kind is read again with growing delays. Call it before sync_tick(). */
void sync_set_share(struct sync *sync, struct resource_share *share);

void sync_clear(struct sync *sync);

/* Handles timeouts and starts the fetches that are due. Call it every 100 ms.
 */
void sync_tick(struct sync *sync, struct members *members, int64_t now_us);

/*
 * Notes the era of an answer of the store, whatever its status. Returns
 * whether the answer may be used: not if it is of an earlier era, or if its
 * era is later than those seen before. Then the store has returned to an older
 * copy, calls in flight are given up, and each kind is listed again at once.
 */
bool sync_on_era(struct sync *sync, int64_t era, int64_t now_us);

/* The same for the state of a kind that a peer sent: a later era starts lists
 * of the other kinds. Returns whether the state may be used: not if it is of
 * an earlier era. */
bool sync_on_peer_era(struct sync *sync, enum object_kind kind, int64_t era,
                      int64_t now_us);

/* An object of the kind has changed: passes it on to the process. `ctx` is a
 * struct sync_apply_ctx. */
void sync_on_object(const struct cache_object *object, void *ctx);

/* Handles the reply to a fetch, unless its serial is not that of the last
 * fetch of the kind. */
void sync_on_reply(struct sync *sync, const struct sync_fetch *fetch,
                   const struct store_reply *reply, int64_t now_us);

/*
 * Replaces all objects of a kind by those that an operator pushed, as of
 * revision `reply->change`, unless the cache is as new. Fetches from the store
 * continue as before.
 */
void sync_on_push(struct sync *sync, enum object_kind kind,
                  const struct store_reply *reply, int64_t now_us);

/* Gives up what the kind has held for `held_us` since a return of the store:
 * it is as the store has it from the next sync_tick() on. Returns whether
 * anything was held for so long. */
bool sync_end_hold(struct sync *sync, enum object_kind kind, int64_t held_us,
                   int64_t now_us);

/* Asks a VM that holds something of the kind since a return of the store, if
 * there is one that was not asked lately. */
void sync_fetch_held(struct sync *sync, enum object_kind kind,
                     struct members *members, int64_t now_us);

/* Takes what a peer holds; sync_on_reply() passes such replies on. */
void sync_on_held(struct sync *sync, const struct sync_fetch *fetch,
                  const struct store_reply *reply, int64_t now_us);

/* For how much longer this VM holds something since a return, one for each
 * kind, 0: it holds nothing. Not of the configuration, whose version is
 * compared. */
void sync_holds(const struct sync *sync, int64_t now_us, int64_t *out);

/* Position of the newest change known, one for each kind. */
void sync_changes(const struct sync *sync, struct position *out);

/* Position as of which all changes are known, one for each kind. */
void sync_known(const struct sync *sync, struct position *out);

/* Ages for a heartbeat, one for each kind; MEMBER_AGE_NONE for a kind that was
 * never read. */
void sync_ages(const struct sync *sync, int64_t now_us, int64_t *out);

/* Whether the configuration was never read or its age is at least `age_us`. */
bool sync_is_stale(const struct sync *sync, int64_t age_us, int64_t now_us);

/* Age of a kind: the time since this VM last knew all its changes, or since
 * the first sync_tick() if that is shorter. */
int64_t sync_age_us(const struct sync *sync, enum object_kind kind,
                    int64_t now_us);

/* Names for logs and metrics. */
const char *sync_kind_name(enum object_kind kind);
const char *sync_call_name(enum sync_call call);

/* The cache of a kind. */
const struct cache *sync_cache_of(const struct sync *sync,
                                  enum object_kind kind);

#endif
