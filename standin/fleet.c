#include <glib.h>
#include <string.h>

#include "common/log.h"
#include "common/rc.h"
#include "standin/fleet.h"
#include "standin/fleet_admin.h"
#include "standin/searcher.h"
#include "standin/searcher_reply.h"

struct fleet {
    struct searcher_env env;
    struct searcher *searchers;
    uint32_t count;
    char **zones; /* NULL-terminated */
    struct http_conn_server *admin;
};

static json_t *
fleet_error(const char *error, const char *field)
{
    return json_pack("{s:s, s:s}", "error", error, "field", field);
}

static void
fleet_handle_admin(struct fleet *fleet, struct http_conn *conn,
                   const struct http_conn_request *request)
{
    json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);
    if (!json_is_object(body)) {
        json_decref(body);
        searcher_reply_json(conn, 400, fleet_error("bad_json", ""));
        return;
    }
    const json_t *selector = json_object_get(body, "searcher");
    int applied = 0;
    int rc = RC_OK;
    const char *bad_field = "searcher";
    for (uint32_t i = 0; rc == RC_OK && i < fleet->count; i++) {
        if (fleet_admin_selects(selector, &fleet->searchers[i], i)) {
            rc = fleet_admin_apply(&fleet->searchers[i], body, &bad_field);
            applied += 1;
        }
    }
    if (rc != RC_OK || applied == 0) {
        searcher_reply_json(conn, 400, fleet_error("bad_field", bad_field));
    }
    else {
        searcher_reply_json(conn, 200, json_pack("{s:i}", "applied", applied));
    }
    json_decref(body);
}

static void
fleet_handle_stats(struct fleet *fleet, struct http_conn *conn,
                   const struct http_conn_request *request)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < fleet->count; i++) {
        json_array_append_new(list,
                              fleet_admin_stats(&fleet->searchers[i], i));
    }
    searcher_reply_json(conn, 200, json_pack("{s:o}", "searchers", list));
}

static void
fleet_handle_runs(struct fleet *fleet, struct http_conn *conn,
                  const struct http_conn_request *request)
{
    const struct runs *runs = fleet->env.runs;
    if (g_str_has_prefix(request->query, "id=")) {
        char *id = g_uri_unescape_string(request->query + strlen("id="), NULL);
        uint32_t count = id == NULL ? 0 : runs_count(runs, id);
        searcher_reply_json(conn, 200, json_pack("{s:i}", "runs", (int)count));
        g_free(id);
        return;
    }
    searcher_reply_json(conn, 200,
                        json_pack("{s:i, s:i}", "ids", (int)runs_ids(runs),
                                  "max_runs", (int)runs_max(runs)));
}

static const struct {
    const char *path;
    void (*handle)(struct fleet *fleet, struct http_conn *conn,
                   const struct http_conn_request *request);
} fleet_routes[] = {
    {"/admin", fleet_handle_admin},
    {"/admin-stats", fleet_handle_stats},
    {"/runs", fleet_handle_runs},
};

static void
fleet_on_admin_request(struct http_conn *conn,
                       const struct http_conn_request *request, void *ctx)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fleet_routes); i++) {
        if (strcmp(fleet_routes[i].path, request->path) == 0) {
            fleet_routes[i].handle(ctx, conn, request);
            return;
        }
    }
    searcher_reply_json(conn, 404, fleet_error("unknown_path", request->path));
}

static void *
fleet_on_open(struct http_conn *conn, void *ctx)
{
    return ctx;
}

static void
fleet_on_closed(struct http_conn *conn, void *ctx)
{
}

static int
fleet_open_admin(struct fleet *fleet, const struct fleet_options *options)
{
    static const struct http_conn_handlers handlers = {
        .open = fleet_on_open,
        .request = fleet_on_admin_request,
        .closed = fleet_on_closed,
    };
    int64_t port = options->admin_port != 0
                       ? options->admin_port
                       : options->base_port + options->count;
    return http_conn_listen(fleet->env.loop, options->listen_host,
                            (uint32_t)port, &handlers, fleet, &fleet->admin);
}

static int
fleet_service_model(const struct fleet_options *options,
                    struct service_model *out)
{
    bool is_fixed = strcmp(options->service_dist, "fixed") == 0;
    if (!is_fixed && strcmp(options->service_dist, "exp") != 0) {
        log_error("fleet", "--service-dist is neither fixed nor exp value=%s",
                  options->service_dist);
        return RC_USAGE;
    }
    *out = (struct service_model){
        .service_us = options->service_us,
        .is_exponential = !is_fixed,
        .straggler_permille = options->straggler_permille,
        .straggler_factor = options->straggler_factor,
        .cold_factor = options->cold_factor,
        .cold_ms = options->cold_ms,
    };
    return RC_OK;
}

static int
fleet_open_searcher(struct fleet *fleet, uint32_t index,
                    const struct fleet_options *options,
                    const struct searcher_versions *versions)
{
    struct searcher *searcher = &fleet->searchers[index];
    guint zones = g_strv_length(fleet->zones);
    *searcher = (struct searcher){
        .env = &fleet->env,
        .host = options->listen_host,
        .zone = zones == 0 ? NULL : fleet->zones[index % zones],
        .port = (uint32_t)options->base_port + index,
        .shard = index / (uint32_t)options->replicas,
        .shards = (uint32_t)options->shards,
        .slots = (uint32_t)options->slots,
        .queue_max = (uint32_t)options->queue,
        .connections = (uint32_t)options->connections,
        .connect_cost_us = options->connect_cost_us,
        .versions = *versions,
        .reported_load_permille = -1,
    };
    int rc = fleet_service_model(options, &searcher->model);
    if (rc != RC_OK) {
        return rc;
    }
    searcher->model.random = service_model_random(&fleet->env.random);
    searcher_restart(searcher);
    return searcher_open(searcher);
}

int
fleet_open(uv_loop_t *loop, const struct fleet_options *options,
           struct fleet **out)
{
    struct searcher_versions versions;
    if (searcher_versions_parse(options->versions, &versions) != RC_OK) {
        log_error("fleet", "--versions is malformed value=%s",
                  options->versions);
        return RC_USAGE;
    }
    struct fleet *fleet = g_new0(struct fleet, 1);
    *out = fleet;
    fleet->count = (uint32_t)options->count;
    fleet->searchers = g_new0(struct searcher, fleet->count);
    fleet->zones = g_strsplit(options->zones, ",", -1);
    fleet->env = (struct searcher_env){
        .loop = loop,
        .timers = hrtimer_set_open(loop),
        .runs = runs_new(),
        .random = (uint64_t)options->seed,
        .admin = fleet_on_admin_request,
        .admin_ctx = fleet,
    };
    int rc = fleet->env.timers == NULL ? RC_IO : RC_OK;
    for (uint32_t i = 0; rc == RC_OK && i < fleet->count; i++) {
        rc = fleet_open_searcher(fleet, i, options, &versions);
    }
    return rc == RC_OK ? fleet_open_admin(fleet, options) : rc;
}
