#include <string.h>

#include "common/log.h"
#include "common/rc.h"
#include "entry/relays.h"

struct rly_link {
    struct rly *relays;
    uint32_t number; /* in the plan */
    char *machine;
    char *address;
    struct zsk_socket *socket;
};

struct rly {
    struct app *app;
    GPtrArray *links; /* of struct rly_link */
};

static int
rly_send(struct rly_link *link, enum msg_type type, const void *body)
{
    if (link == NULL) {
        return RC_AGAIN;
    }
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    int rc = msg_encode(type, body, &buffer);
    if (rc == RC_OK) {
        rc = zsk_send(link->socket, NULL, buffer.data, buffer.size);
    }
    if (rc == RC_OK) {
        pln_sent(link->relays->app->plan, link->number, app_now_us());
    }
    msgpack_sbuffer_destroy(&buffer);
    return rc;
}

static struct rly_link *
rly_find(const struct rly *relays, uint32_t number)
{
    for (guint i = 0; i < relays->links->len; i++) {
        struct rly_link *link = g_ptr_array_index(relays->links, i);
        if (link->number == number) {
            return link;
        }
    }
    return NULL;
}

int
rly_send_query(void *ctx, uint32_t relay, const struct msg_query *query)
{
    const struct app *app = ctx;
    return rly_send(rly_find(app->relays, relay), MSG_QUERY, query);
}

void
rly_send_cancel(void *ctx, uint32_t relay, uint64_t qid)
{
    const struct app *app = ctx;
    const struct msg_cancel cancel = {.qid = qid};
    if (rly_send(rly_find(app->relays, relay), MSG_CANCEL, &cancel) != RC_OK) {
        cnt_add(app->counters, "cancel_unsent_total", NULL);
    }
}

int
rly_send_exec(void *ctx, uint32_t relay, const struct msg_exec *exec)
{
    const struct app *app = ctx;
    return rly_send(rly_find(app->relays, relay), MSG_EXEC, exec);
}

/* The process behind the link is gone or another one. */
static void
rly_lost(struct app *app, uint32_t number, int64_t now_us)
{
    gth_relay_lost(app->gather, number, now_us);
    ord_relay_lost(app->orders, number, now_us);
}

static void
rly_on_offer(struct rly_link *link, const struct msg_offer *offer,
             int64_t now_us)
{
    struct app *app = link->relays->app;
    if (pln_offer(app->plan, link->number, offer, now_us)) {
        log_info("relays", "relay restarted relay=%s", link->machine);
        cnt_add(app->counters, "relay_lost_total", "restarted");
        rly_lost(app, link->number, now_us);
    }
}

/* A link that is still connecting is tried again at the next tick. */
static void
rly_send_hello(struct rly_link *link, int64_t now_us)
{
    const struct app *app = link->relays->app;
    struct msg_hello hello = {.offer_seq = 0};
    if (pln_hello_is_due(app->plan, link->number, now_us, &hello.relay_start,
                         &hello.offer_seq) &&
        rly_send(link, MSG_HELLO, &hello) == RC_OK) {
        cnt_add(app->counters, "hello_total", NULL);
        pln_hello_sent(app->plan, link->number, now_us);
    }
}

static void
rly_on_reply(struct rly_link *link, const struct msg_reply *reply,
             int64_t now_us)
{
    struct app *app = link->relays->app;
    pln_note_offer(app->plan, link->number, reply->relay_start,
                   reply->offer_seq);
    gth_reply(app->gather, link->number, reply, now_us);
}

static void
rly_on_exec_reply(struct rly_link *link, const struct msg_exec_reply *reply,
                  int64_t now_us)
{
    struct app *app = link->relays->app;
    pln_note_offer(app->plan, link->number, reply->relay_start,
                   reply->offer_seq);
    ord_reply(app->orders, link->number, reply, now_us);
}

static void
rly_on_confirm(struct rly_link *link, const struct msg_confirm_offer *confirm)
{
    pln_note_offer(link->relays->app->plan, link->number, confirm->relay_start,
                   confirm->offer_seq);
}

static void
rly_on_message(struct zsk_socket *socket, const struct zsk_peer *peer,
               const void *data, size_t data_bytes, void *ctx)
{
    struct rly_link *link = ctx;
    struct app *app = link->relays->app;
    int64_t now_us = app_now_us();
    struct msg msg;
    if (msg_decode(data, data_bytes, &msg) != RC_OK) {
        cnt_add(app->counters, "message_dropped_total", "undecodable");
        return;
    }
    pln_heard(app->plan, link->number, now_us);
    switch (msg.type) {
    case MSG_OFFER:
        rly_on_offer(link, msg.body, now_us);
        break;
    case MSG_REPLY:
        rly_on_reply(link, msg.body, now_us);
        break;
    case MSG_EXEC_REPLY:
        rly_on_exec_reply(link, msg.body, now_us);
        break;
    case MSG_CONFIRM_OFFER:
        rly_on_confirm(link, msg.body);
        break;
    default:
        cnt_add(app->counters, "message_dropped_total", "unexpected_type");
        break;
    }
    msg_clear(&msg);
    rly_send_hello(link, now_us);
    app_wake(app);
}

static void
rly_link_free(gpointer data)
{
    struct rly_link *link = data;
    zsk_close(link->socket);
    g_free(link->machine);
    g_free(link->address);
    g_free(link);
}

struct rly *
rly_open(struct app *app)
{
    struct rly *relays = g_new0(struct rly, 1);
    relays->app = app;
    relays->links = g_ptr_array_new_with_free_func(rly_link_free);
    return relays;
}

void
rly_close(struct rly *relays)
{
    if (relays != NULL) {
        g_ptr_array_free(relays->links, TRUE);
        g_free(relays);
    }
}

static void
rly_connect(struct rly *relays, const struct msg_machine *machine,
            int64_t now_us)
{
    struct app *app = relays->app;
    struct rly_link *link = g_new0(struct rly_link, 1);
    link->relays = relays;
    link->machine = g_strdup(machine->name);
    link->address = g_strdup(machine->relay_address);
    if (zsk_connect(app->zmq, link->address, rly_on_message, link,
                    &link->socket) != RC_OK) {
        cnt_add(app->counters, "connect_failed_total", "relay");
        rly_link_free(link);
        return;
    }
    link->number = pln_relay_open(app->plan, link->machine, now_us);
    g_ptr_array_add(relays->links, link);
    log_info("relays", "relay connecting relay=%s address=%s", link->machine,
             link->address);
}

static void
rly_disconnect(struct rly *relays, struct rly_link *link, int64_t now_us)
{
    struct app *app = relays->app;
    log_info("relays", "relay closed relay=%s address=%s", link->machine,
             link->address);
    pln_relay_close(app->plan, link->number);
    rly_lost(app, link->number, now_us);
    g_ptr_array_remove(relays->links, link);
}

static bool
rly_is_gone(const struct rly *relays, const struct rly_link *link,
            int64_t now_us)
{
    const struct msg_machine *machine =
        app_machine(relays->app, link->machine);
    bool is_listed = machine != NULL && app_machine_is_up(machine) &&
                     machine->relay_address[0] != '\0';
    return pln_is_gone(relays->app->plan, link->number, link->address,
                       is_listed ? machine->relay_address : NULL, now_us);
}

static bool
rly_is_known(const struct rly *relays, const char *machine)
{
    for (guint i = 0; i < relays->links->len; i++) {
        const struct rly_link *link = g_ptr_array_index(relays->links, i);
        if (strcmp(link->machine, machine) == 0) {
            return true;
        }
    }
    return false;
}

void
rly_update(struct rly *relays, int64_t now_us)
{
    for (guint i = relays->links->len; i > 0; i--) {
        struct rly_link *link = g_ptr_array_index(relays->links, i - 1);
        if (rly_is_gone(relays, link, now_us)) {
            rly_disconnect(relays, link, now_us);
        }
    }
    const struct msg_state *state = app_state(relays->app);
    for (size_t i = 0; state != NULL && i < state->machine_count; i++) {
        const struct msg_machine *machine = &state->machines[i];
        if (app_machine_is_up(machine) && machine->relay_address[0] != '\0' &&
            !rly_is_known(relays, machine->name)) {
            rly_connect(relays, machine, now_us);
        }
    }
}

static void
rly_send_hellos(struct rly *relays, int64_t now_us)
{
    for (guint i = 0; i < relays->links->len; i++) {
        rly_send_hello(g_ptr_array_index(relays->links, i), now_us);
    }
}

void
rly_tick(struct rly *relays, int64_t now_us)
{
    rly_update(relays, now_us);
    rly_send_hellos(relays, now_us);
    GArray *lost = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    pln_expire(relays->app->plan, now_us, lost);
    for (guint i = 0; i < lost->len; i++) {
        rly_lost(relays->app, g_array_index(lost, uint32_t, i), now_us);
    }
    g_array_free(lost, TRUE);
}
