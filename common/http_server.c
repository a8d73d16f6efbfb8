#include <uv.h>
#include <h2o.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "common/http_server.h"
#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"

#define HTTP_SERVER_BACKLOG 512
/* Clients keep connections open between requests; h2o closes idle ones after
 * this time. Default of http_server_set_idle_timeout(). */
#define HTTP_SERVER_IDLE_TIMEOUT_MS (60ULL * 1000)

/* Default of http_server_set_disconnect_check(). */
#define HTTP_SERVER_DISCONNECT_CHECK_MS 20ULL

struct http_server {
    uv_tcp_t listener;
    uv_timer_t disconnect_timer;
    GQueue unanswered; /* of struct http_server_exchange */
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept_ctx;
    http_server_handler_cb handler;
    void *ctx;
    GQueue connections;      /* of struct http_server_connection */
    uint32_t exchange_count; /* requests that h2o has not disposed of */
    uint64_t disconnect_check_ms;
    int is_stopping;
};

/* A request and its answer. Lives until the request has been answered and h2o
 * has disposed of it. */
struct http_server_exchange {
    struct http_request request;
    struct http_server *server;
    GList link;     /* in server->unanswered */
    h2o_req_t *h2o; /* NULL once h2o has disposed of the request */
    char *method;
    char *target;
    char *path;
    char *query;
    char *body;
    int is_answered;
};

struct http_server_h2o_handler {
    h2o_handler_t super;
    struct http_server *server;
};

/* Counts as open until the loop has closed its handle, which is after h2o has
 * released the connection. */
struct http_server_connection {
    uv_tcp_t tcp;
    struct http_server *server;
    h2o_socket_t *socket; /* NULL: it could not be accepted */
    GList link;           /* in server->connections */
};

static void
http_server_exchange_free(struct http_server_exchange *exchange)
{
    g_free(exchange->method);
    g_free(exchange->target);
    g_free(exchange->path);
    g_free(exchange->query);
    g_free(exchange->body);
    g_free(exchange);
}

/* Calls the request's on_disconnect callback, at most once. */
static void
http_server_notify_disconnect(struct http_server_exchange *exchange)
{
    void (*on_disconnect)(struct http_request *, void *) =
        exchange->request.on_disconnect;
    exchange->request.on_disconnect = NULL;
    if (on_disconnect != NULL) {
        on_disconnect(&exchange->request, exchange->request.ctx);
    }
}

static void
http_server_on_request_disposed(void *data)
{
    struct http_server_exchange *exchange =
        *(struct http_server_exchange **)data;
    exchange->h2o = NULL;
    exchange->server->exchange_count -= 1;
    if (exchange->is_answered) {
        http_server_exchange_free(exchange);
    }
    else {
        g_queue_unlink(&exchange->server->unanswered, &exchange->link);
        http_server_notify_disconnect(exchange);
    }
}

/* Whether the client of an unanswered request has closed its connection. */
static int
http_server_is_disconnected(const struct http_server_exchange *exchange)
{
    h2o_conn_t *conn = exchange->h2o->conn;
    int fd = h2o_socket_get_fd(conn->callbacks->get_socket(conn));
    char byte = 0;
    ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

static struct http_server_exchange *
http_server_find_disconnected(const struct http_server *server)
{
    for (GList *item = server->unanswered.head; item != NULL;
         item = item->next) {
        struct http_server_exchange *exchange = item->data;
        if (exchange->request.on_disconnect != NULL &&
            http_server_is_disconnected(exchange)) {
            return exchange;
        }
    }
    return NULL;
}

/*
 * Checks the connections of unanswered requests. h2o does not read from an
 * HTTP/1 connection while a request is handled, so it does not notice that the
 * client closed it. The search starts again after each callback, which may
 * change the queue.
 */
static void
http_server_on_disconnect_check(uv_timer_t *timer)
{
    struct http_server *server = timer->data;
    struct http_server_exchange *exchange =
        http_server_find_disconnected(server);
    while (exchange != NULL) {
        http_server_notify_disconnect(exchange);
        exchange = http_server_find_disconnected(server);
    }
    if (g_queue_is_empty(&server->unanswered)) {
        uv_timer_stop(timer);
    }
}

static void
http_server_add_unanswered(struct http_server_exchange *exchange)
{
    struct http_server *server = exchange->server;
    exchange->link.data = exchange;
    g_queue_push_tail_link(&server->unanswered, &exchange->link);
    if (!uv_is_active((uv_handle_t *)&server->disconnect_timer)) {
        uv_timer_start(
            &server->disconnect_timer, http_server_on_disconnect_check,
            server->disconnect_check_ms, server->disconnect_check_ms);
    }
}

/* A copy of the bytes, which may contain NULs, with a NUL appended. */
static char *
http_server_copy(const char *bytes, size_t count)
{
    char *copy = g_malloc(count + 1);
    if (count > 0) {
        memcpy(copy, bytes, count);
    }
    copy[count] = '\0';
    return copy;
}

static int
http_server_on_request(h2o_handler_t *self, h2o_req_t *req)
{
    struct http_server *server =
        ((struct http_server_h2o_handler *)self)->server;
    struct http_server_exchange *exchange =
        g_new0(struct http_server_exchange, 1);
    struct http_server_exchange **pool_ref =
        h2o_mem_alloc_shared(&req->pool, sizeof(struct http_server_exchange *),
                             http_server_on_request_disposed);
    *pool_ref = exchange;
    size_t path_bytes = req->path.len;
    exchange->query = g_strdup("");
    if (req->query_at != SIZE_MAX) {
        path_bytes = req->query_at;
        g_free(exchange->query);
        exchange->query = g_strndup(req->path.base + req->query_at + 1,
                                    req->path.len - req->query_at - 1);
    }
    exchange->server = server;
    exchange->h2o = req;
    server->exchange_count += 1;
    exchange->method = g_strndup(req->method.base, req->method.len);
    exchange->path = g_strndup(req->path.base, path_bytes);
    exchange->target =
        http_server_copy(req->input.path.base, req->input.path.len);
    exchange->body = http_server_copy(req->entity.base, req->entity.len);
    exchange->request = (struct http_request){
        .method = exchange->method,
        .target = exchange->target,
        .path = exchange->path,
        .query = exchange->query,
        .body = exchange->body,
        .body_bytes = req->entity.len,
    };
    http_server_add_unanswered(exchange);
    server->handler(&exchange->request, server->ctx);
    return 0;
}

static struct http_server_exchange *
http_server_exchange_of(const struct http_request *request)
{
    return (struct http_server_exchange *)request;
}

char *
http_server_header(const struct http_request *request, const char *name)
{
    const struct http_server_exchange *exchange =
        http_server_exchange_of(request);
    if (exchange->h2o == NULL) {
        return NULL;
    }
    const h2o_headers_t *headers = &exchange->h2o->headers;
    ssize_t i = h2o_find_header_by_str(headers, name, strlen(name), -1);
    if (i < 0) {
        return NULL;
    }
    return g_strndup(headers->entries[i].value.base,
                     headers->entries[i].value.len);
}

void
http_server_each_field(const struct http_request *request,
                       http_server_field_cb visit, void *ctx)
{
    const struct http_server_exchange *exchange =
        http_server_exchange_of(request);
    if (exchange->h2o == NULL) {
        return;
    }
    const h2o_headers_t *headers = &exchange->h2o->headers;
    for (size_t i = 0; i < headers->size; i++) {
        const h2o_header_t *header = &headers->entries[i];
        visit(
            &(struct http_field){
                .name = header->name->base,
                .name_bytes = header->name->len,
                .value = header->value.base,
                .value_bytes = header->value.len,
            },
            ctx);
    }
}

char *
http_server_host(const struct http_request *request)
{
    const struct http_server_exchange *exchange =
        http_server_exchange_of(request);
    if (exchange->h2o == NULL) {
        return g_strdup("");
    }
    h2o_iovec_t host = exchange->h2o->input.authority;
    return http_server_copy(host.base, host.len);
}

char *
http_server_query_value(const struct http_request *request, const char *name)
{
    size_t name_len = strlen(name);
    char *found = NULL;
    char **pairs = g_strsplit(request->query, "&", -1);
    for (char **pair = pairs; *pair != NULL && found == NULL; pair++) {
        if (strncmp(*pair, name, name_len) == 0 && (*pair)[name_len] == '=') {
            found = g_uri_unescape_string(*pair + name_len + 1, NULL);
        }
    }
    g_strfreev(pairs);
    return found;
}

void
http_server_respond_fields(struct http_request *request, int status,
                           const struct http_field *fields, size_t field_count,
                           const void *body, size_t body_bytes)
{
    struct http_server_exchange *exchange = http_server_exchange_of(request);
    exchange->is_answered = 1;
    if (exchange->h2o == NULL) {
        http_server_exchange_free(exchange);
        return;
    }
    g_queue_unlink(&exchange->server->unanswered, &exchange->link);
    h2o_req_t *req = exchange->h2o;
    req->res.status = status;
    /* With a length h2o does not use chunked encoding. */
    req->res.content_length = body_bytes;
    req->res.reason = status < 400 ? "OK" : "Error";
    for (size_t i = 0; i < field_count; i++) {
        h2o_iovec_t name =
            h2o_strdup(&req->pool, fields[i].name, fields[i].name_bytes);
        h2o_iovec_t value =
            h2o_strdup(&req->pool, fields[i].value, fields[i].value_bytes);
        h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
                              name.len, 1, NULL, value.base, value.len);
    }
    h2o_send_inline(req, body, body_bytes);
}

void
http_server_respond(struct http_request *request, int status,
                    const char *content_type, const void *body,
                    size_t body_bytes)
{
    struct http_field field = http_field_of("content-type", content_type);
    http_server_respond_fields(request, status, &field, 1, body, body_bytes);
}

void
http_server_set_idle_timeout(struct http_server *server, uint64_t timeout_ms)
{
    server->config.http1.req_timeout = timeout_ms;
    server->context.http1.req_timeout.timeout = timeout_ms;
}

void
http_server_set_disconnect_check(struct http_server *server,
                                 uint64_t interval_ms)
{
    server->disconnect_check_ms = interval_ms;
}

static void
http_server_on_connection_closed(uv_handle_t *handle)
{
    struct http_server_connection *connection =
        (struct http_server_connection *)handle;
    g_queue_unlink(&connection->server->connections, &connection->link);
    g_free(connection);
}

static void
http_server_on_accept(uv_stream_t *listener, int status)
{
    struct http_server *server = listener->data;
    if (status != 0) {
        return;
    }
    struct http_server_connection *connection =
        g_new0(struct http_server_connection, 1);
    connection->server = server;
    connection->link.data = connection;
    g_queue_push_tail_link(&server->connections, &connection->link);
    uv_tcp_init(listener->loop, &connection->tcp);
    if (uv_accept(listener, (uv_stream_t *)&connection->tcp) != 0) {
        uv_close((uv_handle_t *)&connection->tcp,
                 http_server_on_connection_closed);
        return;
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    connection->socket = h2o_uv_socket_create(
        (uv_stream_t *)&connection->tcp, http_server_on_connection_closed);
    h2o_accept(&server->accept_ctx, connection->socket);
}

static void
http_server_configure(struct http_server *server, size_t body_max_bytes)
{
    h2o_config_init(&server->config);
    server->config.max_request_entity_size = body_max_bytes;
    server->config.http1.req_timeout = HTTP_SERVER_IDLE_TIMEOUT_MS;
    h2o_hostconf_t *host = h2o_config_register_host(
        &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    struct http_server_h2o_handler *h2o_handler =
        (struct http_server_h2o_handler *)h2o_create_handler(
            path, sizeof(*h2o_handler));
    h2o_handler->super.on_req = http_server_on_request;
    h2o_handler->server = server;
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
    struct http_server *server = g_new0(struct http_server, 1);
    server->handler = handler;
    server->ctx = ctx;
    server->disconnect_check_ms = HTTP_SERVER_DISCONNECT_CHECK_MS;
    http_server_configure(server, body_max_bytes);
    h2o_context_init(&server->context, loop, &server->config);
    server->accept_ctx.ctx = &server->context;
    server->accept_ctx.hosts = server->config.hosts;
    uv_timer_init(loop, &server->disconnect_timer);
    uv_unref((uv_handle_t *)&server->disconnect_timer);
    server->disconnect_timer.data = server;
    g_queue_init(&server->unanswered);
    g_queue_init(&server->connections);
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
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
http_server_drain(struct http_server *server)
{
    /* h2o adds "Connection: close" to each further answer. */
    h2o_context_request_shutdown(&server->context);
}

void
http_server_stop(struct http_server *server)
{
    if (server->is_stopping) {
        return;
    }
    server->is_stopping = 1;
    uv_close((uv_handle_t *)&server->listener, NULL);
    http_server_drain(server);
}

/* Whether bytes of a request that h2o has not handled yet were read. */
static bool
http_server_is_reading(const struct http_server_connection *connection)
{
    return connection->socket != NULL &&
           !uv_is_closing((const uv_handle_t *)&connection->tcp) &&
           connection->socket->input != NULL &&
           connection->socket->input->size > 0;
}

bool
http_server_is_owing(const struct http_server *server)
{
    if (server->exchange_count > 0) {
        return true;
    }
    for (const GList *item = server->connections.head; item != NULL;
         item = item->next) {
        if (http_server_is_reading(item->data)) {
            return true;
        }
    }
    return false;
}

uint32_t
http_server_connection_count(const struct http_server *server)
{
    return server->connections.length;
}
