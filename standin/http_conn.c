#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"
#include "standin/http_conn.h"

#define HTTP_CONN_BACKLOG 512
#define HTTP_CONN_INPUT_MAX_BYTES (4U * 1024 * 1024)
#define HTTP_CONN_READ_BYTES 65536

struct http_conn_server {
    uv_tcp_t listener;
    struct http_conn_handlers handlers;
    void *ctx;
    GList *conns;
    uint32_t count;
};

struct http_conn {
    uv_tcp_t tcp;
    struct http_conn_server *server;
    GList link; /* in the server's list */
    http_parser parser;
    void *data;
    GByteArray *input; /* read but not yet parsed */
    GString *url;
    GString *body;
    char *path;
    bool is_complete;
    bool is_request_pending; /* a request waits for its response */
    bool is_parsing;         /* guards against recursion through a handler */
    bool is_closing;
};

struct http_conn_write {
    uv_write_t req;
    struct http_conn *conn;
    GString *data;
    bool is_last; /* closes the connection */
};

/* Shared by all connections: each read is copied before the next one. */
static char http_conn_read_buffer[HTTP_CONN_READ_BYTES];

static int
http_conn_on_url(http_parser *parser, const char *at, size_t length)
{
    struct http_conn *conn = parser->data;
    g_string_append_len(conn->url, at, (gssize)length);
    return 0;
}

static int
http_conn_on_body(http_parser *parser, const char *at, size_t length)
{
    struct http_conn *conn = parser->data;
    if (conn->body->len + length > HTTP_CONN_INPUT_MAX_BYTES) {
        return 1;
    }
    g_string_append_len(conn->body, at, (gssize)length);
    return 0;
}

static int
http_conn_on_begin(http_parser *parser)
{
    struct http_conn *conn = parser->data;
    g_string_truncate(conn->url, 0);
    g_string_truncate(conn->body, 0);
    return 0;
}

static int
http_conn_on_complete(http_parser *parser)
{
    struct http_conn *conn = parser->data;
    conn->is_complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings http_conn_settings = {
    .on_message_begin = http_conn_on_begin,
    .on_url = http_conn_on_url,
    .on_body = http_conn_on_body,
    .on_message_complete = http_conn_on_complete,
};

static void
http_conn_on_conn_closed(uv_handle_t *handle)
{
    struct http_conn *conn = handle->data;
    g_byte_array_free(conn->input, TRUE);
    g_string_free(conn->url, TRUE);
    g_string_free(conn->body, TRUE);
    g_free(conn->path);
    g_free(conn);
}

void
http_conn_close(struct http_conn *conn)
{
    if (conn->is_closing) {
        return;
    }
    conn->is_closing = true;
    struct http_conn_server *server = conn->server;
    if (conn->data != NULL) {
        server->conns = g_list_remove_link(server->conns, &conn->link);
        server->count -= 1;
        server->handlers.closed(conn, server->ctx);
    }
    uv_close((uv_handle_t *)&conn->tcp, http_conn_on_conn_closed);
}

static void
http_conn_dispatch(struct http_conn *conn)
{
    conn->is_complete = false;
    conn->is_request_pending = true;
    http_parser_pause(&conn->parser, 0);
    char *query = strchr(conn->url->str, '?');
    g_free(conn->path);
    conn->path = query == NULL ? g_strdup(conn->url->str)
                               : g_strndup(conn->url->str,
                                           (gsize)(query - conn->url->str));
    struct http_conn_request request = {
        .method = http_method_str((enum http_method)conn->parser.method),
        .path = conn->path,
        .query = query == NULL ? "" : query + 1,
        .body = conn->body->str,
        .body_bytes = conn->body->len,
    };
    conn->server->handlers.request(conn, &request, conn->server->ctx);
}

/* Parses the buffered input until a request is pending or it is used up. */
static void
http_conn_parse_input(struct http_conn *conn)
{
    if (conn->is_parsing) {
        return;
    }
    conn->is_parsing = true;
    while (!conn->is_closing && !conn->is_request_pending &&
           conn->input->len > 0) {
        size_t used = http_parser_execute(&conn->parser, &http_conn_settings,
                                          (const char *)conn->input->data,
                                          conn->input->len);
        g_byte_array_remove_range(conn->input, 0, (guint)used);
        enum http_errno error = HTTP_PARSER_ERRNO(&conn->parser);
        if (conn->is_complete) {
            http_conn_dispatch(conn);
        }
        else if (error != HPE_OK || conn->parser.upgrade) {
            http_conn_close(conn);
        }
    }
    conn->is_parsing = false;
}

static void
http_conn_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    *buf = uv_buf_init(http_conn_read_buffer, sizeof(http_conn_read_buffer));
}

static void
http_conn_on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
    struct http_conn *conn = stream->data;
    if (conn->is_closing || nread == 0) {
        return;
    }
    if (nread < 0 ||
        conn->input->len + (size_t)nread > HTTP_CONN_INPUT_MAX_BYTES) {
        http_conn_close(conn);
        return;
    }
    g_byte_array_append(conn->input, (const guint8 *)buf->base, (guint)nread);
    http_conn_parse_input(conn);
}

static void
http_conn_on_accept(uv_stream_t *listener, int status)
{
    struct http_conn_server *server = listener->data;
    if (status != 0) {
        return;
    }
    struct http_conn *conn = g_new0(struct http_conn, 1);
    conn->server = server;
    conn->link.data = conn;
    conn->input = g_byte_array_new();
    conn->url = g_string_new(NULL);
    conn->body = g_string_new(NULL);
    uv_tcp_init(listener->loop, &conn->tcp);
    conn->tcp.data = conn;
    http_parser_init(&conn->parser, HTTP_REQUEST);
    conn->parser.data = conn;
    if (uv_accept(listener, (uv_stream_t *)&conn->tcp) == 0) {
        conn->data = server->handlers.open(conn, server->ctx);
    }
    if (conn->data == NULL) {
        http_conn_close(conn);
        return;
    }
    server->conns = g_list_concat(&conn->link, server->conns);
    server->count += 1;
    uv_tcp_nodelay(&conn->tcp, 1);
    if (uv_read_start((uv_stream_t *)&conn->tcp, http_conn_on_alloc,
                      http_conn_on_read) != 0) {
        http_conn_close(conn);
    }
}

static void
http_conn_on_listener_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

int
http_conn_listen(uv_loop_t *loop, const char *host, uint32_t port,
                 const struct http_conn_handlers *handlers, void *ctx,
                 struct http_conn_server **out)
{
    char *address = g_strdup_printf("%s:%u", host, port);
    struct sockaddr_in bind_to;
    int rc = net_parse(address, &bind_to);
    if (rc != RC_OK) {
        log_error("wire", "listen address is malformed address=%s", address);
        g_free(address);
        return rc;
    }
    struct http_conn_server *server = g_new0(struct http_conn_server, 1);
    server->handlers = *handlers;
    server->ctx = ctx;
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
    int failed =
        uv_tcp_bind(&server->listener, (const struct sockaddr *)&bind_to, 0);
    if (failed == 0) {
        failed = uv_listen((uv_stream_t *)&server->listener, HTTP_CONN_BACKLOG,
                           http_conn_on_accept);
    }
    if (failed != 0) {
        log_error("wire", "cannot listen address=%s error=\"%s\"", address,
                  uv_strerror(failed));
        uv_close((uv_handle_t *)&server->listener,
                 http_conn_on_listener_closed);
        g_free(address);
        return RC_IO;
    }
    g_free(address);
    *out = server;
    return RC_OK;
}

void
http_conn_each(struct http_conn_server *server,
               void (*each)(struct http_conn *conn, void *ctx), void *ctx)
{
    GList *item = server->conns;
    while (item != NULL) {
        struct http_conn *conn = item->data;
        item = item->next;
        each(conn, ctx);
    }
}

static void
http_conn_close_each(struct http_conn *conn, void *ctx)
{
    http_conn_close(conn);
}

void
http_conn_server_close(struct http_conn_server *server)
{
    http_conn_each(server, http_conn_close_each, NULL);
    /* The close callbacks of the connections don't use the server. */
    uv_close((uv_handle_t *)&server->listener, http_conn_on_listener_closed);
}

uint32_t
http_conn_count(const struct http_conn_server *server)
{
    return server->count;
}

void *
http_conn_data(const struct http_conn *conn)
{
    return conn->data;
}

static void
http_conn_on_write(uv_write_t *req, int status)
{
    struct http_conn_write *write = req->data;
    if (write->is_last) {
        http_conn_close(write->conn);
    }
    g_string_free(write->data, TRUE);
    g_free(write);
}

static GString *
http_conn_format(int status, const char *body, size_t announced, size_t sent)
{
    GString *data = g_string_sized_new(128 + sent);
    g_string_append_printf(data,
                           "HTTP/1.1 %d %s\r\n"
                           "Content-Type: application/json\r\n"
                           "Content-Length: %zu\r\n\r\n",
                           status, status < 400 ? "OK" : "Error", announced);
    g_string_append_len(data, body, (gssize)sent);
    return data;
}

static void
http_conn_send(struct http_conn *conn, GString *data, bool is_last)
{
    if (conn->is_closing) {
        g_string_free(data, TRUE);
        return;
    }
    struct http_conn_write *write = g_new0(struct http_conn_write, 1);
    write->conn = conn;
    write->data = data;
    write->is_last = is_last || http_should_keep_alive(&conn->parser) == 0;
    write->req.data = write;
    conn->is_request_pending = false;
    uv_buf_t buf = uv_buf_init(data->str, (unsigned)data->len);
    if (uv_write(&write->req, (uv_stream_t *)&conn->tcp, &buf, 1,
                 http_conn_on_write) != 0) {
        g_string_free(data, TRUE);
        g_free(write);
        http_conn_close(conn);
        return;
    }
    http_conn_parse_input(conn);
}

void
http_conn_respond(struct http_conn *conn, int status, const char *body,
                  size_t body_bytes)
{
    http_conn_send(
        conn, http_conn_format(status, body, body_bytes, body_bytes), false);
}

void
http_conn_respond_twice(struct http_conn *conn, int status, const char *body,
                        size_t body_bytes)
{
    GString *data = http_conn_format(status, body, body_bytes, body_bytes);
    GString *copy = g_string_new_len(data->str, (gssize)data->len);
    g_string_append_len(data, copy->str, (gssize)copy->len);
    g_string_free(copy, TRUE);
    http_conn_send(conn, data, false);
}

void
http_conn_respond_truncated(struct http_conn *conn, int status,
                            const char *body, size_t body_bytes)
{
    http_conn_send(conn,
                   http_conn_format(status, body, body_bytes, body_bytes / 2),
                   true);
}
