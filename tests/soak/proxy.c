#include <string.h>

#include "common/net.h"
#include "soak.h"

#define PRX_DELAY_MS 60
#define PRX_READ_BYTES 16384

/* One direction of a connection. */
struct prx_pipe {
    struct prx_conn *conn;
    uv_tcp_t *from;
    uv_tcp_t *to;
    bool is_back; /* from the target to the client */
};

struct prx_conn {
    struct prx *proxy;
    uv_tcp_t client;
    uv_tcp_t target;
    uv_connect_t connect;
    struct prx_pipe forward;
    struct prx_pipe back;
    bool is_silent;
    bool is_closing;
    int open_handles;
};

struct prx {
    struct sok *sok;
    uv_tcp_t listener;
    struct sockaddr_in target;
    enum prx_mode mode;
    GPtrArray *conns;
};

struct prx_chunk {
    uv_write_t write;
    uv_timer_t timer;
    struct prx_conn *conn;
    uv_tcp_t *to;
    uv_buf_t buf;
};

static void
prx_on_closed(uv_handle_t *handle)
{
    struct prx_conn *conn = handle->data;
    conn->open_handles -= 1;
    if (conn->open_handles == 0) {
        g_free(conn);
    }
}

static void
prx_close(struct prx_conn *conn, bool is_reset)
{
    if (conn->is_closing) {
        return;
    }
    conn->is_closing = true;
    g_ptr_array_remove_fast(conn->proxy->conns, conn);
    uv_tcp_t *ends[] = {&conn->client, &conn->target};
    for (int i = 0; i < 2; i++) {
        if (!is_reset || uv_tcp_close_reset(ends[i], prx_on_closed) != 0) {
            uv_close((uv_handle_t *)ends[i], prx_on_closed);
        }
    }
}

static void
prx_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    /* One for all connections: a read is passed on before the next one. */
    static char buffer[PRX_READ_BYTES];
    *buf = uv_buf_init(buffer, sizeof(buffer));
}

static void
prx_on_written(uv_write_t *write, int status)
{
    struct prx_chunk *chunk = write->data;
    g_free(chunk->buf.base);
    g_free(chunk);
}

static void
prx_forward(struct prx_chunk *chunk)
{
    chunk->write.data = chunk;
    if (chunk->conn->is_closing ||
        uv_write(&chunk->write, (uv_stream_t *)chunk->to, &chunk->buf, 1,
                 prx_on_written) != 0) {
        g_free(chunk->buf.base);
        g_free(chunk);
    }
}

static void
prx_on_delay_closed(uv_handle_t *handle)
{
    struct prx_chunk *chunk = handle->data;
    struct prx_conn *conn = chunk->conn;
    prx_forward(chunk);
    conn->open_handles -= 1;
    if (conn->open_handles == 0) {
        g_free(conn);
    }
}

static void
prx_on_delay(uv_timer_t *timer)
{
    uv_close((uv_handle_t *)timer, prx_on_delay_closed);
}

static void
prx_pass(struct prx_pipe *pipe, const char *base, size_t bytes)
{
    struct prx_conn *conn = pipe->conn;
    enum prx_mode mode = conn->proxy->mode;
    bool is_cut = mode == PRX_SILENT || conn->is_silent ||
                  (mode == PRX_ONE_WAY && pipe->is_back);
    if (is_cut) {
        return;
    }
    struct prx_chunk *chunk = g_new0(struct prx_chunk, 1);
    chunk->conn = conn;
    chunk->to = pipe->to;
    chunk->buf = uv_buf_init(g_memdup2(base, bytes), (unsigned)bytes);
    if (mode != PRX_DELAY) {
        prx_forward(chunk);
        return;
    }
    uv_timer_init(&conn->proxy->sok->loop, &chunk->timer);
    chunk->timer.data = chunk;
    conn->open_handles += 1;
    uv_timer_start(&chunk->timer, prx_on_delay, PRX_DELAY_MS, 0);
}

static void
prx_on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
    struct prx_conn *conn = stream->data;
    struct prx_pipe *pipe =
        stream == (uv_stream_t *)&conn->client ? &conn->forward : &conn->back;
    if (nread > 0) {
        prx_pass(pipe, buf->base, (size_t)nread);
        return;
    }
    bool is_silent = conn->proxy->mode == PRX_SILENT || conn->is_silent;
    if (nread == 0) {
        return;
    }
    if (is_silent) {
        uv_read_stop(stream);
        return;
    }
    prx_close(conn, nread != UV_EOF);
}

static void
prx_on_connect(uv_connect_t *connect, int status)
{
    struct prx_conn *conn = connect->data;
    if (conn->is_closing) {
        return;
    }
    if (status != 0) {
        prx_close(conn, true);
        return;
    }
    uv_read_start((uv_stream_t *)&conn->client, prx_on_alloc, prx_on_read);
    uv_read_start((uv_stream_t *)&conn->target, prx_on_alloc, prx_on_read);
}

static void
prx_on_accept(uv_stream_t *listener, int status)
{
    struct prx *proxy = listener->data;
    if (status != 0) {
        return;
    }
    struct prx_conn *conn = g_new0(struct prx_conn, 1);
    conn->proxy = proxy;
    conn->open_handles = 2;
    uv_tcp_init(&proxy->sok->loop, &conn->client);
    uv_tcp_init(&proxy->sok->loop, &conn->target);
    conn->client.data = conn;
    conn->target.data = conn;
    conn->forward =
        (struct prx_pipe){conn, &conn->client, &conn->target, false};
    conn->back = (struct prx_pipe){conn, &conn->target, &conn->client, true};
    g_ptr_array_add(proxy->conns, conn);
    if (uv_accept(listener, (uv_stream_t *)&conn->client) != 0 ||
        proxy->mode == PRX_REFUSE) {
        prx_close(conn, true);
        return;
    }
    uv_tcp_nodelay(&conn->client, 1);
    uv_tcp_nodelay(&conn->target, 1);
    conn->connect.data = conn;
    if (uv_tcp_connect(&conn->connect, &conn->target,
                       (const struct sockaddr *)&proxy->target,
                       prx_on_connect) != 0) {
        prx_close(conn, true);
    }
}

struct prx *
prx_new(struct sok *sok, const char *listen, const char *target)
{
    struct prx *proxy = g_new0(struct prx, 1);
    struct sockaddr_in address;
    proxy->sok = sok;
    proxy->conns = g_ptr_array_new();
    g_assert_cmpint(net_parse(listen, &address), ==, 0);
    g_assert_cmpint(net_parse(target, &proxy->target), ==, 0);
    uv_tcp_init(&sok->loop, &proxy->listener);
    proxy->listener.data = proxy;
    g_assert_cmpint(
        uv_tcp_bind(&proxy->listener, (const struct sockaddr *)&address, 0),
        ==, 0);
    g_assert_cmpint(
        uv_listen((uv_stream_t *)&proxy->listener, 128, prx_on_accept), ==, 0);
    return proxy;
}

void
prx_set_mode(struct prx *proxy, enum prx_mode mode)
{
    proxy->mode = mode;
}

void
prx_reset(struct prx *proxy)
{
    while (proxy->conns->len > 0) {
        prx_close(g_ptr_array_index(proxy->conns, 0), true);
    }
}

void
prx_silence(struct prx *proxy)
{
    for (guint i = 0; i < proxy->conns->len; i++) {
        ((struct prx_conn *)g_ptr_array_index(proxy->conns, i))->is_silent =
            true;
    }
}
