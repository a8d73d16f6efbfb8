#include <poll.h>
#include <string.h>

#include "common/http_server_conn.h"
#include "common/log.h"
#include "common/rc.h"

/* Requests as the handler sees them, and their answers. */

/* Delay after which a client may repeat a request for which there was no room:
 * connections that make no progress are closed within it. */
#define HTTP_EXCHANGE_RETRY_AFTER "1"
#define HTTP_STATUS_NO_CONTENT 204
#define HTTP_STATUS_NOT_MODIFIED 304
#define HTTP_STATUS_ERROR_MIN 400

/* A request and its answer. Lives until the request has been answered. */
struct http_exchange {
    struct http_request request;
    struct http_server *server;
    GList link;                    /* in server->unanswered */
    struct http_server_conn *conn; /* NULL once it was closed */
    struct buffer *target;         /* as sent, with a NUL */
    struct buffer *split;          /* path and query, each with a NUL */
    char *host;
    uint64_t checked_round; /* of http_exchange_is_disconnected() */
};

static struct http_exchange *
http_exchange_of(const struct http_request *request)
{
    return (struct http_exchange *)request;
}

static void
http_exchange_free(struct http_exchange *exchange)
{
    buffer_unref(exchange->request.body_buffer);
    buffer_unref(exchange->target);
    buffer_unref(exchange->split);
    g_free(exchange->host);
    g_free(exchange);
}

void
http_exchange_notify_disconnect(struct http_exchange *exchange)
{
    void (*on_disconnect)(struct http_request *, void *) =
        exchange->request.on_disconnect;
    exchange->request.on_disconnect = NULL;
    if (exchange->conn != NULL) {
        /* Nobody waits for answers to the requests behind this one. */
        exchange->conn->is_last = true;
    }
    if (on_disconnect != NULL) {
        on_disconnect(&exchange->request, exchange->request.ctx);
    }
}

void
http_exchange_detach(struct http_exchange *exchange)
{
    exchange->conn->exchange = NULL;
    exchange->conn = NULL;
    http_exchange_notify_disconnect(exchange);
}

bool
http_server_has_left(const struct http_request *request)
{
    const struct http_server_conn *conn =
        ((const struct http_exchange *)request)->conn;
    /* Bytes that were sent before the end of the stream, such as a pipelined
     * request, do not hide it. */
    struct pollfd poll_for = {.events = POLLRDHUP};
    if (conn == NULL) {
        return true;
    }
    if (uv_fileno((const uv_handle_t *)&conn->tcp, &poll_for.fd) != 0) {
        return false;
    }
    return poll(&poll_for, 1, 0) > 0;
}

bool
http_exchange_is_disconnected(struct http_exchange *exchange, uint64_t round)
{
    if (exchange->request.on_disconnect == NULL || exchange->conn == NULL ||
        exchange->checked_round == round) {
        return false;
    }
    exchange->checked_round = round;
    return http_server_has_left(&exchange->request);
}

/* Replaces the target by the text and a NUL. Returns RC_OK or RC_NO_MEMORY. */
static int
http_exchange_set_target(struct http_exchange *exchange, const char *text,
                         size_t bytes)
{
    struct buffer *target = buffer_new(exchange->server->share);
    int rc = buffer_append(target, text, bytes);
    if (rc == RC_OK) {
        rc = buffer_append(target, "", 1);
    }
    buffer_unref(exchange->target);
    exchange->target = target;
    return rc;
}

/* Takes host and path from a target that is a whole URL. */
static int
http_exchange_split_url(struct http_exchange *exchange)
{
    struct http_parser_url url;
    const char *text = (const char *)exchange->target->data;
    http_parser_url_init(&url);
    if (http_parser_parse_url(text, strlen(text), 0, &url) != 0 ||
        (url.field_set & (1 << UF_HOST)) == 0) {
        return RC_BAD_REQUEST;
    }
    const char *host = text + url.field_data[UF_HOST].off;
    size_t host_bytes = strcspn(host, "/?#");
    const char *rest = host + host_bytes;
    exchange->host = g_strndup(host, host_bytes);
    if (*rest != '/') {
        /* An empty path is "/". */
        char *path = g_strconcat("/", rest, (char *)NULL);
        int rc = http_exchange_set_target(exchange, path, strlen(path));
        g_free(path);
        return rc;
    }
    return http_exchange_set_target(exchange, rest, strlen(rest));
}

/* Copies the target and puts a NUL in the place of its '?'. */
static int
http_exchange_split_path(struct http_exchange *exchange)
{
    const struct buffer *target = exchange->target;
    exchange->split = buffer_new(exchange->server->share);
    int rc = buffer_append(exchange->split, target->data, target->bytes);
    if (rc != RC_OK) {
        return rc;
    }
    char *path = (char *)exchange->split->data;
    size_t path_bytes = strcspn(path, "?");
    bool has_query = path[path_bytes] == '?';
    path[path_bytes] = '\0';
    exchange->request.target = (const char *)target->data;
    exchange->request.path = path;
    exchange->request.query = has_query ? path + path_bytes + 1 : "";
    return RC_OK;
}

static int
http_exchange_read_target(struct http_exchange *exchange)
{
    const struct http_server_conn *conn = exchange->conn;
    const char *text = (const char *)conn->target->data;
    int rc = http_exchange_set_target(exchange, text, conn->target->bytes);
    bool is_url = rc == RC_OK && text[0] != '/' && text[0] != '*' &&
                  conn->parser.method != HTTP_CONNECT;
    if (is_url) {
        rc = http_exchange_split_url(exchange);
    }
    if (rc == RC_OK && exchange->host == NULL) {
        struct http_field host;
        (void)http_field_list_find(&conn->fields, "host", &host);
        exchange->host = host.value != NULL
                             ? g_strndup(host.value, host.value_bytes)
                             : g_strdup("");
    }
    return rc == RC_OK ? http_exchange_split_path(exchange) : rc;
}

/* Moves the body from the connection; a NUL follows it. */
static int
http_exchange_take_body(struct http_exchange *exchange)
{
    struct http_server_conn *conn = exchange->conn;
    struct buffer *body =
        conn->body != NULL ? conn->body : buffer_new(conn->server->share);
    conn->body = NULL;
    exchange->request.body_buffer = body;
    int rc = buffer_append(body, "", 1);
    if (rc == RC_OK) {
        buffer_truncate(body, body->bytes - 1);
    }
    return rc;
}

static void
http_exchange_add_unanswered(struct http_exchange *exchange)
{
    struct http_server *server = exchange->server;
    exchange->link.data = exchange;
    g_queue_push_tail_link(&server->unanswered, &exchange->link);
    http_server_watch_disconnects(server);
}

int
http_exchange_start(struct http_server_conn *conn)
{
    struct http_exchange *exchange = g_new0(struct http_exchange, 1);
    exchange->server = conn->server;
    exchange->conn = conn;
    int rc = http_exchange_read_target(exchange);
    if (rc == RC_OK) {
        rc = http_exchange_take_body(exchange);
    }
    if (rc != RC_OK) {
        http_exchange_free(exchange);
        return rc;
    }
    struct http_request *request = &exchange->request;
    request->method = http_method_str((enum http_method)conn->parser.method);
    request->body = (const char *)request->body_buffer->data;
    request->body_bytes = request->body_buffer->bytes;
    conn->exchange = exchange;
    http_exchange_add_unanswered(exchange);
    conn->server->handler(request, conn->server->ctx);
    return RC_OK;
}

char *
http_server_header(const struct http_request *request, const char *name)
{
    const struct http_server_conn *conn = http_exchange_of(request)->conn;
    if (conn == NULL) {
        return NULL;
    }
    struct http_field field;
    (void)http_field_list_find(&conn->fields, name, &field);
    return field.value != NULL ? g_strndup(field.value, field.value_bytes)
                               : NULL;
}

/* Whether the field is handled by the server itself. */
static bool
http_exchange_is_own_field(const struct http_field *field)
{
    return http_field_is(field, "host") ||
           http_field_is(field, "content-length") ||
           http_field_is(field, "transfer-encoding") ||
           http_field_is(field, "expect");
}

void
http_server_each_field(const struct http_request *request,
                       http_server_field_cb visit, void *ctx)
{
    const struct http_server_conn *conn = http_exchange_of(request)->conn;
    if (conn == NULL) {
        return;
    }
    for (size_t i = 0; i < http_field_list_count(&conn->fields); i++) {
        struct http_field field = http_field_list_get(&conn->fields, i);
        if (!http_exchange_is_own_field(&field)) {
            field = http_field_trim(&field);
            visit(&field, ctx);
        }
    }
}

char *
http_server_host(const struct http_request *request)
{
    return g_strdup(http_exchange_of(request)->host);
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

/* Appends to a head that is being built; `*rc` keeps the first error. */
static void
http_exchange_append(struct buffer *head, int *rc, const char *text,
                     size_t bytes)
{
    if (*rc == RC_OK) {
        *rc = buffer_append(head, text, bytes);
    }
}

static void
http_exchange_append_field(struct buffer *head, int *rc,
                           const struct http_field *field)
{
    http_exchange_append(head, rc, field->name, field->name_bytes);
    http_exchange_append(head, rc, ": ", 2);
    http_exchange_append(head, rc, field->value, field->value_bytes);
    http_exchange_append(head, rc, "\r\n", 2);
}

/* Writes the head of an answer. Returns RC_OK or RC_NO_MEMORY. */
static int
http_exchange_write_head(const struct http_server_conn *conn, int status,
                         const struct http_field *fields, size_t field_count,
                         size_t body_bytes, struct buffer *head)
{
    char text[128];
    int rc = RC_OK;
    int count =
        g_snprintf(text, sizeof(text), "HTTP/1.1 %d %s\r\nConnection: %s\r\n",
                   status, status < HTTP_STATUS_ERROR_MIN ? "OK" : "Error",
                   conn->is_last ? "close" : "keep-alive");
    http_exchange_append(head, &rc, text, (size_t)count);
    if (status != HTTP_STATUS_NO_CONTENT) {
        count = g_snprintf(text, sizeof(text), "Content-Length: %zu\r\n",
                           body_bytes);
        http_exchange_append(head, &rc, text, (size_t)count);
    }
    for (size_t i = 0; i < field_count; i++) {
        http_exchange_append_field(head, &rc, &fields[i]);
    }
    http_exchange_append(head, &rc, "\r\n", 2);
    return rc;
}

/* Whether this answer is the last one of its connection. A connection that has
 * served a request before makes room if there are many. */
static bool
http_exchange_is_last(const struct http_server_conn *conn)
{
    return conn->is_last || conn->server->is_draining ||
           (conn->wait.has_served && resource_is_crowded(conn->server->share));
}

/* Writes the answer; the reference of `body` passes to the callee. */
static void
http_exchange_send(struct http_server_conn *conn, int status,
                   const struct http_field *fields, size_t field_count,
                   struct buffer *body, uint64_t now_ms)
{
    bool has_body = conn->parser.method != HTTP_HEAD &&
                    status != HTTP_STATUS_NO_CONTENT &&
                    status != HTTP_STATUS_NOT_MODIFIED;
    struct buffer *head = buffer_new(conn->server->share);
    conn->is_last = http_exchange_is_last(conn);
    if (http_exchange_write_head(conn, status, fields, field_count,
                                 body->bytes, head) != RC_OK) {
        log_sample("http", "no room for the head of an answer, closing");
        buffer_unref(head);
        buffer_unref(body);
        http_server_conn_close(conn);
        return;
    }
    if (!has_body) {
        buffer_unref(body);
        body = NULL;
    }
    http_server_conn_write(conn, head, body, now_ms);
}

/* Ends the exchange and returns its connection, or NULL if that is gone. */
static struct http_server_conn *
http_exchange_end(struct http_exchange *exchange)
{
    struct http_server_conn *conn = exchange->conn;
    g_queue_unlink(&exchange->server->unanswered, &exchange->link);
    if (conn != NULL) {
        conn->exchange = NULL;
    }
    http_exchange_free(exchange);
    return conn;
}

void
http_server_respond_buffer(struct http_request *request, int status,
                           const struct http_field *fields, size_t field_count,
                           struct buffer *body)
{
    /* The fields may point into the request, which is freed last. */
    struct http_exchange *exchange = http_exchange_of(request);
    struct http_server_conn *conn = exchange->conn;
    if (conn != NULL) {
        exchange->conn = NULL;
        conn->exchange = NULL;
        http_exchange_send(conn, status, fields, field_count, buffer_ref(body),
                           uv_now(conn->tcp.loop));
    }
    (void)http_exchange_end(exchange);
}

void
http_server_respond_fields(struct http_request *request, int status,
                           const struct http_field *fields, size_t field_count,
                           const void *body, size_t body_bytes)
{
    struct http_exchange *exchange = http_exchange_of(request);
    struct buffer *copy = buffer_new(exchange->server->share);
    if (buffer_append(copy, body, body_bytes) == RC_OK) {
        http_server_respond_buffer(request, status, fields, field_count, copy);
    }
    else {
        /* A closed connection promises nothing, whatever has happened. */
        log_sample("http", "no room for an answer, closing bytes=%zu",
                   body_bytes);
        struct http_server_conn *conn = http_exchange_end(exchange);
        if (conn != NULL) {
            http_server_conn_close(conn);
        }
    }
    buffer_unref(copy);
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
http_exchange_refuse(struct http_server_conn *conn, int rc, uint64_t now_ms)
{
    struct http_field fields[] = {
        http_field_of("content-type", "application/json"),
        http_field_of("retry-after", HTTP_EXCHANGE_RETRY_AFTER),
    };
    int status = rc_http_status(rc);
    size_t field_count = rc == RC_NO_MEMORY ? 2 : 1;
    char text[64];
    int count =
        g_snprintf(text, sizeof(text), "{\"error\":\"%s\"}", rc_name(rc));
    struct buffer *body = buffer_new(conn->server->share);
    log_sample("http", "request refused rc=%s", rc_name(rc));
    if (conn->server->refused != NULL) {
        conn->server->refused(rc, conn->server->ctx);
    }
    if (buffer_append(body, text, (size_t)count) != RC_OK) {
        buffer_unref(body);
        http_server_conn_close(conn);
        return;
    }
    http_exchange_send(conn, status, fields, field_count, body, now_ms);
}
