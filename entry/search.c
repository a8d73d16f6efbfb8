#include <stdio.h>

#include "common/rc.h"
#include "entry/admit.h"
#include "entry/answer.h"
#include "entry/body.h"
#include "entry/http.h"
#include "entry/search.h"

#define SEARCH_LIMIT_DEFAULT 10
#define SEARCH_LIMIT_MAX 1000
#define SEARCH_MAX_KEY_BYTES 1024

/* A search that waits for its answer. */
struct search {
    struct app *app;
    struct hsv_request *request;
    struct gth_query *query;
    char *service;
    int64_t started_us;
    int64_t deadline_us;
};

struct search_body {
    const char *query;
    const char *key;
    int64_t deadline_ms;
    int64_t limit;
};

static json_t *
search_missing_json(const struct gth_answer *answer)
{
    json_t *missing = json_array();
    for (size_t i = 0; i < answer->missing_count; i++) {
        json_array_append_new(
            missing, json_pack("{s:I, s:s}", "shard",
                               (json_int_t)answer->missing[i].shard, "reason",
                               rc_name(answer->missing[i].rc)));
    }
    return missing;
}

static json_t *
search_hits_json(const struct gth_answer *answer)
{
    json_t *hits = json_array();
    for (size_t i = 0; i < answer->hit_count; i++) {
        json_t *id = json_string(answer->hits[i].id);
        json_array_append_new(
            hits, json_pack("[I, o]", (json_int_t)answer->hits[i].score,
                            id != NULL ? id : json_null()));
    }
    return hits;
}

static bool
search_is_load_refusal(int rc)
{
    return rc == RC_TOO_LATE || rc == RC_QUEUE_FULL;
}

/* Gives the place back; `answer` is NULL for an abandoned search. */
static void
search_free(struct search *search, const struct gth_answer *answer)
{
    struct adm *admit = search->app->admit;
    int64_t now_us = app_now_us();
    if (answer == NULL) {
        adm_done(admit, search->service, NULL, now_us);
    }
    else {
        GArray *refused = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        for (size_t i = 0; i < answer->missing_count; i++) {
            if (search_is_load_refusal(answer->missing[i].rc)) {
                g_array_append_val(refused, answer->missing[i].shard);
            }
        }
        const struct adm_result result = {
            .shards_needed = answer->shards_needed,
            .is_complete = answer->rc == RC_OK && answer->missing_count == 0,
            .latency_us = now_us - search->started_us,
            .budget_us = search->deadline_us - search->started_us,
            .refused = (const uint64_t *)refused->data,
            .refused_count = refused->len,
        };
        adm_done(admit, search->service, &result, now_us);
        g_array_free(refused, TRUE);
    }
    g_free(search->service);
    g_free(search);
}

void
search_on_finish(void *ctx, void *request_ctx, const struct gth_answer *answer)
{
    struct app *app = ctx;
    struct search *search = request_ctx;
    if (answer->rc != RC_OK) {
        ans_error(search->request, app->counters, answer->rc,
                  rc_run(answer->rc), NULL, NULL);
        search_free(search, answer);
        return;
    }
    double coverage =
        (double)answer->shards_done / (double)answer->shards_needed;
    json_t *value =
        json_pack("{s:I, s:f, s:I, s:o, s:b, s:o}", "snapshot",
                  (json_int_t)answer->version, "coverage", coverage,
                  "shards_total", (json_int_t)answer->shards_needed, "missing",
                  search_missing_json(answer), "complete",
                  answer->shards_done == answer->shards_needed, "hits",
                  search_hits_json(answer));
    ans_json(search->request, 200, value);
    search_free(search, answer);
}

static void
search_on_gone(struct hsv_request *request, void *ctx)
{
    struct search *search = ctx;
    gth_abandon(search->app->gather, search->query);
    hsv_respond(request, rc_http_status(RC_CANCELLED), "text/plain", "", 0);
    search_free(search, NULL);
}

/* Reads the body. Returns RC_OK or the code to answer with. */
static int
search_read(const struct cfg_service *service,
            const struct hsv_request *request, struct search_body *body,
            json_t **root, struct bdy_error *error)
{
    *body = (struct search_body){
        .deadline_ms = service->deadline_default_ms,
        .limit = SEARCH_LIMIT_DEFAULT,
    };
    const struct bdy_field fields[] = {
        {.name = "query",
         .kind = BDY_STRING,
         .target = &body->query,
         .is_required = true,
         .min = 1,
         .max = BDY_MAX_BYTES,
         .rc_range = RC_BAD_FIELD},
        {.name = "key",
         .kind = BDY_STRING,
         .target = &body->key,
         .min = 1,
         .max = SEARCH_MAX_KEY_BYTES,
         .rc_range = RC_BAD_FIELD},
        {.name = "deadline_ms",
         .kind = BDY_INT,
         .target = &body->deadline_ms,
         .min = 1,
         .max = service->deadline_max_ms,
         .rc_range = RC_BAD_DEADLINE},
        {.name = "limit",
         .kind = BDY_INT,
         .target = &body->limit,
         .min = 1,
         .max = SEARCH_LIMIT_MAX,
         .rc_range = RC_BAD_FIELD},
    };
    return bdy_parse(request->body, request->body_bytes, fields,
                     G_N_ELEMENTS(fields), root, error);
}

static void
search_start(struct app *app, struct hsv_request *request,
             const struct cfg_service *service, const struct search_body *body)
{
    struct search *search = g_new0(struct search, 1);
    search->app = app;
    search->request = request;
    search->service = g_strdup(service->name);
    request->on_gone = search_on_gone;
    request->ctx = search;
    int64_t now_us = app_now_us();
    search->started_us = now_us;
    search->deadline_us = now_us + body->deadline_ms * 1000;
    const struct gth_request start = {
        .service = service->name,
        .query = body->query,
        .key = body->key,
        .limit = (uint64_t)body->limit,
        .deadline_us = search->deadline_us,
        .ctx = search,
    };
    struct gth_query *query = gth_start(app->gather, &start, now_us);
    if (query != NULL) {
        search->query = query;
    }
}

/* Callers that are not declared have the priority of "default", or 0. */
static int64_t
search_priority(const struct cfg *config, const char *caller_name)
{
    const struct cfg_caller *caller = NULL;
    if (caller_name != NULL) {
        caller = cfg_caller_find(config, caller_name);
    }
    if (caller == NULL) {
        caller = cfg_caller_find(config, "default");
    }
    return caller != NULL ? caller->priority : 0;
}

void
cmd_search(struct app *app, struct hsv_request *request, const char *rest)
{
    if (app->config == NULL) {
        ans_error(request, app->counters, RC_NOT_READY, RC_RUN_NO, NULL, NULL);
        return;
    }
    const struct cfg_service *service = cfg_service_find(app->config, rest);
    if (service == NULL) {
        ans_error(request, app->counters, RC_NO_SERVICE, RC_RUN_NO, "service",
                  "service: no such service");
        return;
    }
    struct search_body body;
    struct bdy_error error;
    json_t *root = NULL;
    int rc = search_read(service, request, &body, &root, &error);
    if (rc != RC_OK) {
        ans_error(request, app->counters, rc, RC_RUN_NO, error.field,
                  error.message);
        return;
    }
    char *caller = hsv_header(request, "x-caller");
    rc = qta_take(app->quota, caller, app_now_us());
    if (rc == RC_OK) {
        rc = adm_take(app->admit, service->name,
                      search_priority(app->config, caller));
    }
    g_free(caller);
    if (rc != RC_OK) {
        ans_error(request, app->counters, rc, RC_RUN_NO, NULL, NULL);
    }
    else {
        search_start(app, request, service, &body);
    }
    json_decref(root);
}
