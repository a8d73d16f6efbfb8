#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"
#include "gateway/app.h"
#include "gateway/heartbeat.h"
#include "gateway/peer_state.h"

/* Heartbeats over UDP and news over HTTP, both on the peer port. */

#define PIO_BODY_MAX_BYTES (16 * 1024 * 1024)
#define PIO_DATAGRAM_MAX_BYTES 2048

/* A question to a peer that is under way. */
struct pio_pull {
    struct app *app;
    struct hcl_conn *conn;
    struct syn_fetch fetch;
};

struct pio {
    struct app *app;
    uv_udp_t socket;
    struct hsv_server *server;
    struct pio_pull pulls[MEM_KIND_COUNT];
    int64_t beat_us;
    char buffer[PIO_DATAGRAM_MAX_BYTES];
};

static void
pio_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    struct pio *peers = handle->data;
    *buf = uv_buf_init(peers->buffer, sizeof(peers->buffer));
}

static void
pio_send_to(struct pio *peers, const char *address, const void *data,
            size_t data_bytes)
{
    struct sockaddr_in to;
    if (address == NULL || net_parse(address, &to) != RC_OK) {
        return;
    }
    uv_buf_t buf = uv_buf_init((char *)data, (unsigned)data_bytes);
    /* A heartbeat that cannot be sent is lost like one on the way. */
    if (uv_udp_try_send(&peers->socket, &buf, 1,
                        (const struct sockaddr *)&to) < 0) {
        cnt_add(peers->app->counters, "gateway_beats_dropped", "unsent");
    }
}

/* Appends this VM's heartbeat to a new buffer; an answer names some VMs. */
static void
pio_encode_beat(struct app *app, bool is_reply, msgpack_sbuffer *out)
{
    struct bea beat = {
        .beat =
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
    syn_changes(&app->syn, beat.beat.changes);
    syn_ages(&app->syn, app_now_us(), beat.beat.ages_us);
    GPtrArray *vms = g_ptr_array_new();
    if (is_reply) {
        mem_vouch(&app->mem, app_now_us(), vms);
    }
    for (guint i = 0; i < vms->len; i++) {
        const struct mem_vm *vm = g_ptr_array_index(vms, i);
        beat.vouched[i] = (struct bea_vouched){
            .name = vm->name,
            .request_address = vm->request_address,
        };
    }
    beat.vouched_count = vms->len;
    g_ptr_array_free(vms, TRUE);
    msgpack_sbuffer_init(out);
    bea_encode(&beat, out);
}

static void
pio_on_beat(struct app *app, const struct bea *in)
{
    const struct mem_beat *beat = &in->beat;
    int64_t own[MEM_KIND_COUNT];
    syn_changes(&app->syn, own);
    int64_t now_us = app_now_us();
    mem_on_beat(&app->mem, beat, own, now_us);
    for (size_t i = 0; i < in->vouched_count; i++) {
        mem_on_vouched(&app->mem, in->vouched[i].name,
                       in->vouched[i].request_address, now_us);
    }
    if (!app_is_ready(app)) {
        app_sync(app);
    }
    if (!beat->is_reply && mem_must_reply(&app->mem, beat->name, now_us)) {
        msgpack_sbuffer buffer;
        pio_encode_beat(app, true, &buffer);
        pio_send_to(app->peers, beat->peer_address, buffer.data, buffer.size);
        msgpack_sbuffer_destroy(&buffer);
    }
}

static void
pio_on_datagram(uv_udp_t *socket, ssize_t nread, const uv_buf_t *buf,
                const struct sockaddr *from, unsigned flags)
{
    struct pio *peers = socket->data;
    if (nread <= 0 || from == NULL) {
        return;
    }
    struct bea beat;
    if (bea_decode(buf->base, (size_t)nread, &beat) != RC_OK) {
        cnt_add(peers->app->counters, "gateway_beats_dropped", "malformed");
        return;
    }
    pio_on_beat(peers->app, &beat);
    bea_clear(&beat);
}

void
pio_beat(struct pio *peers)
{
    struct app *app = peers->app;
    msgpack_sbuffer buffer;
    pio_encode_beat(app, false, &buffer);
    GPtrArray *targets = g_ptr_array_new();
    mem_beat_targets(&app->mem, app_now_us(), targets);
    for (guint i = 0; i < targets->len; i++) {
        const struct mem_vm *vm = g_ptr_array_index(targets, i);
        pio_send_to(peers, vm->peer_address, buffer.data, buffer.size);
    }
    g_ptr_array_free(targets, TRUE);
    msgpack_sbuffer_destroy(&buffer);
}

void
pio_tick(struct pio *peers, int64_t now_us)
{
    if (now_us - peers->beat_us >= mem_beat_ivl_us(&peers->app->mem)) {
        peers->beat_us = now_us;
        pio_beat(peers);
    }
}

static void
pio_on_news_request(struct hsv_request *http, void *ctx)
{
    struct app *app = ctx;
    enum mem_kind kind = nws_kind(http->path);
    if (kind == MEM_KIND_COUNT) {
        hsv_respond(http, 404, "text/plain", "unknown path\n", 13);
        return;
    }
    char *since = hsv_query_value(http, "since");
    char *body = nws_write(
        &app->syn, kind, since != NULL ? g_ascii_strtoll(since, NULL, 10) : 0);
    g_free(since);
    hsv_respond(http, 200, "application/json", body, strlen(body));
    g_free(body);
}

static void
pio_pull_end(struct pio_pull *pull, const struct fed_reply *reply)
{
    hcl_close(pull->conn);
    pull->conn = NULL;
    syn_on_reply(&pull->app->syn, &pull->fetch, reply, app_now_us());
}

static void
pio_on_news(struct hcl_conn *conn, const struct hcl_response *response,
            void *ctx)
{
    struct pio_pull *pull = ctx;
    struct wir_objects objects = {.reply = {.rc = response->rc}};
    if (response->rc == RC_OK && response->status == 200) {
        nws_read(json_loadb(response->body, response->body_bytes, 0, NULL),
                 &objects);
    }
    pio_pull_end(pull, &objects.reply);
    wir_objects_clear(&objects);
}

static void
pio_on_connected(struct hcl_conn *conn, int rc, void *ctx)
{
    struct pio_pull *pull = ctx;
    if (rc == RC_OK) {
        char *path = nws_path(pull->fetch.kind, pull->fetch.since);
        rc = hcl_request(conn, "GET", path, NULL, NULL, 0, pio_on_news, pull);
        g_free(path);
    }
    if (rc != RC_OK) {
        pio_pull_end(pull, &(struct fed_reply){.rc = rc});
    }
}

void
pio_fetch(struct pio *peers, const struct syn_fetch *fetch)
{
    struct pio_pull *pull = &peers->pulls[fetch->kind];
    hcl_close(pull->conn);
    pull->conn = NULL;
    pull->fetch = *fetch;
    /* Only whether a peer was asked matters from here on. */
    pull->fetch.peer = "";
    pull->fetch.after = NULL;
    if (hcl_connect(&peers->app->loop, fetch->peer, PIO_BODY_MAX_BYTES,
                    pio_on_connected, NULL, pull, &pull->conn) != RC_OK) {
        pull->conn = NULL;
        log_warn("peer", "cannot connect address=%s", fetch->peer);
    }
}

int
pio_new(struct app *app, struct pio **out)
{
    struct pio *peers = g_new0(struct pio, 1);
    peers->app = app;
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        peers->pulls[i].app = app;
    }
    struct sockaddr_in bind_to;
    uv_udp_init(&app->loop, &peers->socket);
    peers->socket.data = peers;
    if (net_parse(app->peer_address, &bind_to) != RC_OK ||
        uv_udp_bind(&peers->socket, (const struct sockaddr *)&bind_to, 0) !=
            0 ||
        uv_udp_recv_start(&peers->socket, pio_on_alloc, pio_on_datagram) !=
            0) {
        log_error("peer", "cannot bind address=%s", app->peer_address);
        return RC_IO;
    }
    *out = peers;
    return hsv_open(&app->loop, app->peer_address, 0, pio_on_news_request, app,
                    &peers->server);
}

void
pio_free(struct pio *peers)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        hcl_close(peers->pulls[i].conn);
    }
    uv_udp_recv_stop(&peers->socket);
}
