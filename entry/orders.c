#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "entry/answer.h"
#include "entry/body.h"
#include "entry/http.h"
#include "entry/orders.h"
#include "entry/peers.h"

#define ORDERS_MAX_KEY_BYTES 1024
#define ORDERS_MAX_ID_BYTES 128

/* Someone who waits for the outcome of an order. */
struct orders_wait {
    orders_done_cb done;
    void *ctx;
};

/* A caller's order. */
struct orders_call {
    struct app *app;
    struct hsv_request *request;
    struct rid_id id;
    char *id_text;
    struct orders_wait wait;
    struct ord_waiter *waiter; /* when this process issued the id */
    struct fwd_order *forward; /* when another one did */
};

struct orders_body {
    const char *id;
    const char *key;
    json_t *body;
    int64_t deadline_ms;
};

void
orders_on_finish(void *ctx, void *waiter_ctx, int rc, const void *body,
                 size_t body_bytes)
{
    const struct orders_wait *wait = waiter_ctx;
    wait->done(wait->ctx, rc, body, body_bytes);
}

/* What a refusal may say about an id: only its owner knows that it has not
 * run. */
static enum rc_run
orders_run_of(const struct app *app, const struct rid_id *id)
{
    bool is_not_run = rid_is_not_run(app->ids, id, app_now_us());
    return is_not_run ? RC_RUN_NO : RC_RUN_UNKNOWN;
}

/* The same for a body that was refused; one without an id names no order. */
static enum rc_run
orders_run_of_body(const struct app *app, const struct hsv_request *request)
{
    enum rc_run run = RC_RUN_NO;
    json_t *root = json_loadb(request->body, request->body_bytes, 0, NULL);
    const char *text = json_string_value(json_object_get(root, "id"));
    struct rid_id id;
    if (text != NULL && rid_parse(text, &id) == RC_OK) {
        run = orders_run_of(app, &id);
    }
    json_decref(root);
    return run;
}

static void
orders_call_free(struct orders_call *call)
{
    g_free(call->id_text);
    g_free(call);
}

/* The searcher's result: JSON as it is, without the object around it. */
static json_t *
orders_result_json(const char *body, size_t body_bytes)
{
    if (body_bytes == 0) {
        return json_null();
    }
    json_t *value = json_loadb(body, body_bytes, JSON_DECODE_ANY, NULL);
    if (value == NULL) {
        value = json_stringn(body, body_bytes);
        return value != NULL ? value : json_null();
    }
    json_t *inner = json_object_get(value, "result");
    if (inner != NULL && json_object_size(value) == 1) {
        json_incref(inner);
        json_decref(value);
        return inner;
    }
    return value;
}

static void
orders_on_done(void *ctx, int rc, const void *body, size_t body_bytes)
{
    struct orders_call *call = ctx;
    if (rc == RC_OK) {
        ans_json(call->request, 200,
                 json_pack("{s:s, s:s, s:o}", "id", call->id_text, "run",
                           rc_run_name(RC_RUN_YES), "result",
                           orders_result_json(body, body_bytes)));
    }
    else {
        ans_error(call->request, call->app->counters, rc, rc_run(rc),
                  rc == RC_BAD_ID || rc == RC_ID_EXPIRED ? "id" : NULL, NULL);
    }
    orders_call_free(call);
}

static void
orders_on_gone(struct hsv_request *request, void *ctx)
{
    struct orders_call *call = ctx;
    if (call->waiter != NULL) {
        ord_abandon(call->app->orders, call->waiter);
    }
    if (call->forward != NULL) {
        fwd_abandon(call->app->forwards, call->forward);
    }
    hsv_respond(request, rc_http_status(RC_CANCELLED), "text/plain", "", 0);
    orders_call_free(call);
}

/* A peer's wait owns itself until the outcome is told. */
struct orders_peer_wait {
    struct orders_wait wait; /* what order calls */
    struct orders_wait peer; /* whom to tell */
};

static void
orders_on_peer_finish(void *ctx, int rc, const void *body, size_t body_bytes)
{
    struct orders_peer_wait *wait = ctx;
    wait->peer.done(wait->peer.ctx, rc, body, body_bytes);
    g_free(wait);
}

/* Why an order that another entry forwarded cannot be run here, or RC_OK. */
static int
orders_check_peer(const struct app *app, const struct msg_order *message,
                  struct rid_id *id, int64_t *deadline_max_ms)
{
    if (rid_parse(message->id, id) != RC_OK || !rid_is_own(app->ids, id)) {
        /* Another process of this machine issued it, and its outcomes are
         * lost. */
        return RC_OUTCOME_UNKNOWN;
    }
    const struct cfg_service *service =
        app->config != NULL ? cfg_service_find(app->config, message->service)
                            : NULL;
    *deadline_max_ms = service != NULL ? service->deadline_max_ms : 1;
    if (service == NULL && rid_is_not_run(app->ids, id, app_now_us())) {
        return app->config != NULL ? RC_NO_SERVICE : RC_NOT_READY;
    }
    return RC_OK;
}

void
orders_run_for_peer(struct app *app, const struct msg_order *message,
                    orders_done_cb done, void *ctx)
{
    struct rid_id id;
    int64_t deadline_max_ms = 0;
    int rc = orders_check_peer(app, message, &id, &deadline_max_ms);
    if (rc != RC_OK) {
        done(ctx, rc, NULL, 0);
        return;
    }
    struct orders_peer_wait *wait = g_new0(struct orders_peer_wait, 1);
    wait->wait.done = orders_on_peer_finish;
    wait->wait.ctx = wait;
    wait->peer.done = done;
    wait->peer.ctx = ctx;
    int64_t now_us = app_now_us();
    const struct ord_request request = {
        .seq = id.seq,
        .order =
            {
                .id = message->id,
                .service = message->service,
                .key = message->key,
                .body = message->body.data,
                .body_bytes = message->body.bytes,
                .deadline_us = now_us + CLAMP(message->budget_us, 0,
                                              deadline_max_ms * 1000),
            },
    };
    (void)ord_submit(app->orders, &request, &wait->wait, now_us);
}

/* Reads the body. Returns RC_OK or the code to answer with. */
static int
orders_read(const struct cfg_service *service,
            const struct hsv_request *request, struct orders_body *body,
            json_t **root, struct bdy_error *error)
{
    *body = (struct orders_body){
        .deadline_ms = service->deadline_default_ms,
    };
    const struct bdy_field fields[] = {
        {.name = "id",
         .kind = BDY_STRING,
         .target = &body->id,
         .is_required = true,
         .min = 1,
         .max = ORDERS_MAX_ID_BYTES,
         .rc_range = RC_BAD_ID},
        {.name = "key",
         .kind = BDY_STRING,
         .target = &body->key,
         .is_required = true,
         .min = 1,
         .max = ORDERS_MAX_KEY_BYTES,
         .rc_range = RC_BAD_FIELD},
        {.name = "body",
         .kind = BDY_DATA,
         .target = &body->body,
         .is_required = true},
        {.name = "deadline_ms",
         .kind = BDY_INT,
         .target = &body->deadline_ms,
         .min = 1,
         .max = service->deadline_max_ms,
         .rc_range = RC_BAD_DEADLINE},
    };
    return bdy_parse(request->body, request->body_bytes, fields,
                     G_N_ELEMENTS(fields), root, error);
}

/* A string goes to the searcher as it is, an object as compact JSON. */
static char *
orders_body_text(json_t *body)
{
    if (json_is_string(body)) {
        return strdup(json_string_value(body));
    }
    return json_dumps(body, JSON_COMPACT);
}

static void
orders_run_here(struct orders_call *call, const struct run_order *order,
                int64_t now_us)
{
    const struct ord_request request = {
        .seq = call->id.seq,
        .order = *order,
    };
    struct ord_waiter *waiter =
        ord_submit(call->app->orders, &request, &call->wait, now_us);
    if (waiter != NULL) {
        call->waiter = waiter;
    }
}

static void
orders_forward(struct orders_call *call, const struct run_order *order,
               int64_t now_us)
{
    struct app *app = call->app;
    if (!prs_knows(app->peers, call->id.machine) ||
        strcmp(call->id.machine, app->options->machine) == 0) {
        /* The process that issued the id is gone, and with it the outcome. */
        orders_on_done(call, RC_OUTCOME_UNKNOWN, NULL, 0);
        return;
    }
    const struct fwd_request request = {
        .machine = call->id.machine,
        .order = *order,
        .ctx = &call->wait,
    };
    call->forward = fwd_start(app->forwards, &request, now_us);
}

static void
orders_start(struct app *app, struct hsv_request *request, const char *service,
             const struct orders_body *body)
{
    struct rid_id id;
    if (rid_parse(body->id, &id) != RC_OK) {
        ans_error(request, app->counters, RC_BAD_ID, RC_RUN_NO, "id",
                  "id: is not MACHINE.STARTHEX.SEQHEX");
        return;
    }
    struct orders_call *call = g_new0(struct orders_call, 1);
    call->app = app;
    call->request = request;
    call->id = id;
    call->id_text = g_strdup(body->id);
    call->wait.done = orders_on_done;
    call->wait.ctx = call;
    request->on_gone = orders_on_gone;
    request->ctx = call;
    char *text = orders_body_text(body->body);
    int64_t now_us = app_now_us();
    const struct run_order order = {
        .id = body->id,
        .service = service,
        .key = body->key,
        .body = text,
        .body_bytes = strlen(text),
        .deadline_us = now_us + body->deadline_ms * 1000,
    };
    if (rid_is_own(app->ids, &id)) {
        orders_run_here(call, &order, now_us);
    }
    else {
        orders_forward(call, &order, now_us);
    }
    free(text);
}

void
cmd_orders(struct app *app, struct hsv_request *request, const char *rest)
{
    if (app->config == NULL) {
        ans_error(request, app->counters, RC_NOT_READY,
                  orders_run_of_body(app, request), NULL, NULL);
        return;
    }
    const struct cfg_service *service = cfg_service_find(app->config, rest);
    if (service == NULL) {
        ans_error(request, app->counters, RC_NO_SERVICE,
                  orders_run_of_body(app, request), "service",
                  "service: no such service");
        return;
    }
    struct orders_body body;
    struct bdy_error error;
    json_t *root = NULL;
    int rc = orders_read(service, request, &body, &root, &error);
    if (rc != RC_OK) {
        ans_error(request, app->counters, rc, orders_run_of_body(app, request),
                  error.field, error.message);
        return;
    }
    orders_start(app, request, service->name, &body);
    json_decref(root);
}
