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

struct sto;
struct pio;
struct rio;

struct app {
    uv_loop_t loop;
    const struct wir *wire;
    const struct app_front *front;
    void *front_ctx;           /* of the front */
    const char *settings_path; /* NULL: settings do not change */
    struct stg settings;
    struct cnt_set *counters;
    struct hst answer_us; /* from request to answer */
    struct gtw gtw;
    struct mem mem;
    struct syn syn;
    struct sto *store;
    struct pio *peers;
    struct rio *roster;
    uv_timer_t tick_timer;
    uv_timer_t due_timer;
    uv_prepare_t prepare;
    uv_signal_t term_signal;
    uv_signal_t hup_signal;
    char *peer_address;
    bool is_announced; /* the others were told that this VM is ready */
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
int app_run(struct stg *settings, const char *settings_path,
            const struct wir *wire, const struct app_front *front);

/* The steady clock in microseconds. */
int64_t app_now_us(void);

/* Fetches what is due, for news that should not wait for the next tick. */
void app_sync(struct app *app);

/* A number from 0 to 1; `ctx` is the struct app. */
double app_random(void *ctx);

/* Whether this VM takes requests. */
bool app_is_ready(const struct app *app);

/* Store calls (store_io.c). */
struct sto *sto_new(struct app *app);
void sto_free(struct sto *store);
void sto_fetch(struct sto *store, const struct syn_fetch *fetch);
/* Writes this VM's object and lists the others; repeats what fails. */
void sto_tick(struct sto *store, int64_t now_us);
/* Deletes this VM's object. */
void sto_unlist(struct sto *store);

/* The roster of backend servers in the store (roster_io.c). */
struct rio *rio_new(struct app *app);
void rio_free(struct rio *rio);
void rio_tick(struct rio *rio, int64_t now_us);

/* Heartbeats and news among the VMs (peer_io.c). Returns RC_OK or RC_IO. */
int pio_new(struct app *app, struct pio **out);
void pio_free(struct pio *peers);
void pio_tick(struct pio *peers, int64_t now_us);
/* Sends a heartbeat to all VMs at once. */
void pio_beat(struct pio *peers);
void pio_fetch(struct pio *peers, const struct syn_fetch *fetch);

/* Links to backend servers (link_io.c); types of struct gtw_calls. */
int lio_connect(struct bke_link *link, void *ctx);
void lio_close(struct bke_link *link, void *ctx);
int lio_send(struct bke_link *link, const struct att_send *send, void *ctx);

/* Callers' requests (caller_io.c). */
void cio_on_request(struct hsv_request *http, void *ctx);

/* Addresses, readiness and metrics (directory_io.c). */
void dio_on_ready(struct hsv_request *http, void *ctx);
void dio_on_directory(struct hsv_request *http, void *ctx);
void dio_on_metrics(struct hsv_request *http, void *ctx);

/* How long callers keep an address list: short enough that a VM that stops is
 * left before it exits, some callers keep it three times as long. */
#define APP_ADDRESS_TTL_MS 1000

/* Requests that are passed on as they are, on servers of their own for
 * readiness, addresses and metrics (front_io.c). */
extern const struct app_front fio_front;

#endif
