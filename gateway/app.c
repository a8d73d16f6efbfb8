#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/log.h"
#include "common/random.h"
#include "common/rc.h"
#include "gateway/app_loop.h"
#include "gateway/apply.h"
#include "gateway/reload.h"

int64_t
app_now_us(void)
{
    struct timespec now;
    /* Counts the time for which the VM is suspended, unlike CLOCK_MONOTONIC:
     * deadlines, ages and holds run out meanwhile. */
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

double
app_random(void *ctx)
{
    struct app *app = ctx;
    return random_fraction(&app->random_state);
}

void
app_account_server(struct app *app, struct http_server *server,
                   enum allot_share share)
{
    http_server_set_shares(server, &app->allot.shares[share],
                           &app->allot.shares[ALLOT_BACKENDS]);
}

void
app_on_refused(int rc, void *ctx)
{
    struct app *app = ctx;
    counter_add(app->counters, "gateway_refused", rc_name(rc));
}

void
app_notice_return(struct app *app, int64_t now_us)
{
    if (app->noticed_returns != app->sync.store_returns) {
        app->noticed_returns = app->sync.store_returns;
        member_on_return(&app->members, now_us);
    }
}

bool
app_on_store_answer(struct app *app, const struct http_response *response)
{
    if (app->wire->read_era == NULL) {
        return true;
    }
    int64_t now_us = app_now_us();
    int64_t era = app->wire->read_era(response);
    if (era == WIRE_ERA_NONE) {
        /* Answers of the past have an era; one without is of the latest. */
        return true;
    }
    bool may_use = sync_on_era(&app->sync, era, now_us);
    app_notice_return(app, now_us);
    return may_use;
}

int64_t
app_config_version(const struct app *app)
{
    return app->gateway.config != NULL ? app->gateway.config->version : 0;
}

bool
app_is_ready(const struct app *app)
{
    return !stop_is_stopping(&app->gateway.stop) &&
           app->gateway.config != NULL &&
           app->sync.feeds[OBJECT_BACKENDS].cache.has_list;
}

static void
app_fetch(const struct sync_fetch *fetch, void *ctx)
{
    struct app *app = ctx;
    if (fetch->peer != NULL) {
        peer_io_fetch(app->peers, fetch);
    }
    else {
        store_io_fetch(app->store, fetch);
    }
}

static void
app_cancel(enum object_kind kind, bool is_from_peer, void *ctx)
{
    struct app *app = ctx;
    if (is_from_peer) {
        peer_io_cancel(app->peers, kind);
    }
    else {
        store_io_cancel(app->store, kind);
    }
}

static const struct sync_callbacks app_sync_callbacks = {
    .fetch = app_fetch,
    .cancel = app_cancel,
    .apply = apply_object,
    .outlives = apply_outlives,
    .decoded_bytes = apply_decoded_bytes,
};

static const struct gateway_callbacks app_gateway_callbacks = {
    .link = {.connect = link_io_connect, .close = link_io_close},
    .send = link_io_send,
    .random = app_random,
};

void
app_sync(struct app *app)
{
    app->members.self->config_version = app_config_version(app);
    sync_tick(&app->sync, &app->members, app_now_us());
}

static uint64_t
app_random_start_id(void)
{
    uint64_t start = 0;
    if (uv_random(NULL, NULL, &start, sizeof(start), 0, NULL) != 0) {
        log_warn("app", "no random source, using the clock for the start id");
        start = (uint64_t)app_now_us();
    }
    return start | 1;
}

static void
app_clear(struct app *app)
{
    app->front->close(app);
    gateway_clear(&app->gateway);
    store_io_free(app->store);
    register_io_free(app->registration);
    roster_io_free(app->roster);
    peer_io_free(app->peers);
    sync_clear(&app->sync);
    member_clear(&app->members);
    counter_set_free(app->counters);
    g_free(app->peer_address);
    settings_clear(&app->settings);
}

/* Creates the modules of the process and listens. Returns RC_OK or RC_IO. */
static int
app_open(struct app *app)
{
    app->counters = counter_set_new();
    app->started_us = app_now_us();
    app->start = app_random_start_id();
    app->random_state = app->start;
    app->peer_address = g_strdup_printf("%s:%" PRId64, app->settings.ip,
                                        app->settings.peer_port);
    gateway_init(&app->gateway, app->settings.dc, &app_gateway_callbacks, app,
                 app->counters);
    reload_apply(app);
    app->gateway.request_share = &app->allot.shares[ALLOT_CALLERS];
    app->gateway.answer_share = &app->allot.shares[ALLOT_BACKENDS];
    member_init(&app->members, app->settings.vm,
                (uint32_t)app->settings.capacity);
    app->members.self->request_address =
        g_strdup(app->settings.request_listen);
    app->members.self->dc = g_strdup(app->settings.dc);
    sync_init(&app->sync, &app_sync_callbacks, app);
    sync_set_share(&app->sync, &app->allot.shares[ALLOT_OBJECTS]);
    app->store = store_io_new(app);
    app->registration = register_io_new(app);
    app->roster = roster_io_new(app);
    int rc = peer_io_new(app, &app->peers);
    return rc == RC_OK ? app->front->open(app) : rc;
}

int
app_run(struct settings *settings, const char *settings_path,
        const struct wire *wire, const struct app_front *front)
{
    struct app *app = g_new0(struct app, 1);
    app->wire = wire;
    app->front = front;
    app->settings = *settings;
    app->settings_path = settings_path;
    uv_loop_init(&app->loop);
    app_loop_start_signals(app);
    if (settings_path != NULL &&
        settings_read(settings_path, &app->settings) != RC_OK) {
        g_free(app);
        return RC_INVALID;
    }
    log_open("gateway", app->settings.vm, "info");
    reload_init(app);
    int rc = app_open(app);
    if (rc != RC_OK) {
        return rc;
    }
    app_loop_start_timers(app);
    log_info("app", "started version=%s dc=%s requests=%s store=%s",
             CH_VERSION, app->settings.dc, app->settings.request_listen,
             app->settings.store);
    uv_run(&app->loop, UV_RUN_DEFAULT);
    app_clear(app);
    g_free(app);
    return RC_OK;
}
