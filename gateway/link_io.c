#include "common/http_client.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/app.h"

/* Implements the gateway's links to backend servers as HTTP connections. */

/* Larger bodies of backend servers are rejected. */
#define LINK_IO_BODY_MAX_BYTES (8 * 1024 * 1024)

/* The I/O side of one link. */
struct link_io {
    struct app *app;
    struct backend_link *link;
    struct http_client_conn *conn;
    struct wire_sent_request sent; /* the request in flight */
    bool is_gather;                /* of its route */
    bool had_id[2]; /* a response had an id; by `is_gather` of the route */
};

static void
link_io_on_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    struct link_io *lio = ctx;
    gateway_on_connected(&lio->app->gateway, lio->link, rc, app_now_us());
}

static void
link_io_on_lost(struct http_client_conn *conn, void *ctx)
{
    struct link_io *lio = ctx;
    gateway_on_lost(&lio->app->gateway, lio->link, RC_LINK_LOST, app_now_us());
}

static void
link_io_on_response(struct http_client_conn *conn,
                    const struct http_response *response, void *ctx)
{
    struct link_io *lio = ctx;
    struct app *app = lio->app;
    struct wire_answer answer;
    wire_answer_init(&answer);
    app->wire->read_answer(response, &lio->sent, &answer);
    lio->had_id[lio->is_gather] |= answer.has_id;
    if (response->rc != RC_OK) {
        gateway_on_lost(&app->gateway, lio->link, response->rc, app_now_us());
    }
    else {
        gateway_on_answer(&app->gateway, lio->link, &answer.answer,
                          app_now_us());
    }
    wire_answer_clear(&answer);
}

void
link_io_connect(struct backend_link *link, void *ctx)
{
    struct app *app = ctx;
    struct link_io *lio = g_new0(struct link_io, 1);
    lio->app = app;
    lio->link = link;
    lio->conn = http_client_connect(
        &app->loop, link->backend->address, LINK_IO_BODY_MAX_BYTES,
        &app->allot.shares[ALLOT_BACKENDS], link_io_on_connected,
        link_io_on_lost, lio);
    link->io = lio;
    counter_add(app->counters, "gateway_connects", NULL);
}

void
link_io_close(struct backend_link *link, void *ctx)
{
    struct link_io *lio = link->io;
    link->io = NULL;
    if (lio != NULL) {
        http_client_close(lio->conn);
        g_free(lio->sent.id);
        g_free(lio);
    }
}

int
link_io_send(struct backend_link *link, const struct attempt_send *send,
             void *ctx)
{
    struct app *app = ctx;
    struct link_io *lio = link->io;
    g_free(lio->sent.id);
    lio->is_gather = send->route->is_gather;
    lio->sent = (struct wire_sent_request){
        .id = g_strdup(send->request->id),
        .snapshot = send->route->snapshot,
        .target = send->target,
        .is_idempotent = send->route->is_idempotent,
        .must_have_id = lio->had_id[lio->is_gather],
    };
    GString *head = app->wire->write_request(link->backend, send);
    bool is_head = g_strcmp0(send->request->method, "HEAD") == 0;
    return http_client_send(lio->conn, head, send->request->body_buffer,
                            is_head, link_io_on_response, lio);
}
