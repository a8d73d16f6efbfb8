#ifndef CH_GATEWAY_APP_H
#define CH_GATEWAY_APP_H

#include <uv.h>

#include "common/counter.h"
#include "common/histogram.h"
#include "common/http_server.h"
#include "gateway/allot.h"
#include "gateway/gateway.h"
#include "gateway/member.h"
#include "gateway/settings.h"
#include "gateway/sync.h"
#include "gateway/wire.h"

/*
 * One gateway process: owns the event loop, the modules that decide and hold
 * state (gateway, members, sync) and the modules that do the I/O for them
 * (..._io.c). Everything runs on the thread of the event loop. Times are in
 * microseconds of the monotonic clock unless their names say otherwise.
 */

struct app;

/* The servers for callers and operators; one table for each interface that a
 * process can offer. */
struct app_front {
    bool has_orders; /* the process keeps outcomes of orders */
    /* Listens. Returns RC_OK or RC_IO. */
    int (*open)(struct app *app);
    /* A new configuration is in force; may be NULL. */
    void (*on_config)(struct app *app, int64_t now_us);
    /* Called every 100 ms; may be NULL. */
    void (*tick)(struct app *app, int64_t now_us);
    /* Whether a caller has a request or an answer on the way. */
    bool (*is_owing)(const struct app *app);
    /* SIGTERM was received: closes each connection after its next answer. */
    void (*drain)(struct app *app);
    /* Stops accepting connections. */
    void (*stop)(struct app *app);
    void (*close)(struct app *app);
};

struct store_io;
struct register_io;
struct peer_io;
struct roster_io;

struct app {
    uv_loop_t loop;
    const struct wire *wire;
    const struct app_front *front;
    void *front_ctx;           /* owned by `front` */
    const char *settings_path; /* NULL: settings do not change */
    struct settings settings;
    struct counter_set *counters;
    struct allot allot; /* descriptors and memory that peers may take */
    struct histogram answer_us; /* time from request to answer */
    struct gateway gateway;
    struct members members;
    struct sync sync;
    struct store_io *store;
    struct register_io *registration;
    struct peer_io *peers;
    struct roster_io *roster;
    uv_timer_t tick_timer;
    uv_timer_t due_timer; /* at the next gateway_due_us() */
    uv_prepare_t prepare;
    uv_signal_t term_signal;
    uv_signal_t hup_signal;
    char *peer_address;
    uint64_t noticed_returns; /* of the store, that the members know of */
    bool is_ready_announced;  /* a heartbeat was sent when it became ready */
    uint64_t start;           /* start id: random, new in each process */
    uint64_t random_state;
    int64_t settings_mtime_ns;
    int64_t settings_checked_us;
    int64_t totals_us;  /* when the totals were last logged */
    int64_t started_us; /* when the process started */
};

/* Runs until SIGTERM with `settings`, whose strings it takes ownership of, or,
 * unless `settings_path` is NULL, with the settings of that file. Returns
 * RC_OK; RC_INVALID for wrong settings or RC_IO if it cannot listen. */
int app_run(struct settings *settings, const char *settings_path,
            const struct wire *wire, const struct app_front *front);

/* The monotonic clock in microseconds; it goes on while the VM is suspended.
 */
int64_t app_now_us(void);

/* Runs sync_tick() at once, for changes that should not wait for the next
 * tick. */
void app_sync(struct app *app);

/* Tells the members of a return of the store, whether an answer of the store
 * or the state of a peer has shown it. */
void app_notice_return(struct app *app, int64_t now_us);

/* Makes the server draw on this share, and its clients that do not read
 * answers leave room for those of backend servers. */
void app_account_server(struct app *app, struct http_server *server,
                        enum allot_share share);

/* Counts a request that a server refused; `ctx` is the struct app. */
void app_on_refused(int rc, void *ctx);

/* Every answer of the store passes here first, whatever its status. Returns
 * whether it may be used, as sync_on_era(). */
bool app_on_store_answer(struct app *app,
                         const struct http_response *response);

/* Version of the configuration in force, 0 without one. */
int64_t app_config_version(const struct app *app);

/* A random number from 0 to below 1; `ctx` is the struct app. */
double app_random(void *ctx);

/* Whether this VM accepts requests: the configuration and the backend servers
 * are known and the process is not stopping. */
bool app_is_ready(const struct app *app);

/* Lists and watches in the store (store_io.c). */
struct store_io *store_io_new(struct app *app);
void store_io_free(struct store_io *store);
/* Starts a fetch from the store; the result goes to sync_on_reply(). */
void store_io_fetch(struct store_io *store, const struct sync_fetch *fetch);
/* Ends the last fetch of the kind without a result. */
void store_io_cancel(struct store_io *store, enum object_kind kind);
/* The store has another address: ends the connections and the fetches on them.
 */
void store_io_reconnect(struct store_io *store);

/* This VM's object in the store and the list of the other VMs (register_io.c).
 */
struct register_io *register_io_new(struct app *app);
void register_io_free(struct register_io *registration);
/* Handles timeouts, and renews this VM's object and lists the other VMs when
 * that is due. */
void register_io_tick(struct register_io *registration, int64_t now_us);
/* The content of this VM's object has changed: it is written again. */
void register_io_renew(struct register_io *registration, int64_t now_us);
/* Deletes this VM's object. */
void register_io_stop(struct register_io *registration);

/* Reads and writes the roster of backend servers in the store (roster_io.c).
 */
struct roster_io *roster_io_new(struct app *app);
void roster_io_free(struct roster_io *roster_io);
void roster_io_tick(struct roster_io *roster_io, int64_t now_us);

/* Heartbeats and requests for state among the VMs (peer_io.c). peer_io_new()
 * returns RC_OK, or RC_IO if it cannot bind the peer port. */
int peer_io_new(struct app *app, struct peer_io **out);
void peer_io_free(struct peer_io *peers);
void peer_io_tick(struct peer_io *peers, int64_t now_us);
/* Sends heartbeats now, to all members that get them. */
void peer_io_send_heartbeats(struct peer_io *peers);
/* Starts a fetch from a peer; the result goes to sync_on_reply(). */
void peer_io_fetch(struct peer_io *peers, const struct sync_fetch *fetch);
/* Ends the last fetch of the kind without a result. */
void peer_io_cancel(struct peer_io *peers, enum object_kind kind);

/* Connections to backend servers (link_io.c), as in struct gateway_callbacks.
 */
void link_io_connect(struct backend_link *link, void *ctx);
void link_io_close(struct backend_link *link, void *ctx);
int link_io_send(struct backend_link *link, const struct attempt_send *send,
                 void *ctx);

/* Callers' requests (caller_io.c). */
void caller_io_on_request(struct http_request *http, void *ctx);

/* Addresses, readiness and metrics (directory_io.c). */
void directory_io_on_ready(struct http_request *http, void *ctx);
void directory_io_on_directory(struct http_request *http, void *ctx);
void directory_io_on_metrics(struct http_request *http, void *ctx);

/* How long callers may cache an address list. Some callers cache it three
 * times as long; even those stop using a VM before it exits. */
#define APP_ADDRESS_TTL_MS 1000

/* The platform's interface (front_io.c): requests are forwarded unchanged, and
 * readiness, addresses and metrics have servers of their own. */
extern const struct app_front front_io_front;

#endif
