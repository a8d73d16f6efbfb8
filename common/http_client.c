#include <glib.h>
#include <http_parser.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"

#define HTTP_CLIENT_READ_BYTES 65536
/* Statuses of final responses. */
#define HTTP_CLIENT_STATUS_MIN 200
#define HTTP_CLIENT_STATUS_MAX 599
/* Interim responses before the final one. */
#define HTTP_CLIENT_INTERIM_MAX 32

struct http_client_conn {
    uv_tcp_t tcp;
    uv_connect_t connect_req;
    uv_shutdown_t shutdown_req;
    uv_timer_t failed_timer; /* reports a connect() that failed at once */
    uint32_t handle_count;   /* open handles: `tcp`, and `failed_timer` */
    http_parser parser;
    char *host;
    size_t body_max_bytes;
    struct resource_share *share;
    bool has_room; /* a connection of the share is taken */
    http_client_connected_cb connected;
    http_client_lost_cb lost;
    void *ctx;
    http_client_response_cb response;
    void *response_ctx;
    struct buffer *body;
    struct http_field_list fields;
    uint32_t interim_count; /* of the request in flight */
    bool is_head;
    bool is_connected;
    bool is_closing;
    bool is_shut_down;
    bool is_complete;
    int refusal; /* why the response cannot be held, or RC_OK */
};

/* Shared by all connections: each read is parsed before the next one starts.
 */
static char http_client_read_buffer[HTTP_CLIENT_READ_BYTES];

struct http_client_write {
    uv_write_t req;
    GString *head;
    struct buffer *body; /* NULL: none */
    struct resource_share *share;
    uint64_t reserved_bytes; /* for `head` */
};

/* Stops the parser: the response cannot be held. */
static int
http_client_stop(struct http_client_conn *conn, int rc)
{
    conn->refusal = rc;
    return -1; /* 1 would mean "no body" at the end of a head */
}

static int
http_client_on_body(http_parser *parser, const char *at, size_t length)
{
    struct http_client_conn *conn = parser->data;
    if (conn->body->bytes + length > conn->body_max_bytes) {
        return http_client_stop(conn, RC_REPLY_TOO_LARGE);
    }
    return buffer_append(conn->body, at, length) == RC_OK
               ? 0
               : http_client_stop(conn, RC_REPLY_NO_ROOM);
}

static int
http_client_on_header_field(http_parser *parser, const char *at, size_t length)
{
    struct http_client_conn *conn = parser->data;
    return http_field_list_add_name(&conn->fields, at, length) == RC_OK
               ? 0
               : http_client_stop(conn, RC_REPLY_NO_ROOM);
}

static int
http_client_on_header_value(http_parser *parser, const char *at, size_t length)
{
    struct http_client_conn *conn = parser->data;
    return http_field_list_add_value(&conn->fields, at, length) == RC_OK
               ? 0
               : http_client_stop(conn, RC_REPLY_NO_ROOM);
}

/* Whether the response is an interim one, which another one follows. 101 would
 * end the protocol; no request asks for that. */
static bool
http_client_is_interim(const http_parser *parser)
{
    return parser->status_code >= 100 && parser->status_code < 200 &&
           parser->status_code != 101;
}

/* Whether a final response may have the status. */
static bool
http_client_is_final(const http_parser *parser)
{
    return parser->status_code >= HTTP_CLIENT_STATUS_MIN &&
           parser->status_code <= HTTP_CLIENT_STATUS_MAX;
}

static int
http_client_on_headers_complete(http_parser *parser)
{
    struct http_client_conn *conn = parser->data;
    if (!http_client_is_interim(parser) && !http_client_is_final(parser)) {
        return http_client_stop(conn, RC_BAD_REPLY);
    }
    bool has_no_body = conn->is_head || http_client_is_interim(parser);
    bool has_length = !has_no_body && (parser->flags & F_CONTENTLENGTH) != 0;
    if (has_length && parser->content_length > conn->body_max_bytes) {
        return http_client_stop(conn, RC_REPLY_TOO_LARGE);
    }
    return has_no_body ? 1 : 0;
}

/* Forgets what was read of a response. */
static void
http_client_reset_response(struct http_client_conn *conn)
{
    buffer_clear(conn->body);
    http_field_list_reset(&conn->fields);
}

static int
http_client_on_message_complete(http_parser *parser)
{
    struct http_client_conn *conn = parser->data;
    if (http_client_is_interim(parser)) {
        http_client_reset_response(conn);
        conn->interim_count += 1;
        return conn->interim_count <= HTTP_CLIENT_INTERIM_MAX
                   ? 0
                   : http_client_stop(conn, RC_BAD_REPLY);
    }
    conn->is_complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings http_client_settings = {
    .on_header_field = http_client_on_header_field,
    .on_header_value = http_client_on_header_value,
    .on_headers_complete = http_client_on_headers_complete,
    .on_body = http_client_on_body,
    .on_message_complete = http_client_on_message_complete,
};

/* Headers of the response, which refer to the list; free with g_free. */
static struct http_field *
http_client_fields(const struct http_field_list *list)
{
    size_t count = http_field_list_count(list);
    struct http_field *fields = g_new0(struct http_field, count);
    for (size_t i = 0; i < count; i++) {
        fields[i] = http_field_list_get(list, i);
    }
    return fields;
}

const struct http_field *
http_client_field(const struct http_response *response, const char *name)
{
    for (size_t i = 0; i < response->field_count; i++) {
        if (http_field_is(&response->fields[i], name)) {
            return &response->fields[i];
        }
    }
    return NULL;
}

/* Calls the response callback. `is_clean`: nothing followed the response. */
static void
http_client_finish(struct http_client_conn *conn, int rc, bool is_clean)
{
    http_client_response_cb response = conn->response;
    if (response == NULL) {
        return;
    }
    conn->response = NULL;
    /* The callback may start the next request, which reuses the buffers. */
    struct buffer *body = conn->body;
    struct http_field_list list = conn->fields;
    struct http_field *fields = http_client_fields(&list);
    conn->body = buffer_new(conn->share);
    http_field_list_init(&conn->fields, conn->share);
    struct http_response result = {
        .rc = rc,
        .status = rc == RC_OK ? (int)conn->parser.status_code : 0,
        .body = body->bytes > 0 ? (const char *)body->data : "",
        .body_bytes = body->bytes,
        .body_buffer = body,
        .fields = fields,
        .field_count = http_field_list_count(&list),
        .is_keepalive = rc == RC_OK && is_clean &&
                        http_should_keep_alive(&conn->parser) != 0,
    };
    response(conn, &result, conn->response_ctx);
    buffer_unref(body);
    http_field_list_clear(&list);
    g_free(fields);
}

static void
http_client_fail(struct http_client_conn *conn, int rc)
{
    conn->is_connected = false;
    if (conn->response != NULL) {
        http_client_finish(conn, rc, false);
    }
    else if (conn->lost != NULL && !conn->is_closing) {
        conn->lost(conn, conn->ctx);
    }
}

static void
http_client_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    *buf =
        uv_buf_init(http_client_read_buffer, sizeof(http_client_read_buffer));
}

static void
http_client_parse(struct http_client_conn *conn, const char *data,
                  size_t data_bytes)
{
    size_t used = http_parser_execute(&conn->parser, &http_client_settings,
                                      data, data_bytes);
    enum http_errno error = HTTP_PARSER_ERRNO(&conn->parser);
    if (conn->is_complete) {
        /* Bytes after the response belong to no request. The response is
         * valid, but the connection must not be reused. */
        bool is_clean = used == data_bytes || data_bytes == 0;
        conn->is_complete = false;
        http_client_finish(conn, RC_OK, is_clean);
        return;
    }
    if (error != HPE_OK) {
        http_client_fail(conn, conn->refusal != RC_OK ? conn->refusal
                                                      : RC_BAD_REPLY);
    }
}

/*
 * Whether the peer closed the connection with a FIN. libuv reports end of file
 * also for a reset that arrives together with the last bytes.
 */
static bool
http_client_is_orderly_close(const struct http_client_conn *conn)
{
    uv_os_fd_t fd = -1;
    char byte = 0;
    return uv_fileno((const uv_handle_t *)&conn->tcp, &fd) == 0 &&
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
http_client_on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
    struct http_client_conn *conn = stream->data;
    if (conn->is_closing || nread == 0) {
        return;
    }
    if (nread < 0) {
        /* A body without a length ends with the stream. */
        if (nread == UV_EOF && conn->response != NULL &&
            http_client_is_orderly_close(conn)) {
            http_client_parse(conn, NULL, 0);
            if (conn->response == NULL || conn->is_closing) {
                return;
            }
        }
        http_client_fail(conn, RC_LINK_LOST);
        return;
    }
    if (conn->is_shut_down) {
        return;
    }
    if (conn->response == NULL) {
        http_client_fail(conn, RC_BAD_REPLY);
        return;
    }
    http_client_parse(conn, buf->base, (size_t)nread);
}

/*
 * Whether the socket is connected to itself (TCP simultaneous open). That
 * happens on a loopback address when nothing listens on a port in the range of
 * ephemeral ports and the kernel picks that port as the local one.
 */
static bool
http_client_is_self_connected(const struct http_client_conn *conn)
{
    struct sockaddr_in local;
    struct sockaddr_in peer;
    int local_bytes = sizeof(local);
    int peer_bytes = sizeof(peer);
    return uv_tcp_getsockname(&conn->tcp, (struct sockaddr *)&local,
                              &local_bytes) == 0 &&
           uv_tcp_getpeername(&conn->tcp, (struct sockaddr *)&peer,
                              &peer_bytes) == 0 &&
           local.sin_port == peer.sin_port &&
           local.sin_addr.s_addr == peer.sin_addr.s_addr;
}

static void
http_client_on_connect(uv_connect_t *req, int status)
{
    struct http_client_conn *conn = req->data;
    if (conn->is_closing) {
        return;
    }
    int rc = RC_LINK_FAILED;
    if (status == 0 && !http_client_is_self_connected(conn) &&
        uv_read_start((uv_stream_t *)&conn->tcp, http_client_on_alloc,
                      http_client_on_read) == 0) {
        conn->is_connected = true;
        rc = RC_OK;
    }
    conn->connected(conn, rc, conn->ctx);
}

static void
http_client_on_closed(uv_handle_t *handle)
{
    struct http_client_conn *conn = handle->data;
    conn->handle_count -= 1;
    if (conn->handle_count > 0) {
        return;
    }
    buffer_unref(conn->body);
    http_field_list_clear(&conn->fields);
    g_free(conn->host);
    g_free(conn);
}

static void
http_client_on_failed(uv_timer_t *timer)
{
    struct http_client_conn *conn = timer->data;
    conn->connected(conn, RC_LINK_FAILED, conn->ctx);
}

/* Starts connecting. Returns 0 or an error of libuv. */
static int
http_client_start(struct http_client_conn *conn)
{
    struct sockaddr_in to;
    if (net_parse(conn->host, &to) != RC_OK) {
        return UV_EINVAL;
    }
    conn->has_room = resource_open(conn->share);
    if (!conn->has_room) {
        return UV_EMFILE;
    }
    return uv_tcp_connect(&conn->connect_req, &conn->tcp,
                          (const struct sockaddr *)&to,
                          http_client_on_connect);
}

/* Lets the event loop report the failure: whoever connects must not see it
 * before the call returns, or a loop of attempts would never end. */
static void
http_client_defer_failure(struct http_client_conn *conn, int error)
{
    log_sample("http", "cannot start to connect address=%s error=\"%s\"",
               conn->host, uv_strerror(error));
    uv_timer_init(conn->tcp.loop, &conn->failed_timer);
    conn->failed_timer.data = conn;
    conn->handle_count += 1;
    uv_timer_start(&conn->failed_timer, http_client_on_failed, 0, 0);
}

struct http_client_conn *
http_client_connect(uv_loop_t *loop, const char *address,
                    size_t body_max_bytes, struct resource_share *share,
                    http_client_connected_cb connected,
                    http_client_lost_cb lost, void *ctx)
{
    struct http_client_conn *conn = g_new0(struct http_client_conn, 1);
    conn->host = g_strdup(address);
    conn->body_max_bytes = body_max_bytes;
    conn->share = share;
    conn->connected = connected;
    conn->lost = lost;
    conn->ctx = ctx;
    conn->body = buffer_new(share);
    http_field_list_init(&conn->fields, share);
    uv_tcp_init(loop, &conn->tcp);
    conn->handle_count = 1;
    uv_tcp_nodelay(&conn->tcp, 1);
    conn->tcp.data = conn;
    conn->connect_req.data = conn;
    int error = http_client_start(conn);
    if (error != 0) {
        http_client_defer_failure(conn, error);
    }
    else {
        net_enable_keepalive((uv_handle_t *)&conn->tcp);
    }
    return conn;
}

static void
http_client_write_free(struct http_client_write *write)
{
    resource_release(write->share, write->reserved_bytes);
    g_string_free(write->head, TRUE);
    buffer_unref(write->body);
    g_free(write);
}

static void
http_client_on_write(uv_write_t *req, int status)
{
    struct http_client_write *write = req->data;
    /* The read callback reports the error: a failed write ends the reads. */
    http_client_write_free(write);
}

/* The bytes of a request, which pass to the write, and the room for them.
 * Returns NULL if there is none. */
static struct http_client_write *
http_client_write_new(const struct http_client_conn *conn, GString *head,
                      struct buffer *body)
{
    struct http_client_write *write = g_new0(struct http_client_write, 1);
    write->head = head;
    write->body = body != NULL ? buffer_ref(body) : NULL;
    write->share = conn->share;
    write->req.data = write;
    uint64_t bytes =
        head->allocated_len > RESOURCE_SMALL_BYTES ? head->allocated_len : 0;
    if (!resource_reserve(conn->share, bytes)) {
        http_client_write_free(write);
        return NULL;
    }
    write->reserved_bytes = bytes;
    return write;
}

int
http_client_send(struct http_client_conn *conn, GString *head,
                 struct buffer *body, bool is_head,
                 http_client_response_cb response, void *ctx)
{
    if (!conn->is_connected || conn->is_closing || conn->is_shut_down ||
        conn->response != NULL) {
        g_string_free(head, TRUE);
        return conn->response != NULL ? RC_RUNNING : RC_LINK_FAILED;
    }
    http_parser_init(&conn->parser, HTTP_RESPONSE);
    conn->parser.data = conn;
    conn->is_head = is_head;
    conn->refusal = RC_OK;
    conn->interim_count = 0;
    conn->is_complete = false;
    http_client_reset_response(conn);

    struct http_client_write *write = http_client_write_new(conn, head, body);
    if (write == NULL) {
        log_sample("http", "no room for a request address=%s", conn->host);
        return RC_LINK_FAILED;
    }
    uv_buf_t bufs[2] = {uv_buf_init(head->str, (unsigned)head->len)};
    unsigned count = 1;
    if (body != NULL && body->bytes > 0) {
        bufs[count] = uv_buf_init((char *)body->data, (unsigned)body->bytes);
        count += 1;
    }
    if (uv_write(&write->req, (uv_stream_t *)&conn->tcp, bufs, count,
                 http_client_on_write) != 0) {
        http_client_write_free(write);
        return RC_LINK_FAILED;
    }
    conn->response = response;
    conn->response_ctx = ctx;
    return RC_OK;
}

int
http_client_request(struct http_client_conn *conn, const char *method,
                    const char *path, const char *extra_headers,
                    const void *body, size_t body_bytes,
                    http_client_response_cb response, void *ctx)
{
    GString *request = g_string_sized_new(256 + body_bytes);
    g_string_append_printf(request, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method,
                           path, conn->host,
                           extra_headers != NULL ? extra_headers : "");
    if (body != NULL) {
        g_string_append_printf(request,
                               "Content-Type: application/json\r\n"
                               "Content-Length: %zu\r\n",
                               body_bytes);
    }
    g_string_append(request, "\r\n");
    if (body != NULL) {
        g_string_append_len(request, body, (gssize)body_bytes);
    }
    return http_client_send(conn, request, NULL, false, response, ctx);
}

static void
http_client_on_shut_down(uv_shutdown_t *req, int status)
{
    /* The read callback reports a failure, as for a write. */
}

int
http_client_shut_down(struct http_client_conn *conn)
{
    if (!conn->is_connected || conn->is_closing ||
        uv_shutdown(&conn->shutdown_req, (uv_stream_t *)&conn->tcp,
                    http_client_on_shut_down) != 0) {
        return RC_LINK_LOST;
    }
    conn->is_shut_down = true;
    conn->response = NULL;
    return RC_OK;
}

void
http_client_close(struct http_client_conn *conn)
{
    if (conn == NULL || conn->is_closing) {
        return;
    }
    conn->is_closing = true;
    conn->is_connected = false;
    conn->response = NULL;
    if (conn->has_room) {
        resource_close(conn->share);
    }
    if (conn->handle_count > 1) {
        uv_close((uv_handle_t *)&conn->failed_timer, http_client_on_closed);
    }
    uv_close((uv_handle_t *)&conn->tcp, http_client_on_closed);
}
