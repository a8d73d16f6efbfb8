#include <inttypes.h>

#include "common/log.h"
#include "gateway/app_loop.h"
#include "gateway/reload.h"

#define APP_LOOP_TICK_MS 100
#define APP_LOOP_SETTINGS_INTERVAL_US (2LL * 1000 * 1000)
#define APP_LOOP_TOTALS_INTERVAL_US (10LL * 1000 * 1000)
/* If no data centre is left, drains that the store has lost are held for this
 * time only, in which operators write them again. */
#define APP_LOOP_DRAINED_HOLD_US (3000 * 1000)

/* Logs a line with totals since the start of the process. */
static void
app_loop_log_totals(struct app *app, int64_t now_us)
{
    log_info("app",
             "totals answers=%" PRIu64 " p50_us=%" PRId64 " p99_us=%" PRId64
             " sends_local=%" PRIu64 " sends_remote=%" PRIu64
             " hedges=%" PRIu64 " hedges_refused=%" PRIu64 " connects=%" PRIu64
             " open_requests=%u vms=%u config_age_ms=%" PRId64
             " backends_age_ms=%" PRId64 " drained_dcs_age_ms=%" PRId64,
             app->answer_us.total, histogram_value_at(&app->answer_us, 500),
             histogram_value_at(&app->answer_us, 990),
             *counter_get(app->counters, "gateway_sends", "local"),
             *counter_get(app->counters, "gateway_sends", "remote"),
             *counter_get(app->counters, "gateway_hedges", NULL),
             *counter_get(app->counters, "gateway_hedges_refused", "budget"),
             *counter_get(app->counters, "gateway_connects", NULL),
             app->gateway.requests.length, app->gateway.vms,
             sync_age_us(&app->sync, OBJECT_CONFIG, now_us) / 1000,
             sync_age_us(&app->sync, OBJECT_BACKENDS, now_us) / 1000,
             sync_age_us(&app->sync, OBJECT_DRAINED_DCS, now_us) / 1000);
}

/* Reloads settings that have changed, and logs the number of dropped log lines
 * and the totals. */
static void
app_loop_run_housekeeping(struct app *app, int64_t now_us)
{
    if (now_us - app->settings_checked_us < APP_LOOP_SETTINGS_INTERVAL_US) {
        return;
    }
    app->settings_checked_us = now_us;
    reload_if_changed(app);
    unsigned long dropped = log_take_dropped();
    if (dropped > 0) {
        log_info("log", "lines dropped count=%lu", dropped);
    }
    if (now_us - app->totals_us >= APP_LOOP_TOTALS_INTERVAL_US) {
        app->totals_us = now_us;
        app_loop_log_totals(app, now_us);
    }
}

static void
app_loop_tick_shutdown(struct app *app, int64_t now_us)
{
    const struct stop *stop = &app->gateway.stop;
    if (stop_must_close_listener(stop, now_us)) {
        app->front->stop(app);
    }
    if (stop_must_answer(stop, now_us)) {
        gateway_fail_all(&app->gateway, now_us);
    }
    bool is_owing =
        !g_queue_is_empty(&app->gateway.requests) || app->front->is_owing(app);
    if (stop_may_exit(stop, is_owing, now_us)) {
        log_info("app", "stopped after_ms=%" PRId64 " owing=%d",
                 (now_us - stop->started_us) / 1000, is_owing);
        uv_stop(&app->loop);
    }
}

/* After a return of the store some drains may be over that are still held, for
 * which all requests are refused if no data centre is left. */
static void
app_loop_check_drained(struct app *app, int64_t now_us)
{
    if (app_is_ready(app) && !gateway_has_dc_in_use(&app->gateway) &&
        sync_end_hold(&app->sync, OBJECT_DRAINED_DCS, APP_LOOP_DRAINED_HOLD_US,
                      now_us)) {
        log_warn("drain",
                 "no data centre is left, those that only an earlier era of "
                 "the store had drained are used again");
    }
}

static void
app_loop_on_tick(uv_timer_t *timer)
{
    struct app *app = timer->data;
    int64_t now_us = app_now_us();
    app->gateway.vms = member_sender_count(&app->members, now_us);
    app->gateway.place = member_strong_place(&app->members, now_us);
    app->gateway.is_config_stale = sync_is_stale(
        &app->sync, app->settings.config_apply_ms * 1000, now_us);
    app_sync(app);
    app_notice_return(app, now_us);
    app_loop_check_drained(app, now_us);
    app->gateway.backends_as_of_us =
        now_us - sync_age_us(&app->sync, OBJECT_BACKENDS, now_us);
    backend_tick(&app->gateway.backends, now_us);
    peer_io_tick(app->peers, now_us);
    register_io_tick(app->registration, now_us);
    roster_io_tick(app->roster, now_us);
    app_loop_run_housekeeping(app, now_us);
    if (app->front->tick != NULL) {
        app->front->tick(app, now_us);
    }
    if (stop_is_stopping(&app->gateway.stop)) {
        app_loop_tick_shutdown(app, now_us);
    }
}

static void
app_loop_on_due(uv_timer_t *timer)
{
    struct app *app = timer->data;
    gateway_tick(&app->gateway, app_now_us());
}

/* Sends heartbeats as soon as this VM becomes ready: others may be waiting for
 * a store that does not answer, and can fetch the state from this VM. */
static void
app_loop_announce_ready(struct app *app)
{
    if (!app->is_ready_announced && app_is_ready(app)) {
        app->is_ready_announced = true;
        peer_io_send_heartbeats(app->peers);
    }
}

/* Sets the timer for the next request timeout, once in each iteration of the
 * event loop. */
static void
app_loop_on_prepare(uv_prepare_t *prepare)
{
    struct app *app = prepare->data;
    app_loop_announce_ready(app);
    int64_t due_us = gateway_due_us(&app->gateway);
    if (due_us == INT64_MAX) {
        uv_timer_stop(&app->due_timer);
        return;
    }
    uv_update_time(&app->loop);
    int64_t left_us = MAX(due_us - app_now_us(), 0);
    uv_timer_start(&app->due_timer, app_loop_on_due,
                   (uint64_t)(left_us + 999) / 1000, 0);
}

static void
app_loop_on_term(uv_signal_t *signal, int number)
{
    struct app *app = signal->data;
    if (stop_is_stopping(&app->gateway.stop)) {
        return;
    }
    stop_start(&app->gateway.stop, app_now_us());
    log_info("app", "stopping signal=%d open_requests=%u", number,
             app->gateway.requests.length);
    peer_io_send_heartbeats(app->peers);
    register_io_stop(app->registration);
    app->front->drain(app);
}

static void
app_loop_on_hup(uv_signal_t *signal, int number)
{
    struct app *app = signal->data;
    log_info("app", "received SIGHUP signal=%d", number);
    reload_settings(app);
}

void
app_loop_start_timers(struct app *app)
{
    uv_timer_init(&app->loop, &app->tick_timer);
    app->tick_timer.data = app;
    uv_timer_start(&app->tick_timer, app_loop_on_tick, 0, APP_LOOP_TICK_MS);
    uv_timer_init(&app->loop, &app->due_timer);
    app->due_timer.data = app;
    uv_prepare_init(&app->loop, &app->prepare);
    app->prepare.data = app;
    uv_prepare_start(&app->prepare, app_loop_on_prepare);
}

void
app_loop_start_signals(struct app *app)
{
    uv_signal_init(&app->loop, &app->term_signal);
    app->term_signal.data = app;
    uv_signal_start(&app->term_signal, app_loop_on_term, SIGTERM);
    uv_signal_init(&app->loop, &app->hup_signal);
    app->hup_signal.data = app;
    uv_signal_start(&app->hup_signal, app_loop_on_hup, SIGHUP);
}
