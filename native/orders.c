#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "native/answer.h"
#include "native/body.h"
#include "native/native.h"
#include "native/server.h"

#define ORDERS_MAX_KEY_BYTES 1024
#define ORDERS_MAX_ID_BYTES 128
/* The VM that issued the id answers at the deadline; this is for the way. */
#define ORDERS_WAY_US (50 * 1000)

/* A caller's order. */
struct orders_call {
    struct server *server;
    struct http_request *http;
    char *id;
    struct order_waiter *waiter; /* when this process issued the id */
    struct forward *forward;     /* when another one did */
};

/* A run of an order at its backend server. */
struct orders_job {
    struct server *server;
    uint64_t seq;
    char *id;
    char *target;
    char *fields; /* for the backend server */
};

struct orders_body {
    const char *id;
    const char *key;
    json_t *body;
    int64_t deadline_ms;
};

static void
orders_job_free(struct orders_job *job)
{
    g_free(job->id);
    g_free(job->target);
    g_free(job->fields);
    g_free(job);
}

static void
orders_on_answer(const struct caller_answer *answer, void *ctx)
{
    struct orders_job *job = ctx;
    order_on_result(job->server->orders, job->seq, answer->rc, answer->body,
                    answer->body_bytes, app_now_us());
    orders_job_free(job);
}

void
orders_run(const struct order_request *order, int64_t now_us, void *ctx)
{
    struct server *server = ctx;
    const struct config_service *service =
        config_service_find(server_declared(server), order->service);
    struct orders_job *job = g_new0(struct orders_job, 1);
    job->server = server;
    job->seq = order->seq;
    job->id = server_next_id(server);
    job->target = g_strdup_printf("/%s/", order->service);
    job->fields =
        g_strdup_printf("\"id\":\"%s\",\"body\":%s", order->id, order->body);
    struct request_params request = {
        .method = "POST",
        .target = job->target,
        .host = NATIVE_ORDER_HOST,
        .id = job->id,
        .fields = "",
        .body = job->fields,
        .body_bytes = strlen(job->fields),
        .deadline_us = order->deadline_us,
        .only_target = (int32_t)server_shard_of(order->key, service),
        .priority = order->priority,
        .on_answer = orders_on_answer,
        .ctx = job,
    };
    (void)gateway_ask(&server->app->gateway, &request, now_us);
}

/* What a refusal may say about an id: only its owner knows that it has not
 * run. */
static enum rc_run
orders_run_of(const struct server *server, const struct request_id *id)
{
    bool is_not_run = request_id_is_not_run(server->ids, id, app_now_us());
    return is_not_run ? RC_RUN_NO : RC_RUN_UNKNOWN;
}

/* The same for a body that was refused; one without an id names no order. */
static enum rc_run
orders_run_of_body(const struct server *server,
                   const struct http_request *http)
{
    enum rc_run run = RC_RUN_NO;
    json_t *root = json_loadb(http->body, http->body_bytes, 0, NULL);
    const char *text = json_string_value(json_object_get(root, "id"));
    struct request_id id;
    if (text != NULL && request_id_parse(text, &id) == RC_OK) {
        run = orders_run_of(server, &id);
    }
    json_decref(root);
    return run;
}

static void
orders_call_free(struct orders_call *call)
{
    g_free(call->id);
    g_free(call);
}

static json_t *
orders_result_json(const char *body, size_t body_bytes)
{
    json_t *value = json_loadb(body, body_bytes, JSON_DECODE_ANY, NULL);
    return value != NULL ? value : json_null();
}

void
orders_on_finish(void *waiter_ctx, int rc, const void *body, size_t body_bytes,
                 void *ctx)
{
    struct orders_call *call = waiter_ctx;
    if (rc == RC_OK) {
        answer_json(call->http, 200,
                    json_pack("{s:s, s:s, s:o}", "id", call->id, "run",
                              rc_run_name(RC_RUN_YES), "result",
                              orders_result_json(body, body_bytes)));
    }
    else {
        answer_error(call->http, call->server->app->counters, rc, rc_run(rc),
                     rc == RC_BAD_ID || rc == RC_ID_EXPIRED ? "id" : NULL,
                     NULL);
    }
    orders_call_free(call);
}

/* The issuing VM's answer is the caller's; without one nothing is known. */
static void
orders_on_forwarded(int status, const char *body, size_t body_bytes, void *ctx)
{
    struct orders_call *call = ctx;
    if (status != 0) {
        http_server_respond(call->http, status, "application/json", body,
                            body_bytes);
        orders_call_free(call);
        return;
    }
    orders_on_finish(call, RC_OUTCOME_UNKNOWN, NULL, 0, call->server);
}

static void
orders_on_gone(struct http_request *http, void *ctx)
{
    struct orders_call *call = ctx;
    if (call->waiter != NULL) {
        order_abandon(call->server->orders, call->waiter);
    }
    if (call->forward != NULL) {
        forward_abandon(call->forward);
    }
    http_server_respond(http, rc_http_status(RC_CANCELLED), "text/plain", "",
                        0);
    orders_call_free(call);
}

/* Reads the body. Returns RC_OK or the code to answer with. */
static int
orders_read(const struct config_service *service,
            const struct http_request *http, struct orders_body *body,
            json_t **root, struct body_error *error)
{
    *body = (struct orders_body){
        .deadline_ms = service->deadline_default_ms,
    };
    const struct body_field fields[] = {
        {.name = "id",
         .kind = BODY_STRING,
         .target = &body->id,
         .is_required = true,
         .min = 1,
         .max = ORDERS_MAX_ID_BYTES,
         .rc_range = RC_BAD_ID},
        {.name = "key",
         .kind = BODY_STRING,
         .target = &body->key,
         .is_required = true,
         .min = 1,
         .max = ORDERS_MAX_KEY_BYTES,
         .rc_range = RC_BAD_FIELD},
        {.name = "body",
         .kind = BODY_DATA,
         .target = &body->body,
         .is_required = true},
        {.name = "deadline_ms",
         .kind = BODY_INT,
         .target = &body->deadline_ms,
         .min = 1,
         .max = service->deadline_max_ms,
         .rc_range = RC_BAD_DEADLINE},
    };
    return body_parse(http->body, http->body_bytes, fields,
                      G_N_ELEMENTS(fields), root, error);
}

static void
orders_run_here(struct orders_call *call, const struct request_id *id,
                const char *service, const struct orders_body *body,
                int64_t now_us)
{
    char *text = json_dumps(body->body, JSON_COMPACT | JSON_ENCODE_ANY);
    char *account = http_server_header(call->http, "x-caller");
    const struct order_request order = {
        .seq = id->seq,
        .id = body->id,
        .service = service,
        .key = body->key,
        .body = text,
        .deadline_us = now_us + body->deadline_ms * 1000,
        .priority = quota_priority(call->server->quota, account),
    };
    struct order_waiter *waiter =
        order_submit(call->server->orders, &order, call, now_us);
    if (waiter != NULL) {
        call->waiter = waiter;
    }
    g_free(account);
    free(text);
}

/* Whether the order may be sent to the VM that issued its id. */
static const struct member_vm *
orders_issuer(const struct orders_call *call, const struct request_id *id,
              int64_t now_us)
{
    const struct app *app = call->server->app;
    char *forwarded = http_server_header(call->http, FORWARD_FIELD);
    bool is_forwarded = forwarded != NULL;
    g_free(forwarded);
    const struct member_vm *vm = g_hash_table_lookup(app->members.vms, id->vm);
    if (is_forwarded || vm == NULL || vm->request_address == NULL ||
        vm->start != id->start || !member_is_live(&app->members, vm, now_us)) {
        return NULL;
    }
    return vm;
}

static void
orders_forward(struct orders_call *call, const struct request_id *id,
               const char *service, const struct orders_body *body,
               int64_t now_us)
{
    const struct member_vm *issuer = orders_issuer(call, id, now_us);
    if (issuer == NULL) {
        /* The process that issued the id is gone, and with it the outcome. */
        orders_on_forwarded(0, NULL, 0, call);
        return;
    }
    char *path = g_strdup_printf("/v1/orders/%s", service);
    char *text = g_strndup(call->http->body, call->http->body_bytes);
    const struct forward_request forward = {
        .address = issuer->request_address,
        .path = path,
        .body = text,
        .deadline_us = now_us + body->deadline_ms * 1000 + ORDERS_WAY_US,
        .done = orders_on_forwarded,
        .ctx = call,
    };
    struct forward *started = forward_start(call->server->forwards, &forward);
    if (started != NULL) {
        call->forward = started;
    }
    g_free(text);
    g_free(path);
}

static void
orders_start(struct server *server, struct http_request *http,
             const char *service, const struct orders_body *body)
{
    struct request_id id;
    if (request_id_parse(body->id, &id) != RC_OK) {
        answer_error(http, server->app->counters, RC_BAD_ID, RC_RUN_NO, "id",
                     "id: is not VM.STARTHEX.SEQHEX");
        return;
    }
    struct orders_call *call = g_new0(struct orders_call, 1);
    call->server = server;
    call->http = http;
    call->id = g_strdup(body->id);
    http->on_gone = orders_on_gone;
    http->ctx = call;
    int64_t now_us = app_now_us();
    if (request_id_is_own(server->ids, &id)) {
        orders_run_here(call, &id, service, body, now_us);
    }
    else {
        orders_forward(call, &id, service, body, now_us);
    }
}

void
command_orders(struct server *server, struct http_request *http,
               const char *rest)
{
    struct counter_set *counters = server->app->counters;
    const struct config *declared = server_declared(server);
    if (declared == NULL) {
        answer_error(http, counters, RC_NOT_READY,
                     orders_run_of_body(server, http), NULL, NULL);
        return;
    }
    const struct config_service *service = config_service_find(declared, rest);
    if (service == NULL) {
        answer_error(http, counters, RC_NO_SERVICE,
                     orders_run_of_body(server, http), "service",
                     "service: no such service");
        return;
    }
    struct orders_body body;
    struct body_error error;
    json_t *root = NULL;
    int rc = orders_read(service, http, &body, &root, &error);
    if (rc != RC_OK) {
        answer_error(http, counters, rc, orders_run_of_body(server, http),
                     error.field, error.message);
        return;
    }
    orders_start(server, http, service->name, &body);
    json_decref(root);
}
