#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"
#include "gateway/app.h"
#include "gateway/heartbeat.h"
#include "gateway/peer_state.h"

/* Exchanges heartbeats over UDP and the state of kinds of objects over HTTP
 * with other VMs, both on the peer port. */

#define PEER_IO_BODY_MAX_BYTES (16 * 1024 * 1024)
#define PEER_IO_DATAGRAM_MAX_BYTES 2048
/* For how long the whole state of a kind is sent as it was written, unless it
 * has changed. */
#define PEER_IO_STATE_REUSE_US (500 * 1000)

/* A request for the state of a kind that is sent to a peer. */
struct peer_io_call {
    struct app *app;
    struct http_client_conn *conn;
    struct sync_fetch fetch;
};

/* The whole state of a kind, which many VMs may ask for at about the same
 * time. */
struct peer_io_state {
    struct buffer *body; /* NULL: none */
    struct position change;
    int64_t written_us;
};

struct peer_io {
    struct app *app;
    struct peer_io_state states[OBJECT_KIND_COUNT];
    uv_udp_t socket;
    struct http_server *server;
    struct peer_io_call calls[OBJECT_KIND_COUNT];
    struct peer_io_call held_calls[OBJECT_KIND_COUNT];
    int64_t heartbeat_us; /* when heartbeats were last sent */
    char buffer[PEER_IO_DATAGRAM_MAX_BYTES];
};

static void
peer_io_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    struct peer_io *peers = handle->data;
    *buf = uv_buf_init(peers->buffer, sizeof(peers->buffer));
}

static void
peer_io_send_to(struct peer_io *peers, const char *address, const void *data,
                size_t data_bytes)
{
    struct sockaddr_in to;
    if (address == NULL || net_parse(address, &to) != RC_OK) {
        return;
    }
    uv_buf_t buf = uv_buf_init((char *)data, (unsigned)data_bytes);
    /* A heartbeat that cannot be sent is dropped, like one that the network
     * loses. */
    if (uv_udp_try_send(&peers->socket, &buf, 1,
                        (const struct sockaddr *)&to) < 0) {
        counter_add(peers->app->counters, "gateway_beats_dropped", "unsent");
    }
}

/* Writes this VM's heartbeat to a new buffer; a reply names live VMs. */
static void
peer_io_encode_heartbeat(struct app *app, bool is_reply, msgpack_sbuffer *out)
{
    struct heartbeat heartbeat = {
        .heartbeat =
            {
                .name = app->settings.vm,
                .start = app->start,
                .dc = app->settings.dc,
                .request_address = app->settings.request_listen,
                .peer_address = app->peer_address,
                .capacity = (uint32_t)app->settings.capacity,
                .is_ready = app_is_ready(app),
                .is_reply = is_reply,
            },
    };
    sync_changes(&app->sync, heartbeat.heartbeat.changes);
    heartbeat.heartbeat.config_version = app_config_version(app);
    sync_ages(&app->sync, app_now_us(), heartbeat.heartbeat.ages_us);
    sync_holds(&app->sync, app_now_us(), heartbeat.heartbeat.holds_us);
    GPtrArray *vms = g_ptr_array_new();
    if (is_reply) {
        member_pick_relayed(&app->members, app_now_us(), vms);
    }
    for (guint i = 0; i < vms->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(vms, i);
        heartbeat.relayed[i] = (struct heartbeat_relayed){
            .name = vm->name,
            .request_address = vm->request_address,
        };
    }
    heartbeat.relayed_count = vms->len;
    g_ptr_array_free(vms, TRUE);
    const struct notice_leaving *leaving[NOTICE_TOLD_MAX];
    heartbeat.leaving_count =
        notice_to_tell(&app->gateway.backends.notices, app_now_us(), leaving);
    for (size_t i = 0; i < heartbeat.leaving_count; i++) {
        heartbeat.leaving[i] = (struct heartbeat_leaving){
            .id = leaving[i]->id,
            .started_unix_ms = leaving[i]->started_unix_ms,
        };
    }
    msgpack_sbuffer_init(out);
    heartbeat_encode(&heartbeat, out);
}

static void
peer_io_on_heartbeat(struct app *app, const struct heartbeat *in)
{
    const struct member_heartbeat *heartbeat = &in->heartbeat;
    struct position own[OBJECT_KIND_COUNT];
    sync_known(&app->sync, own);
    int64_t now_us = app_now_us();
    member_on_heartbeat(&app->members, heartbeat, own, now_us);
    for (size_t i = 0; i < in->relayed_count; i++) {
        member_on_relayed(&app->members, in->relayed[i].name,
                          in->relayed[i].request_address, now_us);
    }
    for (size_t i = 0; i < in->leaving_count; i++) {
        gateway_on_peer_leaving(&app->gateway, in->leaving[i].id,
                                in->leaving[i].started_unix_ms, now_us);
    }
    if (!app_is_ready(app)) {
        app_sync(app);
    }
    if (!heartbeat->is_reply &&
        member_must_reply(&app->members, heartbeat->name, now_us)) {
        msgpack_sbuffer buffer;
        peer_io_encode_heartbeat(app, true, &buffer);
        peer_io_send_to(app->peers, heartbeat->peer_address, buffer.data,
                        buffer.size);
        msgpack_sbuffer_destroy(&buffer);
    }
}

static void
peer_io_on_datagram(uv_udp_t *socket, ssize_t nread, const uv_buf_t *buf,
                    const struct sockaddr *from, unsigned flags)
{
    struct peer_io *peers = socket->data;
    if (nread <= 0 || from == NULL) {
        return;
    }
    struct heartbeat heartbeat;
    if (heartbeat_decode(buf->base, (size_t)nread, &heartbeat) != RC_OK) {
        counter_add(peers->app->counters, "gateway_beats_dropped",
                    "malformed");
        return;
    }
    peer_io_on_heartbeat(peers->app, &heartbeat);
    heartbeat_clear(&heartbeat);
}

void
peer_io_send_heartbeats(struct peer_io *peers)
{
    struct app *app = peers->app;
    msgpack_sbuffer buffer;
    peer_io_encode_heartbeat(app, false, &buffer);
    GPtrArray *targets = g_ptr_array_new();
    member_heartbeat_targets(&app->members, app_now_us(), targets);
    for (guint i = 0; i < targets->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(targets, i);
        peer_io_send_to(peers, vm->peer_address, buffer.data, buffer.size);
    }
    g_ptr_array_free(targets, TRUE);
    msgpack_sbuffer_destroy(&buffer);
}

static void
peer_io_clear_state(struct peer_io_state *state)
{
    buffer_unref(state->body);
    *state = (struct peer_io_state){.body = NULL};
}

/* Gives back the memory of states that are not sent again. */
static void
peer_io_drop_states(struct peer_io *peers, int64_t now_us)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        struct peer_io_state *state = &peers->states[i];
        if (now_us - state->written_us >= PEER_IO_STATE_REUSE_US) {
            peer_io_clear_state(state);
        }
    }
}

void
peer_io_tick(struct peer_io *peers, int64_t now_us)
{
    const struct app *app = peers->app;
    if (now_us - peers->heartbeat_us >=
        member_next_heartbeat_us(&app->members, app_is_ready(app),
                                 now_us - app->started_us)) {
        peers->heartbeat_us = now_us;
        peer_io_send_heartbeats(peers);
    }
    peer_io_drop_states(peers, now_us);
}

/* Writes the whole state, or keeps the one that was written just before.
 * Returns RC_OK, or RC_NO_MEMORY without room for it. */
static int
peer_io_write_state(struct peer_io *peers, enum object_kind kind,
                    int64_t now_us)
{
    struct app *app = peers->app;
    struct peer_io_state *state = &peers->states[kind];
    const struct cache *cache = sync_cache_of(&app->sync, kind);
    if (state->body != NULL &&
        position_compare(state->change, cache->change) == 0 &&
        now_us - state->written_us < PEER_IO_STATE_REUSE_US) {
        return RC_OK;
    }
    peer_io_clear_state(state);
    struct position none = {.revision = 0};
    char *text = peer_state_write(&app->sync, kind, none, app_now_us());
    struct buffer *body = buffer_new(&app->allot.shares[ALLOT_PEERS]);
    int rc = buffer_append(body, text, strlen(text));
    g_free(text);
    if (rc != RC_OK) {
        buffer_unref(body);
        return rc;
    }
    *state = (struct peer_io_state){
        .body = body,
        .change = cache->change,
        .written_us = now_us,
    };
    return RC_OK;
}

static void
peer_io_respond_all(struct app *app, struct http_request *http,
                    enum object_kind kind)
{
    struct peer_io *peers = app->peers;
    if (peer_io_write_state(peers, kind, app_now_us()) != RC_OK) {
        log_sample("peer", "no room for the state of a kind kind=%s",
                   sync_kind_name(kind));
        http_server_respond(http, 503, "text/plain", "no room\n", 8);
        return;
    }
    const struct http_field type =
        http_field_of("content-type", "application/json");
    http_server_respond_buffer(http, 200, &type, 1, peers->states[kind].body);
}

/* A number of the query, 0 if there is none. */
static int64_t
peer_io_query_number(struct http_request *http, const char *name)
{
    char *text = http_server_query_value(http, name);
    int64_t number = text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;
    g_free(text);
    return number;
}

static void
peer_io_on_state_request(struct http_request *http, void *ctx)
{
    struct app *app = ctx;
    enum object_kind kind = peer_state_kind(http->path);
    if (kind == OBJECT_KIND_COUNT) {
        http_server_respond(http, 404, "text/plain", "unknown path\n", 13);
        return;
    }
    if (peer_io_query_number(http, "held") != 0) {
        char *held = peer_state_write_held(&app->sync, kind, app_now_us());
        http_server_respond(http, 200, "application/json", held, strlen(held));
        g_free(held);
        return;
    }
    struct position since = {
        .era = peer_io_query_number(http, "era"),
        .revision = peer_io_query_number(http, "since"),
    };
    if (!peer_state_is_delta(sync_cache_of(&app->sync, kind), since)) {
        peer_io_respond_all(app, http, kind);
        return;
    }
    char *body = peer_state_write(&app->sync, kind, since, app_now_us());
    http_server_respond(http, 200, "application/json", body, strlen(body));
    g_free(body);
}

static void
peer_io_end_call(struct peer_io_call *call, const struct store_reply *reply)
{
    http_client_close(call->conn);
    call->conn = NULL;
    sync_on_reply(&call->app->sync, &call->fetch, reply, app_now_us());
}

static void
peer_io_on_state(struct http_client_conn *conn,
                 const struct http_response *response, void *ctx)
{
    struct peer_io_call *call = ctx;
    struct wire_objects objects;
    peer_state_read_response(response->rc, response->status, response->body,
                             response->body_bytes, &objects);
    peer_io_end_call(call, &objects.reply);
    wire_objects_clear(&objects);
}

static void
peer_io_on_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    struct peer_io_call *call = ctx;
    if (rc == RC_OK) {
        char *path =
            call->fetch.is_held
                ? peer_state_held_path(call->fetch.kind)
                : peer_state_path(call->fetch.kind, call->fetch.since);
        rc = http_client_request(conn, "GET", path, NULL, NULL, 0,
                                 peer_io_on_state, call);
        g_free(path);
    }
    if (rc != RC_OK) {
        peer_io_end_call(call, &(struct store_reply){.rc = rc});
    }
}

void
peer_io_cancel(struct peer_io *peers, enum object_kind kind)
{
    struct peer_io_call *call = &peers->calls[kind];
    http_client_close(call->conn);
    call->conn = NULL;
}

void
peer_io_fetch(struct peer_io *peers, const struct sync_fetch *fetch)
{
    struct peer_io_call *call = fetch->is_held
                                    ? &peers->held_calls[fetch->kind]
                                    : &peers->calls[fetch->kind];
    http_client_close(call->conn);
    call->conn = NULL;
    call->fetch = *fetch;
    /* The fetch outlives its strings; only whether `peer` is NULL is read from
     * here on. */
    call->fetch.peer = "";
    call->fetch.after = NULL;
    call->conn = http_client_connect(&peers->app->loop, fetch->peer,
                                     PEER_IO_BODY_MAX_BYTES,
                                     &peers->app->allot.shares[ALLOT_STORE],
                                     peer_io_on_connected, NULL, call);
}

int
peer_io_new(struct app *app, struct peer_io **out)
{
    struct peer_io *peers = g_new0(struct peer_io, 1);
    peers->app = app;
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        peers->calls[i].app = app;
        peers->held_calls[i].app = app;
    }
    struct sockaddr_in bind_to;
    uv_udp_init(&app->loop, &peers->socket);
    peers->socket.data = peers;
    if (net_parse(app->peer_address, &bind_to) != RC_OK ||
        uv_udp_bind(&peers->socket, (const struct sockaddr *)&bind_to, 0) !=
            0 ||
        uv_udp_recv_start(&peers->socket, peer_io_on_alloc,
                          peer_io_on_datagram) != 0) {
        log_error("peer", "cannot bind UDP socket address=%s",
                  app->peer_address);
        return RC_IO;
    }
    *out = peers;
    int rc = http_server_open(&app->loop, app->peer_address, 0,
                              peer_io_on_state_request, app, &peers->server);
    if (rc == RC_OK) {
        app_account_server(app, peers->server, ALLOT_PEERS);
        http_server_set_refused_cb(peers->server, app_on_refused);
    }
    return rc;
}

void
peer_io_free(struct peer_io *peers)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        http_client_close(peers->calls[i].conn);
        http_client_close(peers->held_calls[i].conn);
        peer_io_clear_state(&peers->states[i]);
    }
    uv_udp_recv_stop(&peers->socket);
}
