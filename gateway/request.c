#include "common/log.h"
#include "common/rc.h"
#include "gateway/request.h"
#include "gateway/record.h"

/* Links of a request whose caller has disconnected are closed after this time,
 * so that the backend servers stop working on it. */
#define REQUEST_CANCEL_KEEP_US (300 * 1000)
/* Links of parts that are still open when their request ends are kept for this
 * time, for a late answer that makes them reusable. */
#define REQUEST_LATE_KEEP_US (1000 * 1000)
/* The link of a non-idempotent request is kept until it is answered, at most
 * for this time, so that the request is not cut off. */
#define REQUEST_NON_IDEMPOTENT_KEEP_US (10LL * 1000 * 1000)

/* A caller that was found connected is not checked again within this time, so
 * that the parts of a search share one check. */
#define REQUEST_CALLER_CHECK_US (20 * 1000)

/* Percentile of the times on its route, in thousandths, that a request which
 * must not be sent twice is expected to take. */
#define REQUEST_EXPECTED_PERMILLE 990

void
request_hold(struct request *request)
{
    request->is_held = true;
}

static void
request_free(struct request *request)
{
    for (uint32_t i = 0; i < request->part_count; i++) {
        struct part *part = &request->parts[i];
        for (uint32_t j = 0; j < part->attempt_count; j++) {
            backend_unref(part->attempts[j].backend);
        }
        g_free(part->stamp);
    }
    g_free(request->parts);
    buffer_unref(request->records);
    resource_release(request->gateway->request_share, request->reserved_bytes);
    gateway_config_unref(request->config);
    g_free(request);
}

void
request_release(struct request *request)
{
    request->is_held = false;
    if (request->is_closed) {
        request_free(request);
    }
}

void
request_close(struct request *request, int64_t keep_us, int64_t now_us)
{
    for (uint32_t i = 0; i < request->part_count; i++) {
        part_abandon(&request->parts[i], keep_us, now_us);
    }
    admit_on_end(request->pool, request->is_late,
                 now_us >= request->deadline_us - FINISH_MARGIN_US, now_us);
    g_queue_unlink(&request->gateway->requests, &request->link);
    request->is_closed = true;
    if (!request->is_held) {
        request_free(request);
    }
}

static void
request_log_missing(const struct part *part, int64_t now_us)
{
    const struct attempt *last = part_last_attempt(part);
    log_sample("request",
               "part missing id=%s service=%s rc=%s attempts=%u "
               "backend=%s sent=%d age_ms=%" G_GINT64_FORMAT,
               part->request->params.id, part->service->name,
               part->state == PART_OPEN ? "open" : rc_name(part->rc),
               part->attempt_count, last != NULL ? last->backend->id : "none",
               last != NULL && attempt_was_sent(last),
               last != NULL ? (now_us - last->started_us) / 1000 : 0);
}

/* Logs a request that failed, was late or has missing parts. */
static void
request_log(const struct request *request, const struct caller_answer *answer,
            int64_t now_us)
{
    int64_t took_us = now_us - request->started_us;
    bool is_late = request->route->objective_us > 0 &&
                   took_us > request->route->objective_us;
    if (answer->rc == RC_OK && !is_late && answer->missing_parts == 0) {
        return;
    }
    log_sample("request",
               "request failed, late or incomplete id=%s rc=%s route=%s "
               "config=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT
               " left_ms=%" G_GINT64_FORMAT
               " parts=%u done=%u failed=%u sends=%u hedges=%u retries=%u"
               " vms=%u news_age_ms=%" G_GINT64_FORMAT,
               request->params.id, rc_name(answer->rc), request->route->name,
               request->config->version, took_us / 1000,
               (request->deadline_us - now_us) / 1000, request->part_count,
               request->done_count, request->failed_count, request->send_count,
               request->hedge_count, request->retry_count,
               request->gateway->vms,
               (now_us - request->gateway->backends_as_of_us) / 1000);
    for (uint32_t i = 0; i < request->part_count; i++) {
        if (request->parts[i].state != PART_DONE) {
            request_log_missing(&request->parts[i], now_us);
        }
    }
}

/* Looks whether the caller is still connected. */
static void
request_check_caller(struct request *request, int64_t now_us)
{
    const struct request_params *params = &request->params;
    request->caller_seen_us = now_us;
    request->has_caller_left =
        request->has_caller_left ||
        (params->has_left != NULL && params->has_left(params->ctx));
}

bool
request_is_wanted(struct request *request, int64_t now_us)
{
    if (!request->has_caller_left &&
        now_us - request->caller_seen_us >= REQUEST_CALLER_CHECK_US) {
        request_check_caller(request, now_us);
    }
    return !request->has_caller_left;
}

/* Whether a backend server may still work on an attempt of the request. */
static bool
request_is_worked_on(const struct request *request)
{
    for (uint32_t i = 0; i < request->part_count; i++) {
        if (part_is_worked_on(&request->parts[i])) {
            return true;
        }
    }
    return false;
}

/* Returns for how long links that wait for late answers are kept. */
static int64_t
request_keep_us(const struct request *request)
{
    if (!request->route->is_idempotent) {
        return REQUEST_NON_IDEMPOTENT_KEEP_US;
    }
    return request->has_caller_left ? REQUEST_CANCEL_KEEP_US
                                    : REQUEST_LATE_KEEP_US;
}

static void
request_finish(struct request *request, const struct caller_answer *answer,
               int64_t now_us)
{
    struct gateway *gateway = request->gateway;
    counter_add(gateway->counters, "gateway_answers", rc_name(answer->rc));
    request_log(request, answer, now_us);
    /* The caller may have left before this answer, since the last check. */
    if (request_is_worked_on(request)) {
        request_check_caller(request, now_us);
    }
    request->params.on_answer(answer, request->params.ctx);
    request_close(request, request_keep_us(request), now_us);
}

void
request_answer_single(struct request *request,
                      const struct backend_answer *answer, int64_t now_us)
{
    struct caller_answer out = {
        .rc = answer->rc,
        .route = request->route,
        .status = answer->status,
        .fields = answer->fields,
        .body = answer->body,
        .body_bytes = answer->body_bytes,
        .body_buffer = answer->body_buffer,
    };
    request_finish(request, &out, now_us);
}

/* Returns the delay until a retry of the failed request can be served. */
static int64_t
request_retry_after_us(const struct request *request, int64_t now_us)
{
    int64_t coverage_us = gateway_coverage_in_us(
        request->gateway, request->route, request->parts[0].target,
        request->part_count, now_us);
    return coverage_us == INT64_MAX
               ? GATEWAY_NO_BACKEND_RETRY_US
               : MAX(coverage_us, GATEWAY_NO_BACKEND_RETRY_US);
}

bool
request_may_have_run(const struct request *request)
{
    for (uint32_t i = 0; i < request->part_count; i++) {
        if (part_may_have_run(&request->parts[i])) {
            return true;
        }
    }
    return false;
}

/* Returns how long the request is expected to take: the usual time of its
 * route, or, if it must not be sent twice, a time that few exceed. */
static int64_t
request_expected_us(const struct request *request)
{
    const struct route_stats *stats =
        gateway_route_stats(request->gateway, request->route);
    if (request->route->is_idempotent) {
        return stats->average_us;
    }
    return MAX(stats->average_us,
               histogram_value_at(&stats->hedge.histogram,
                                  REQUEST_EXPECTED_PERMILLE));
}

bool
request_may_start(const struct request *request, int64_t now_us)
{
    return !stop_is_stopping(&request->gateway->stop) ||
           request_may_have_run(request) ||
           stop_may_take(&request->gateway->stop, request_expected_us(request),
                         now_us);
}

/* Returns `rc`, or a code that is true in its place: one that means "not run"
 * is only returned if no backend server can have run the request. */
static int
request_true_rc(const struct request *request, int rc)
{
    bool means_not_run = rc_executed(rc) == RC_EXECUTED_NO;
    if (request_may_have_run(request)) {
        return means_not_run ? RC_OUTCOME_UNKNOWN : rc;
    }
    return means_not_run ? rc : RC_TOO_LATE;
}

void
request_fail(struct request *request, int rc, int64_t now_us)
{
    struct caller_answer out = {
        .rc = request_true_rc(request, rc),
        .route = request->route,
    };
    /* Another VM can serve what this one refuses because it stops. */
    if (out.rc != RC_STOPPING) {
        out.retry_after_us = request_retry_after_us(request, now_us);
    }
    request_finish(request, &out, now_us);
}

/* Returns why the part is missing in the answer. */
static int
part_missing_rc(const struct part *part)
{
    return part->rc != RC_OK ? part->rc : RC_DEADLINE;
}

static void
request_answer_gathered(struct request *request, int64_t now_us)
{
    struct answer_part *parts = g_new(struct answer_part, request->part_count);
    for (uint32_t i = 0; i < request->part_count; i++) {
        const struct part *part = &request->parts[i];
        parts[i] = (struct answer_part){
            .target = part->target,
            .rc = part->state == PART_DONE ? RC_OK : part_missing_rc(part),
            .stamp = part->stamp,
        };
    }
    if (request->route->has_records) {
        record_keep_greatest(request->records, request->route->record_limit);
    }
    struct caller_answer out = {
        .rc = RC_OK,
        .route = request->route,
        .body = request->records->data,
        .body_bytes = request->records->bytes,
        .body_buffer = request->records,
        .parts = parts,
        .part_count = request->part_count,
        .missing_parts = request->part_count - request->done_count,
    };
    request_finish(request, &out, now_us);
    g_free(parts);
}

/* Returns why the request cannot be answered. */
static int
request_failure_rc(const struct request *request, int64_t now_us)
{
    if (request_may_have_run(request) &&
        now_us >= request->deadline_us - FINISH_MARGIN_US) {
        return RC_DEADLINE;
    }
    int rc = RC_NO_SEARCHER;
    for (uint32_t i = 0; i < request->part_count; i++) {
        const struct part *part = &request->parts[i];
        rc = part->state != PART_DONE && part->rc != RC_OK ? part->rc : rc;
    }
    return rc;
}

static struct finish_state
request_finish_state(const struct request *request)
{
    int64_t objective_us = request->route->objective_us;
    return (struct finish_state){
        .objective_us = objective_us > 0 ? request->started_us -
                                               request->spent_us + objective_us
                                         : 0,
        .deadline_us = request->deadline_us,
        .parts = request->part_count,
        .done = request->done_count,
        .failed = request->failed_count,
        .coverage_min_permille = request->route->is_gather
                                     ? request->route->coverage_min_permille
                                     : 1000,
    };
}

/* Moves the request to the late class, which is served after the others. */
static void
request_set_late(struct request *request, int64_t now_us)
{
    admit_on_late(request->pool, request->has_waited, now_us);
    request->is_late = true;
    for (uint32_t i = 0; i < request->part_count; i++) {
        queue_set_late(&request->gateway->queue,
                       &request->parts[i].queue_item);
    }
}

static void
request_note_disconnect(const struct request *request, int64_t now_us)
{
    counter_add(request->gateway->counters, "gateway_answers", "caller_gone");
    log_sample("request",
               "caller disconnected id=%s route=%s took_ms=%" G_GINT64_FORMAT
               " parts=%u done=%u",
               request->params.id, request->route->name,
               (now_us - request->started_us) / 1000, request->part_count,
               request->done_count);
}

/* Ends the request of a caller that was found to have left. */
static void
request_end_unwanted(struct request *request, int64_t now_us)
{
    struct caller_answer out = {.rc = RC_CANCELLED};
    request_note_disconnect(request, now_us);
    request->params.on_answer(&out, request->params.ctx);
    request_close(request, request_keep_us(request), now_us);
}

void
request_advance(struct request *request, int64_t now_us)
{
    if (request->has_caller_left) {
        request_end_unwanted(request, now_us);
        return;
    }
    struct finish_state state = request_finish_state(request);
    switch (finish_decide(&state, now_us)) {
    case FINISH_ANSWER:
        request_answer_gathered(request, now_us);
        break;
    case FINISH_FAIL:
        request_fail(request, request_failure_rc(request, now_us), now_us);
        break;
    case FINISH_WAIT:
        if (!request->is_late && finish_is_late(&state, now_us)) {
            request_set_late(request, now_us);
        }
        request->due_us = MIN(request->due_us, finish_due_us(&state, now_us));
        break;
    }
}

void
request_tick(struct request *request, int64_t now_us)
{
    request_hold(request);
    int64_t due_us = INT64_MAX;
    for (uint32_t i = 0; i < request->part_count; i++) {
        due_us = MIN(due_us, part_tick(&request->parts[i], now_us));
    }
    request->due_us = due_us;
    request_advance(request, now_us);
    request_release(request);
}

void
gateway_cancel(struct gateway *gateway, struct request *request,
               int64_t now_us)
{
    request->has_caller_left = true;
    request_note_disconnect(request, now_us);
    request_close(request, request_keep_us(request), now_us);
}
