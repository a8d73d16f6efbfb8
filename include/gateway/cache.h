#ifndef CH_GATEWAY_CACHE_H
#define CH_GATEWAY_CACHE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The objects of one kind as far as they are known: takes over lists, watches
 * and what peers tell, and says what has changed, how new all of it is and
 * what has gone. Does no I/O.
 */

/* One object, or the news that it is gone. */
struct cache_object {
    const char *name;
    int64_t revision; /* of its last change */
    bool is_deleted;
    json_t *spec; /* NULL when deleted */
};

/* A reply to a list or a watch. */
struct store_reply {
    /* RC_OK; RC_VERSION_GONE when the watched history is gone; else the store
     * gave no usable reply. */
    int rc;
    const struct cache_object *objects;
    size_t object_count;
    bool has_more; /* a list goes on after its last object */
    bool is_delta; /* only what changed, as with a watch */
    bool is_whole; /* a list, also as the answer to a watch */
    int64_t current_revision;
    int64_t change; /* newest change that it shows, 0: current_revision */
};

struct cache_known {
    int64_t revision;
    json_t *spec;
};

/* An object that is gone. */
struct cache_removed {
    char *name;
    int64_t change; /* store revision at which its end was known */
};

/* Who gave a reply, and to what. */
enum cache_source {
    CACHE_LIST,
    CACHE_WATCH,
    CACHE_PEER, /* another VM, with what it knows */
};

/* What a reply was. */
enum cache_result {
    CACHE_PAGE,    /* of a list that goes on */
    CACHE_WHOLE,   /* the end of a list */
    CACHE_DELTA,   /* what a peer knew to have changed */
    CACHE_CHANGED, /* a watch with changes */
    CACHE_SAME,    /* a watch without one */
};

/* A changed object. */
typedef void (*cache_object_cb)(const struct cache_object *object, void *ctx);

struct cache {
    GQueue removed;     /* of struct cache_removed, latest last */
    int64_t floor;      /* ends of objects up to this change are not kept */
    GHashTable *known;  /* name -> struct cache_known */
    GHashTable *listed; /* names of a list under way */
    char *after;
    int64_t list_revision; /* of that list's first page, 0: not read */
    int64_t list_us;       /* when that page was read */
    int64_t list_change;   /* newest change of its objects */
    bool has_list;         /* a whole list was read */
    bool must_list;        /* a watch would miss changes */
    int64_t revision;      /* to watch from */
    int64_t seen_revision; /* the store's, in the last answer */
    int64_t seen_us;       /* when that was */
    int64_t change;        /* newest change known */
    int64_t checked_us;    /* up to when all changes are known */
};

/* Watches overlap unless the last answer is older: the store keeps its history
 * for 20 s. */
#define CACHE_OVERLAP_MAX_US (10LL * 1000 * 1000)
/* Ends of objects that are kept for peers. */
#define CACHE_REMOVED_MAX 512

void cache_init(struct cache *cache);

void cache_clear(struct cache *cache);

/* A list that is under way is given up. */
void cache_end_list(struct cache *cache);

/* Takes over a usable reply and calls back for each object that changed. */
enum cache_result cache_take(struct cache *cache, enum cache_source source,
                             const struct store_reply *reply, int64_t now_us,
                             cache_object_cb on_object, void *ctx);

/* Takes over all of the kind as of `reply->change`, whoever gave it. */
void cache_take_whole(struct cache *cache, const struct store_reply *reply,
                      cache_object_cb on_object, void *ctx);

#endif
