#include "common/rc.h"
#include "native/answer.h"
#include "native/body.h"
#include "native/hits.h"
#include "native/native.h"
#include "native/server.h"

/*
 * Endpoint POST /v1/search/SERVICE: asks all shards of the service, or the one
 * of the given key, and merges their hits.
 */

#define SEARCH_LIMIT_DEFAULT 10
#define SEARCH_LIMIT_MAX 1000

/* A caller's search request that waits for its response. */
struct search {
    struct server *server;
    struct http_request *http;
    struct request *pending; /* NULL until gateway_submit() returns */
    int64_t limit;
    char *id;
    char *target;
    char *json_members; /* of the request body */
};

struct search_body {
    const char *query;
    const char *key;
    int64_t deadline_ms;
    int64_t limit;
};

static json_t *
search_missing_json(const struct caller_answer *answer)
{
    json_t *missing = json_array();
    for (uint32_t i = 0; i < answer->part_count; i++) {
        const struct answer_part *part = &answer->parts[i];
        if (part->rc != RC_OK) {
            json_array_append_new(missing,
                                  json_pack("{s:I, s:s}", "shard",
                                            (json_int_t)part->target, "reason",
                                            rc_name(part->rc)));
        }
    }
    return missing;
}

static json_t *
search_hits_json(const struct search *search,
                 const struct caller_answer *answer)
{
    GArray *best =
        hit_best(answer->body, answer->body_bytes, (size_t)search->limit);
    json_t *hits = json_array();
    for (guint i = 0; i < best->len; i++) {
        const struct hit *hit = &g_array_index(best, struct hit, i);
        json_t *id = json_string(hit->id);
        json_array_append_new(hits, json_pack("[I, o]", (json_int_t)hit->score,
                                              id != NULL ? id : json_null()));
    }
    g_array_free(best, TRUE);
    return hits;
}

static void
search_free(struct search *search)
{
    g_free(search->id);
    g_free(search->target);
    g_free(search->json_members);
    g_free(search);
}

static void
search_respond(const struct search *search, const struct caller_answer *answer)
{
    uint32_t done = answer->part_count - answer->missing_parts;
    json_t *value = json_pack("{s:I, s:f, s:I, s:o, s:b, s:o}", "snapshot",
                              (json_int_t)answer->route->snapshot, "coverage",
                              (double)done / (double)answer->part_count,
                              "shards_total", (json_int_t)answer->part_count,
                              "missing", search_missing_json(answer),
                              "complete", answer->missing_parts == 0, "hits",
                              search_hits_json(search, answer));
    answer_json(search->http, 200, value);
}

static void
search_on_answer(const struct caller_answer *answer, void *ctx)
{
    struct search *search = ctx;
    struct app *app = search->server->app;
    if (answer->rc == RC_OK) {
        search_respond(search, answer);
    }
    else if (answer->rc == RC_CANCELLED) {
        answer_disconnected(search->http);
    }
    else {
        answer_refusal(search->http, app->counters, answer->rc,
                       answer->retry_after_us);
    }
    search_free(search);
}

static bool
search_has_left(void *ctx)
{
    const struct search *search = ctx;
    return http_server_has_left(search->http);
}

static void
search_on_disconnect(struct http_request *http, void *ctx)
{
    struct search *search = ctx;
    gateway_cancel(&search->server->app->gateway, search->pending,
                   app_now_us());
    answer_disconnected(http);
    search_free(search);
}

/* Parses the body. Returns RC_OK or the code for the error response. */
static int
search_read_body(const struct config_service *service,
                 const struct http_request *http, struct search_body *body,
                 json_t **root, struct body_error *error)
{
    *body = (struct search_body){
        .deadline_ms = service->deadline_default_ms,
        .limit = SEARCH_LIMIT_DEFAULT,
    };
    const struct body_field fields[] = {
        {.name = "query",
         .kind = BODY_STRING,
         .target = &body->query,
         .is_required = true,
         .min = 1,
         .max = BODY_MAX_BYTES,
         .range_rc = RC_BAD_FIELD},
        body_key_field(&body->key, false),
        body_deadline_field(&body->deadline_ms, service->deadline_max_ms),
        {.name = "limit",
         .kind = BODY_INT,
         .target = &body->limit,
         .min = 1,
         .max = SEARCH_LIMIT_MAX,
         .range_rc = RC_BAD_FIELD},
    };
    return body_parse(http->body, http->body_bytes, fields,
                      G_N_ELEMENTS(fields), root, error);
}

static void
search_start(struct server *server, struct http_request *http,
             const struct config_service *service,
             const struct search_body *body, int32_t priority)
{
    struct search *search = g_new0(struct search, 1);
    search->server = server;
    search->http = http;
    search->limit = body->limit;
    search->id = server_next_request_id(server);
    search->target = g_strdup_printf("/%s/", service->name);
    search->json_members = answer_json_members(json_pack(
        "{s:s, s:I}", "query", body->query, "limit", (json_int_t)body->limit));
    int64_t now_us = app_now_us();
    struct request_params request = {
        .method = "POST",
        .target = search->target,
        .host = NATIVE_SEARCH_HOST,
        .id = search->id,
        .fields = "",
        .body = search->json_members,
        .body_bytes = strlen(search->json_members),
        .deadline_us = now_us + body->deadline_ms * 1000,
        .only_target = body->key != NULL
                           ? (int32_t)server_shard_of(body->key, service)
                           : REQUEST_ALL_TARGETS,
        .priority = priority,
        .has_left = search_has_left,
        .on_answer = search_on_answer,
        .ctx = search,
    };
    struct request *pending =
        gateway_submit(&server->app->gateway, &request, now_us);
    if (pending != NULL) {
        search->pending = pending;
        http->on_disconnect = search_on_disconnect;
        http->ctx = search;
    }
}

void
handle_search(struct server *server, struct http_request *http,
              const char *rest)
{
    struct counter_set *counters = server->app->counters;
    const struct config *config = server_config(server);
    if (config == NULL) {
        answer_error(http, counters, RC_NOT_READY, RC_EXECUTED_NO, NULL, NULL);
        return;
    }
    const struct config_service *service = config_service_find(config, rest);
    if (service == NULL) {
        answer_error(http, counters, RC_NO_SERVICE, RC_EXECUTED_NO, "service",
                     "service: no such service");
        return;
    }
    struct search_body body;
    struct body_error error;
    json_t *root = NULL;
    int rc = search_read_body(service, http, &body, &root, &error);
    if (rc != RC_OK) {
        answer_error(http, counters, rc, RC_EXECUTED_NO, error.field,
                     error.message);
        return;
    }
    char *account = http_server_header(http, "x-caller");
    rc = quota_consume(server->quota, account, app_now_us());
    int32_t priority = quota_priority(server->quota, account);
    g_free(account);
    if (rc != RC_OK) {
        answer_error(http, counters, rc, RC_EXECUTED_NO, NULL, NULL);
    }
    else {
        search_start(server, http, service, &body, priority);
    }
    json_decref(root);
}
