#include "common/rc.h"
#include "gateway/app.h"

/* HTTP side of callers' requests: passes them to the gateway and writes the
 * answers. */

/* A request in progress; freed with its answer. */
struct caller_io {
    struct app *app;
    struct http_request *http;
    struct wire_request request;
    struct request *pending; /* set while the answer is outstanding */
    int64_t started_us;
    uint64_t reserved_bytes; /* for the decoded head */
};

static void
caller_io_on_answer(const struct caller_answer *answer, void *ctx)
{
    struct caller_io *cio = ctx;
    struct app *app = cio->app;
    histogram_add(&app->answer_us, app_now_us() - cio->started_us);
    app->wire->respond(cio->http, cio->request.id, answer);
    resource_release(&app->allot.shares[ALLOT_CALLERS], cio->reserved_bytes);
    wire_request_clear(&cio->request);
    g_free(cio);
}

static bool
caller_io_has_left(void *ctx)
{
    const struct caller_io *cio = ctx;
    return http_server_has_left(cio->http);
}

/* The caller has disconnected: cancels its request. */
static void
caller_io_on_disconnect(struct http_request *http, void *ctx)
{
    struct caller_io *cio = ctx;
    gateway_cancel(&cio->app->gateway, cio->pending, app_now_us());
    struct caller_answer answer = {.rc = RC_CANCELLED};
    caller_io_on_answer(&answer, cio);
}

/* Takes room for the decoded head. Returns RC_OK or RC_NO_MEMORY. */
static int
caller_io_reserve(struct caller_io *cio)
{
    struct resource_share *share = &cio->app->allot.shares[ALLOT_CALLERS];
    uint64_t bytes = cio->request.fields->allocated_len;
    if (bytes <= RESOURCE_SMALL_BYTES) {
        return RC_OK;
    }
    if (!resource_reserve(share, bytes)) {
        return RC_NO_MEMORY;
    }
    cio->reserved_bytes = bytes;
    return RC_OK;
}

void
caller_io_on_request(struct http_request *http, void *ctx)
{
    struct app *app = ctx;
    int64_t now_us = app_now_us();
    struct caller_io *cio = g_new0(struct caller_io, 1);
    cio->app = app;
    cio->http = http;
    cio->started_us = now_us;
    int rc = app->wire->read_request(http, &cio->request);
    if (rc == RC_OK) {
        rc = caller_io_reserve(cio);
    }
    if (rc != RC_OK) {
        struct caller_answer answer = {
            .rc = rc,
            .retry_after_us = GATEWAY_NO_ROOM_RETRY_US,
        };
        caller_io_on_answer(&answer, cio);
        return;
    }
    int64_t wait_us = cio->request.wait_us;
    struct request_params request = {
        .method = http->method,
        .target = http->target,
        .host = cio->request.host,
        .id = cio->request.id,
        .fields = cio->request.fields->str,
        .body = http->body,
        .body_bytes = http->body_bytes,
        .body_buffer = http->body_buffer,
        .deadline_us = wait_us < INT64_MAX ? now_us + wait_us : INT64_MAX,
        .estimate_spent = true,
        .only_target = REQUEST_ALL_TARGETS,
        .has_left = caller_io_has_left,
        .on_answer = caller_io_on_answer,
        .ctx = cio,
    };
    struct request *pending = gateway_submit(&app->gateway, &request, now_us);
    if (pending != NULL) {
        cio->pending = pending;
        http->on_disconnect = caller_io_on_disconnect;
        http->ctx = cio;
    }
}
