#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "standin/searcher.h"
#include "standin/searcher_reply.h"

/* Hits of a search without "limit". */
#define SEARCHER_LIMIT_DEFAULT 10

enum searcher_phase {
    SEARCHER_IDLE, /* no request */
    /* Received; the connection's delay has not passed, or the searcher is
     * frozen. */
    SEARCHER_DELAYED,
    SEARCHER_QUEUED,  /* waits for a slot */
    SEARCHER_SERVING, /* holds a slot for the service time */
    /* The service time has passed but the searcher is frozen; the response
     * waits and the slot is still held. */
    SEARCHER_WITHHELD,
    SEARCHER_SILENCED, /* never gets a response */
};

/* One connection and its current request. */
struct searcher_call {
    struct searcher *searcher;
    struct http_conn *conn;
    GList link; /* in the searcher's queue */
    enum searcher_phase phase;
    struct hrtimer timer;
    int64_t ready_at_us; /* end of the delay by connect_cost_us */
    bool is_silenced;    /* for good, see searcher_silence() */
    struct http_conn_request request;
    json_t *body; /* parsed, NULL while no request is admitted */
    int64_t version;
    uint32_t shard;
};

/* Copies the field "request" of the request, if any, to its response. */
static json_t *
searcher_echo_request_id(const struct searcher_call *call, json_t *response)
{
    json_t *request = json_object_get(call->body, "request");
    if (request != NULL) {
        (void)json_object_set(response, "request", request);
    }
    return response;
}

static void searcher_start_queued(struct searcher *searcher);

static void
searcher_release(struct searcher_call *call)
{
    struct searcher *searcher = call->searcher;
    enum searcher_phase phase = call->phase;
    call->phase = SEARCHER_IDLE;
    json_decref(call->body);
    call->body = NULL;
    if (phase == SEARCHER_QUEUED) {
        g_queue_unlink(&searcher->queued, &call->link);
    }
    if (phase == SEARCHER_SERVING || phase == SEARCHER_WITHHELD) {
        CH_INVARIANT(searcher->in_use > 0);
        searcher->in_use -= 1;
        searcher_start_queued(searcher);
    }
}

static json_t *
searcher_execute_result(const struct searcher_call *call)
{
    return json_pack("{s:{s:O, s:i}}", "result", "id",
                     json_object_get(call->body, "id"), "shard",
                     (int)call->shard);
}

static json_t *
searcher_search_result(const struct searcher_call *call)
{
    struct searcher *searcher = call->searcher;
    const json_t *limit = json_object_get(call->body, "limit");
    uint32_t shard = call->shard;
    if (searcher->cross_next > 0) {
        searcher->cross_next -= 1;
        shard += 1;
    }
    return searcher_reply_search(
        searcher, call->version, shard,
        json_string_value(json_object_get(call->body, "query")),
        json_is_integer(limit) ? json_integer_value(limit)
                               : SEARCHER_LIMIT_DEFAULT);
}

static void
searcher_finish(struct searcher_call *call)
{
    struct searcher *searcher = call->searcher;
    struct http_conn *conn = call->conn;
    bool is_search = strcmp(call->request.path, "/search") == 0;
    json_t *result = is_search ? searcher_search_result(call)
                               : searcher_execute_result(call);
    searcher_echo_request_id(call, result);
    searcher_release(call);
    searcher_reply_result(searcher, conn, result);
}

static void
searcher_on_service_end(struct hrtimer *timer, void *ctx)
{
    struct searcher_call *call = ctx;
    if (call->is_silenced) {
        searcher_release(call);
        call->phase = SEARCHER_SILENCED;
    }
    else if (call->searcher->is_frozen) {
        call->phase = SEARCHER_WITHHELD;
    }
    else {
        searcher_finish(call);
    }
}

/* Reads version and shard. Returns false if a field is missing or malformed.
 */
static bool
searcher_read_fields(struct searcher_call *call, bool is_search)
{
    const json_t *shard = json_object_get(call->body, "shard");
    const json_t *version = json_object_get(call->body, "version");
    const json_t *text =
        json_object_get(call->body, is_search ? "query" : "id");
    if (!json_is_integer(shard) || json_integer_value(shard) < 0 ||
        !json_is_string(text) || (is_search && !json_is_integer(version))) {
        return false;
    }
    call->shard = (uint32_t)json_integer_value(shard);
    call->version = json_integer_value(version);
    return true;
}

static void
searcher_record_in_use(struct searcher *searcher, bool is_cold)
{
    struct searcher_stats *stats = &searcher->stats;
    stats->max_in_use = MAX(stats->max_in_use, searcher->in_use);
    if (is_cold) {
        stats->cold_max_in_use = MAX(stats->cold_max_in_use, searcher->in_use);
    }
}

/* Takes a free slot and starts the service time. */
static void
searcher_start_service(struct searcher_call *call, int64_t now_us)
{
    struct searcher *searcher = call->searcher;
    searcher->in_use += 1;
    searcher_record_in_use(searcher,
                           service_model_is_cold(&searcher->model, now_us));
    call->phase = SEARCHER_SERVING;
    if (strcmp(call->request.path, "/execute") == 0) {
        searcher->stats.executes += 1;
        runs_add(searcher->env->runs,
                 json_string_value(json_object_get(call->body, "id")));
    }
    hrtimer_start(searcher->env->timers, &call->timer,
                  now_us + service_model_draw_us(&searcher->model, now_us),
                  searcher_on_service_end, call);
}

static bool
searcher_has_slot(const struct searcher *searcher, int64_t now_us)
{
    return searcher->in_use <
           service_model_slot_limit(&searcher->model, searcher->slots, now_us);
}

static void
searcher_start_queued(struct searcher *searcher)
{
    int64_t now_us = hrtimer_now_us();
    while (!searcher->is_closing && !g_queue_is_empty(&searcher->queued) &&
           searcher_has_slot(searcher, now_us)) {
        struct searcher_call *call =
            g_queue_pop_head_link(&searcher->queued)->data;
        searcher_start_service(call, now_us);
    }
}

/* Serves the request, queues it, or refuses it if the queue is full. */
static void
searcher_start_or_queue(struct searcher_call *call, int64_t now_us)
{
    struct searcher *searcher = call->searcher;
    bool is_cold = service_model_is_cold(&searcher->model, now_us);
    searcher->stats.cold_requests += is_cold;
    if (searcher_has_slot(searcher, now_us)) {
        searcher_start_service(call, now_us);
        return;
    }
    if (searcher->queued.length < searcher->queue_max) {
        call->phase = SEARCHER_QUEUED;
        call->link.data = call;
        g_queue_push_tail_link(&searcher->queued, &call->link);
        return;
    }
    searcher->stats.shed += 1;
    searcher->stats.shed_cold += is_cold;
    json_t *response =
        searcher_echo_request_id(call, json_pack("{s:b}", "run", 0));
    searcher_release(call);
    searcher_reply_json(call->conn, 503, response);
}

static void
searcher_admit(struct searcher_call *call, int64_t now_us, bool is_search)
{
    struct searcher *searcher = call->searcher;
    searcher->stats.requests += 1;
    call->body =
        json_loadb(call->request.body, call->request.body_bytes, 0, NULL);
    if (!searcher_read_fields(call, is_search)) {
        searcher->stats.bad_requests += 1;
        searcher_release(call);
        searcher_reply_json(call->conn, 400,
                            json_pack("{s:s}", "error", "bad_field"));
        return;
    }
    if (call->shard != searcher->shard ||
        (is_search && !searcher_serves(searcher, call->version))) {
        searcher->stats.version_gone += 1;
        json_t *response = searcher_echo_request_id(
            call,
            json_pack("{s:o}", "versions", searcher_version_list(searcher)));
        searcher_release(call);
        searcher_reply_json(call->conn, 409, response);
        return;
    }
    searcher_start_or_queue(call, now_us);
}

static void
searcher_dispatch(struct searcher_call *call, int64_t now_us)
{
    const char *path = call->request.path;
    if (strcmp(path, "/search") == 0 || strcmp(path, "/execute") == 0) {
        searcher_admit(call, now_us, strcmp(path, "/search") == 0);
        return;
    }
    call->phase = SEARCHER_IDLE;
    if (strcmp(path, "/status") == 0) {
        call->searcher->stats.statuses += 1;
        searcher_reply_status(call->searcher, call->conn, now_us);
        return;
    }
    searcher_reply_json(call->conn, 404,
                        json_pack("{s:s}", "error", "unknown_path"));
}

static void searcher_on_ready(struct hrtimer *timer, void *ctx);

/* Starts the delayed request unless the searcher is frozen, the connection is
 * silenced or its delay has not passed. */
static void
searcher_resume(struct searcher_call *call)
{
    int64_t now_us = hrtimer_now_us();
    if (call->is_silenced || call->searcher->is_frozen) {
        return;
    }
    if (now_us < call->ready_at_us) {
        hrtimer_start(call->searcher->env->timers, &call->timer,
                      call->ready_at_us, searcher_on_ready, call);
        return;
    }
    searcher_dispatch(call, now_us);
}

static void
searcher_on_ready(struct hrtimer *timer, void *ctx)
{
    searcher_resume(ctx);
}

static void *
searcher_on_open(struct http_conn *conn, void *ctx)
{
    struct searcher *searcher = ctx;
    uint32_t count = http_conn_count(searcher->server) + 1;
    if (count > searcher->connections) {
        searcher->stats.refused_connections += 1;
        return NULL;
    }
    struct searcher_stats *stats = &searcher->stats;
    stats->max_connections = MAX(stats->max_connections, count);
    struct searcher_call *call = g_new0(struct searcher_call, 1);
    call->searcher = searcher;
    call->conn = conn;
    call->ready_at_us = hrtimer_now_us() + searcher->connect_cost_us;
    return call;
}

static void
searcher_on_request(struct http_conn *conn,
                    const struct http_conn_request *request, void *ctx)
{
    struct searcher *searcher = ctx;
    struct searcher_call *call = http_conn_data(conn);
    /* Admin calls work whatever state the searcher is in. */
    if (strcmp(request->path, "/admin") == 0 ||
        strcmp(request->path, "/admin-stats") == 0 ||
        strcmp(request->path, "/runs") == 0) {
        searcher->env->admin(conn, request, searcher->env->admin_ctx);
        return;
    }
    call->request = *request;
    call->phase = call->is_silenced ? SEARCHER_SILENCED : SEARCHER_DELAYED;
    if (call->phase == SEARCHER_DELAYED) {
        searcher_resume(call);
    }
}

static void
searcher_on_closed(struct http_conn *conn, void *ctx)
{
    struct searcher *searcher = ctx;
    struct searcher_call *call = http_conn_data(conn);
    if (call->phase == SEARCHER_SERVING || call->phase == SEARCHER_WITHHELD) {
        if (searcher->is_closing) {
            searcher->stats.aborted += 1;
        }
        else {
            searcher->stats.cancelled += 1;
        }
    }
    searcher_release(call);
    hrtimer_stop(&call->timer);
    g_free(call);
}

int
searcher_open(struct searcher *searcher)
{
    static const struct http_conn_handlers handlers = {
        .open = searcher_on_open,
        .request = searcher_on_request,
        .closed = searcher_on_closed,
    };
    return http_conn_listen(searcher->env->loop, searcher->host,
                            searcher->port, &handlers, searcher,
                            &searcher->server);
}

void
searcher_close(struct searcher *searcher)
{
    searcher->is_closing = true;
    http_conn_server_close(searcher->server);
    searcher->is_closing = false;
    searcher->server = NULL;
}

static void
searcher_close_each(struct http_conn *conn, void *ctx)
{
    http_conn_close(conn);
}

void
searcher_restart(struct searcher *searcher)
{
    /* jansson's integers are signed. */
    searcher->start_id =
        (int64_t)(service_model_random(&searcher->env->random) & INT64_MAX);
    service_model_set_cold(&searcher->model, hrtimer_now_us());
    if (searcher->server != NULL) {
        searcher->is_closing = true;
        http_conn_each(searcher->server, searcher_close_each, NULL);
        searcher->is_closing = false;
    }
}

static void
searcher_unfreeze_each(struct http_conn *conn, void *ctx)
{
    struct searcher_call *call = http_conn_data(conn);
    if (call->phase == SEARCHER_WITHHELD) {
        searcher_on_service_end(&call->timer, call);
    }
    else if (call->phase == SEARCHER_DELAYED) {
        searcher_resume(call);
    }
}

void
searcher_freeze(struct searcher *searcher, bool is_frozen)
{
    searcher->is_frozen = is_frozen;
    if (!is_frozen && searcher->server != NULL) {
        http_conn_each(searcher->server, searcher_unfreeze_each, NULL);
    }
}

static void
searcher_silence_each(struct http_conn *conn, void *ctx)
{
    struct searcher_call *call = http_conn_data(conn);
    call->is_silenced = true;
}

void
searcher_silence(struct searcher *searcher)
{
    if (searcher->server != NULL) {
        http_conn_each(searcher->server, searcher_silence_each, NULL);
    }
}
