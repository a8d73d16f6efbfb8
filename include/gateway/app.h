#ifndef CH_GATEWAY_APP_H
#define CH_GATEWAY_APP_H

#include <uv.h>

#include "common/counter.h"
#include "common/histogram.h"
#include "common/http_server.h"
#include "gateway/gateway.h"
#include "gateway/member.h"
#include "gateway/settings.h"
#include "gateway/sync.h"
#include "gateway/wire.h"

/* One gateway process: the decision modules and the sockets around them. */

struct app;

/* What callers and operators speak: the servers of a process. */
struct app_front {
    /* Listens. Returns RC_OK or RC_IO. */
    int (*open)(struct app *app);
    /* A configuration came into force; may be NULL. */
    void (*on_config)(struct app *app, int64_t now_us);
    /* Called every 100 ms; may be NULL. */
    void (*tick)(struct app *app, int64_t now_us);
    /* Whether requests are under way that the core does not know. */
    bool (*is_busy)(const struct app *app);
    /* The process stops: connections end with their next answer. */
    void (*drain)(struct app *app);
    /* No new connections. */
    void (*stop)(struct app *app);
    void (*close)(struct app *app);
};

struct store_io;
struct peer_io;
struct roster_io;

struct app {
    uv_loop_t loop;
    const struct wire *wire;
    const struct app_front *front;
    void *front_ctx;           /* of the front */
    const char *settings_path; /* NULL: settings do not change */
    struct settings settings;
    struct counter_set *counters;
    struct histogram answer_us; /* from request to answer */
    struct gateway gateway;
    struct members members;
    struct sync sync;
    struct store_io *store;
    struct peer_io *peers;
    struct roster_io *roster;
    uv_timer_t tick_timer;
    uv_timer_t due_timer;
    uv_prepare_t prepare;
    uv_signal_t term_signal;
    uv_signal_t hup_signal;
    char *peer_address;
    bool is_ready_announced; /* the others were told that this VM is ready */
    uint64_t start;
    uint64_t random_state;
    int64_t settings_mtime_ns;
    int64_t settings_checked_us;
    int64_t totals_us;   /* when the totals were logged */
    int64_t stopping_us; /* when SIGTERM came, 0: not */
};

/* Runs until SIGTERM with the settings, which it takes over, or with those of
 * the file at `settings_path` unless that is NULL. Returns RC_OK or why it
 * could not start. */
int app_run(struct settings *settings, const char *settings_path,
            const struct wire *wire, const struct app_front *front);

/* The steady clock in microseconds. */
int64_t app_now_us(void);

/* Fetches what is due, for news that should not wait for the next tick. */
void app_sync(struct app *app);

/* A number from 0 to 1; `ctx` is the struct app. */
double app_random(void *ctx);

/* Whether this VM takes requests. */
bool app_is_ready(const struct app *app);

/* Store calls (store_io.c). */
struct store_io *store_io_new(struct app *app);
void store_io_free(struct store_io *store);
void store_io_fetch(struct store_io *store, const struct sync_fetch *fetch);
/* Writes this VM's object and lists the others; repeats what fails. */
void store_io_tick(struct store_io *store, int64_t now_us);
/* Deletes this VM's object. */
void store_io_deregister(struct store_io *store);

/* The roster of backend servers in the store (roster_io.c). */
struct roster_io *roster_io_new(struct app *app);
void roster_io_free(struct roster_io *roster_io);
void roster_io_tick(struct roster_io *roster_io, int64_t now_us);

/* Heartbeats and news among the VMs (peer_io.c). Returns RC_OK or RC_IO. */
int peer_io_new(struct app *app, struct peer_io **out);
void peer_io_free(struct peer_io *peers);
void peer_io_tick(struct peer_io *peers, int64_t now_us);
/* Sends a heartbeat to all VMs at once. */
void peer_io_send_heartbeats(struct peer_io *peers);
void peer_io_fetch(struct peer_io *peers, const struct sync_fetch *fetch);

/* Links to backend servers (link_io.c); types of struct gateway_calls. */
int link_io_connect(struct backend_link *link, void *ctx);
void link_io_close(struct backend_link *link, void *ctx);
int link_io_send(struct backend_link *link, const struct attempt_send *send,
                 void *ctx);

/* Callers' requests (caller_io.c). */
void caller_io_on_request(struct http_request *http, void *ctx);

/* Addresses, readiness and metrics (directory_io.c). */
void directory_io_on_ready(struct http_request *http, void *ctx);
void directory_io_on_directory(struct http_request *http, void *ctx);
void directory_io_on_metrics(struct http_request *http, void *ctx);

/* How long callers keep an address list: short enough that a VM that stops is
 * left before it exits, some callers keep it three times as long. */
#define APP_ADDRESS_TTL_MS 1000

/* Requests that are passed on as they are, on servers of their own for
 * readiness, addresses and metrics (front_io.c). */
extern const struct app_front front_io_front;

#endif
