#include <glib.h>
#include <string.h>
#include <unistd.h>
#include <uv.h>

#include "common/rc.h"
#include "load/arrival.h"
#include "load/caller.h"
#include "load/load.h"
#include "load/progress.h"
#include "load/timeline.h"

/* Interval at which the lists of gateways are checked for expiry. */
#define LOAD_REFRESH_MS 50
#define LOAD_PROGRESS_MS 1000

struct load {
    const struct load_options *options;
    uv_loop_t *loop;
    struct hrtimer_set *timers;
    struct hrtimer arrival_timer;
    uv_timer_t refresh_timer;
    uv_timer_t progress_timer;
    uv_signal_t interrupt;
    struct arrivals arrivals;
    struct mix mix;
    struct callers callers;
    struct report report;
    struct timeline timeline;
    struct progress progress;
    FILE *json;              /* results, NULL: none */
    int64_t started_unix_ms; /* wall clock */
};

static void
load_stop_if_done(struct load *load)
{
    if (load->callers.outstanding == 0 &&
        arrival_peek_us(&load->arrivals) < 0) {
        uv_stop(load->loop);
    }
}

static void
load_on_request_end(const struct report_outcome *outcome, void *ctx)
{
    struct load *load = ctx;
    report_add(&load->report, outcome);
    timeline_record_end(&load->timeline, outcome, hrtimer_now_us());
    progress_record_end(&load->progress, outcome);
    load_stop_if_done(load);
}

static void
load_on_arrival(struct hrtimer *timer, void *ctx)
{
    struct load *load = ctx;
    int64_t intended_us;
    int64_t now_us = hrtimer_now_us();
    while ((intended_us = arrival_pop_us(&load->arrivals, now_us)) >= 0) {
        struct mix_item item = mix_draw(&load->mix);
        load->report.sent += 1;
        load->report.orders_sent += item.is_order;
        histogram_add(&load->report.send_lag, hrtimer_now_us() - intended_us);
        timeline_record_sent(&load->timeline, now_us);
        caller_send(&load->callers, &item, intended_us);
    }
    int64_t next_us = arrival_peek_us(&load->arrivals);
    if (next_us >= 0) {
        hrtimer_start(load->timers, timer, next_us, load_on_arrival, load);
    }
    else {
        load_stop_if_done(load);
    }
}

static void
load_on_refresh(uv_timer_t *timer)
{
    struct load *load = timer->data;
    caller_refresh(&load->callers);
    timeline_advance(&load->timeline, hrtimer_now_us());
}

static void
load_on_progress(uv_timer_t *timer)
{
    struct load *load = timer->data;
    progress_print(&load->progress, &load->report, hrtimer_now_us());
}

/* SIGINT ends the schedule; the run ends after the requests in flight. */
static void
load_on_interrupt(uv_signal_t *signal, int number)
{
    struct load *load = signal->data;
    load->arrivals.end_us = hrtimer_now_us();
    load_stop_if_done(load);
}

static FILE *
load_open_file(const char *path)
{
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        perror(path);
    }
    return file;
}

static int
load_init_callers(struct load *load)
{
    const struct load_options *options = load->options;
    load->callers = (struct callers){
        .settings =
            {
                .zone = options->zone,
                .name_prefix = options->caller_prefix,
                .count = (uint32_t)options->callers,
                .deadline_ms = options->deadline_ms,
                .limit = options->limit,
                .seed = (uint64_t)options->seed,
            },
        .pool = pool_new(load->loop, (uint32_t)options->connections),
        .timers = load->timers,
        .report = &load->report,
        .entries = g_new0(struct entries, options->callers),
        .done = load_on_request_end,
        .ctx = load,
    };
    check_init(&load->callers.checker);
    for (int64_t i = 0; i < options->callers; i++) {
        struct entries *entries = &load->callers.entries[i];
        if (entries_init(entries, options->entries) != RC_OK) {
            (void)fprintf(stderr,
                          "usage: --entries: '%s' is not IPV4:PORT,...\n",
                          options->entries);
            return RC_USAGE;
        }
        /* Spreads the first requests of the callers over the addresses. */
        entries->next_index = (uint32_t)i;
    }
    if (options->order_log != NULL) {
        load->callers.order_log = load_open_file(options->order_log);
        if (load->callers.order_log == NULL) {
            return RC_IO;
        }
        (void)fprintf(load->callers.order_log, "id,end,reason,run,repeated\n");
    }
    return RC_OK;
}

static int
load_init(struct load *load, const struct load_options *options)
{
    load->options = options;
    load->loop = uv_default_loop();
    load->timers = hrtimer_set_open(load->loop);
    if (load->timers == NULL) {
        return RC_IO;
    }
    report_init(&load->report);
    if (mix_init(&load->mix, options->services, (uint64_t)options->seed) !=
        RC_OK) {
        (void)fprintf(stderr,
                      "usage: --service: '%s' is not NAME=WEIGHT,...\n",
                      options->services);
        return RC_USAGE;
    }
    load->mix.key_permille = options->key_permille;
    load->mix.order_permille = options->order_permille;
    load->mix.caller_count = (uint32_t)options->callers;
    return load_init_callers(load);
}

static int
load_start(struct load *load)
{
    const struct load_options *options = load->options;
    FILE *timeline = NULL;
    if (options->json != NULL) {
        /* Opened before the run, so that a wrong path doesn't lose results. */
        load->json = load_open_file(options->json);
        if (load->json == NULL) {
            return RC_IO;
        }
    }
    if (options->timeline != NULL) {
        timeline = load_open_file(options->timeline);
        if (timeline == NULL) {
            return RC_IO;
        }
    }
    int64_t now_us = hrtimer_now_us();
    load->started_unix_ms = g_get_real_time() / 1000;
    timeline_init(&load->timeline, timeline, now_us);
    load->progress = (struct progress){
        .out = isatty(STDERR_FILENO) ? stderr : NULL,
        .start_us = now_us,
    };
    arrival_init(&load->arrivals, options->rate, options->seconds,
                 strcmp(options->arrivals, "poisson") == 0,
                 (uint64_t)options->seed, now_us);
    uv_timer_init(load->loop, &load->refresh_timer);
    load->refresh_timer.data = load;
    uv_timer_start(&load->refresh_timer, load_on_refresh, 0, LOAD_REFRESH_MS);
    uv_timer_init(load->loop, &load->progress_timer);
    load->progress_timer.data = load;
    uv_timer_start(&load->progress_timer, load_on_progress, LOAD_PROGRESS_MS,
                   LOAD_PROGRESS_MS);
    uv_signal_init(load->loop, &load->interrupt);
    load->interrupt.data = load;
    uv_signal_start(&load->interrupt, load_on_interrupt, SIGINT);
    hrtimer_start(load->timers, &load->arrival_timer, now_us, load_on_arrival,
                  load);
    return RC_OK;
}

static int
load_write_json(const struct load *load, double seconds)
{
    if (load->json == NULL) {
        return RC_OK;
    }
    json_t *results = report_json(&load->report, seconds);
    json_object_set_new(results, "rate", json_integer(load->options->rate));
    json_object_set_new(results, "seed", json_integer(load->options->seed));
    json_object_set_new(results, "started_unix_ms",
                        json_integer(load->started_unix_ms));
    int failed =
        json_dumpf(results, load->json, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
    json_decref(results);
    if (fclose(load->json) != 0 || failed != 0) {
        perror(load->options->json);
        return RC_IO;
    }
    return RC_OK;
}

static int
load_finish(struct load *load)
{
    int64_t length_us = load->arrivals.end_us - load->arrivals.start_us;
    double seconds = (double)length_us / 1e6;
    timeline_advance(&load->timeline, hrtimer_now_us() + TIMELINE_STEP_US);
    progress_finish(&load->progress);
    report_print(&load->report, seconds, stdout);
    int rc = load_write_json(load, seconds);
    if (load->timeline.out != NULL && fclose(load->timeline.out) != 0) {
        rc = RC_IO;
    }
    if (load->callers.order_log != NULL &&
        fclose(load->callers.order_log) != 0) {
        rc = RC_IO;
    }
    if (rc != RC_OK) {
        return 2;
    }
    return load->report.wrong == 0 ? 0 : 1;
}

int
load_run(const struct load_options *options)
{
    /* Static: the loop uses its handles until the process ends. */
    static struct load load;
    if (load_init(&load, options) != RC_OK || load_start(&load) != RC_OK) {
        return 2;
    }
    uv_run(load.loop, UV_RUN_DEFAULT);
    return load_finish(&load);
}
