#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

#include "common/http_client.h"
#include "common/http_reply.h"
#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"

#define HTTP_CLIENT_READ_BYTES 65536

struct http_client_conn {
    uv_tcp_t tcp;
    uv_connect_t connect_req;
    uv_timer_t failed_timer; /* reports a connect() that failed at once */
    uint32_t handle_count;   /* open handles: `tcp`, and `failed_timer` */
    struct http_reply reply; /* to the request in flight */
    char *host;
    struct resource_share *share;
    bool has_room; /* a connection of the share is taken */
    http_client_connected_cb connected;
    http_client_lost_cb lost;
    void *ctx;
    http_client_response_cb response;
    void *response_ctx;
    bool is_connected;
    bool is_closing;
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
    /* The callback may start the next request, which reuses the reply. */
    struct http_reply reply = conn->reply;
    http_reply_init(&conn->reply, reply.body_max_bytes, conn->share);
    struct http_field *fields = http_reply_fields(&reply);
    struct http_response result = {
        .rc = rc,
        .status = rc == RC_OK ? (int)reply.parser.status_code : 0,
        .body = reply.body->bytes > 0 ? (const char *)reply.body->data : "",
        .body_bytes = reply.body->bytes,
        .body_buffer = reply.body,
        .fields = fields,
        .field_count = http_field_list_count(&reply.fields),
        .is_keepalive = rc == RC_OK && is_clean &&
                        http_should_keep_alive(&reply.parser) != 0,
    };
    response(conn, &result, conn->response_ctx);
    g_free(fields);
    http_reply_clear(&reply);
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
    bool is_clean = false;
    int rc = http_reply_parse(&conn->reply, data, data_bytes, &is_clean);
    if (rc == RC_OK) {
        http_client_finish(conn, RC_OK, is_clean);
    }
    else if (rc != RC_AGAIN) {
        http_client_fail(conn, rc);
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
    http_reply_clear(&conn->reply);
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
    conn->share = share;
    conn->connected = connected;
    conn->lost = lost;
    conn->ctx = ctx;
    http_reply_init(&conn->reply, body_max_bytes, share);
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
    if (!conn->is_connected || conn->is_closing || conn->response != NULL) {
        g_string_free(head, TRUE);
        return conn->response != NULL ? RC_RUNNING : RC_LINK_FAILED;
    }
    http_reply_start(&conn->reply, is_head);
    struct http_client_write *write = http_client_write_new(conn, head, body);
    if (write == NULL) {
        log_sample("http", "no room for a request address=%s", conn->host);
        return RC_NO_MEMORY;
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
