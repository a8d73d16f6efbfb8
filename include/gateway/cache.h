#ifndef CH_GATEWAY_CACHE_H
#define CH_GATEWAY_CACHE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/object_room.h"
#include "gateway/position.h"

/*
 * Cache of the objects of one kind: applies lists and watches of the store and
 * the state that peers send, reports each changed object, and keeps up to
 * which position and as of which time its content is complete. The sync module
 * owns the cache. Times are in microseconds of the monotonic clock; positions
 * are the store's. The module does no I/O.
 *
 * The first list of a later era is that of an older copy. What was known to be
 * in force may be missing from it or be listed as it was before, until it is
 * written again: struct cache_rules says what of it stays for a while.
 *
 *   kept      a state of an earlier era, in force instead of the listed one
 *   missing   an object of an earlier era that the list lacks, in force
 *   withheld  a listed object that was deleted in an earlier era, not in force
 *   hold      the time for which these last at most
 *
 * What an object takes is counted in a struct object_room. One that has no
 * room is not taken: what was known of it stays in force, and the list or the
 * changes that it came with do not count as read. Only a list that was read to
 * its end shows that objects are gone.
 */

/* One object, or its deletion. */
struct cache_object {
    const char *name;
    struct position position; /* of its last change */
    bool is_deleted;
    json_t *spec; /* NULL when deleted */
    /* The next four are of an object of a peer, as in struct cache_entry. */
    json_t *kept_spec;
    bool is_missing;
    bool is_withheld;
    bool is_presumed;
    /* How much longer the peer holds that, 0: it does not say, or no longer.
     */
    int64_t hold_us;
};

/* Reply of the store or of a peer to a fetch. */
struct store_reply {
    /* RC_OK; RC_VERSION_GONE when the store no longer has the history that a
     * watch starts from; otherwise there was no usable reply. */
    int rc;
    const struct cache_object *objects;
    size_t object_count;
    bool has_more;           /* a further page of the list follows */
    bool is_delta;           /* holds only what changed, as a watch does */
    bool is_full_list;       /* a complete list, also in reply to a watch */
    struct position current; /* of the store */
    struct position change;  /* newest change included, revision 0: current */
};

struct cache_entry {
    struct position position;
    json_t *spec; /* as the store has it */
    /* From an earlier era, in force instead of `spec`, or NULL. Of an entry
     * that is withheld: the state before it was deleted. */
    json_t *kept_spec;
    bool is_missing;  /* from an earlier era, not in the store */
    bool is_withheld; /* was deleted in an earlier era: not in force until it
                       * is written again or its hold ends */
    bool is_presumed; /* withheld, but a copy only lacked it: it was presumed
                       * to be gone when it was not written again in time */
    uint64_t bytes;   /* taken for it in the room */
    uint64_t list_serial; /* of the latest list that names it */
};

/* A deleted object. */
struct cache_tombstone {
    char *name;
    struct position change; /* as of which it is deleted */
    json_t *spec;           /* in force before, or NULL */
    int64_t gone_us;        /* since when it is known to be gone for good */
    uint64_t bytes;         /* taken for it in the room, as for the object */
    bool is_presumed;       /* as in struct cache_entry */
};

/* Source of a change. */
enum cache_source {
    CACHE_LIST,
    CACHE_WATCH,
    CACHE_PEER, /* the state of another VM */
    CACHE_PUSH, /* an operator, see cache_replace_all() */
    CACHE_HOLD, /* none: a hold has ended, see cache_tick() */
};

/* What a reply contained. */
enum cache_result {
    CACHE_LIST_PAGE,       /* a page of a list, not the last one */
    CACHE_LIST_STUCK,      /* such a page that names no further object */
    CACHE_LIST_DONE,       /* the last page of a list */
    CACHE_NO_ROOM,         /* some objects were not taken for lack of room:
                            * to be read again */
    CACHE_PEER_DELTA,      /* changes that a peer sent */
    CACHE_PEER_OLD,        /* an earlier state of a peer: only what it keeps of
                            * an earlier era is taken */
    CACHE_WATCH_CHANGED,   /* a watch with changes */
    CACHE_WATCH_UNCHANGED, /* a watch without changes */
};

/* What becomes of an object that the list of a later era lacks. */
enum cache_missing {
    CACHE_MISSING_DELETED, /* it is deleted, like one of the same era */
    CACHE_MISSING_HELD,    /* it stays for CACHE_HOLD_US */
    CACHE_MISSING_KEPT,    /* it stays until it is written or deleted */
};

/* A state from an earlier era that an object of the store would replace. */
enum cache_past {
    CACHE_PAST_IN_FORCE, /* in force until now */
    CACHE_PAST_KEPT,     /* has outlived an object of this era */
    CACHE_PAST_DELETED,  /* in force until its object was deleted */
};

/* What differs between the kinds: what stays in force when the store returns
 * to an older copy, and what an object takes. */
struct cache_rules {
    enum cache_missing missing;
    /* Whether the held state stays in force instead of the listed object, or
     * stays deleted. NULL: never. */
    bool (*outlives)(const struct cache_object *held,
                     const struct cache_object *listed, enum cache_past what,
                     void *ctx);
    /* Memory in bytes of what is made of an object in force. NULL: none. */
    uint64_t (*decoded_bytes)(const struct cache_object *object, void *ctx);
    void *ctx;
};

/* Called for each object that was added, changed or deleted. */
typedef void (*cache_object_cb)(const struct cache_object *object, void *ctx);

struct cache {
    struct cache_rules rules;
    GQueue tombstones; /* of struct cache_tombstone, latest last */
    /* Tombstones of changes up to this one are not kept. */
    struct position tombstone_floor;
    GHashTable *entries;            /* name -> struct cache_entry */
    struct object_room *room;       /* NULL: no limit */
    enum object_kind kind;          /* whose part of the room is used */
    uint32_t lacking;               /* objects of the list or reply that had no
                                     * room */
    uint64_t no_room;               /* the same, since the start */
    bool has_part;                  /* a list or changes were applied in part
                                     * since the last whole list */
    bool is_listing;                /* a list is in progress */
    uint64_t list_serial;           /* of the latest list */
    uint32_t listed_count;          /* objects that it has named */
    uint64_t list_bytes;            /* that these take or would take */
    char *after;                    /* last name of its last page, NULL: no
                                     * page */
    bool has_page;                  /* its first page was read */
    struct position list_position;  /* of its first page */
    int64_t list_us;                /* when that page was read */
    struct position list_change;    /* newest change of its objects */
    bool has_list;                  /* a whole list was read */
    bool needs_list;                /* a watch would miss changes */
    struct position position;       /* from which to watch */
    struct position store_position; /* of the store, in its last answer */
    int64_t store_position_us;      /* when that answer arrived */
    struct position change;         /* newest change included */
    int64_t synced_us;     /* time as of which all changes are included */
    int64_t hold_until_us; /* end of the hold after a return, 0: none */
    bool has_held;         /* something was held in this hold */
    uint64_t passed_over;  /* objects that the store should not offer, not
                            * taken */
    uint64_t kept;         /* objects that outlived a return */
    uint64_t released;     /* such objects whose hold has ended */
};

/* After a watch without changes the next one starts where the one before it
 * ended, unless the last answer is older than this: the store keeps its
 * history for 20 s. */
#define CACHE_OVERLAP_MAX_US (10LL * 1000 * 1000)
/* Tombstones that are kept for peers, and for a copy that has the objects
 * still: many backend servers may end at about the same time. */
#define CACHE_TOMBSTONES_MAX 4096
/* How long what outlives a return waits to be written again: several
 * intervals at which operators and backend servers write. */
#define CACHE_HOLD_US (10LL * 1000 * 1000)
/* An object that is missing from a copy is gone for good if it is not written
 * again within this time. */
#define CACHE_REWRITE_US (2LL * 1000 * 1000)
/* The copy that a store returns to is at most this old. */
#define CACHE_COPY_AGE_MAX_US (30LL * 1000 * 1000)

void cache_init(struct cache *cache, const struct cache_rules *rules);

/* Limits what the objects take: their part of `room` is that of `kind`. Call
 * it before the first reply. */
void cache_set_room(struct cache *cache, struct object_room *room,
                    enum object_kind kind);

void cache_clear(struct cache *cache);

/* Drops the list in progress, if there is one. */
void cache_reset_list(struct cache *cache);

/* The store has returned to an older copy: only a list shows its state. */
void cache_start_era(struct cache *cache);

/* Applies a reply whose `rc` is RC_OK. Calls `on_object` for each object that
 * the reply adds, changes or deletes. */
enum cache_result cache_apply_reply(struct cache *cache,
                                    enum cache_source source,
                                    const struct store_reply *reply,
                                    int64_t now_us, cache_object_cb on_object,
                                    void *ctx);

/* Replaces the content by the objects of the reply, which are all of the kind
 * as of `reply->change`. Returns CACHE_LIST_DONE or CACHE_NO_ROOM. */
enum cache_result cache_replace_all(struct cache *cache,
                                    const struct store_reply *reply,
                                    int64_t now_us, cache_object_cb on_object,
                                    void *ctx);

/*
 * Takes what a peer of the same era holds since a return and this cache does
 * not know: the objects of the reply are those that the peer keeps, misses or
 * withholds. Of those that the peer presumes to be gone it takes none unless
 * `takes_presumed`: a VM that has seen the copy itself knows better. The hold
 * of this cache lasts as long as the peer's, if that ends later. Calls
 * `on_object` for each object whose state in force changes. Returns how many
 * were taken.
 */
uint32_t cache_take_held(struct cache *cache, const struct store_reply *reply,
                         bool takes_presumed, int64_t now_us,
                         cache_object_cb on_object, void *ctx);

/* Whether the entry is not as the store has it since a return. */
bool cache_is_held(const struct cache_entry *entry);

/* Ends the hold after a return when its time has come: the state of the store
 * is in force from then on. */
void cache_tick(struct cache *cache, int64_t now_us, cache_object_cb on_object,
                void *ctx);

/* The position as of which the content is complete: that of the newest change
 * or, if it is later, that which a watch starts from. */
struct position cache_known(const struct cache *cache);

/* The object that is in force for the entry. */
struct cache_object cache_object_of(const char *name,
                                    const struct cache_entry *entry);

#endif
