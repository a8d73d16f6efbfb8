#include "common/http_client.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/app.h"

/* Links to backend servers over HTTP connections. */

/* Bodies of backend servers above this are not taken. */
#define LIO_BODY_MAX_BYTES (8 * 1024 * 1024)

/* The I/O side of one link. */
struct lio {
    struct app *app;
    struct bke_link *link;
    struct hcl_conn *conn;
    char *request_id; /* of the request under way */
};

static void
lio_on_connected(struct hcl_conn *conn, int rc, void *ctx)
{
    struct lio *lio = ctx;
    gtw_on_connected(&lio->app->gtw, lio->link, rc, app_now_us());
}

static void
lio_on_lost(struct hcl_conn *conn, void *ctx)
{
    struct lio *lio = ctx;
    gtw_on_lost(&lio->app->gtw, lio->link, RC_LINK_LOST, app_now_us());
}

static void
lio_on_response(struct hcl_conn *conn, const struct hcl_response *response,
                void *ctx)
{
    struct lio *lio = ctx;
    struct app *app = lio->app;
    struct att_answer answer;
    GString *fields = g_string_new(NULL);
    GString *stamp = g_string_new(NULL);
    app->wire->read_answer(response, lio->request_id, fields, stamp, &answer);
    if (response->rc != RC_OK) {
        gtw_on_lost(&app->gtw, lio->link, response->rc, app_now_us());
    }
    else {
        gtw_on_answer(&app->gtw, lio->link, &answer, app_now_us());
    }
    g_string_free(fields, TRUE);
    g_string_free(stamp, TRUE);
}

int
lio_connect(struct bke_link *link, void *ctx)
{
    struct app *app = ctx;
    struct lio *lio = g_new0(struct lio, 1);
    lio->app = app;
    lio->link = link;
    int rc =
        hcl_connect(&app->loop, link->backend->address, LIO_BODY_MAX_BYTES,
                    lio_on_connected, lio_on_lost, lio, &lio->conn);
    if (rc != RC_OK) {
        g_free(lio);
        return RC_LINK_FAILED;
    }
    cnt_add(app->counters, "gateway_connects", NULL);
    link->io = lio;
    return RC_OK;
}

void
lio_close(struct bke_link *link, void *ctx)
{
    struct lio *lio = link->io;
    link->io = NULL;
    if (lio != NULL) {
        hcl_close(lio->conn);
        g_free(lio->request_id);
        g_free(lio);
    }
}

int
lio_send(struct bke_link *link, const struct ask_request *request,
         int64_t left_us, void *ctx)
{
    struct app *app = ctx;
    struct lio *lio = link->io;
    g_free(lio->request_id);
    lio->request_id = g_strdup(request->id);
    GString *bytes = app->wire->write_request(link->backend, request, left_us);
    bool is_head = g_strcmp0(request->method, "HEAD") == 0;
    return hcl_send(lio->conn, bytes, is_head, lio_on_response, lio);
}
