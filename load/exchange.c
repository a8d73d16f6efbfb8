#include <string.h>

#include "common/rc.h"
#include "load/exchange.h"

static void
exchange_finish(struct exchange *exchange,
                const struct exchange_result *result)
{
    hrtimer_stop(&exchange->timer);
    g_clear_pointer(&exchange->path, g_free);
    g_clear_pointer(&exchange->headers, g_free);
    g_clear_pointer(&exchange->body, g_free);
    exchange->done(result, exchange->ctx);
}

static void
exchange_fail(struct exchange *exchange, int rc)
{
    struct pool_conn *conn = exchange->conn;
    exchange->conn = NULL;
    if (conn != NULL) {
        pool_discard(conn);
    }
    pool_cancel(&exchange->waiter);
    struct exchange_result result = {.rc = rc, .body = ""};
    exchange_finish(exchange, &result);
}

static void
exchange_on_timeout(struct hrtimer *timer, void *ctx)
{
    exchange_fail(ctx, RC_DEADLINE);
}

static void
exchange_on_response(struct http_client_conn *http,
                     const struct http_response *response, void *ctx)
{
    struct exchange *exchange = ctx;
    struct pool_conn *conn = exchange->conn;
    if (response->rc != RC_OK) {
        exchange_fail(exchange, response->rc);
        return;
    }
    exchange->conn = NULL;
    struct exchange_result result = {
        .rc = RC_OK,
        .status = response->status,
        .body = response->body,
        .body_bytes = response->body_bytes,
    };
    if (response->is_keepalive) {
        pool_release(conn);
    }
    else {
        pool_discard(conn);
    }
    exchange_finish(exchange, &result);
}

static void
exchange_on_ready(struct pool_conn *conn, void *ctx)
{
    struct exchange *exchange = ctx;
    exchange->conn = conn;
    if (conn == NULL) {
        exchange_fail(exchange, RC_LINK_FAILED);
        return;
    }
    const char *body = exchange->body;
    int rc = http_client_request(
        pool_http(conn), exchange->method, exchange->path, exchange->headers,
        body, body == NULL ? 0 : strlen(body), exchange_on_response, exchange);
    if (rc != RC_OK) {
        exchange_fail(exchange, RC_LINK_FAILED);
    }
}

void
exchange_start(struct exchange *exchange, struct pool *pool,
               struct hrtimer_set *timers, int64_t timeout_us,
               exchange_done_cb done, void *ctx)
{
    exchange->done = done;
    exchange->ctx = ctx;
    hrtimer_start(timers, &exchange->timer, hrtimer_now_us() + timeout_us,
                  exchange_on_timeout, exchange);
    pool_acquire(pool, exchange->address, &exchange->waiter, exchange_on_ready,
                 exchange);
}
