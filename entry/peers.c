#include <string.h>

#include "common/rc.h"
#include "entry/orders.h"
#include "entry/peers.h"

struct prs_link {
    struct app *app;
    char *machine;
    char *address;
    struct zsk_socket *socket;
};

/* Where the entry of a machine was last said to be. */
struct prs_address {
    char *address;
    int64_t seen_us;
};

struct prs {
    struct app *app;
    struct zsk_socket *server;
    GHashTable *links;     /* machine -> struct prs_link */
    GHashTable *addresses; /* machine -> struct prs_address */
};

/* One ORDER of a peer. */
struct prs_order {
    struct prs *peers;
    struct zsk_peer peer;
    uint64_t qid;
};

static int
prs_send(struct zsk_socket *socket, const struct zsk_peer *peer,
         enum msg_type type, const void *body)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    int rc = msg_encode(type, body, &buffer);
    if (rc == RC_OK) {
        rc = zsk_send(socket, peer, buffer.data, buffer.size);
    }
    msgpack_sbuffer_destroy(&buffer);
    return rc;
}

static void
prs_on_order_done(void *ctx, int rc, const void *body, size_t body_bytes)
{
    struct prs_order *order = ctx;
    const struct msg_order_reply reply = {
        .qid = order->qid,
        .rc = rc,
        .body = {.data = body, .bytes = body_bytes},
    };
    if (prs_send(order->peers->server, &order->peer, MSG_ORDER_REPLY,
                 &reply) != RC_OK) {
        cnt_add(order->peers->app->counters, "order_reply_unsent_total", NULL);
    }
    g_free(order);
}

static void
prs_on_order(struct prs *peers, const struct zsk_peer *peer,
             const struct msg_order *message)
{
    struct prs_order *order = g_new0(struct prs_order, 1);
    order->peers = peers;
    order->peer = *peer;
    order->qid = message->qid;
    orders_run_for_peer(peers->app, message, prs_on_order_done, order);
}

/* Decodes a message of the only type that is expected on the socket. */
static bool
prs_decode(struct app *app, const void *data, size_t data_bytes,
           enum msg_type type, struct msg *msg)
{
    if (msg_decode(data, data_bytes, msg) != RC_OK) {
        cnt_add(app->counters, "message_dropped_total", "undecodable");
        return false;
    }
    if (msg->type != type) {
        cnt_add(app->counters, "message_dropped_total", "unexpected_type");
        msg_clear(msg);
        return false;
    }
    return true;
}

static void
prs_on_server_message(struct zsk_socket *socket, const struct zsk_peer *peer,
                      const void *data, size_t data_bytes, void *ctx)
{
    struct prs *peers = ctx;
    struct msg msg;
    if (prs_decode(peers->app, data, data_bytes, MSG_ORDER, &msg)) {
        prs_on_order(peers, peer, msg.body);
        msg_clear(&msg);
        app_wake(peers->app);
    }
}

static void
prs_on_client_message(struct zsk_socket *socket, const struct zsk_peer *peer,
                      const void *data, size_t data_bytes, void *ctx)
{
    struct prs_link *link = ctx;
    struct msg msg;
    if (prs_decode(link->app, data, data_bytes, MSG_ORDER_REPLY, &msg)) {
        fwd_reply(link->app->forwards, link->machine, msg.body);
        msg_clear(&msg);
        app_wake(link->app);
    }
}

static void
prs_link_free(gpointer data)
{
    struct prs_link *link = data;
    zsk_close(link->socket);
    g_free(link->machine);
    g_free(link->address);
    g_free(link);
}

static void
prs_address_free(gpointer data)
{
    struct prs_address *known = data;
    g_free(known->address);
    g_free(known);
}

int
prs_open(struct app *app, struct prs **out)
{
    struct prs *peers = g_new0(struct prs, 1);
    peers->app = app;
    int rc = zsk_listen(app->zmq, app->options->peer_listen,
                        prs_on_server_message, peers, &peers->server);
    if (rc != RC_OK) {
        g_free(peers);
        return rc;
    }
    peers->links =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, prs_link_free);
    peers->addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             prs_address_free);
    *out = peers;
    return RC_OK;
}

void
prs_close(struct prs *peers)
{
    if (peers != NULL) {
        g_hash_table_destroy(peers->links);
        g_hash_table_destroy(peers->addresses);
        zsk_close(peers->server);
        g_free(peers);
    }
}

static gboolean
prs_is_outdated(gpointer name, gpointer value, gpointer now_us)
{
    const struct prs_address *known = value;
    return *(const int64_t *)now_us - known->seen_us > RID_EXPIRY_US;
}

void
prs_learn(struct prs *peers, const struct msg_state *state, int64_t now_us)
{
    for (size_t i = 0; i < state->machine_count; i++) {
        const struct msg_machine *machine = &state->machines[i];
        if (machine->peer_address[0] == '\0') {
            continue;
        }
        struct prs_address *known = g_new0(struct prs_address, 1);
        known->address = g_strdup(machine->peer_address);
        known->seen_us = now_us;
        g_hash_table_insert(peers->addresses, g_strdup(machine->name), known);
    }
    g_hash_table_foreach_remove(peers->addresses, prs_is_outdated, &now_us);
}

bool
prs_knows(const struct prs *peers, const char *machine)
{
    return g_hash_table_contains(peers->addresses, machine);
}

/* The link to the machine at its last known address, or NULL. */
static struct prs_link *
prs_link_get(struct prs *peers, const char *name)
{
    const struct prs_address *known =
        g_hash_table_lookup(peers->addresses, name);
    if (known == NULL) {
        return NULL;
    }
    struct prs_link *link = g_hash_table_lookup(peers->links, name);
    if (link != NULL && strcmp(link->address, known->address) == 0) {
        return link;
    }
    g_hash_table_remove(peers->links, name);
    link = g_new0(struct prs_link, 1);
    link->app = peers->app;
    link->machine = g_strdup(name);
    link->address = g_strdup(known->address);
    if (zsk_connect(peers->app->zmq, link->address, prs_on_client_message,
                    link, &link->socket) != RC_OK) {
        cnt_add(peers->app->counters, "connect_failed_total", "peer");
        prs_link_free(link);
        return NULL;
    }
    g_hash_table_insert(peers->links, link->machine, link);
    return link;
}

int
prs_send_order(void *ctx, const char *machine, const struct msg_order *order)
{
    const struct app *app = ctx;
    struct prs_link *link = prs_link_get(app->peers, machine);
    if (link == NULL) {
        return RC_AGAIN;
    }
    return prs_send(link->socket, NULL, MSG_ORDER, order);
}
