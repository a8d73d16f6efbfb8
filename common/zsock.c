#include <glib.h>
#include <string.h>
#include <zmq.h>

#include "common/log.h"
#include "common/rc.h"
#include "common/zsock.h"

#define ZSK_HEARTBEAT_IVL_MS 500
#define ZSK_HEARTBEAT_TIMEOUT_MS 1500
#define ZSK_RECONNECT_IVL_MS 50
#define ZSK_RECONNECT_IVL_MAX_MS 1000
#define ZSK_HIGH_WATER_MESSAGES 4096
#define ZSK_MAX_MESSAGE_BYTES (4 << 20)
/* Messages read from one socket before the others get their turn. */
#define ZSK_READ_BATCH 256

struct zsk_socket {
    struct zsk_context *context;
    void *handle;
    uv_poll_t poll;
    zsk_receive_cb receive;
    void *ctx;
    int is_server;
    int is_closed;
    int is_dirty;
};

struct zsk_context {
    uv_loop_t *loop;
    void *handle;
    GPtrArray *sockets;
    uv_prepare_t prepare;
    uv_idle_t idle;
};

static void
zsk_set_int(void *handle, int option, int value)
{
    (void)zmq_setsockopt(handle, option, &value, sizeof(value));
}

/* Reads one message. Returns 1 if one was delivered, 0 if none is waiting. */
static int
zsk_read_one(struct zsk_socket *socket)
{
    struct zsk_peer peer = {.id_bytes = 0};
    zmq_msg_t part;
    zmq_msg_init(&part);
    if (zmq_msg_recv(&part, socket->handle, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&part);
        return 0;
    }
    if (socket->is_server) {
        size_t id_bytes = MIN(zmq_msg_size(&part), sizeof(peer.id));
        memcpy(peer.id, zmq_msg_data(&part), id_bytes);
        peer.id_bytes = (uint8_t)id_bytes;
        if (!zmq_msg_more(&part) ||
            zmq_msg_recv(&part, socket->handle, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&part);
            return 1;
        }
    }
    int more = zmq_msg_more(&part);
    socket->receive(socket, &peer, zmq_msg_data(&part), zmq_msg_size(&part),
                    socket->ctx);
    while (more && !socket->is_closed &&
           zmq_msg_recv(&part, socket->handle, ZMQ_DONTWAIT) >= 0) {
        more = zmq_msg_more(&part);
    }
    zmq_msg_close(&part);
    return 1;
}

/* Returns 1 if messages may be left after a full batch. */
static int
zsk_drain(struct zsk_socket *socket)
{
    socket->is_dirty = 0;
    for (int i = 0; i < ZSK_READ_BATCH; i++) {
        if (socket->is_closed || !zsk_read_one(socket)) {
            return 0;
        }
    }
    socket->is_dirty = 1;
    return 1;
}

static void
zsk_on_idle(uv_idle_t *idle)
{
    /* Only keeps the loop from sleeping; the prepare callback reads. */
}

/*
 * ZMQ_FD is edge-triggered and a send can swallow the edge of a message that
 * arrived meanwhile, so sockets used since the last turn are read again
 * before the loop sleeps.
 */
static void
zsk_on_prepare(uv_prepare_t *prepare)
{
    struct zsk_context *context = prepare->data;
    int is_left = 0;
    for (guint i = 0; i < context->sockets->len; i++) {
        struct zsk_socket *socket = g_ptr_array_index(context->sockets, i);
        if (socket->is_dirty && !socket->is_closed) {
            is_left |= zsk_drain(socket);
        }
    }
    for (guint i = 0; i < context->sockets->len && !is_left; i++) {
        const struct zsk_socket *socket =
            g_ptr_array_index(context->sockets, i);
        is_left = socket->is_dirty && !socket->is_closed;
    }
    if (is_left) {
        uv_idle_start(&context->idle, zsk_on_idle);
    }
    else {
        uv_idle_stop(&context->idle);
    }
}

static void
zsk_on_poll(uv_poll_t *poll, int status, int events)
{
    struct zsk_socket *socket = poll->data;
    if (!socket->is_closed) {
        socket->is_dirty = 1;
    }
}

struct zsk_context *
zsk_context_new(uv_loop_t *loop)
{
    void *handle = zmq_ctx_new();
    if (handle == NULL) {
        return NULL;
    }
    struct zsk_context *context = g_new0(struct zsk_context, 1);
    context->loop = loop;
    context->handle = handle;
    context->sockets = g_ptr_array_new();
    uv_prepare_init(loop, &context->prepare);
    context->prepare.data = context;
    uv_prepare_start(&context->prepare, zsk_on_prepare);
    uv_unref((uv_handle_t *)&context->prepare);
    uv_idle_init(loop, &context->idle);
    context->idle.data = context;
    uv_unref((uv_handle_t *)&context->idle);
    return context;
}

static void
zsk_on_poll_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

void
zsk_close(struct zsk_socket *socket)
{
    if (socket == NULL || socket->is_closed) {
        return;
    }
    socket->is_closed = 1;
    g_ptr_array_remove(socket->context->sockets, socket);
    uv_poll_stop(&socket->poll);
    zmq_close(socket->handle);
    uv_close((uv_handle_t *)&socket->poll, zsk_on_poll_closed);
}

static void
zsk_on_idle_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
zsk_on_prepare_closed(uv_handle_t *handle)
{
    struct zsk_context *context = handle->data;
    uv_close((uv_handle_t *)&context->idle, zsk_on_idle_closed);
}

void
zsk_context_free(struct zsk_context *context)
{
    if (context == NULL) {
        return;
    }
    while (context->sockets->len > 0) {
        zsk_close(g_ptr_array_index(context->sockets, 0));
    }
    zmq_ctx_term(context->handle);
    g_ptr_array_free(context->sockets, TRUE);
    uv_prepare_stop(&context->prepare);
    uv_idle_stop(&context->idle);
    uv_close((uv_handle_t *)&context->prepare, zsk_on_prepare_closed);
}

static struct zsk_socket *
zsk_open(struct zsk_context *context, int type, zsk_receive_cb receive,
         void *ctx)
{
    void *handle = zmq_socket(context->handle, type);
    if (handle == NULL) {
        return NULL;
    }
    zsk_set_int(handle, ZMQ_LINGER, 0);
    zsk_set_int(handle, ZMQ_HEARTBEAT_IVL, ZSK_HEARTBEAT_IVL_MS);
    zsk_set_int(handle, ZMQ_HEARTBEAT_TIMEOUT, ZSK_HEARTBEAT_TIMEOUT_MS);
    zsk_set_int(handle, ZMQ_HEARTBEAT_TTL, ZSK_HEARTBEAT_TIMEOUT_MS);
    zsk_set_int(handle, ZMQ_RECONNECT_IVL, ZSK_RECONNECT_IVL_MS);
    zsk_set_int(handle, ZMQ_RECONNECT_IVL_MAX, ZSK_RECONNECT_IVL_MAX_MS);
    zsk_set_int(handle, ZMQ_SNDHWM, ZSK_HIGH_WATER_MESSAGES);
    zsk_set_int(handle, ZMQ_RCVHWM, ZSK_HIGH_WATER_MESSAGES);
    /* Messages wait for a live connection at the sender, who can then say
     * that nothing was sent. */
    zsk_set_int(handle, ZMQ_IMMEDIATE, 1);
    int64_t max_bytes = ZSK_MAX_MESSAGE_BYTES;
    (void)zmq_setsockopt(handle, ZMQ_MAXMSGSIZE, &max_bytes,
                         sizeof(max_bytes));
    if (type == ZMQ_ROUTER) {
        zsk_set_int(handle, ZMQ_ROUTER_MANDATORY, 1);
    }
    struct zsk_socket *socket = g_new0(struct zsk_socket, 1);
    socket->context = context;
    socket->handle = handle;
    socket->receive = receive;
    socket->ctx = ctx;
    socket->is_server = type == ZMQ_ROUTER;
    return socket;
}

static int
zsk_start(struct zsk_socket *socket)
{
    int fd = -1;
    size_t fd_bytes = sizeof(fd);
    if (zmq_getsockopt(socket->handle, ZMQ_FD, &fd, &fd_bytes) != 0 ||
        uv_poll_init(socket->context->loop, &socket->poll, fd) != 0) {
        zmq_close(socket->handle);
        g_free(socket);
        return RC_IO;
    }
    socket->poll.data = socket;
    uv_poll_start(&socket->poll, UV_READABLE, zsk_on_poll);
    g_ptr_array_add(socket->context->sockets, socket);
    socket->is_dirty = 1;
    return RC_OK;
}

static int
zsk_attach(struct zsk_context *context, int type, const char *address,
           zsk_receive_cb receive, void *ctx, struct zsk_socket **out)
{
    struct zsk_socket *socket = zsk_open(context, type, receive, ctx);
    if (socket == NULL) {
        return RC_IO;
    }
    char *endpoint = g_strconcat("tcp://", address, NULL);
    int failed = type == ZMQ_ROUTER ? zmq_bind(socket->handle, endpoint)
                                    : zmq_connect(socket->handle, endpoint);
    g_free(endpoint);
    if (failed != 0) {
        log_error("zsock", "cannot open socket address=%s error=\"%s\"",
                  address, zmq_strerror(zmq_errno()));
        zmq_close(socket->handle);
        g_free(socket);
        return RC_IO;
    }
    int rc = zsk_start(socket);
    if (rc == RC_OK) {
        *out = socket;
    }
    return rc;
}

int
zsk_listen(struct zsk_context *context, const char *address,
           zsk_receive_cb receive, void *ctx, struct zsk_socket **out)
{
    return zsk_attach(context, ZMQ_ROUTER, address, receive, ctx, out);
}

int
zsk_connect(struct zsk_context *context, const char *address,
            zsk_receive_cb receive, void *ctx, struct zsk_socket **out)
{
    return zsk_attach(context, ZMQ_DEALER, address, receive, ctx, out);
}

int
zsk_send(struct zsk_socket *socket, const struct zsk_peer *peer,
         const void *data, size_t data_bytes)
{
    if (socket == NULL || socket->is_closed) {
        return RC_AGAIN;
    }
    socket->is_dirty = 1;
    if (socket->is_server) {
        int sent = zmq_send(socket->handle, peer->id, peer->id_bytes,
                            ZMQ_DONTWAIT | ZMQ_SNDMORE);
        if (sent < 0) {
            return RC_AGAIN;
        }
    }
    if (zmq_send(socket->handle, data, data_bytes, ZMQ_DONTWAIT) < 0) {
        return RC_AGAIN;
    }
    return RC_OK;
}
