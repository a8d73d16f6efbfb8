#include "common/rc.h"
#include "gateway/app.h"

/* Requests of callers over HTTP. */

struct cio {
    struct app *app;
    struct hsv_request *http;
    struct wir_request request;
    struct ask *ask; /* NULL once answered */
    int64_t started_us;
};

static void
cio_on_answer(const struct ask_answer *answer, void *ctx)
{
    struct cio *cio = ctx;
    struct app *app = cio->app;
    hst_add(&app->answer_us, app_now_us() - cio->started_us);
    app->wire->respond(cio->http, cio->request.id, answer);
    wir_request_clear(&cio->request);
    g_free(cio);
}

/* The caller has left: nobody reads an answer any more. */
static void
cio_on_gone(struct hsv_request *http, void *ctx)
{
    struct cio *cio = ctx;
    gtw_abandon(&cio->app->gtw, cio->ask, app_now_us());
    struct ask_answer answer = {.rc = RC_CANCELLED};
    cio_on_answer(&answer, cio);
}

void
cio_on_request(struct hsv_request *http, void *ctx)
{
    struct app *app = ctx;
    int64_t now_us = app_now_us();
    struct cio *cio = g_new0(struct cio, 1);
    cio->app = app;
    cio->http = http;
    cio->started_us = now_us;
    int rc = app->wire->read_request(http, &cio->request);
    if (rc != RC_OK) {
        struct ask_answer answer = {.rc = rc};
        cio_on_answer(&answer, cio);
        return;
    }
    int64_t wait_us = cio->request.wait_us;
    struct ask_request request = {
        .method = http->method,
        .target = http->target,
        .host = cio->request.host,
        .id = cio->request.id,
        .fields = cio->request.fields->str,
        .body = http->body,
        .body_bytes = http->body_bytes,
        .deadline_us = wait_us < INT64_MAX ? now_us + wait_us : INT64_MAX,
        .tells_spent = true,
        .only_target = ASK_ALL_TARGETS,
        .on_answer = cio_on_answer,
        .ctx = cio,
    };
    struct ask *ask = gtw_ask(&app->gtw, &request, now_us);
    if (ask != NULL) {
        cio->ask = ask;
        http->on_gone = cio_on_gone;
        http->ctx = cio;
    }
}
