#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "common/json_room.h"
#include "common/rc.h"
#include "load/caller.h"
#include "load/exchange.h"

/* A response later than this after the deadline counts as a timeout. */
#define CALLER_TIMEOUT_MARGIN_US 1000000
/* Timeout of a request for the list of gateways. */
#define CALLER_REFRESH_TIMEOUT_US 1000000

/* One search, or one order, which first gets an id from a gateway. */
struct caller_request {
    struct callers *callers;
    struct mix_item item;
    int64_t intended_us;
    struct exchange exchange;
    bool is_retry; /* the current attempt is the retry, to another gateway */
    char *query;
    char *key; /* NULL: none */
    char *id;  /* of an order, NULL until a gateway returned it */
};

static struct entries *
caller_entries(struct caller_request *request)
{
    return &request->callers->entries[request->item.caller];
}

static char *
caller_headers(const struct callers *callers, uint32_t caller)
{
    return g_strdup_printf("X-Caller: %s%u\r\n", callers->settings.name_prefix,
                           caller);
}

static void
caller_log_order(struct caller_request *request,
                 const struct report_outcome *outcome)
{
    FILE *out = request->callers->order_log;
    const char *end = "ok";
    const char *reason = "";
    enum rc_executed run = RC_EXECUTED_YES;
    if (out == NULL || request->id == NULL) {
        return;
    }
    if (outcome->end == REPORT_REFUSED) {
        end = "refused";
        reason = rc_name(outcome->rc);
        run = outcome->run;
    }
    else if (outcome->end == REPORT_ERROR) {
        end = "error";
        reason = outcome->error;
        run = RC_EXECUTED_UNKNOWN;
    }
    (void)fprintf(out, "%s,%s,%s,%s,%d\n", request->id, end, reason,
                  rc_executed_name(run), request->is_retry);
}

/* Reports the outcome and frees the request. */
static void
caller_end(struct caller_request *request, struct report_outcome *outcome)
{
    struct callers *callers = request->callers;
    outcome->is_order = request->item.is_order;
    outcome->latency_us = hrtimer_now_us() - request->intended_us;
    outcome->deadline_us = callers->settings.deadline_ms * 1000;
    if (request->item.is_order) {
        caller_log_order(request, outcome);
    }
    callers->outstanding -= 1;
    callers->done(outcome, callers->ctx);
    g_free(request->query);
    g_free(request->key);
    g_free(request->id);
    g_free(request);
}

static void
caller_end_refused(struct caller_request *request,
                   const struct check_refusal *refusal,
                   enum check_verdict verdict)
{
    struct report_outcome outcome = {
        .end = REPORT_REFUSED,
        .rc = refusal->rc,
        .run = refusal->run,
        .verdict = verdict,
    };
    caller_end(request, &outcome);
}

/* Checks a response with another status than 200 and ends the request. */
static void
caller_handle_refusal(struct caller_request *request,
                      const struct exchange_result *result)
{
    struct check_refusal refusal = {.rc = RC_OK};
    enum check_verdict verdict = check_refusal(result->status, result->body,
                                               result->body_bytes, &refusal);
    caller_end_refused(request, &refusal, verdict);
}

static void
caller_end_error(struct caller_request *request, int rc)
{
    struct report_outcome outcome = {
        .end = REPORT_ERROR,
        .error = rc == RC_DEADLINE ? "timeout" : rc_name(rc),
    };
    caller_end(request, &outcome);
}

/* Sends the request to the next gateway; takes ownership of `body`. */
static void
caller_start(struct caller_request *request, const char *path, char *body,
             int64_t timeout_us, exchange_done_cb done)
{
    struct callers *callers = request->callers;
    int64_t now_us = hrtimer_now_us();
    const char *avoid = request->is_retry ? request->exchange.address : NULL;
    request->exchange.address =
        entries_pick(caller_entries(request), avoid, now_us);
    request->exchange.method = "POST";
    request->exchange.path = g_strdup(path);
    request->exchange.headers = caller_headers(callers, request->item.caller);
    request->exchange.body = body;
    exchange_start(&request->exchange, callers->pool, callers->timers,
                   timeout_us, done, request);
}

/*
 * Records that the gateway did not respond. A keep-alive connection that it
 * closed (RC_LINK_LOST) is no sign of a failed gateway.
 */
static void
caller_record_failure(struct caller_request *request, int rc)
{
    if (rc == RC_LINK_FAILED || rc == RC_DEADLINE) {
        entries_mark_failed(caller_entries(request), request->exchange.address,
                            hrtimer_now_us());
    }
}

/* Whether to retry after the connection failed or was lost. */
static bool
caller_may_retry(const struct caller_request *request, int rc)
{
    return !request->is_retry && (rc == RC_LINK_FAILED || rc == RC_LINK_LOST);
}

static void caller_start_search(struct caller_request *request);

/*
 * Retries a request without a response, or ends it with an error or a refusal.
 * Returns false for a response with status 200, which the caller of the
 * function handles.
 */
static bool
caller_handle_failure(struct caller_request *request,
                      const struct exchange_result *result,
                      void (*start)(struct caller_request *request))
{
    if (result->rc == RC_OK && result->status == 200) {
        return false;
    }
    if (result->rc == RC_OK) {
        caller_handle_refusal(request, result);
        return true;
    }
    caller_record_failure(request, result->rc);
    if (caller_may_retry(request, result->rc)) {
        request->is_retry = true;
        request->callers->report->retries += 1;
        start(request);
        return true;
    }
    caller_end_error(request, result->rc);
    return true;
}

static void
caller_on_search(const struct exchange_result *result, void *ctx)
{
    struct caller_request *request = ctx;
    struct callers *callers = request->callers;
    if (caller_handle_failure(request, result, caller_start_search)) {
        return;
    }
    struct check_query query = {
        .service = request->item.service,
        .text = request->query,
        .key = request->key,
        .limit = callers->settings.limit,
    };
    struct check_result check = check_search(&callers->checker, &query,
                                             result->body, result->body_bytes);
    struct report_outcome outcome = {
        .end = REPORT_ANSWERED,
        .verdict = check.verdict,
        .coverage = check.coverage,
        .is_complete = check.is_complete,
    };
    caller_end(request, &outcome);
}

static void
caller_start_search(struct caller_request *request)
{
    const struct caller_settings *settings = &request->callers->settings;
    int64_t left_us =
        request->intended_us + settings->deadline_ms * 1000 - hrtimer_now_us();
    if (left_us <= 0) {
        caller_end_error(request, RC_DEADLINE);
        return;
    }
    char *path = g_strdup_printf("/v1/search/%s", request->item.service);
    GString *body = g_string_new(NULL);
    g_string_append_printf(
        body,
        "{\"query\":\"%s\",\"deadline_ms\":%" PRId64 ",\"limit\":%" PRId64,
        request->query, (left_us + 999) / 1000, settings->limit);
    if (request->key != NULL) {
        g_string_append_printf(body, ",\"key\":\"%s\"", request->key);
    }
    g_string_append_c(body, '}');
    caller_start(request, path, g_string_free(body, FALSE),
                 left_us + CALLER_TIMEOUT_MARGIN_US, caller_on_search);
    g_free(path);
}

static void caller_start_order(struct caller_request *request);

static void
caller_retry_order(struct caller_request *request)
{
    request->is_retry = true;
    request->callers->report->orders_repeated += 1;
    caller_start_order(request);
}

static void
caller_on_order(const struct exchange_result *result, void *ctx)
{
    struct caller_request *request = ctx;
    if (result->rc != RC_OK) {
        caller_record_failure(request, result->rc);
        if (!request->is_retry) {
            caller_retry_order(request);
            return;
        }
        caller_end_error(request, result->rc);
        return;
    }
    if (result->status == 200) {
        struct report_outcome outcome = {
            .end = REPORT_ANSWERED,
            .verdict =
                check_order(request->id, result->body, result->body_bytes),
        };
        caller_end(request, &outcome);
        return;
    }
    struct check_refusal refusal = {.rc = RC_OK};
    enum check_verdict verdict = check_refusal(result->status, result->body,
                                               result->body_bytes, &refusal);
    if (verdict == CHECK_OK && refusal.rc == RC_OUTCOME_UNKNOWN &&
        !request->is_retry) {
        caller_retry_order(request);
        return;
    }
    caller_end_refused(request, &refusal, verdict);
}

static void
caller_start_order(struct caller_request *request)
{
    int64_t deadline_ms = request->callers->settings.deadline_ms;
    char *path = g_strdup_printf("/v1/orders/%s", request->item.service);
    char *body = g_strdup_printf(
        "{\"id\":\"%s\",\"key\":\"%s\",\"body\":\"%s\",\"deadline_ms\":"
        "%" PRId64 "}",
        request->id, request->key, request->query, deadline_ms);
    caller_start(request, path, body,
                 deadline_ms * 1000 + CALLER_TIMEOUT_MARGIN_US,
                 caller_on_order);
    g_free(path);
}

static void caller_start_id(struct caller_request *request);

static void
caller_on_id(const struct exchange_result *result, void *ctx)
{
    struct caller_request *request = ctx;
    if (caller_handle_failure(request, result, caller_start_id)) {
        return;
    }
    json_t *body = json_room_load(result->body, result->body_bytes, 0, NULL);
    request->id = g_strdup(json_string_value(json_object_get(body, "id")));
    json_decref(body);
    if (request->id == NULL) {
        struct report_outcome outcome = {.verdict = CHECK_BAD_FIELD};
        caller_end(request, &outcome);
        return;
    }
    request->is_retry = false;
    caller_start_order(request);
}

static void
caller_start_id(struct caller_request *request)
{
    int64_t deadline_us = request->callers->settings.deadline_ms * 1000;
    caller_start(request, "/v1/ids", g_strdup("{}"),
                 deadline_us + CALLER_TIMEOUT_MARGIN_US, caller_on_id);
}

void
caller_send(struct callers *callers, const struct mix_item *item,
            int64_t intended_us)
{
    struct caller_request *request = g_new0(struct caller_request, 1);
    uint64_t seed = callers->settings.seed;
    request->callers = callers;
    request->item = *item;
    request->intended_us = intended_us;
    request->query =
        g_strdup_printf("q%" PRIu64 "x%" PRIu64, seed, item->number);
    if (item->has_key) {
        request->key =
            g_strdup_printf("k%" PRIu64 "x%" PRIu64, seed, item->number);
    }
    callers->outstanding += 1;
    if (item->is_order) {
        caller_start_id(request);
    }
    else {
        caller_start_search(request);
    }
}

/* A request of one caller for the list of gateways. */
struct caller_refresh {
    struct callers *callers;
    uint32_t caller;
    struct exchange exchange;
};

static void
caller_on_refresh(const struct exchange_result *result, void *ctx)
{
    struct caller_refresh *refresh = ctx;
    struct entries *entries = &refresh->callers->entries[refresh->caller];
    int64_t now_us = hrtimer_now_us();
    if (result->rc == RC_OK && result->status == 200) {
        entries_apply_refresh(entries, result->body, result->body_bytes,
                              now_us);
    }
    else {
        entries_refresh_failed(entries, refresh->exchange.address, now_us);
    }
    g_free(refresh);
}

static void
caller_refresh_one(struct callers *callers, uint32_t caller,
                   const char *address)
{
    struct caller_refresh *refresh = g_new0(struct caller_refresh, 1);
    const char *zone = callers->settings.zone;
    refresh->callers = callers;
    refresh->caller = caller;
    refresh->exchange.address = address;
    refresh->exchange.method = "GET";
    refresh->exchange.path =
        zone == NULL ? g_strdup("/v1/entries")
                     : g_strdup_printf("/v1/entries?zone=%s", zone);
    refresh->exchange.headers = caller_headers(callers, caller);
    exchange_start(&refresh->exchange, callers->pool, callers->timers,
                   CALLER_REFRESH_TIMEOUT_US, caller_on_refresh, refresh);
}

void
caller_refresh(struct callers *callers)
{
    int64_t now_us = hrtimer_now_us();
    for (uint32_t i = 0; i < callers->settings.count; i++) {
        const char *address;
        if (entries_is_due(&callers->entries[i], now_us, &address)) {
            caller_refresh_one(callers, i, address);
        }
    }
}
