#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "common/rc.h"
#include "load/caller.h"
#include "load/exchange.h"

/* An answer that is later than the deadline by this counts as lost. */
#define CAL_GRACE_US 1000000
#define CAL_REFRESH_TIMEOUT_US 1000000

/* One search, or one order with its two steps. */
struct cal_request {
    struct cal *callers;
    struct mix_item item;
    int64_t intended_us;
    struct xch exchange;
    bool is_second; /* sent once more, to another entry */
    char *query;
    char *key; /* NULL: none */
    char *id;  /* of an order */
};

static struct ent *
cal_entries(struct cal_request *request)
{
    return &request->callers->entries[request->item.caller];
}

static char *
cal_headers(const struct cal *callers, uint32_t caller)
{
    return g_strdup_printf("X-Caller: %s%u\r\n", callers->settings.name_prefix,
                           caller);
}

static void
cal_log_order(struct cal_request *request, const struct rep_outcome *outcome)
{
    FILE *out = request->callers->order_log;
    const char *end = "ok";
    const char *reason = "";
    enum rc_run run = RC_RUN_YES;
    if (out == NULL || request->id == NULL) {
        return;
    }
    if (outcome->end == REP_REFUSED) {
        end = "refused";
        reason = rc_name(outcome->rc);
        run = outcome->run;
    }
    else if (outcome->end == REP_ERROR) {
        end = "error";
        reason = outcome->error;
        run = RC_RUN_UNKNOWN;
    }
    (void)fprintf(out, "%s,%s,%s,%s,%d\n", request->id, end, reason,
                  rc_run_name(run), request->is_second);
}

/* Reports the outcome and frees the request. */
static void
cal_end(struct cal_request *request, struct rep_outcome *outcome)
{
    struct cal *callers = request->callers;
    outcome->is_order = request->item.is_order;
    outcome->latency_us = tmr_now_us() - request->intended_us;
    outcome->deadline_us = callers->settings.deadline_ms * 1000;
    if (request->item.is_order) {
        cal_log_order(request, outcome);
    }
    callers->outstanding -= 1;
    callers->ended(outcome, callers->ctx);
    g_free(request->query);
    g_free(request->key);
    g_free(request->id);
    g_free(request);
}

static void
cal_end_refused(struct cal_request *request, const struct chk_refusal *refusal,
                enum chk_kind wrong)
{
    struct rep_outcome outcome = {
        .end = REP_REFUSED,
        .rc = refusal->rc,
        .run = refusal->run,
        .wrong = wrong,
    };
    cal_end(request, &outcome);
}

/* Checks an answer other than 200 and ends the request with it. */
static void
cal_refuse(struct cal_request *request, const struct xch_result *result)
{
    struct chk_refusal refusal = {.rc = RC_OK};
    enum chk_kind wrong = chk_refusal(result->status, result->body,
                                      result->body_bytes, &refusal);
    cal_end_refused(request, &refusal, wrong);
}

static void
cal_end_error(struct cal_request *request, int rc)
{
    struct rep_outcome outcome = {
        .end = REP_ERROR,
        .error = rc == RC_DEADLINE ? "timeout" : rc_name(rc),
    };
    cal_end(request, &outcome);
}

static void
cal_start(struct cal_request *request, const char *path, char *body,
          int64_t timeout_us, xch_done_cb done)
{
    struct cal *callers = request->callers;
    int64_t now_us = tmr_now_us();
    const char *avoid = request->is_second ? request->exchange.address : NULL;
    request->exchange.address = ent_pick(cal_entries(request), avoid, now_us);
    request->exchange.method = "POST";
    request->exchange.path = g_strdup(path);
    request->exchange.headers = cal_headers(callers, request->item.caller);
    request->exchange.body = body;
    xch_start(&request->exchange, callers->pool, callers->timers, timeout_us,
              done, request);
}

/* Notes an entry that did not answer. A kept connection that the entry closed
 * says nothing about the entry. */
static void
cal_note_failure(struct cal_request *request, int rc)
{
    if (rc == RC_LINK_FAILED || rc == RC_DEADLINE) {
        ent_failed(cal_entries(request), request->exchange.address,
                   tmr_now_us());
    }
}

/* Whether a request whose connection was lost is to be sent once more. */
static bool
cal_may_repeat(const struct cal_request *request, int rc)
{
    return !request->is_second && (rc == RC_LINK_FAILED || rc == RC_LINK_LOST);
}

static void cal_start_search(struct cal_request *request);

/*
 * Repeats a request without an answer or ends it with an error or a refusal.
 * Returns false for an answer that is left to the caller.
 */
static bool
cal_is_settled(struct cal_request *request, const struct xch_result *result,
               void (*start)(struct cal_request *request))
{
    if (result->rc == RC_OK && result->status == 200) {
        return false;
    }
    if (result->rc == RC_OK) {
        cal_refuse(request, result);
        return true;
    }
    cal_note_failure(request, result->rc);
    if (cal_may_repeat(request, result->rc)) {
        request->is_second = true;
        request->callers->report->retries += 1;
        start(request);
        return true;
    }
    cal_end_error(request, result->rc);
    return true;
}

static void
cal_on_search(const struct xch_result *result, void *ctx)
{
    struct cal_request *request = ctx;
    struct cal *callers = request->callers;
    if (cal_is_settled(request, result, cal_start_search)) {
        return;
    }
    struct chk_query query = {
        .service = request->item.service,
        .text = request->query,
        .key = request->key,
        .limit = callers->settings.limit,
    };
    struct chk_result check = chk_search(&callers->checker, &query,
                                         result->body, result->body_bytes);
    struct rep_outcome outcome = {
        .end = REP_ANSWERED,
        .wrong = check.wrong,
        .coverage = check.coverage,
        .is_complete = check.is_complete,
    };
    cal_end(request, &outcome);
}

static void
cal_start_search(struct cal_request *request)
{
    const struct cal_settings *settings = &request->callers->settings;
    int64_t left_us =
        request->intended_us + settings->deadline_ms * 1000 - tmr_now_us();
    if (left_us <= 0) {
        cal_end_error(request, RC_DEADLINE);
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
    cal_start(request, path, g_string_free(body, FALSE),
              left_us + CAL_GRACE_US, cal_on_search);
    g_free(path);
}

static void cal_start_order(struct cal_request *request);

static void
cal_repeat_order(struct cal_request *request)
{
    request->is_second = true;
    request->callers->report->orders_repeated += 1;
    cal_start_order(request);
}

static void
cal_on_order(const struct xch_result *result, void *ctx)
{
    struct cal_request *request = ctx;
    if (result->rc != RC_OK) {
        cal_note_failure(request, result->rc);
        if (!request->is_second) {
            cal_repeat_order(request);
            return;
        }
        cal_end_error(request, result->rc);
        return;
    }
    if (result->status == 200) {
        struct rep_outcome outcome = {
            .end = REP_ANSWERED,
            .wrong = chk_order(request->id, result->body, result->body_bytes),
        };
        cal_end(request, &outcome);
        return;
    }
    struct chk_refusal refusal = {.rc = RC_OK};
    enum chk_kind wrong = chk_refusal(result->status, result->body,
                                      result->body_bytes, &refusal);
    if (wrong == CHK_RIGHT && refusal.rc == RC_OUTCOME_UNKNOWN &&
        !request->is_second) {
        cal_repeat_order(request);
        return;
    }
    cal_end_refused(request, &refusal, wrong);
}

static void
cal_start_order(struct cal_request *request)
{
    int64_t deadline_ms = request->callers->settings.deadline_ms;
    char *path = g_strdup_printf("/v1/orders/%s", request->item.service);
    char *body = g_strdup_printf(
        "{\"id\":\"%s\",\"key\":\"%s\",\"body\":\"%s\",\"deadline_ms\":"
        "%" PRId64 "}",
        request->id, request->key, request->query, deadline_ms);
    cal_start(request, path, body, deadline_ms * 1000 + CAL_GRACE_US,
              cal_on_order);
    g_free(path);
}

static void cal_start_id(struct cal_request *request);

static void
cal_on_id(const struct xch_result *result, void *ctx)
{
    struct cal_request *request = ctx;
    if (cal_is_settled(request, result, cal_start_id)) {
        return;
    }
    json_t *body = json_loadb(result->body, result->body_bytes, 0, NULL);
    request->id = g_strdup(json_string_value(json_object_get(body, "id")));
    json_decref(body);
    if (request->id == NULL) {
        struct rep_outcome outcome = {.wrong = CHK_BAD_FIELD};
        cal_end(request, &outcome);
        return;
    }
    request->is_second = false;
    cal_start_order(request);
}

static void
cal_start_id(struct cal_request *request)
{
    int64_t deadline_us = request->callers->settings.deadline_ms * 1000;
    cal_start(request, "/v1/ids", g_strdup("{}"), deadline_us + CAL_GRACE_US,
              cal_on_id);
}

void
cal_send(struct cal *callers, const struct mix_item *item, int64_t intended_us)
{
    struct cal_request *request = g_new0(struct cal_request, 1);
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
        cal_start_id(request);
    }
    else {
        cal_start_search(request);
    }
}

struct cal_refresh {
    struct cal *callers;
    uint32_t caller;
    struct xch exchange;
};

static void
cal_on_refresh(const struct xch_result *result, void *ctx)
{
    struct cal_refresh *refresh = ctx;
    struct ent *entries = &refresh->callers->entries[refresh->caller];
    int64_t now_us = tmr_now_us();
    if (result->rc == RC_OK && result->status == 200) {
        ent_refreshed(entries, result->body, result->body_bytes, now_us);
    }
    else {
        ent_refresh_failed(entries, refresh->exchange.address, now_us);
    }
    g_free(refresh);
}

static void
cal_refresh_one(struct cal *callers, uint32_t caller, const char *address)
{
    struct cal_refresh *refresh = g_new0(struct cal_refresh, 1);
    const char *zone = callers->settings.zone;
    refresh->callers = callers;
    refresh->caller = caller;
    refresh->exchange.address = address;
    refresh->exchange.method = "GET";
    refresh->exchange.path =
        zone == NULL ? g_strdup("/v1/entries")
                     : g_strdup_printf("/v1/entries?zone=%s", zone);
    refresh->exchange.headers = cal_headers(callers, caller);
    xch_start(&refresh->exchange, callers->pool, callers->timers,
              CAL_REFRESH_TIMEOUT_US, cal_on_refresh, refresh);
}

void
cal_refresh(struct cal *callers)
{
    int64_t now_us = tmr_now_us();
    for (uint32_t i = 0; i < callers->settings.count; i++) {
        const char *address;
        if (ent_is_due(&callers->entries[i], now_us, &address)) {
            cal_refresh_one(callers, i, address);
        }
    }
}
