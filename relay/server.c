#include <signal.h>
#include <string.h>
#include <sys/random.h>

#include "relay/server.h"
#include "relay/backend.h"
#include "relay/operator.h"
#include "common/log.h"
#include "common/rc.h"

/* Hedges and deadlines are a few milliseconds apart while requests run. */
#define SRV_BUSY_MS 1
#define SRV_IDLE_MS 25

int64_t
srv_now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

static void srv_on_timer(uv_timer_t *timer);

static void
srv_set_timer(struct srv *server)
{
    uint64_t wanted_ms =
        rly_is_busy(server->relay) ? SRV_BUSY_MS : SRV_IDLE_MS;
    if (server->timer_ms != wanted_ms) {
        server->timer_ms = wanted_ms;
        uv_timer_start(&server->timer, srv_on_timer, wanted_ms, wanted_ms);
    }
}

static void
srv_on_timer(uv_timer_t *timer)
{
    struct srv *server = timer->data;
    int64_t now_us = srv_now_us();
    rly_tick(server->relay, now_us);
    if (rly_is_stopped(server->relay, now_us)) {
        uv_stop(server->loop);
    }
    srv_set_timer(server);
}

static void
srv_on_signal(uv_signal_t *handle, int number)
{
    struct srv *server = handle->data;
    log_info("server", "stopping signal=%d", number);
    rly_stop(server->relay, srv_now_us());
}

/* The message must be cleared if this returns true. */
static bool
srv_decode(const struct srv *server, const void *data, size_t data_bytes,
           struct msg *out)
{
    if (msg_decode(data, data_bytes, out) == RC_OK) {
        return true;
    }
    cnt_add(server->counters, "messages_dropped_total", "undecodable");
    return false;
}

static void
srv_on_entry(struct zsk_socket *socket, const struct zsk_peer *peer,
             const void *data, size_t data_bytes, void *ctx)
{
    struct srv *server = ctx;
    struct msg msg;
    if (!srv_decode(server, data, data_bytes, &msg)) {
        return;
    }
    rly_on_entry(server->relay, peer, &msg, srv_now_us());
    msg_clear(&msg);
    srv_set_timer(server);
}

static void
srv_on_agent(struct zsk_socket *socket, const struct zsk_peer *peer,
             const void *data, size_t data_bytes, void *ctx)
{
    struct srv *server = ctx;
    struct msg msg;
    if (!srv_decode(server, data, data_bytes, &msg)) {
        return;
    }
    rly_on_agent(server->relay, &msg, srv_now_us());
    msg_clear(&msg);
}

static void
srv_send(struct srv *server, struct zsk_socket *socket,
         const struct zsk_peer *peer, enum msg_type type, const void *body)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    int rc = msg_encode(type, body, &buffer);
    if (rc == RC_OK) {
        rc = zsk_send(socket, peer, buffer.data, buffer.size);
    }
    if (rc != RC_OK) {
        cnt_add(server->counters, "sends_failed_total", rc_name(rc));
    }
    msgpack_sbuffer_destroy(&buffer);
}

static void
srv_send_entry(const struct zsk_peer *peer, enum msg_type type,
               const void *body, void *ctx)
{
    struct srv *server = ctx;
    srv_send(server, server->entries, peer, type, body);
}

static void
srv_send_offer(const struct zsk_peer *peer, const void *data,
               size_t data_bytes, void *ctx)
{
    struct srv *server = ctx;
    int rc = zsk_send(server->entries, peer, data, data_bytes);
    if (rc != RC_OK) {
        cnt_add(server->counters, "sends_failed_total", rc_name(rc));
    }
}

static void
srv_send_agent(enum msg_type type, const void *body, void *ctx)
{
    struct srv *server = ctx;
    srv_send(server, server->agent, NULL, type, body);
}

static const struct rly_calls srv_calls = {
    .link = {.connect = bkd_connect,
             .probe = bkd_probe,
             .shut_down = bkd_shut_down,
             .close = bkd_close},
    .search = bkd_search,
    .execute = bkd_execute,
    .send_entry = srv_send_entry,
    .send_offer = srv_send_offer,
    .send_agent = srv_send_agent,
};

static int
srv_open(struct srv *server, const struct relay_options *options)
{
    uint64_t start = 0;
    if (getrandom(&start, sizeof(start), 0) != (ssize_t)sizeof(start)) {
        return RC_IO;
    }
    server->counters = cnt_set_new();
    server->relay =
        rly_new(options->machine, start, &srv_calls, server, server->counters);
    server->zsock = zsk_context_new(server->loop);
    if (server->zsock == NULL) {
        return RC_IO;
    }
    int rc = zsk_listen(server->zsock, options->listen, srv_on_entry, server,
                        &server->entries);
    if (rc == RC_OK) {
        rc = zsk_connect(server->zsock, options->agent, srv_on_agent, server,
                         &server->agent);
    }
    if (rc == RC_OK) {
        rc = opr_open(server, options->http_listen);
    }
    return rc;
}

static void
srv_start_handles(struct srv *server)
{
    uv_timer_init(server->loop, &server->timer);
    server->timer.data = server;
    uv_signal_init(server->loop, &server->sigterm);
    server->sigterm.data = server;
    uv_signal_start(&server->sigterm, srv_on_signal, SIGTERM);
    uv_signal_init(server->loop, &server->sigint);
    server->sigint.data = server;
    uv_signal_start(&server->sigint, srv_on_signal, SIGINT);
    (void)signal(SIGPIPE, SIG_IGN);
    srv_set_timer(server);
}

int
srv_run(const struct relay_options *options)
{
    struct srv server = {.loop = uv_default_loop()};
    int rc = srv_open(&server, options);
    if (rc == RC_OK) {
        srv_start_handles(&server);
        log_info("server", "started listen=%s http=%s agent=%s",
                 options->listen, options->http_listen, options->agent);
        uv_run(server.loop, UV_RUN_DEFAULT);
        log_info("server", "stopped");
    }
    if (server.relay != NULL) {
        rly_free(server.relay);
    }
    zsk_context_free(server.zsock);
    cnt_set_free(server.counters);
    return rc;
}
