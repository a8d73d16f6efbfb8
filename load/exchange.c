#include <string.h>

#include "common/rc.h"
#include "load/exchange.h"

static void
xch_finish(struct xch *exchange, const struct xch_result *result)
{
    tmr_stop(&exchange->timer);
    g_clear_pointer(&exchange->path, g_free);
    g_clear_pointer(&exchange->headers, g_free);
    g_clear_pointer(&exchange->body, g_free);
    exchange->done(result, exchange->ctx);
}

static void
xch_fail(struct xch *exchange, int rc)
{
    struct pol_conn *conn = exchange->conn;
    exchange->conn = NULL;
    if (conn != NULL) {
        pol_drop(conn);
    }
    pol_cancel(&exchange->ask);
    struct xch_result result = {.rc = rc, .body = ""};
    xch_finish(exchange, &result);
}

static void
xch_on_timeout(struct tmr *timer, void *ctx)
{
    xch_fail(ctx, RC_DEADLINE);
}

static void
xch_on_response(struct hcl_conn *http, const struct hcl_response *response,
                void *ctx)
{
    struct xch *exchange = ctx;
    struct pol_conn *conn = exchange->conn;
    if (response->rc != RC_OK) {
        xch_fail(exchange, response->rc);
        return;
    }
    exchange->conn = NULL;
    struct xch_result result = {
        .rc = RC_OK,
        .status = response->status,
        .body = response->body,
        .body_bytes = response->body_bytes,
    };
    if (response->is_keepalive) {
        pol_put(conn);
    }
    else {
        pol_drop(conn);
    }
    xch_finish(exchange, &result);
}

static void
xch_on_ready(struct pol_conn *conn, void *ctx)
{
    struct xch *exchange = ctx;
    exchange->conn = conn;
    if (conn == NULL) {
        xch_fail(exchange, RC_LINK_FAILED);
        return;
    }
    const char *body = exchange->body;
    int rc = hcl_request(
        pol_http(conn), exchange->method, exchange->path, exchange->headers,
        body, body == NULL ? 0 : strlen(body), xch_on_response, exchange);
    if (rc != RC_OK) {
        xch_fail(exchange, RC_LINK_FAILED);
    }
}

void
xch_start(struct xch *exchange, struct pol *pool, struct tmr_set *timers,
          int64_t timeout_us, xch_done_cb done, void *ctx)
{
    exchange->done = done;
    exchange->ctx = ctx;
    tmr_start(timers, &exchange->timer, tmr_now_us() + timeout_us,
              xch_on_timeout, exchange);
    pol_get(pool, exchange->address, &exchange->ask, xch_on_ready, exchange);
}
