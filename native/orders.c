#include <stdlib.h>
#include <string.h>

#include "common/json_room.h"
#include "common/rc.h"
#include "native/answer.h"
#include "native/body.h"
#include "native/native.h"
#include "native/server.h"

/*
 * Endpoint POST /v1/orders/SERVICE. Orders with an id of this process go to
 * native/order, which runs them at a backend server; others are forwarded to
 * the VM that issued the id.
 */

#define ORDERS_ID_MAX_BYTES 128
/* The issuing VM responds by the deadline; a forwarded call waits this much
 * longer for the response to arrive. */
#define ORDERS_FORWARD_MARGIN_US (50 * 1000)

/* A caller's order request that waits for its response. */
struct orders_caller_call {
    struct server *server;
    struct http_request *http;
    char *id;
    struct order_waiter *waiter; /* if this process issued the id, else NULL */
    struct forward *forward;     /* if another process did, else NULL */
};

/* A run of an order: the request to its backend server. */
struct orders_backend_call {
    struct server *server;
    uint64_t seq;
    char *id;
    char *target;
    char *json_members; /* of the request body */
};

struct orders_body {
    const char *id;
    const char *key;
    json_t *body;
    int64_t deadline_ms;
};

static void
orders_backend_call_free(struct orders_backend_call *backend_call)
{
    g_free(backend_call->id);
    g_free(backend_call->target);
    g_free(backend_call->json_members);
    g_free(backend_call);
}

static void
orders_on_answer(const struct caller_answer *answer, void *ctx)
{
    struct orders_backend_call *backend_call = ctx;
    order_on_result(backend_call->server->orders, backend_call->seq,
                    answer->rc, answer->body, answer->body_bytes,
                    app_now_us());
    orders_backend_call_free(backend_call);
}

void
orders_run(const struct order_request *order, int64_t now_us, void *ctx)
{
    struct server *server = ctx;
    const struct config_service *service =
        config_service_find(server_config(server), order->service);
    struct orders_backend_call *backend_call =
        g_new0(struct orders_backend_call, 1);
    backend_call->server = server;
    backend_call->seq = order->seq;
    backend_call->id = server_next_request_id(server);
    backend_call->target = g_strdup_printf("/%s/", order->service);
    backend_call->json_members =
        g_strdup_printf("\"id\":\"%s\",\"body\":%s", order->id, order->body);
    struct request_params request = {
        .method = "POST",
        .target = backend_call->target,
        .host = NATIVE_ORDER_HOST,
        .id = backend_call->id,
        .fields = "",
        .body = backend_call->json_members,
        .body_bytes = strlen(backend_call->json_members),
        .deadline_us = order->deadline_us,
        .only_target = (int32_t)server_shard_of(order->key, service),
        .priority = order->priority,
        .on_answer = orders_on_answer,
        .ctx = backend_call,
    };
    (void)gateway_submit(&server->app->gateway, &request, now_us);
}

/* The "run" value of an error response for the id: only the process that
 * issued the id can tell that its order was not executed. */
static enum rc_executed
orders_run_status(const struct server *server, const struct request_id *id)
{
    bool is_not_run = request_id_has_not_run(server->ids, id, app_now_us());
    return is_not_run ? RC_EXECUTED_NO : RC_EXECUTED_UNKNOWN;
}

/* The same for the id in the body of a refused request. A body without a
 * well-formed id names no order, so nothing was executed. */
static enum rc_executed
orders_body_run_status(const struct server *server,
                       const struct http_request *http)
{
    enum rc_executed run = RC_EXECUTED_NO;
    json_t *root = json_room_load(http->body, http->body_bytes, 0, NULL);
    const char *text = json_string_value(json_object_get(root, "id"));
    struct request_id id;
    if (text != NULL && request_id_parse(text, &id) == RC_OK) {
        run = orders_run_status(server, &id);
    }
    json_decref(root);
    return run;
}

static void
orders_caller_call_free(struct orders_caller_call *call)
{
    g_free(call->id);
    g_free(call);
}

static json_t *
orders_result_json(const char *body, size_t body_bytes)
{
    json_t *value = json_room_load(body, body_bytes, JSON_DECODE_ANY, NULL);
    return value != NULL ? value : json_null();
}

void
orders_on_outcome(void *waiter_ctx, int rc, const void *body,
                  size_t body_bytes, void *ctx)
{
    struct orders_caller_call *call = waiter_ctx;
    if (rc == RC_OK) {
        answer_json(call->http, 200,
                    json_pack("{s:s, s:s, s:o}", "id", call->id, "run",
                              rc_executed_name(RC_EXECUTED_YES), "result",
                              orders_result_json(body, body_bytes)));
    }
    else {
        answer_error(
            call->http, call->server->app->counters, rc, rc_executed(rc),
            rc == RC_BAD_ID || rc == RC_ID_EXPIRED ? "id" : NULL, NULL);
    }
    orders_caller_call_free(call);
}

/* Passes the issuing VM's response on to the caller; without a response the
 * outcome is unknown. */
static void
orders_on_forwarded(int status, const char *body, size_t body_bytes, void *ctx)
{
    struct orders_caller_call *call = ctx;
    if (status != 0) {
        http_server_respond(call->http, status, "application/json", body,
                            body_bytes);
        orders_caller_call_free(call);
        return;
    }
    orders_on_outcome(call, RC_OUTCOME_UNKNOWN, NULL, 0, call->server);
}

static void
orders_on_disconnect(struct http_request *http, void *ctx)
{
    struct orders_caller_call *call = ctx;
    if (call->waiter != NULL) {
        order_abandon(call->server->orders, call->waiter);
    }
    if (call->forward != NULL) {
        forward_cancel(call->forward);
    }
    answer_disconnected(http);
    orders_caller_call_free(call);
}

/* Parses the body. Returns RC_OK or the code for the error response. */
static int
orders_read_body(const struct config_service *service,
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
         .max = ORDERS_ID_MAX_BYTES,
         .range_rc = RC_BAD_ID},
        body_key_field(&body->key, true),
        {.name = "body",
         .kind = BODY_STRING_OR_OBJECT,
         .target = &body->body,
         .is_required = true},
        body_deadline_field(&body->deadline_ms, service->deadline_max_ms),
    };
    return body_parse(http->body, http->body_bytes, fields,
                      G_N_ELEMENTS(fields), root, error);
}

static void
orders_submit(struct orders_caller_call *call, const struct request_id *id,
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

/* Returns the VM to forward the order to: the one that issued the id. NULL if
 * the order was forwarded already, or that process is not known to be alive.
 */
static const struct member_vm *
orders_find_issuer(const struct orders_caller_call *call,
                   const struct request_id *id, int64_t now_us)
{
    const struct app *app = call->server->app;
    char *forwarded = http_server_header(call->http, FORWARD_HEADER);
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
orders_forward(struct orders_caller_call *call, const struct request_id *id,
               const char *service, const struct orders_body *body,
               int64_t now_us)
{
    const struct member_vm *issuer = orders_find_issuer(call, id, now_us);
    if (issuer == NULL) {
        /* Only the issuing process knows the outcome, and it has exited or
         * cannot be reached. */
        orders_on_forwarded(0, NULL, 0, call);
        return;
    }
    char *path = g_strdup_printf("/v1/orders/%s", service);
    char *text = g_strndup(call->http->body, call->http->body_bytes);
    const struct forward_request forward = {
        .address = issuer->request_address,
        .path = path,
        .body = text,
        .deadline_us =
            now_us + body->deadline_ms * 1000 + ORDERS_FORWARD_MARGIN_US,
        .done = orders_on_forwarded,
        .ctx = call,
    };
    call->forward = forward_start(call->server->forwards, &forward);
    g_free(text);
    g_free(path);
}

static void
orders_start(struct server *server, struct http_request *http,
             const char *service, const struct orders_body *body)
{
    struct request_id id;
    if (request_id_parse(body->id, &id) != RC_OK) {
        answer_error(http, server->app->counters, RC_BAD_ID, RC_EXECUTED_NO,
                     "id", "id: is not VM.STARTHEX.SEQHEX");
        return;
    }
    struct orders_caller_call *call = g_new0(struct orders_caller_call, 1);
    call->server = server;
    call->http = http;
    call->id = g_strdup(body->id);
    http->on_disconnect = orders_on_disconnect;
    http->ctx = call;
    int64_t now_us = app_now_us();
    if (request_id_is_own(server->ids, &id)) {
        orders_submit(call, &id, service, body, now_us);
    }
    else {
        orders_forward(call, &id, service, body, now_us);
    }
}

void
handle_orders(struct server *server, struct http_request *http,
              const char *rest)
{
    struct counter_set *counters = server->app->counters;
    const struct config *config = server_config(server);
    if (config == NULL) {
        answer_error(http, counters, RC_NOT_READY,
                     orders_body_run_status(server, http), NULL, NULL);
        return;
    }
    const struct config_service *service = config_service_find(config, rest);
    if (service == NULL) {
        answer_error(http, counters, RC_NO_SERVICE,
                     orders_body_run_status(server, http), "service",
                     "service: no such service");
        return;
    }
    struct orders_body body;
    struct body_error error;
    json_t *root = NULL;
    int rc = orders_read_body(service, http, &body, &root, &error);
    if (rc != RC_OK) {
        answer_error(http, counters, rc, orders_body_run_status(server, http),
                     error.field, error.message);
        return;
    }
    orders_start(server, http, service->name, &body);
    json_decref(root);
}
