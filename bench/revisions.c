#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <uv.h>

#include "common/http_client.h"
#include "common/rc.h"

/*
 * Records when gateways activate a configuration. The arguments are the poll
 * interval in ms and the HTTP addresses of the gateways (IPV4:PORT). Prints
 * `TIME ADDRESS REVISION` whenever the revision in a /status differs from the
 * previous one, also if it is lower; TIME is the arrival of the response in us
 * since 1970. Runs until a signal ends it.
 */

#define BENCH_BODY_MAX_BYTES (1U << 20)

/* One polled gateway. */
struct bench_process {
    uv_loop_t *loop;
    const char *address;
    struct http_client_conn *conn; /* NULL while there is none */
    bool is_connected;
    bool is_waiting; /* for a response */
    json_int_t revision;
};

struct bench {
    struct bench_process *processes;
    size_t count;
};

static void
bench_close(struct bench_process *process)
{
    http_client_close(process->conn);
    process->conn = NULL;
    process->is_connected = false;
    process->is_waiting = false;
}

static void
bench_on_lost(struct http_client_conn *conn, void *ctx)
{
    bench_close(ctx);
}

static void
bench_on_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    struct bench_process *process = ctx;
    process->is_connected = rc == RC_OK;
    if (!process->is_connected) {
        bench_close(process);
    }
}

static void
bench_record(struct bench_process *process, json_int_t revision)
{
    if (revision != process->revision) {
        process->revision = revision;
        (void)printf("%" PRId64 " %s %" JSON_INTEGER_FORMAT "\n",
                     g_get_real_time(), process->address, revision);
        (void)fflush(stdout);
    }
}

static void
bench_on_response(struct http_client_conn *conn,
                  const struct http_response *response, void *ctx)
{
    struct bench_process *process = ctx;
    process->is_waiting = false;
    if (response->rc == RC_OK && response->status == 200) {
        json_t *status =
            json_loadb(response->body, response->body_bytes, 0, NULL);
        const json_t *revision = json_object_get(status, "revision");
        if (json_is_integer(revision)) {
            bench_record(process, json_integer_value(revision));
        }
        json_decref(status);
    }
    if (response->rc != RC_OK || !response->is_keepalive) {
        bench_close(process);
    }
}

static void
bench_poll(struct bench_process *process)
{
    if (process->conn == NULL) {
        process->conn = http_client_connect(
            process->loop, process->address, BENCH_BODY_MAX_BYTES, NULL,
            bench_on_connected, bench_on_lost, process);
        return;
    }
    if (process->is_connected && !process->is_waiting) {
        process->is_waiting =
            http_client_request(process->conn, "GET", "/status", NULL, NULL, 0,
                                bench_on_response, process) == RC_OK;
    }
}

static void
bench_on_timer(uv_timer_t *timer)
{
    const struct bench *bench = timer->data;
    for (size_t i = 0; i < bench->count; i++) {
        bench_poll(&bench->processes[i]);
    }
}

int
main(int argc, char **argv)
{
    uint64_t period_ms = argc > 2 ? g_ascii_strtoull(argv[1], NULL, 10) : 0;
    if (period_ms == 0) {
        (void)fprintf(stderr, "usage: bench-revisions MS IPV4:PORT...\n");
        return 2;
    }
    uv_loop_t *loop = uv_default_loop();
    struct bench bench = {.count = (size_t)argc - 2};
    bench.processes = g_new0(struct bench_process, bench.count);
    for (size_t i = 0; i < bench.count; i++) {
        bench.processes[i].loop = loop;
        bench.processes[i].address = argv[i + 2];
    }
    uv_timer_t timer;
    uv_timer_init(loop, &timer);
    timer.data = &bench;
    uv_timer_start(&timer, bench_on_timer, 0, period_ms);
    (void)uv_run(loop, UV_RUN_DEFAULT);
    g_free(bench.processes);
    return 0;
}
