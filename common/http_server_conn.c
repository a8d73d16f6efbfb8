#include <string.h>

#include "common/http_server_conn.h"
#include "common/log.h"
#include "common/rc.h"

#define HTTP_SERVER_READ_BYTES 65536
/* What a field takes in a head besides its name and value. */
#define HTTP_SERVER_FIELD_EXTRA_BYTES 4

/* Shared by all connections: each read is parsed before the next one starts.
 */
static char http_server_read_buffer[HTTP_SERVER_READ_BYTES];

static const char http_server_continue[] = "HTTP/1.1 100 Continue\r\n\r\n";

/* Stops the parser: the request is refused with `rc`. */
static int
http_server_conn_stop(struct http_server_conn *conn, int rc)
{
    conn->refusal = rc;
    return -1; /* 1 would mean "no body" at the end of a head */
}

static int
http_server_conn_check_head(struct http_server_conn *conn, int rc)
{
    size_t bytes =
        conn->target->bytes + http_field_list_bytes(&conn->fields) +
        http_field_list_count(&conn->fields) * HTTP_SERVER_FIELD_EXTRA_BYTES;
    if (rc == RC_BAD_FIELD) {
        rc = RC_BAD_REQUEST;
    }
    if (rc == RC_OK && bytes > conn->server->limits.head_max_bytes) {
        rc = RC_HEAD_TOO_LARGE;
    }
    return rc == RC_OK ? 0 : http_server_conn_stop(conn, rc);
}

static int
http_server_conn_on_begin(http_parser *parser)
{
    struct http_server_conn *conn = parser->data;
    http_wait_start(&conn->wait, HTTP_WAIT_HEAD, uv_now(conn->tcp.loop));
    return 0;
}

static int
http_server_conn_on_url(http_parser *parser, const char *at, size_t length)
{
    struct http_server_conn *conn = parser->data;
    return http_server_conn_check_head(
        conn, buffer_append(conn->target, at, length));
}

static int
http_server_conn_on_field(http_parser *parser, const char *at, size_t length)
{
    struct http_server_conn *conn = parser->data;
    if (conn->has_head) {
        return 0; /* a trailer */
    }
    char *name = g_ascii_strdown(at, (gssize)length);
    int rc = http_field_list_add_name(&conn->fields, name, length);
    g_free(name);
    return http_server_conn_check_head(conn, rc);
}

static int
http_server_conn_on_value(http_parser *parser, const char *at, size_t length)
{
    struct http_server_conn *conn = parser->data;
    if (conn->has_head) {
        return 0;
    }
    return http_server_conn_check_head(
        conn, http_field_list_add_value(&conn->fields, at, length));
}

/* Makes room for a body of this length and the NUL behind it. */
static int
http_server_conn_reserve_body(struct http_server_conn *conn, uint64_t bytes)
{
    if (bytes > conn->server->limits.body_max_bytes) {
        return RC_TOO_LARGE;
    }
    return buffer_reserve(conn->body, (size_t)bytes + 1);
}

/* Asks a client that waits for permission to send the body. A client that does
 * not get the line sends after a pause of its own. */
static void
http_server_conn_continue(struct http_server_conn *conn)
{
    struct http_field expect;
    if (http_field_list_find(&conn->fields, "expect", &expect) == 0) {
        return;
    }
    uv_buf_t buf = uv_buf_init((char *)http_server_continue,
                               sizeof(http_server_continue) - 1);
    if (uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1) < 0) {
        log_sample("http", "cannot send 100 Continue");
    }
}

/* Whether every recipient reads the request alike: HTTP/1, one host, and no
 * transfer coding besides chunked. */
static bool
http_server_conn_is_unambiguous(const struct http_server_conn *conn)
{
    struct http_field host;
    struct http_field coding;
    size_t hosts = http_field_list_find(&conn->fields, "host", &host);
    size_t codings =
        http_field_list_find(&conn->fields, "transfer-encoding", &coding);
    bool is_chunked =
        codings == 1 && coding.value_bytes == strlen("chunked") &&
        g_ascii_strncasecmp(coding.value, "chunked", coding.value_bytes) == 0;
    return conn->parser.http_major == 1 && hosts <= 1 &&
           (codings == 0 || is_chunked);
}

static int
http_server_conn_on_head(http_parser *parser)
{
    struct http_server_conn *conn = parser->data;
    if (!http_server_conn_is_unambiguous(conn)) {
        return http_server_conn_stop(conn, RC_BAD_REQUEST);
    }
    bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    bool is_chunked = (parser->flags & F_CHUNKED) != 0;
    conn->has_head = true;
    /* No other protocol is spoken; the request is answered as HTTP/1.1. */
    parser->upgrade = 0;
    if (!is_chunked && (!has_length || parser->content_length == 0)) {
        return 0;
    }
    http_wait_start(&conn->wait, HTTP_WAIT_BODY, uv_now(conn->tcp.loop));
    conn->body = buffer_new(conn->server->share);
    if (has_length) {
        int rc = http_server_conn_reserve_body(conn, parser->content_length);
        if (rc != RC_OK) {
            return http_server_conn_stop(conn, rc);
        }
    }
    http_server_conn_continue(conn);
    return 0;
}

static int
http_server_conn_on_body(http_parser *parser, const char *at, size_t length)
{
    struct http_server_conn *conn = parser->data;
    if (conn->body->bytes + length > conn->server->limits.body_max_bytes) {
        return http_server_conn_stop(conn, RC_TOO_LARGE);
    }
    int rc = buffer_append(conn->body, at, length);
    return rc == RC_OK ? 0 : http_server_conn_stop(conn, rc);
}

static int
http_server_conn_on_complete(http_parser *parser)
{
    struct http_server_conn *conn = parser->data;
    conn->is_complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings http_server_conn_settings = {
    .on_message_begin = http_server_conn_on_begin,
    .on_url = http_server_conn_on_url,
    .on_header_field = http_server_conn_on_field,
    .on_header_value = http_server_conn_on_value,
    .on_headers_complete = http_server_conn_on_head,
    .on_body = http_server_conn_on_body,
    .on_message_complete = http_server_conn_on_complete,
};

/* Forgets the last request and waits for the next one. */
static void
http_server_conn_reset(struct http_server_conn *conn, uint64_t now_ms)
{
    http_parser_init(&conn->parser, HTTP_REQUEST);
    conn->parser.data = conn;
    buffer_clear(conn->target);
    http_field_list_reset(&conn->fields);
    buffer_unref(conn->body);
    conn->body = NULL;
    conn->has_head = false;
    conn->is_complete = false;
    conn->refusal = RC_OK;
    http_wait_start(&conn->wait, HTTP_WAIT_REQUEST, now_ms);
}

static void
http_server_conn_refuse(struct http_server_conn *conn, int rc, uint64_t now_ms)
{
    uv_read_stop((uv_stream_t *)&conn->tcp);
    conn->is_last = true;
    /* The answer needs nothing of the request. */
    buffer_unref(conn->body);
    conn->body = NULL;
    buffer_clear(conn->pending);
    buffer_clear(conn->target);
    http_field_list_reset(&conn->fields);
    http_exchange_refuse(conn, rc, now_ms);
}

/* The whole request was read: passes it to the handler. */
static void
http_server_conn_dispatch(struct http_server_conn *conn, uint64_t now_ms)
{
    uv_read_stop((uv_stream_t *)&conn->tcp);
    conn->is_last = http_should_keep_alive(&conn->parser) == 0;
    http_wait_start(&conn->wait, HTTP_WAIT_HANDLER, now_ms);
    int rc = http_exchange_start(conn);
    if (rc != RC_OK) {
        http_server_conn_refuse(conn, rc, now_ms);
    }
}

static int
http_server_conn_parse_rc(const struct http_server_conn *conn)
{
    if (conn->refusal != RC_OK) {
        return conn->refusal;
    }
    enum http_errno error = HTTP_PARSER_ERRNO(&conn->parser);
    if (error == HPE_OK) {
        return RC_OK;
    }
    return error == HPE_HEADER_OVERFLOW ? RC_HEAD_TOO_LARGE : RC_BAD_REQUEST;
}

/* Parses what was read, up to the end of one request. */
static void
http_server_conn_parse(struct http_server_conn *conn, const char *data,
                       size_t bytes, uint64_t now_ms)
{
    size_t used = http_parser_execute(&conn->parser,
                                      &http_server_conn_settings, data, bytes);
    if (!conn->is_complete) {
        int rc = http_server_conn_parse_rc(conn);
        if (rc != RC_OK) {
            http_server_conn_refuse(conn, rc, now_ms);
        }
        return;
    }
    if (buffer_append(conn->pending, data + used, bytes - used) != RC_OK) {
        http_server_conn_refuse(conn, RC_NO_MEMORY, now_ms);
        return;
    }
    http_server_conn_dispatch(conn, now_ms);
}

static void
http_server_conn_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    *buf =
        uv_buf_init(http_server_read_buffer, sizeof(http_server_read_buffer));
}

static void
http_server_conn_on_read(uv_stream_t *stream, ssize_t nread,
                         const uv_buf_t *buf)
{
    struct http_server_conn *conn = stream->data;
    if (conn->is_closing || nread == 0) {
        return;
    }
    if (nread < 0) {
        http_server_conn_close(conn);
        return;
    }
    if (conn->wait.kind == HTTP_WAIT_CLOSE) {
        return; /* The rest of a refused request is dropped. */
    }
    uint64_t now_ms = uv_now(stream->loop);
    if (conn->wait.kind == HTTP_WAIT_BODY) {
        http_wait_move(&conn->wait, (uint64_t)nread, now_ms);
    }
    http_server_conn_parse(conn, buf->base, (size_t)nread, now_ms);
}

static void
http_server_conn_read(struct http_server_conn *conn)
{
    int error =
        uv_read_start((uv_stream_t *)&conn->tcp, http_server_conn_on_alloc,
                      http_server_conn_on_read);
    if (error != 0) {
        log_sample("http", "cannot read error=\"%s\"", uv_strerror(error));
        http_server_conn_close(conn);
    }
}

void
http_server_conn_open(struct http_server_conn *conn, uint64_t now_ms)
{
    conn->tcp.data = conn;
    conn->target = buffer_new(conn->server->share);
    conn->pending = buffer_new(conn->server->share);
    http_field_list_init(&conn->fields, conn->server->share);
    http_server_conn_reset(conn, now_ms);
    http_server_conn_read(conn);
}

static void
http_server_conn_on_closed(uv_handle_t *handle)
{
    struct http_server_conn *conn = handle->data;
    g_free(conn);
}

void
http_server_conn_close(struct http_server_conn *conn)
{
    if (conn->is_closing) {
        return;
    }
    conn->is_closing = true;
    g_queue_unlink(&conn->server->connections, &conn->link);
    resource_close(conn->server->share);
    uv_close((uv_handle_t *)&conn->tcp, http_server_conn_on_closed);
    buffer_unref(conn->target);
    buffer_unref(conn->pending);
    buffer_unref(conn->body);
    http_field_list_clear(&conn->fields);
    if (conn->exchange != NULL) {
        http_exchange_detach(conn->exchange);
    }
}

static void
http_server_conn_on_shut_down(uv_shutdown_t *req, int status)
{
    g_free(req);
}

/*
 * Closes the sending side and waits for the client to close its own: closing
 * the socket while the client still sends would reset the connection, and the
 * client could lose the answer.
 */
static void
http_server_conn_finish(struct http_server_conn *conn, uint64_t now_ms)
{
    uv_shutdown_t *req = g_new0(uv_shutdown_t, 1);
    http_wait_start(&conn->wait, HTTP_WAIT_CLOSE, now_ms);
    if (uv_shutdown(req, (uv_stream_t *)&conn->tcp,
                    http_server_conn_on_shut_down) != 0) {
        g_free(req);
        http_server_conn_close(conn);
        return;
    }
    http_server_conn_read(conn);
}

/* The answer was written: reads the next request. */
static void
http_server_conn_next(struct http_server_conn *conn, uint64_t now_ms)
{
    conn->wait.has_served = true;
    http_server_conn_reset(conn, now_ms);
    if (conn->pending->bytes > 0) {
        struct buffer *pending = conn->pending;
        conn->pending = buffer_new(conn->server->share);
        http_server_conn_parse(conn, (const char *)pending->data,
                               pending->bytes, now_ms);
        buffer_unref(pending);
    }
    /* Not while the next request is handled or refused. */
    bool is_reading = conn->wait.kind == HTTP_WAIT_REQUEST ||
                      conn->wait.kind == HTTP_WAIT_HEAD ||
                      conn->wait.kind == HTTP_WAIT_BODY;
    if (!conn->is_closing && is_reading) {
        http_server_conn_read(conn);
    }
}

static void
http_server_conn_on_write(uv_write_t *req, int status)
{
    struct http_server_conn *conn = req->data;
    buffer_unref(conn->answer_head);
    buffer_unref(conn->answer_body);
    conn->answer_head = NULL;
    conn->answer_body = NULL;
    if (conn->is_closing) {
        return;
    }
    uint64_t now_ms = uv_now(conn->tcp.loop);
    if (status != 0) {
        http_server_conn_close(conn);
    }
    else if (conn->is_last) {
        http_server_conn_finish(conn, now_ms);
    }
    else {
        http_server_conn_next(conn, now_ms);
    }
}

void
http_server_conn_write(struct http_server_conn *conn, struct buffer *head,
                       struct buffer *body, uint64_t now_ms)
{
    uv_buf_t bufs[2] = {
        uv_buf_init((char *)head->data, (unsigned)head->bytes)};
    unsigned count = 1;
    if (body != NULL && body->bytes > 0) {
        bufs[count] = uv_buf_init((char *)body->data, (unsigned)body->bytes);
        count += 1;
    }
    conn->answer_head = head;
    conn->answer_body = body;
    conn->write.data = conn;
    http_wait_start(&conn->wait, HTTP_WAIT_READER, now_ms);
    if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, bufs, count,
                 http_server_conn_on_write) != 0) {
        buffer_unref(head);
        buffer_unref(body);
        conn->answer_head = NULL;
        conn->answer_body = NULL;
        http_server_conn_close(conn);
        return;
    }
    conn->unwritten_bytes =
        uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp);
}

void
http_server_conn_measure(struct http_server_conn *conn, uint64_t now_ms)
{
    if (conn->wait.kind != HTTP_WAIT_READER) {
        return;
    }
    size_t left = uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp);
    if (left < conn->unwritten_bytes) {
        http_wait_move(&conn->wait, conn->unwritten_bytes - left, now_ms);
        conn->unwritten_bytes = left;
    }
}

void
http_server_conn_time_out(struct http_server_conn *conn, uint64_t now_ms)
{
    bool is_reading =
        conn->wait.kind == HTTP_WAIT_HEAD || conn->wait.kind == HTTP_WAIT_BODY;
    if (is_reading) {
        http_server_conn_refuse(conn, RC_REQUEST_TIMEOUT, now_ms);
    }
    else {
        http_server_conn_close(conn);
    }
}

static bool
http_server_conn_is_large(const struct buffer *buffer)
{
    return buffer != NULL && buffer->capacity > RESOURCE_SMALL_BYTES;
}

bool
http_server_conn_holds_bytes(const struct http_server_conn *conn)
{
    return http_server_conn_is_large(conn->body) ||
           http_server_conn_is_large(conn->pending) ||
           http_server_conn_is_large(conn->target) ||
           http_server_conn_is_large(conn->fields.text) ||
           http_server_conn_is_large(conn->fields.spans) ||
           http_server_conn_is_large(conn->answer_head) ||
           http_server_conn_is_large(conn->answer_body);
}
