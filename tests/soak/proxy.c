#include <string.h>

#include "common/net.h"
#include "soak.h"

#define PROXY_DELAY_MS 60
#define PROXY_READ_BYTES 16384
/* PROXY_REPEAT and PROXY_CUT hit one of this many chunks. */
#define PROXY_PICK_ONE_IN 6

/* One direction of a connection. */
struct proxy_pipe {
    struct proxy_conn *conn;
    uv_tcp_t *from;
    uv_tcp_t *to;
    bool is_reply; /* from the target to the client */
};

struct proxy_conn {
    struct proxy *proxy;
    uv_tcp_t client;
    uv_tcp_t target;
    uv_connect_t connect;
    struct proxy_pipe forward;
    struct proxy_pipe back;
    bool is_silent; /* drops all bytes until it is closed */
    bool is_closing;
    int open_handles; /* freed when 0; pending delays count too */
};

struct proxy {
    struct soak *soak;
    uv_tcp_t listener;
    struct sockaddr_in target;
    enum proxy_mode mode;
    int64_t disturbed_us; /* last change of the mode or of its connections */
    GPtrArray *conns;
};

/* Bytes that are written now or, in PROXY_DELAY, when the timer expires. */
struct proxy_chunk {
    uv_write_t write;
    uv_timer_t timer;
    struct proxy_conn *conn;
    uv_tcp_t *to;
    uv_buf_t buf;
};

static void
proxy_on_closed(uv_handle_t *handle)
{
    struct proxy_conn *conn = handle->data;
    conn->open_handles -= 1;
    if (conn->open_handles == 0) {
        g_free(conn);
    }
}

static void
proxy_close(struct proxy_conn *conn, bool is_reset)
{
    if (conn->is_closing) {
        return;
    }
    conn->is_closing = true;
    g_ptr_array_remove_fast(conn->proxy->conns, conn);
    uv_tcp_t *handles[] = {&conn->client, &conn->target};
    for (int i = 0; i < 2; i++) {
        if (!is_reset ||
            uv_tcp_close_reset(handles[i], proxy_on_closed) != 0) {
            uv_close((uv_handle_t *)handles[i], proxy_on_closed);
        }
    }
}

static void
proxy_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    /* Shared by all connections: each read is copied before the next one. */
    static char buffer[PROXY_READ_BYTES];
    *buf = uv_buf_init(buffer, sizeof(buffer));
}

static void
proxy_on_written(uv_write_t *write, int status)
{
    struct proxy_chunk *chunk = write->data;
    g_free(chunk->buf.base);
    g_free(chunk);
}

static void
proxy_write_chunk(struct proxy_chunk *chunk)
{
    chunk->write.data = chunk;
    if (chunk->conn->is_closing ||
        uv_write(&chunk->write, (uv_stream_t *)chunk->to, &chunk->buf, 1,
                 proxy_on_written) != 0) {
        g_free(chunk->buf.base);
        g_free(chunk);
    }
}

static void
proxy_on_delay_closed(uv_handle_t *handle)
{
    struct proxy_chunk *chunk = handle->data;
    struct proxy_conn *conn = chunk->conn;
    proxy_write_chunk(chunk);
    conn->open_handles -= 1;
    if (conn->open_handles == 0) {
        g_free(conn);
    }
}

static void
proxy_on_delay(uv_timer_t *timer)
{
    uv_close((uv_handle_t *)timer, proxy_on_delay_closed);
}

/* Sends the chunk after PROXY_DELAY_MS. */
static void
proxy_write_later(struct proxy_chunk *chunk)
{
    struct proxy_conn *conn = chunk->conn;
    uv_timer_init(&conn->proxy->soak->loop, &chunk->timer);
    chunk->timer.data = chunk;
    conn->open_handles += 1;
    uv_timer_start(&chunk->timer, proxy_on_delay, PROXY_DELAY_MS, 0);
}

static void
proxy_on_cut_written(uv_write_t *write, int status)
{
    struct proxy_chunk *chunk = write->data;
    struct proxy_conn *conn = chunk->conn;
    proxy_on_written(write, status);
    proxy_close(conn, false);
}

/* Sends the chunk and closes the connection in an orderly way. */
static void
proxy_write_and_close(struct proxy_chunk *chunk)
{
    chunk->write.data = chunk;
    if (uv_write(&chunk->write, (uv_stream_t *)chunk->to, &chunk->buf, 1,
                 proxy_on_cut_written) != 0) {
        proxy_on_cut_written(&chunk->write, 0);
    }
}

/* Whether a fault that hits some replies hits this chunk. */
static bool
proxy_is_picked(struct proxy *proxy, const struct proxy_pipe *pipe)
{
    return pipe->is_reply && soak_random(proxy->soak, PROXY_PICK_ONE_IN) == 0;
}

static struct proxy_chunk *
proxy_chunk_new(struct proxy_pipe *pipe, const char *base, size_t bytes)
{
    struct proxy_chunk *chunk = g_new0(struct proxy_chunk, 1);
    chunk->conn = pipe->conn;
    chunk->to = pipe->to;
    chunk->buf = uv_buf_init(g_memdup2(base, bytes), (unsigned)bytes);
    return chunk;
}

static void
proxy_relay(struct proxy_pipe *pipe, const char *base, size_t bytes)
{
    struct proxy_conn *conn = pipe->conn;
    enum proxy_mode mode = conn->proxy->mode;
    bool is_dropped = mode == PROXY_SILENT || conn->is_silent ||
                      (mode == PROXY_ONE_WAY && pipe->is_reply);
    if (is_dropped) {
        return;
    }
    struct proxy_chunk *chunk = proxy_chunk_new(pipe, base, bytes);
    if (mode == PROXY_DELAY) {
        proxy_write_later(chunk);
    }
    else if (mode == PROXY_CUT && proxy_is_picked(conn->proxy, pipe)) {
        chunk->buf.len = soak_random(conn->proxy->soak, (uint32_t)bytes);
        proxy_write_and_close(chunk);
    }
    else {
        proxy_write_chunk(chunk);
    }
    if (mode == PROXY_REPEAT && proxy_is_picked(conn->proxy, pipe)) {
        proxy_write_later(proxy_chunk_new(pipe, base, bytes));
    }
}

static void
proxy_on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
    struct proxy_conn *conn = stream->data;
    struct proxy_pipe *pipe =
        stream == (uv_stream_t *)&conn->client ? &conn->forward : &conn->back;
    if (nread > 0) {
        proxy_relay(pipe, buf->base, (size_t)nread);
        return;
    }
    bool is_silent = conn->proxy->mode == PROXY_SILENT || conn->is_silent;
    if (nread == 0) {
        return;
    }
    if (is_silent) {
        uv_read_stop(stream);
        return;
    }
    proxy_close(conn, nread != UV_EOF);
}

static void
proxy_on_connect(uv_connect_t *connect, int status)
{
    struct proxy_conn *conn = connect->data;
    if (conn->is_closing) {
        return;
    }
    if (status != 0) {
        proxy_close(conn, true);
        return;
    }
    uv_read_start((uv_stream_t *)&conn->client, proxy_on_alloc, proxy_on_read);
    uv_read_start((uv_stream_t *)&conn->target, proxy_on_alloc, proxy_on_read);
}

static void
proxy_on_accept(uv_stream_t *listener, int status)
{
    struct proxy *proxy = listener->data;
    if (status != 0) {
        return;
    }
    struct proxy_conn *conn = g_new0(struct proxy_conn, 1);
    conn->proxy = proxy;
    conn->open_handles = 2;
    uv_tcp_init(&proxy->soak->loop, &conn->client);
    uv_tcp_init(&proxy->soak->loop, &conn->target);
    conn->client.data = conn;
    conn->target.data = conn;
    conn->forward =
        (struct proxy_pipe){conn, &conn->client, &conn->target, false};
    conn->back = (struct proxy_pipe){conn, &conn->target, &conn->client, true};
    g_ptr_array_add(proxy->conns, conn);
    if (uv_accept(listener, (uv_stream_t *)&conn->client) != 0 ||
        proxy->mode == PROXY_REFUSE) {
        proxy_close(conn, true);
        return;
    }
    uv_tcp_nodelay(&conn->client, 1);
    uv_tcp_nodelay(&conn->target, 1);
    conn->connect.data = conn;
    if (uv_tcp_connect(&conn->connect, &conn->target,
                       (const struct sockaddr *)&proxy->target,
                       proxy_on_connect) != 0) {
        proxy_close(conn, true);
    }
}

struct proxy *
proxy_new(struct soak *soak, const char *listen, const char *target)
{
    struct proxy *proxy = g_new0(struct proxy, 1);
    struct sockaddr_in address;
    proxy->soak = soak;
    proxy->conns = g_ptr_array_new();
    g_assert_cmpint(net_parse(listen, &address), ==, 0);
    g_assert_cmpint(net_parse(target, &proxy->target), ==, 0);
    uv_tcp_init(&soak->loop, &proxy->listener);
    proxy->listener.data = proxy;
    g_assert_cmpint(
        uv_tcp_bind(&proxy->listener, (const struct sockaddr *)&address, 0),
        ==, 0);
    g_assert_cmpint(
        uv_listen((uv_stream_t *)&proxy->listener, 128, proxy_on_accept), ==,
        0);
    return proxy;
}

void
proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
    proxy->mode = mode;
    proxy->disturbed_us = soak_now_us();
}

bool
proxy_is_passing_since(const struct proxy *proxy, int64_t since_us)
{
    return proxy->mode == PROXY_PASS && proxy->disturbed_us < since_us;
}

void
proxy_reset_connections(struct proxy *proxy)
{
    proxy->disturbed_us = soak_now_us();
    while (proxy->conns->len > 0) {
        proxy_close(g_ptr_array_index(proxy->conns, 0), true);
    }
}

void
proxy_silence_connections(struct proxy *proxy)
{
    proxy->disturbed_us = soak_now_us();
    for (guint i = 0; i < proxy->conns->len; i++) {
        ((struct proxy_conn *)g_ptr_array_index(proxy->conns, i))->is_silent =
            true;
    }
}
