#ifndef CH_GATEWAY_BACKEND_H
#define CH_GATEWAY_BACKEND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "gateway/cold.h"
#include "gateway/notice.h"

/*
 * The backend servers, the connections (links) to them, and what this VM has
 * measured of them: latency, failures, cold starts. The set belongs to the
 * gateway; backend servers are reference counted, since links and attempts
 * keep one that was removed. Times are microseconds of the gateway's monotonic
 * clock.
 */

/* A backend server as it describes itself in the store. */
struct backend_entry {
    const char *id;
    const char *service;
    const char *address; /* IPV4:PORT */
    const char *dc;      /* data centre */
    uint32_t slots;      /* requests that it runs at a time */
    bool is_draining;
    int64_t warmup_left_us;
    int64_t era; /* of the store in which it was read, 0: unknown */
    /* Start of the process in ms since 1970 by its own clock, 0: unknown. */
    int64_t started_unix_ms;
};

enum backend_link_state {
    BACKEND_CONNECTING,
    BACKEND_IDLE,
    BACKEND_BUSY,
};

/* One connection to a backend server; it carries one request at a time. */
struct backend_link {
    struct backend *backend; /* holds a reference */
    enum backend_link_state state;
    int64_t state_since_us;  /* when the state began */
    int64_t expires_us;      /* an idle link is not used from then on */
    void *attempt;           /* struct attempt, NULL while idle or abandoned */
    int64_t close_us;        /* an abandoned link is closed then */
    uint64_t request_serial; /* of the request on an abandoned link */
    void *io;                /* of the I/O side */
};

struct backend {
    uint32_t references;
    char *id;
    char *service;
    char *address;
    char *dc;
    uint32_t slots;
    bool is_draining;
    int64_t started_unix_ms; /* as in backend_entry */
    int64_t era;             /* as in its last entry */
    uint64_t start; /* start id of its process, from answers, 0: unknown */
    /* Until then it is cold: it started recently and gets requests at a
     * limited rate. */
    int64_t cold_until_us;
    int64_t remove_us; /* when it is removed after its entry expired, or 0 */
    bool is_removed;
    GPtrArray *links;              /* of struct backend_link */
    int64_t latency_us;            /* moving average of answered requests */
    uint32_t fail_permille;        /* moving average of failed requests */
    uint32_t consecutive_failures; /* since the last answer */
    uint32_t connect_failures;     /* since the last connection */
    int64_t connect_from_us;       /* no new link is opened before, after a
                                    * failed one */
    int64_t last_chosen_us;        /* when the balancer last chose it */
    int64_t next_late_us;          /* when it may get the next late request */
    int64_t avoid_until_us; /* until then only chosen if no other one can be */
    /* When its address answered for another backend server, or 0; it is not
     * used until its entry changes. */
    int64_t wrong_id_us;
    struct notice notice;   /* what its answers said of itself */
    struct cold_sends cold; /* requests while it was cold */
};

/* Callbacks to the I/O side. */
struct backend_callbacks {
    /* Starts connecting. The outcome follows in gateway_on_connected(), never
     * before the return. */
    void (*connect)(struct backend_link *link, void *ctx);
    void (*close)(struct backend_link *link, void *ctx);
};

struct backend_set {
    GHashTable *by_id;           /* id -> struct backend */
    GHashTable *by_service;      /* name -> GPtrArray of struct backend */
    struct notice_table notices; /* of removed backend servers */
    uint32_t link_count;
    uint32_t link_max; /* of all backend servers together */
    const struct backend_callbacks *callbacks;
    void *ctx;
};

/* A backend server is kept for this time after its entry expired, since it may
 * write the entry again after a lost heartbeat. This adds to the 2 s within
 * which a VM that follows a hub learns of a change; the platform allows 3 s in
 * all. */
#define BACKEND_EXPIRY_HOLD_US (800 * 1000)
/* A backend server whose entry expired in an outage of the store is kept until
 * this time after the store's recovery. */
#define BACKEND_OUTAGE_HOLD_US (2500 * 1000)
/* Upper bound on that delay, counted from when this VM learns of the expiry:
 * the backend server may have shut down normally. */
#define BACKEND_OUTAGE_HOLD_MAX_US (2000 * 1000)
/* An idle link is not reused after this time. */
#define BACKEND_IDLE_MAX_US (20LL * 1000 * 1000)
/* While nine tenths of `link_max` are open, links that were idle for this time
 * are closed. */
#define BACKEND_NEAR_MAX_IDLE_US (1000 * 1000)
/* Connect timeout of a link. */
#define BACKEND_CONNECT_MAX_US (1000 * 1000)
/* Consecutive failed connections from which a backend server counts as
 * unreachable. */
#define BACKEND_UNREACHABLE_FAILURES 3
/* Consecutive failures from which a backend server is avoided. */
#define BACKEND_AVOID_FAILURES 2
/* Longest time for which a backend server that rejects some requests is
 * avoided: it may accept them again long before. */
#define BACKEND_PREFER_OTHERS_MAX_US (1000 * 1000)

void backend_set_init(struct backend_set *set,
                      const struct backend_callbacks *callbacks, void *ctx);

/* Closes all links. */
void backend_set_clear(struct backend_set *set);

/* Adds or updates the backend server of the entry. If its service, address,
 * data centre or process start differ, it counts as a new one: the old one is
 * removed. Cancels an earlier backend_expire(). */
void backend_update(struct backend_set *set, const struct backend_entry *entry,
                    int64_t now_us);

/* The entry has expired or was deleted: the backend server is removed at
 * `remove_us`. Does nothing if its removal is already set. */
void backend_expire(struct backend_set *set, const char *id,
                    int64_t remove_us);

/* Removes backend servers whose removal is due; closes links that were idle or
 * abandoned for too long. */
void backend_tick(struct backend_set *set, int64_t now_us);

/*
 * The process of a backend server that started at `started_unix_ms` said that
 * it is leaving; it need not be in the set. Returns whether this is new; other
 * VMs are told then.
 */
bool backend_on_leaving(struct backend_set *set, const char *id,
                        int64_t started_unix_ms, int64_t now_us);

/* Returns another backend server at the same address, or NULL. */
struct backend *backend_find_at_same_address(const struct backend_set *set,
                                             const struct backend *backend);

/* Returns the backend servers (struct backend) of a service, NULL for none. */
const GPtrArray *backend_replicas(const struct backend_set *set,
                                  const char *service);

/* Returns NULL if there is none with the id. */
struct backend *backend_find(const struct backend_set *set, const char *id);

struct backend *backend_ref(struct backend *backend);

void backend_unref(struct backend *backend);

bool backend_is_cold(const struct backend *backend, int64_t now_us);

/* Returns the idle link that was used last, or NULL. */
struct backend_link *backend_idle_link(const struct backend *backend,
                                       int64_t now_us);

/*
 * Whether the service may open one more link. A quarter of the links is kept
 * for services that have few, an equal part for each and at least one link:
 * backend servers that do not answer leave room for those of other services.
 */
bool backend_has_link_room(const struct backend_set *set, const char *service);

/* Opens a link for an attempt. */
struct backend_link *backend_open_link(struct backend_set *set,
                                       struct backend *backend, void *attempt,
                                       int64_t now_us);

/* Marks the link as busy with a request of the attempt. */
void backend_acquire_link(struct backend_link *link, void *attempt,
                          int64_t now_us);

/* Makes the link idle; it may stay so for `keepalive_us`. */
void backend_release_link(struct backend_link *link, int64_t keepalive_us,
                          int64_t now_us);

/*
 * The attempt no longer waits. The link stays open until it is answered, at
 * most until `until_us`: closing it would cost a new connection. `serial` is
 * that of the request.
 */
void backend_abandon_link(struct backend_link *link, uint64_t serial,
                          int64_t until_us);

/* Abandoned links that still carry the request with this serial stay open no
 * longer than until `until_us`. */
void backend_hasten_abandoned(struct backend *backend, uint64_t serial,
                              int64_t until_us);

/* A link to the backend server was established. */
void backend_on_connected(struct backend *backend);

/* A link could not be established, for any reason. */
void backend_on_connect_failure(struct backend *backend, int64_t now_us);

/*
 * Whether a new link may be opened. After a failed one there is a pause that
 * grows with each further failure; then one link at a time is tried until one
 * is established.
 */
bool backend_may_connect(const struct backend *backend, int64_t now_us);

/* Whether no link could be established in BACKEND_UNREACHABLE_FAILURES tries
 * and none may be tried now. */
bool backend_is_unreachable(const struct backend *backend, int64_t now_us);

/* Returns how many links carry a request or are connecting. */
uint32_t backend_busy_count(const struct backend *backend);

/* Returns how many links are connecting. */
uint32_t backend_connecting_count(const struct backend *backend);

/* Closes idle links; of a removed backend server also abandoned ones. */
void backend_close_idle_links(struct backend_set *set,
                              struct backend *backend);

/* Closes idle links until at most `max` links are left or all are in use. */
void backend_close_surplus_links(struct backend_set *set,
                                 struct backend *backend, uint32_t max);

/* Closes links that were idle or abandoned for too long. Links that carry an
 * attempt are closed by its owner. */
void backend_tick_links(struct backend_set *set, struct backend *backend,
                        int64_t now_us);

/* Closes and frees the link. */
void backend_close_link(struct backend_set *set, struct backend_link *link);

/* An answer named its process: if that is another one than before, the backend
 * server is cold for `warmup_us`. */
void backend_record_start(struct backend *backend, uint64_t start,
                          int64_t warmup_us, int64_t now_us);

/* The backend server answered a request after `latency_us`. */
void backend_on_answer(struct backend *backend, int64_t latency_us);

/* A request failed or was not answered in time. After BACKEND_AVOID_FAILURES
 * in a row the backend server is avoided for a while. */
void backend_on_failure(struct backend *backend, int64_t now_us);

/*
 * A request sent at `sent_us` was not answered in time. Its connection may
 * have gone silent together with others, so links that are idle since before
 * that time are closed. Returns how many were closed.
 */
uint32_t backend_on_overdue(struct backend_set *set, struct backend *backend,
                            int64_t sent_us, int64_t now_us);

/* The backend server refused a request because it is full. */
void backend_on_shed(struct backend *backend, int64_t now_us);

/* The backend server rejects some requests: for `delay_us`, at most
 * BACKEND_PREFER_OTHERS_MAX_US, others are preferred. */
void backend_prefer_others(struct backend *backend, int64_t delay_us,
                           int64_t now_us);

/* Its address answered for another backend server: it is not used until its
 * entry changes. */
void backend_on_wrong_id(struct backend *backend, int64_t now_us);

/* Returns the age of the oldest unanswered request, 0 for none. */
int64_t backend_oldest_request_us(const struct backend *backend,
                                  int64_t now_us);

#endif
