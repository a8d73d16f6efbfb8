#include <glib.h>
#include <string.h>

#include "common/http_server_conn.h"
#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"

#define HTTP_SERVER_BACKLOG 512
/* Above any limit that is set for heads. */
#define HTTP_SERVER_PARSER_HEAD_MAX_BYTES (1024 * 1024)
/* Defaults of struct http_server_limits. */
#define HTTP_SERVER_HEAD_MAX_BYTES (64 * 1024)
#define HTTP_SERVER_IDLE_TIMEOUT_MS (60ULL * 1000)
#define HTTP_SERVER_HEAD_TIMEOUT_MS (10ULL * 1000)
/* Default of http_server_set_disconnect_check(). */
#define HTTP_SERVER_DISCONNECT_CHECK_MS 20ULL
/* How often waits for clients are checked. */
#define HTTP_SERVER_SWEEP_MS 250ULL

static struct http_exchange *
http_server_find_disconnected(const struct http_server *server)
{
    for (GList *item = server->unanswered.head; item != NULL;
         item = item->next) {
        if (http_exchange_is_disconnected(item->data,
                                          server->disconnect_round)) {
            return item->data;
        }
    }
    return NULL;
}

/*
 * Checks the connections of unanswered requests. Nothing is read from a
 * connection while its request is handled, so that the loop does not notice
 * that the client closed it. The search starts again after each callback,
 * which may change the queue; each connection is looked at once.
 */
static void
http_server_on_disconnect_check(uv_timer_t *timer)
{
    struct http_server *server = timer->data;
    server->disconnect_round += 1;
    struct http_exchange *exchange = http_server_find_disconnected(server);
    while (exchange != NULL) {
        http_exchange_notify_disconnect(exchange);
        exchange = http_server_find_disconnected(server);
    }
    if (g_queue_is_empty(&server->unanswered)) {
        uv_timer_stop(timer);
    }
}

void
http_server_watch_disconnects(struct http_server *server)
{
    if (!uv_is_active((uv_handle_t *)&server->disconnect_timer)) {
        uv_timer_start(
            &server->disconnect_timer, http_server_on_disconnect_check,
            server->disconnect_check_ms, server->disconnect_check_ms);
    }
}

/* Whether to close the connection because memory is short. */
static bool
http_server_must_reclaim(const struct http_server *server,
                         const struct http_server_conn *conn, uint64_t now_ms)
{
    bool is_reading_answer = conn->wait.kind == HTTP_WAIT_READER;
    bool is_tight =
        resource_is_tight(server->share) ||
        (is_reading_answer && resource_is_tight(server->answer_share));
    return is_tight && http_wait_is_stalled(&conn->wait, now_ms) &&
           http_server_conn_holds_bytes(conn);
}

static struct http_wait_limits
http_server_wait_limits(const struct http_server *server)
{
    return (struct http_wait_limits){
        .idle_ms = server->limits.idle_timeout_ms,
        .head_ms = server->limits.head_timeout_ms,
        .progress_ms = server->limits.idle_timeout_ms,
    };
}

/* Ends the waits that take too long, or that hold memory which is short. */
static void
http_server_on_sweep(uv_timer_t *timer)
{
    struct http_server *server = timer->data;
    uint64_t now_ms = uv_now(timer->loop);
    struct http_wait_limits limits = http_server_wait_limits(server);
    GList *next = NULL;
    for (GList *item = server->connections.head; item != NULL; item = next) {
        struct http_server_conn *conn = item->data;
        next = item->next;
        http_server_conn_measure(conn, now_ms);
        if (http_wait_is_over(&conn->wait, &limits, now_ms) ||
            http_server_must_reclaim(server, conn, now_ms)) {
            http_server_conn_time_out(conn, now_ms);
        }
    }
    if (g_queue_is_empty(&server->connections)) {
        uv_timer_stop(timer);
    }
}

/* The connection to close so that a new one has room, or NULL. */
static struct http_server_conn *
http_server_find_stalled(const struct http_server *server, uint64_t now_ms)
{
    struct http_server_conn *found = NULL;
    for (const GList *item = server->connections.head; item != NULL;
         item = item->next) {
        struct http_server_conn *conn = item->data;
        if (http_wait_is_stalled(&conn->wait, now_ms) &&
            (found == NULL ||
             http_wait_goes_before(&conn->wait, &found->wait))) {
            found = conn;
        }
    }
    return found;
}

/* Whether there is room for one more connection, after closing one that makes
 * no progress if need be. */
static bool
http_server_make_room(struct http_server *server, uint64_t now_ms)
{
    if (resource_open(server->share)) {
        return true;
    }
    struct http_server_conn *stalled =
        http_server_find_stalled(server, now_ms);
    if (stalled == NULL) {
        log_sample("http", "no room for a connection, closing connections=%u",
                   server->connections.length);
        return false;
    }
    http_server_conn_close(stalled);
    return resource_open(server->share);
}

static void
http_server_on_unused_closed(uv_handle_t *handle)
{
    g_free(handle);
}

/* Closes a connection that has no room. It must be accepted first, or it would
 * stay in the queue of the listener. */
static void
http_server_reject(uv_stream_t *listener)
{
    uv_tcp_t *tcp = g_new0(uv_tcp_t, 1);
    uv_tcp_init(listener->loop, tcp);
    int error = uv_accept(listener, (uv_stream_t *)tcp);
    if (error != 0) {
        log_sample("http", "cannot accept error=\"%s\"", uv_strerror(error));
    }
    uv_close((uv_handle_t *)tcp, http_server_on_unused_closed);
}

static void
http_server_accept(struct http_server *server, uint64_t now_ms)
{
    uv_stream_t *listener = (uv_stream_t *)&server->listener;
    struct http_server_conn *conn = g_new0(struct http_server_conn, 1);
    uv_tcp_init(listener->loop, &conn->tcp);
    int error = uv_accept(listener, (uv_stream_t *)&conn->tcp);
    if (error != 0) {
        log_sample("http", "cannot accept error=\"%s\"", uv_strerror(error));
        resource_close(server->share);
        uv_close((uv_handle_t *)&conn->tcp, http_server_on_unused_closed);
        return;
    }
    uv_tcp_nodelay(&conn->tcp, 1);
    conn->server = server;
    conn->link.data = conn;
    g_queue_push_tail_link(&server->connections, &conn->link);
    if (!uv_is_active((uv_handle_t *)&server->sweep_timer)) {
        uv_timer_start(&server->sweep_timer, http_server_on_sweep,
                       HTTP_SERVER_SWEEP_MS, HTTP_SERVER_SWEEP_MS);
    }
    http_server_conn_open(conn, now_ms);
}

static void
http_server_on_accept(uv_stream_t *listener, int status)
{
    struct http_server *server = listener->data;
    if (status != 0) {
        log_sample("http", "cannot accept error=\"%s\"", uv_strerror(status));
        return;
    }
    uint64_t now_ms = uv_now(listener->loop);
    if (http_server_make_room(server, now_ms)) {
        http_server_accept(server, now_ms);
    }
    else {
        http_server_reject(listener);
    }
}

static void
http_server_init_timer(struct http_server *server, uv_timer_t *timer)
{
    uv_timer_init(server->listener.loop, timer);
    uv_unref((uv_handle_t *)timer);
    timer->data = server;
}

int
http_server_open(uv_loop_t *loop, const char *address, size_t body_max_bytes,
                 http_server_handler_cb handler, void *ctx,
                 struct http_server **out)
{
    struct sockaddr_in bind_to;
    if (net_parse(address, &bind_to) != RC_OK) {
        return RC_INVALID;
    }
    /* The parser's own limit is one for all parsers of the process. */
    http_parser_set_max_header_size(HTTP_SERVER_PARSER_HEAD_MAX_BYTES);
    struct http_server *server = g_new0(struct http_server, 1);
    server->handler = handler;
    server->ctx = ctx;
    server->disconnect_check_ms = HTTP_SERVER_DISCONNECT_CHECK_MS;
    server->limits = (struct http_server_limits){
        .head_max_bytes = HTTP_SERVER_HEAD_MAX_BYTES,
        .body_max_bytes = body_max_bytes,
        .head_timeout_ms = HTTP_SERVER_HEAD_TIMEOUT_MS,
        .idle_timeout_ms = HTTP_SERVER_IDLE_TIMEOUT_MS,
    };
    g_queue_init(&server->unanswered);
    g_queue_init(&server->connections);
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
    http_server_init_timer(server, &server->sweep_timer);
    http_server_init_timer(server, &server->disconnect_timer);
    int failed =
        uv_tcp_bind(&server->listener, (const struct sockaddr *)&bind_to, 0);
    if (failed == 0) {
        failed = uv_listen((uv_stream_t *)&server->listener,
                           HTTP_SERVER_BACKLOG, http_server_on_accept);
    }
    if (failed != 0) {
        log_error("http", "cannot listen address=%s error=\"%s\"", address,
                  uv_strerror(failed));
        uv_close((uv_handle_t *)&server->listener, NULL);
        return RC_IO;
    }
    *out = server;
    return RC_OK;
}

void
http_server_set_shares(struct http_server *server,
                       struct resource_share *share,
                       struct resource_share *answer_share)
{
    server->share = share;
    server->answer_share = answer_share;
}

void
http_server_set_limits(struct http_server *server,
                       const struct http_server_limits *limits)
{
    server->limits = *limits;
}

void
http_server_set_idle_timeout(struct http_server *server, uint64_t timeout_ms)
{
    server->limits.idle_timeout_ms = timeout_ms;
}

void
http_server_set_refused_cb(struct http_server *server,
                           http_server_refused_cb refused)
{
    server->refused = refused;
}

void
http_server_set_disconnect_check(struct http_server *server,
                                 uint64_t interval_ms)
{
    server->disconnect_check_ms = interval_ms;
}

void
http_server_drain(struct http_server *server)
{
    server->is_draining = true;
}

void
http_server_stop(struct http_server *server)
{
    if (server->is_stopping) {
        return;
    }
    server->is_stopping = true;
    uv_close((uv_handle_t *)&server->listener, NULL);
    http_server_drain(server);
}

bool
http_server_is_owing(const struct http_server *server)
{
    for (const GList *item = server->connections.head; item != NULL;
         item = item->next) {
        const struct http_server_conn *conn = item->data;
        bool is_owed = conn->wait.kind != HTTP_WAIT_REQUEST &&
                       conn->wait.kind != HTTP_WAIT_CLOSE;
        if (is_owed) {
            return true;
        }
    }
    return server->unanswered.length > 0;
}

uint32_t
http_server_connection_count(const struct http_server *server)
{
    return server->connections.length;
}
