#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "agent/peer.h"
#include "common/rc.h"

/* Beats keep connections of the cell in use; others are for gossip. */
#define PRS_UNUSED_US (INT64_C(10) * 1000 * 1000)

struct prs_conn {
    struct zsk_socket *socket;
    int64_t used_us;
};

struct prs {
    struct zsk_context *context;
    struct zsk_socket *server;
    struct cnt_set *counters;
    prs_receive_cb receive;
    void *ctx;
    GHashTable *conns; /* address to struct prs_conn */
    msgpack_sbuffer buffer;
    uint32_t drop_permille;
    uint64_t *sent_bytes;          /* to agents, entry and relay */
    uint64_t *peer_sent_bytes;     /* of these, to agents */
    uint64_t *peer_received_bytes; /* from agents */
};

static void
prs_conn_free(void *data)
{
    struct prs_conn *conn = data;
    zsk_close(conn->socket);
    g_free(conn);
}

/* Messages of the local entry and relay; all others are between agents. */
static const bool prs_is_local[MSG_TYPE_COUNT] = {
    [MSG_SUBSCRIBE] = true, [MSG_STATE] = true,    [MSG_LEASE] = true,
    [MSG_RELEASED] = true,  [MSG_STOPPING] = true,
};

static bool
prs_is_dropped(const struct prs *peers)
{
    return peers->drop_permille > 0 &&
           (uint32_t)g_random_int_range(0, 1000) < peers->drop_permille;
}

static void
prs_on_message(struct zsk_socket *socket, const struct zsk_peer *peer,
               const void *data, size_t data_bytes, void *ctx)
{
    struct prs *peers = ctx;
    struct msg msg;
    if (msg_decode(data, data_bytes, &msg) != RC_OK) {
        cnt_add(peers->counters, "messages_dropped_total", "malformed");
        return;
    }
    if (!prs_is_local[msg.type]) {
        *peers->peer_received_bytes += data_bytes;
        if (prs_is_dropped(peers)) {
            cnt_add(peers->counters, "messages_dropped_total", "test");
            msg_clear(&msg);
            return;
        }
    }
    const struct prs_from from = {.socket = socket, .peer = peer};
    peers->receive(peers->ctx, &from, &msg);
    msg_clear(&msg);
}

int
prs_open(uv_loop_t *loop, const char *listen, struct cnt_set *counters,
         prs_receive_cb receive, void *ctx, struct prs **out)
{
    struct zsk_context *context = zsk_context_new(loop);
    if (context == NULL) {
        return RC_IO;
    }
    struct prs *peers = g_new0(struct prs, 1);
    peers->context = context;
    peers->counters = counters;
    peers->sent_bytes = cnt_get(counters, "messages_sent_bytes_total", NULL);
    peers->peer_sent_bytes = cnt_get(counters, "peer_sent_bytes_total", NULL);
    peers->peer_received_bytes =
        cnt_get(counters, "peer_received_bytes_total", NULL);
    peers->receive = receive;
    peers->ctx = ctx;
    peers->conns =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, prs_conn_free);
    msgpack_sbuffer_init(&peers->buffer);
    int rc =
        zsk_listen(context, listen, prs_on_message, peers, &peers->server);
    if (rc != RC_OK) {
        prs_close(peers);
        return rc;
    }
    *out = peers;
    return RC_OK;
}

void
prs_close(struct prs *peers)
{
    if (peers == NULL) {
        return;
    }
    g_hash_table_destroy(peers->conns);
    zsk_context_free(peers->context);
    msgpack_sbuffer_destroy(&peers->buffer);
    g_free(peers);
}

void
prs_set_drop(struct prs *peers, uint32_t permille)
{
    peers->drop_permille = permille;
}

static struct prs_conn *
prs_conn_get(struct prs *peers, const char *address, int64_t now_us)
{
    struct prs_conn *conn = g_hash_table_lookup(peers->conns, address);
    if (conn == NULL) {
        struct zsk_socket *socket = NULL;
        if (zsk_connect(peers->context, address, prs_on_message, peers,
                        &socket) != RC_OK) {
            return NULL;
        }
        conn = g_new0(struct prs_conn, 1);
        conn->socket = socket;
        g_hash_table_insert(peers->conns, g_strdup(address), conn);
    }
    conn->used_us = now_us;
    return conn;
}

void
prs_connect(struct prs *peers, const char *address, int64_t now_us)
{
    (void)prs_conn_get(peers, address, now_us);
}

static int
prs_write(struct prs *peers, struct zsk_socket *socket,
          const struct zsk_peer *client, enum msg_type type, const void *body)
{
    msgpack_sbuffer_clear(&peers->buffer);
    int rc = msg_encode(type, body, &peers->buffer);
    if (rc == RC_OK) {
        rc = zsk_send(socket, client, peers->buffer.data, peers->buffer.size);
    }
    if (rc != RC_OK) {
        cnt_add(peers->counters, "messages_not_sent_total", rc_name(rc));
        return rc;
    }
    *peers->sent_bytes += peers->buffer.size;
    if (!prs_is_local[type]) {
        *peers->peer_sent_bytes += peers->buffer.size;
    }
    return RC_OK;
}

int
prs_send(struct prs *peers, const char *address, int64_t now_us,
         enum msg_type type, const void *body)
{
    struct prs_conn *conn = prs_conn_get(peers, address, now_us);
    if (conn == NULL) {
        return RC_AGAIN;
    }
    return prs_write(peers, conn->socket, NULL, type, body);
}

int
prs_reply(struct prs *peers, const struct prs_from *from, enum msg_type type,
          const void *body)
{
    return prs_write(peers, from->socket, from->peer, type, body);
}

int
prs_send_client(struct prs *peers, const struct zsk_peer *client,
                enum msg_type type, const void *body)
{
    return prs_write(peers, peers->server, client, type, body);
}

void
prs_tick(struct prs *peers, int64_t now_us)
{
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, peers->conns);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct prs_conn *conn = value;
        if (now_us - conn->used_us > PRS_UNUSED_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

size_t
prs_count(const struct prs *peers)
{
    return g_hash_table_size(peers->conns);
}
