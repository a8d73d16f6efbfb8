#ifndef CH_COMMON_ZSOCK_H
#define CH_COMMON_ZSOCK_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* ZeroMQ sockets in a libuv loop. All calls belong to the loop's thread. */

struct zsk_context;
struct zsk_socket;

/* Routing id of the peer that sent a message to a server socket. */
struct zsk_peer {
    uint8_t id[32];
    uint8_t id_bytes; /* 0 on client sockets */
};

/* Called for each message; `data` is valid during the call only. */
typedef void (*zsk_receive_cb)(struct zsk_socket *socket,
                               const struct zsk_peer *peer, const void *data,
                               size_t data_bytes, void *ctx);

/* Returns NULL when libzmq cannot start. */
struct zsk_context *zsk_context_new(uv_loop_t *loop);

/* Closes the sockets that are still open; unsent messages are dropped. */
void zsk_context_free(struct zsk_context *context);

/* Binds a ROUTER to "IPV4:PORT". Returns RC_OK or RC_IO. */
int zsk_listen(struct zsk_context *context, const char *address,
               zsk_receive_cb receive, void *ctx, struct zsk_socket **out);

/*
 * Connects a DEALER to "IPV4:PORT". It reconnects by itself; a connection
 * that answers no ZMTP heartbeat for 1.5 s is replaced. Returns RC_OK or
 * RC_IO.
 */
int zsk_connect(struct zsk_context *context, const char *address,
                zsk_receive_cb receive, void *ctx, struct zsk_socket **out);

/*
 * Queues one message without waiting. `peer` is NULL on client sockets.
 * Returns RC_OK, or RC_AGAIN when nothing was sent because the peer is not
 * connected or its queue is full.
 */
int zsk_send(struct zsk_socket *socket, const struct zsk_peer *peer,
             const void *data, size_t data_bytes);

void zsk_close(struct zsk_socket *socket);

#endif
