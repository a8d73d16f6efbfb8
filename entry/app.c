#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <sys/random.h>

#include "common/log.h"
#include "common/rc.h"
#include "entry/agent_link.h"
#include "entry/app.h"
#include "entry/http.h"
#include "entry/orders.h"
#include "entry/peers.h"
#include "entry/relays.h"
#include "entry/search.h"

/* Period of SUBSCRIBE, HELLO and expiry checks. */
#define APP_PULSE_MS 50
/* Connections that stay open without a request do not delay the stop longer;
 * callers stopped using them when their copy of the address list ran out. */
#define APP_LINGER_US (500 * 1000)

int64_t
app_now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

uint64_t
app_next_qid(void *ctx)
{
    struct app *app = ctx;
    return ++app->last_qid;
}

/* As gth_callbacks wants it. */
static size_t
app_idle_instances(void *ctx, const char *service)
{
    const struct app *app = ctx;
    const struct cfg_service *declared =
        app->config != NULL ? cfg_service_find(app->config, service) : NULL;
    return declared != NULL ? cfg_idle_instances(app->config, declared) : 0;
}

const struct msg_state *
app_state(const struct app *app)
{
    return app->state.body;
}

const struct msg_machine *
app_machine(const struct app *app, const char *name)
{
    const struct msg_state *state = app_state(app);
    for (size_t i = 0; state != NULL && i < state->machine_count; i++) {
        if (strcmp(state->machines[i].name, name) == 0) {
            return &state->machines[i];
        }
    }
    return NULL;
}

bool
app_machine_is_up(const struct msg_machine *machine)
{
    return machine->state == MSG_MACHINE_LIVE ||
           machine->state == MSG_MACHINE_LEAVING;
}

/* A configuration is taken over only if it is newer than the one in force. */
static void
app_adopt_config(struct app *app, const struct msg_state *state)
{
    uint64_t in_force = app->config != NULL ? app->config->revision : 0;
    if (state->config.bytes == 0 || state->revision <= in_force) {
        return;
    }
    struct cfg *config = NULL;
    char *error = NULL;
    int rc =
        cfg_parse(state->config.data, state->config.bytes, &config, &error);
    if (rc != RC_OK) {
        cnt_add(app->counters, "config_refused_total", rc_name(rc));
        log_error("app",
                  "configuration refused revision=%" PRIu64 " error=\"%s\"",
                  state->revision, error != NULL ? error : rc_text(rc));
        g_free(error);
        return;
    }
    if (config->revision <= in_force) {
        cnt_add(app->counters, "config_refused_total", rc_name(RC_STALE));
        cfg_free(config);
        return;
    }
    cfg_free(app->config);
    app->config = config;
    qta_configure(app->quota, config, app_now_us());
    cnt_add(app->counters, "config_adopted_total", NULL);
    log_info("app", "configuration adopted revision=%" PRIu64,
             config->revision);
}

void
app_adopt(struct app *app, struct msg *state)
{
    if (app->state.body != NULL) {
        msg_clear(&app->state);
    }
    app->state = *state;
    app->lease_until_us = app_state(app)->lease_until_us;
    app_adopt_config(app, app_state(app));
    prs_learn(app->peers, app_state(app), app_now_us());
    rly_update(app->relays, app_now_us());
    app_wake(app);
}

static void app_on_due(uv_timer_t *timer);

static void
app_arm(struct app *app, int64_t now_us)
{
    int64_t due_us = MIN(gth_next_due(app->gather), ord_next_due(app->orders));
    due_us = MIN(due_us, fwd_next_due(app->forwards));
    if (due_us == INT64_MAX) {
        uv_timer_stop(&app->due_timer);
        return;
    }
    int64_t wait_us = MAX(due_us - now_us, 0);
    uv_update_time(app->loop);
    uv_timer_start(&app->due_timer, app_on_due,
                   (uint64_t)(wait_us + 999) / 1000, 0);
}

void
app_wake(struct app *app)
{
    int64_t now_us = app_now_us();
    uint64_t generation = pln_generation(app->plan);
    if (generation != app->generation) {
        app->generation = generation;
        gth_map_changed(app->gather, now_us);
        ord_map_changed(app->orders, now_us);
    }
    app_arm(app, now_us);
}

static void
app_on_due(uv_timer_t *timer)
{
    struct app *app = timer->data;
    int64_t now_us = app_now_us();
    gth_tick(app->gather, now_us);
    ord_tick(app->orders, now_us);
    fwd_tick(app->forwards, now_us);
    app_wake(app);
}

static bool
app_is_idle(const struct app *app)
{
    return gth_running(app->gather) == 0 && ord_running(app->orders) == 0 &&
           fwd_running(app->forwards) == 0;
}

/* Ends the loop once the drain time is over and nothing runs any more. */
static void
app_check_stop(struct app *app, int64_t now_us)
{
    if (app->stop_us == 0 || now_us < app->stop_us) {
        return;
    }
    if (!app->is_stopped) {
        app->is_stopped = true;
        hsv_stop(app->http);
        log_info("app", "stopped accepting running=%zu",
                 gth_running(app->gather) + ord_running(app->orders) +
                     fwd_running(app->forwards));
    }
    if (!app_is_idle(app)) {
        app->idle_us = 0;
        return;
    }
    if (app->idle_us == 0) {
        app->idle_us = now_us;
    }
    if (hsv_connection_count(app->http) == 0 ||
        now_us - app->idle_us >= APP_LINGER_US) {
        uv_stop(app->loop);
    }
}

static void
app_on_pulse(uv_timer_t *timer)
{
    struct app *app = timer->data;
    int64_t now_us = app_now_us();
    agl_tick(app->agent, now_us);
    rly_tick(app->relays, now_us);
    rid_expire(app->ids, now_us);
    app_wake(app);
    app_check_stop(app, now_us);
}

static void
app_on_signal(uv_signal_t *handle, int signum)
{
    struct app *app = handle->data;
    if (app->stop_us != 0) {
        return;
    }
    int64_t now_us = app_now_us();
    log_info("app", "draining drain_ms=%" PRId64, app->options->drain_ms);
    app->stop_us = now_us + app->options->drain_ms * 1000;
    agl_hurry(app->agent);
    agl_tick(app->agent, now_us);
}

static void
app_open_modules(struct app *app)
{
    app->counters = cnt_set_new();
    app->plan = pln_new(app->counters);
    app->quota = qta_new(app->counters);
    app->admit = adm_new(app->counters);
    app->ids =
        rid_new(app->options->machine, app->start, RID_MAX_IDS, app->counters);
    const struct gth_callbacks gather = {
        .send = rly_send_query,
        .cancel = rly_send_cancel,
        .finish = search_on_finish,
        .idle_instances = app_idle_instances,
        .next_qid = app_next_qid,
        .ctx = app,
    };
    app->gather = gth_new(app->plan, app->counters, &gather);
    const struct ord_callbacks order = {
        .send = rly_send_exec,
        .finish = orders_on_finish,
        .next_qid = app_next_qid,
        .ctx = app,
    };
    app->orders = ord_new(app->ids, app->plan, app->counters, &order);
    const struct fwd_callbacks forward = {
        .send = prs_send_order,
        .finish = orders_on_finish,
        .next_qid = app_next_qid,
        .ctx = app,
    };
    app->forwards = fwd_new(app->counters, &forward);
}

static int
app_open_sockets(struct app *app)
{
    app->zmq = zsk_context_new(app->loop);
    if (app->zmq == NULL) {
        return RC_NO_MEMORY;
    }
    app->relays = rly_open(app);
    int rc = prs_open(app, &app->peers);
    if (rc == RC_OK) {
        rc = agl_open(app, &app->agent);
    }
    if (rc == RC_OK) {
        rc = hsv_open(app->loop, app->options->http_listen, HTP_MAX_BODY_BYTES,
                      htp_on_request, app, &app->http);
    }
    return rc;
}

static void
app_start_timers(struct app *app)
{
    uv_timer_init(app->loop, &app->due_timer);
    uv_timer_init(app->loop, &app->pulse_timer);
    uv_signal_init(app->loop, &app->sigterm);
    uv_signal_init(app->loop, &app->sigint);
    app->due_timer.data = app;
    app->pulse_timer.data = app;
    app->sigterm.data = app;
    app->sigint.data = app;
    uv_timer_start(&app->pulse_timer, app_on_pulse, 0, APP_PULSE_MS);
    uv_signal_start(&app->sigterm, app_on_signal, SIGTERM);
    uv_signal_start(&app->sigint, app_on_signal, SIGINT);
}

int
app_open(struct app *app, uv_loop_t *loop, const struct entry_options *options)
{
    *app = (struct app){.options = options, .loop = loop};
    /* The start id must never repeat: it separates the ids of this process
     * from those of its predecessors. */
    if (getrandom(&app->start, sizeof(app->start), 0) !=
        (ssize_t)sizeof(app->start)) {
        log_error("app", "no random numbers");
        return RC_IO;
    }
    app_open_modules(app);
    int rc = app_open_sockets(app);
    if (rc == RC_OK) {
        app_start_timers(app);
    }
    return rc;
}

void
app_close(struct app *app)
{
    agl_close(app->agent);
    rly_close(app->relays);
    prs_close(app->peers);
    zsk_context_free(app->zmq);
    gth_free(app->gather);
    ord_free(app->orders);
    fwd_free(app->forwards);
    rid_free(app->ids);
    qta_free(app->quota);
    adm_free(app->admit);
    pln_free(app->plan);
    cnt_set_free(app->counters);
    cfg_free(app->config);
    if (app->state.body != NULL) {
        msg_clear(&app->state);
    }
}
