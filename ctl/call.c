#include <glib.h>
#include <string.h>
#include <uv.h>

#include "common/http_client.h"
#include "common/json_room.h"
#include "common/rc.h"
#include "ctl/call.h"

/* Stays well below the usual limit of 1024 open files. */
#define CALL_MAX_IN_FLIGHT 256
#define REPLY_MAX_BYTES (4 * 1024 * 1024)
/* Memory of the replies of all calls that are in flight, and of the values of
 * all replies of a batch, which are kept until its end. */
#define CALL_REPLIES_MAX_BYTES (64 * 1024 * 1024)
#define CALL_VALUES_MAX_BYTES (128 * 1024 * 1024)

struct call_batch {
    uv_loop_t loop;
    uv_timer_t timer;
    struct resource_share share;
    struct call *calls;
    size_t count;
    size_t next;
    size_t in_flight;
};

static void call_start_more(struct call_batch *batch);

static void
call_end(struct call *call, int rc)
{
    call->rc = rc;
    call->is_done = true;
    http_client_close(call->conn);
    call->conn = NULL;
    call->batch->in_flight -= 1;
}

static void
call_on_response(struct http_client_conn *conn,
                 const struct http_response *response, void *ctx)
{
    struct call *call = ctx;
    struct call_batch *batch = call->batch;
    if (response->rc == RC_OK) {
        call->status = response->status;
        call->reply = json_room_load(response->body, response->body_bytes,
                                     JSON_REJECT_DUPLICATES, NULL);
    }
    /* The request was handed to the kernel, so the server may have processed
     * it: RC_LINK_FAILED would mean that nothing was sent. */
    call_end(call,
             response->rc == RC_LINK_FAILED ? RC_LINK_LOST : response->rc);
    call_start_more(batch);
}

static void
call_on_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    struct call *call = ctx;
    if (rc == RC_OK) {
        size_t body_bytes = call->body != NULL ? strlen(call->body) : 0;
        rc = http_client_request(conn, call->method, call->path, NULL,
                                 call->body, body_bytes, call_on_response,
                                 call);
        call->is_sent = rc == RC_OK;
    }
    if (rc != RC_OK) {
        call_end(call, RC_LINK_FAILED);
        call_start_more(call->batch);
    }
}

static void
call_on_lost(struct http_client_conn *conn, void *ctx)
{
    struct call *call = ctx;
    call_end(call, call->is_sent ? RC_LINK_LOST : RC_LINK_FAILED);
    call_start_more(call->batch);
}

static void
call_start_more(struct call_batch *batch)
{
    while (batch->next < batch->count &&
           batch->in_flight < CALL_MAX_IN_FLIGHT) {
        struct call *call = &batch->calls[batch->next];
        batch->next += 1;
        batch->in_flight += 1;
        call->conn = http_client_connect(
            &batch->loop, call->address, REPLY_MAX_BYTES, &batch->share,
            call_on_connected, call_on_lost, call);
    }
    if (batch->in_flight == 0 &&
        !uv_is_closing((uv_handle_t *)&batch->timer)) {
        uv_close((uv_handle_t *)&batch->timer, NULL);
    }
}

static void
call_on_timeout(uv_timer_t *timer)
{
    struct call_batch *batch = timer->data;
    for (size_t i = 0; i < batch->count; i++) {
        struct call *call = &batch->calls[i];
        if (!call->is_done && i < batch->next) {
            call_end(call, call->is_sent ? RC_DEADLINE : RC_LINK_FAILED);
        }
        else if (!call->is_done) {
            call->rc = RC_LINK_FAILED;
        }
    }
    batch->next = batch->count;
    call_start_more(batch);
}

void
call_run(struct call *calls, size_t count, int64_t timeout_ms)
{
    struct call_batch batch = {
        .share =
            {
                .connection_max = CALL_MAX_IN_FLIGHT,
                .bytes_max = CALL_REPLIES_MAX_BYTES,
            },
        .calls = calls,
        .count = count,
    };
    json_room_set_max(CALL_VALUES_MAX_BYTES / MAX(count, 1));
    uv_loop_init(&batch.loop);
    uv_timer_init(&batch.loop, &batch.timer);
    batch.timer.data = &batch;
    for (size_t i = 0; i < count; i++) {
        calls[i].batch = &batch;
    }
    uv_timer_start(&batch.timer, call_on_timeout,
                   (uint64_t)(timeout_ms > 0 ? timeout_ms : 0), 0);
    call_start_more(&batch);
    uv_run(&batch.loop, UV_RUN_DEFAULT);
    uv_loop_close(&batch.loop);
}

void
call_clear(struct call *calls, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        json_decref(calls[i].reply);
        calls[i].reply = NULL;
    }
}

bool
call_has_status(const struct call *call, int status)
{
    return call->rc == RC_OK && call->status == status && call->reply != NULL;
}
