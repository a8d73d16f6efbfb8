#ifndef CH_GATEWAY_BACKEND_H
#define CH_GATEWAY_BACKEND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The backend servers, the links to them and what this VM knows of them. */

/* A backend server as it describes itself in the store. */
struct backend_entry {
    const char *id;
    const char *service;
    const char *address; /* IPV4:PORT */
    const char *dc;      /* data centre */
    uint32_t slots;
    bool is_draining;
    int64_t warmup_left_us;
    int64_t born_ms; /* start of the process by its own clock, 0 if not told */
};

enum backend_link_state {
    BACKEND_CONNECTING,
    BACKEND_IDLE,
    BACKEND_BUSY,
};

/* One connection to a backend server. */
struct backend_link {
    struct backend *backend;
    enum backend_link_state state;
    int64_t state_since_us; /* when the state began */
    int64_t expires_us;     /* an idle link is not used from then on */
    void *attempt;          /* of the user, NULL while idle or abandoned */
    int64_t close_us;       /* an abandoned link is closed then */
    void *io;               /* of the I/O side */
};

/* Requests sent in the last second to a cold backend server. */
struct cold_window {
    int64_t window_start_us; /* begin of the window */
    uint32_t count;
};

struct backend {
    uint32_t references;
    char *id;
    char *service;
    char *address;
    char *dc;
    uint32_t slots;
    bool is_draining;
    int64_t born_ms;
    uint64_t start; /* of its process as its answers tell, 0: not known */
    int64_t cold_until_us; /* cold until then */
    int64_t remove_us; /* when a lapsed entry is taken as gone, 0: it is not */
    bool is_removed;
    GPtrArray *links;       /* of struct backend_link */
    int64_t latency_us;     /* moving average of answered requests */
    uint32_t fail_permille; /* moving average of requests without an answer */
    uint32_t consecutive_failures; /* failures in a row */
    int64_t last_chosen_us;        /* when it last got a request */
    int64_t next_late_us;   /* when it may get the next one that is late */
    int64_t avoid_until_us; /* not chosen before then if another one can be */
    int64_t wrong_id_us;    /* when its address answered for another one */
    struct cold_window cold;
};

/* I/O that is asked for. */
struct backend_callbacks {
    /* Starts connecting. Returns RC_OK or RC_LINK_FAILED. */
    int (*connect)(struct backend_link *link, void *ctx);
    void (*close)(struct backend_link *link, void *ctx);
};

struct backend_set {
    GHashTable *by_id;      /* id -> struct backend */
    GHashTable *by_service; /* name -> GPtrArray of struct backend */
    uint32_t link_count;
    uint32_t link_max; /* of all backend servers together */
    const struct backend_callbacks *calls;
    void *ctx;
};

/* A lapsed entry is kept this long: a backend server whose heartbeat was lost
 * writes again. It adds to the 2 s in which a VM that follows a hub learns of
 * a change, and the platform allows 3 s in all. */
#define BACKEND_LAPSE_HOLD_US (800 * 1000)
/* The same after an outage of the store, in which entries lapse. */
#define BACKEND_OUTAGE_HOLD_US (2500 * 1000)
/* But not for longer after its end is known: it may have left in order. */
#define BACKEND_OUTAGE_HOLD_MAX_US (2000 * 1000)
/* An idle link is not reused after this time. */
#define BACKEND_IDLE_MAX_US (20LL * 1000 * 1000)
/* While nine tenths of the links are open, one that was idle for this long is
 * closed. */
#define BACKEND_NEAR_MAX_IDLE_US (1000 * 1000)
/* A link that is not up by then is closed. */
#define BACKEND_CONNECT_MAX_US (1000 * 1000)
/* Failures in a row from which a backend server is avoided. */
#define BACKEND_AVOID_FAILURES 2

void backend_set_init(struct backend_set *set,
                      const struct backend_callbacks *calls, void *ctx);

/* Closes all links. */
void backend_set_clear(struct backend_set *set);

/* Adds or changes the backend server; it may be the same id started again. */
void backend_note(struct backend_set *set, const struct backend_entry *entry,
                  int64_t now_us);

/* The entry is gone from the store; it takes effect at `remove_us`. */
void backend_lapse(struct backend_set *set, const char *id, int64_t remove_us);

/* Removes what lapsed; closes links that are too old. */
void backend_tick(struct backend_set *set, int64_t now_us);

/* The backend servers (struct backend) of a service, NULL for none. */
const GPtrArray *backend_replicas(const struct backend_set *set,
                                  const char *service);

struct backend *backend_find(const struct backend_set *set, const char *id);

struct backend *backend_ref(struct backend *backend);

void backend_unref(struct backend *backend);

bool backend_is_cold(const struct backend *backend, int64_t now_us);

/* The idle link that was used last, or NULL. */
struct backend_link *backend_idle_link(const struct backend *backend,
                                       int64_t now_us);

/* Opens a link for an attempt; NULL when connecting cannot start. */
struct backend_link *backend_open_link(struct backend_set *set,
                                       struct backend *backend, void *attempt,
                                       int64_t now_us);

/* Marks an idle link as used by the attempt. */
void backend_acquire_link(struct backend_link *link, void *attempt,
                          int64_t now_us);

/* Gives the link back; `keepalive_us` is how long it may stay idle. */
void backend_release_link(struct backend_link *link, int64_t keepalive_us,
                          int64_t now_us);

/*
 * The attempt no longer waits. The link stays until it is answered, at most
 * until `until_us`: closing it would cost a new connection.
 */
void backend_abandon_link(struct backend_link *link, int64_t until_us);

/* Links that carry a request or connect for one. */
uint32_t backend_busy_count(const struct backend *backend);

/* Links that connect. */
uint32_t backend_connecting_count(const struct backend *backend);

/* Closes and frees the link. */
void backend_close_link(struct backend_set *set, struct backend_link *link);

/* An answer named the process; a new one is cold for `warmup_us`. */
void backend_note_instance(struct backend *backend, uint64_t start,
                           int64_t warmup_us, int64_t now_us);

/* An answer of the backend server, with how long it took. */
void backend_on_answer(struct backend *backend, int64_t latency_us);

/* A request failed or was not answered in time. */
void backend_on_failure(struct backend *backend, int64_t now_us);

/*
 * A request sent at `sent_us` is not answered in time. Its connection may have
 * gone silent together with others: those that are idle since before are
 * closed. Returns how many.
 */
uint32_t backend_on_overdue(struct backend_set *set, struct backend *backend,
                            int64_t sent_us, int64_t now_us);

/* The backend server refused a request because it is full. */
void backend_on_shed(struct backend *backend, int64_t now_us);

/* Its address belongs to another one; unused until its entry changes. */
void backend_on_wrong_id(struct backend *backend, int64_t now_us);

/* Age of the oldest request that is unanswered, 0 for none. */
int64_t backend_oldest_request_us(const struct backend *backend,
                                  int64_t now_us);

#endif
