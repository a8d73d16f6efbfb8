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
/* Callers keep connections open between requests; h2o closes idle ones after
 * this time, if http_server_set_idle_timeout() does not say another one. */
#define HTTP_SERVER_IDLE_TIMEOUT_MS (60ULL * 1000)

/* How often connections with a waiting request are checked for their end. */
#define HTTP_SERVER_GONE_CHECK_MS 20ULL

struct http_server {
    uv_tcp_t listener;
    uv_timer_t gone_timer;
    GQueue waiting; /* of struct http_server_slot without an answer */
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept_ctx;
    http_server_handler_cb handler;
    void *ctx;
    uint32_t connection_count;
    uint64_t gone_check_ms;
    int is_stopping;
};

/* Owns a request until it is both answered and gone from h2o. */
struct http_server_slot {
    struct http_request request;
    struct http_server *server;
    GList link; /* in server->waiting */
    h2o_req_t *h2o;
    char *method;
    char *target;
    char *path;
    char *query;
    char *body;
    int is_answered;
};

struct http_server_route {
    h2o_handler_t super;
    struct http_server *server;
};

/* The loop closes the handle after the server let go of the connection. */
struct http_server_connection {
    uv_tcp_t tcp;
    struct http_server *server;
};

static void
http_server_slot_free(struct http_server_slot *slot)
{
    g_free(slot->method);
    g_free(slot->target);
    g_free(slot->path);
    g_free(slot->query);
    g_free(slot->body);
    g_free(slot);
}

/* Tells the handler once that the caller went away. */
static void
http_server_tell_gone(struct http_server_slot *slot)
{
    void (*on_gone)(struct http_request *, void *) = slot->request.on_gone;
    slot->request.on_gone = NULL;
    if (on_gone != NULL) {
        on_gone(&slot->request, slot->request.ctx);
    }
}

static void
http_server_on_request_disposed(void *data)
{
    struct http_server_slot *slot = *(struct http_server_slot **)data;
    slot->h2o = NULL;
    if (slot->is_answered) {
        http_server_slot_free(slot);
    }
    else {
        g_queue_unlink(&slot->server->waiting, &slot->link);
        http_server_tell_gone(slot);
    }
}

/* Whether the caller of a waiting request has closed its connection. */
static int
http_server_is_gone(const struct http_server_slot *slot)
{
    h2o_conn_t *conn = slot->h2o->conn;
    int fd = h2o_socket_get_fd(conn->callbacks->get_socket(conn));
    char byte = 0;
    ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

static struct http_server_slot *
http_server_find_gone(const struct http_server *server)
{
    for (GList *item = server->waiting.head; item != NULL; item = item->next) {
        struct http_server_slot *slot = item->data;
        if (slot->request.on_gone != NULL && http_server_is_gone(slot)) {
            return slot;
        }
    }
    return NULL;
}

/*
 * h2o does not read from an HTTP/1 connection while a request is handled, so
 * it does not see that the caller closed it.
 */
static void
http_server_on_gone_check(uv_timer_t *timer)
{
    struct http_server *server = timer->data;
    struct http_server_slot *slot = http_server_find_gone(server);
    while (slot != NULL) {
        http_server_tell_gone(slot);
        slot = http_server_find_gone(server);
    }
    if (g_queue_is_empty(&server->waiting)) {
        uv_timer_stop(timer);
    }
}

static void
http_server_wait(struct http_server_slot *slot)
{
    struct http_server *server = slot->server;
    slot->link.data = slot;
    g_queue_push_tail_link(&server->waiting, &slot->link);
    if (!uv_is_active((uv_handle_t *)&server->gone_timer)) {
        uv_timer_start(&server->gone_timer, http_server_on_gone_check,
                       server->gone_check_ms, server->gone_check_ms);
    }
}

/* A copy with a NUL behind it; the bytes may hold NULs themselves. */
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
    struct http_server *server = ((struct http_server_route *)self)->server;
    struct http_server_slot *slot = g_new0(struct http_server_slot, 1);
    struct http_server_slot **holder =
        h2o_mem_alloc_shared(&req->pool, sizeof(struct http_server_slot *),
                             http_server_on_request_disposed);
    *holder = slot;
    size_t path_bytes = req->path.len;
    slot->query = g_strdup("");
    if (req->query_at != SIZE_MAX) {
        path_bytes = req->query_at;
        g_free(slot->query);
        slot->query = g_strndup(req->path.base + req->query_at + 1,
                                req->path.len - req->query_at - 1);
    }
    slot->server = server;
    slot->h2o = req;
    slot->method = g_strndup(req->method.base, req->method.len);
    slot->path = g_strndup(req->path.base, path_bytes);
    slot->target = http_server_copy(req->input.path.base, req->input.path.len);
    slot->body = http_server_copy(req->entity.base, req->entity.len);
    slot->request = (struct http_request){
        .method = slot->method,
        .target = slot->target,
        .path = slot->path,
        .query = slot->query,
        .body = slot->body,
        .body_bytes = req->entity.len,
    };
    http_server_wait(slot);
    server->handler(&slot->request, server->ctx);
    return 0;
}

static struct http_server_slot *
http_server_slot_of(const struct http_request *request)
{
    return (struct http_server_slot *)request;
}

char *
http_server_header(const struct http_request *request, const char *name)
{
    const struct http_server_slot *slot = http_server_slot_of(request);
    if (slot->h2o == NULL) {
        return NULL;
    }
    const h2o_headers_t *headers = &slot->h2o->headers;
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
    const struct http_server_slot *slot = http_server_slot_of(request);
    if (slot->h2o == NULL) {
        return;
    }
    const h2o_headers_t *headers = &slot->h2o->headers;
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
    const struct http_server_slot *slot = http_server_slot_of(request);
    if (slot->h2o == NULL) {
        return g_strdup("");
    }
    h2o_iovec_t host = slot->h2o->input.authority;
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
    struct http_server_slot *slot = http_server_slot_of(request);
    slot->is_answered = 1;
    if (slot->h2o == NULL) {
        http_server_slot_free(slot);
        return;
    }
    g_queue_unlink(&slot->server->waiting, &slot->link);
    h2o_req_t *req = slot->h2o;
    req->res.status = status;
    /* Known in advance, so that h2o need not send the body in chunks. */
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
http_server_set_gone_check(struct http_server *server, uint64_t interval_ms)
{
    server->gone_check_ms = interval_ms;
}

static void
http_server_on_connection_closed(uv_handle_t *handle)
{
    struct http_server_connection *connection =
        (struct http_server_connection *)handle;
    connection->server->connection_count -= 1;
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
    server->connection_count += 1;
    uv_tcp_init(listener->loop, &connection->tcp);
    if (uv_accept(listener, (uv_stream_t *)&connection->tcp) != 0) {
        uv_close((uv_handle_t *)&connection->tcp,
                 http_server_on_connection_closed);
        return;
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    h2o_socket_t *socket = h2o_uv_socket_create(
        (uv_stream_t *)&connection->tcp, http_server_on_connection_closed);
    h2o_accept(&server->accept_ctx, socket);
}

static void
http_server_configure(struct http_server *server, size_t max_body_bytes)
{
    h2o_config_init(&server->config);
    server->config.max_request_entity_size = max_body_bytes;
    server->config.http1.req_timeout = HTTP_SERVER_IDLE_TIMEOUT_MS;
    h2o_hostconf_t *host = h2o_config_register_host(
        &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    struct http_server_route *route =
        (struct http_server_route *)h2o_create_handler(path, sizeof(*route));
    route->super.on_req = http_server_on_request;
    route->server = server;
}

int
http_server_open(uv_loop_t *loop, const char *address, size_t max_body_bytes,
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
    server->gone_check_ms = HTTP_SERVER_GONE_CHECK_MS;
    http_server_configure(server, max_body_bytes);
    h2o_context_init(&server->context, loop, &server->config);
    server->accept_ctx.ctx = &server->context;
    server->accept_ctx.hosts = server->config.hosts;
    uv_timer_init(loop, &server->gone_timer);
    uv_unref((uv_handle_t *)&server->gone_timer);
    server->gone_timer.data = server;
    g_queue_init(&server->waiting);
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
    /* Each further answer carries "Connection: close". */
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

uint32_t
http_server_connection_count(const struct http_server *server)
{
    return server->connection_count;
}
