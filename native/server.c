#include <string.h>
#include <xxhash.h>

#include "common/rc.h"
#include "native/answer.h"
#include "native/server.h"

static const struct {
    const char *method;
    const char *path;
    bool is_prefix; /* a name must follow the path */
    void (*run)(struct server *server, struct http_request *http,
                const char *rest);
} server_endpoints[] = {
    {"POST", "/v1/search/", true, handle_search},
    {"POST", "/v1/orders/", true, handle_orders},
    {"POST", "/v1/ids", false, handle_ids},
    {"GET", "/v1/entries", false, handle_entries},
    {"POST", "/config", false, handle_config},
    {"GET", "/healthz", false, handle_healthz},
    {"GET", "/metrics", false, handle_metrics},
    {"GET", "/status", false, handle_status},
};

/* Whether the path belongs to endpoint `i`; sets `*rest` to what follows the
 * prefix. */
static bool
server_match_endpoint(size_t i, const char *path, const char **rest)
{
    size_t bytes = strlen(server_endpoints[i].path);
    if (strncmp(path, server_endpoints[i].path, bytes) != 0) {
        return false;
    }
    *rest = path + bytes;
    return server_endpoints[i].is_prefix ? **rest != '\0' : **rest == '\0';
}

static void
server_on_request(struct http_request *http, void *ctx)
{
    struct server *server = ctx;
    struct counter_set *counters = server->app->counters;
    for (size_t i = 0; i < G_N_ELEMENTS(server_endpoints); i++) {
        const char *rest = NULL;
        if (!server_match_endpoint(i, http->path, &rest)) {
            continue;
        }
        if (strcmp(http->method, server_endpoints[i].method) != 0) {
            answer_error(http, counters, RC_BAD_METHOD, RC_EXECUTED_NO, NULL,
                         NULL);
            return;
        }
        server_endpoints[i].run(server, http, rest);
        return;
    }
    answer_error(http, counters, RC_NO_ROUTE, RC_EXECUTED_NO, NULL, NULL);
}

const struct config *
server_config(const struct server *server)
{
    const struct gateway_config *config = server->app->gateway.config;
    return config != NULL ? config->document_config : NULL;
}

char *
server_next_request_id(struct server *server)
{
    server->backend_request_count += 1;
    return g_strdup_printf("%" G_GUINT64_FORMAT,
                           server->backend_request_count);
}

uint32_t
server_shard_of(const char *key, const struct config_service *service)
{
    return (uint32_t)(XXH64(key, strlen(key), 0) % service->instance_count);
}

static void
server_on_refused(int rc, void *ctx)
{
    const struct server *server = ctx;
    counter_add(server->app->counters, "refused_total", rc_name(rc));
}

static int
server_open(struct app *app)
{
    struct server *server = g_new0(struct server, 1);
    app->front_ctx = server;
    server->app = app;
    server->quota = quota_new(app->counters);
    server->ids = request_id_new(app->settings.vm, app->start,
                                 REQUEST_ID_MAX_IDS, app->counters);
    request_id_set_share(server->ids, &app->allot.shares[ALLOT_ORDERS]);
    const struct order_callbacks callbacks = {
        .run = orders_run,
        .on_outcome = orders_on_outcome,
        .ctx = server,
    };
    server->orders = order_new(server->ids, app->counters, &callbacks);
    server->forwards =
        forward_set_new(&app->loop, &app->allot.shares[ALLOT_STORE]);
    int rc = http_server_open(&app->loop, app->settings.request_listen,
                              SERVER_BODY_MAX_BYTES, server_on_request, server,
                              &server->http);
    if (rc == RC_OK) {
        app_account_server(app, server->http, ALLOT_CALLERS);
        http_server_set_refused_cb(server->http, server_on_refused);
    }
    return rc;
}

static void
server_on_config(struct app *app, int64_t now_us)
{
    const struct server *server = app->front_ctx;
    quota_configure(server->quota, server_config(server), now_us);
}

static void
server_tick(struct app *app, int64_t now_us)
{
    const struct server *server = app->front_ctx;
    order_tick(server->orders, now_us);
    forward_tick(server->forwards, now_us);
    request_id_expire(server->ids, now_us);
}

static bool
server_is_owing(const struct app *app)
{
    const struct server *server = app->front_ctx;
    return forward_count(server->forwards) > 0 ||
           http_server_is_owing(server->http);
}

static void
server_drain(struct app *app)
{
    const struct server *server = app->front_ctx;
    http_server_drain(server->http);
}

static void
server_stop(struct app *app)
{
    const struct server *server = app->front_ctx;
    http_server_stop(server->http);
}

static void
server_close(struct app *app)
{
    struct server *server = app->front_ctx;
    forward_set_free(server->forwards);
    order_free(server->orders);
    request_id_free(server->ids);
    quota_free(server->quota);
    g_free(server);
}

const struct app_front server_front = {
    .has_orders = true,
    .open = server_open,
    .on_config = server_on_config,
    .tick = server_tick,
    .is_owing = server_is_owing,
    .drain = server_drain,
    .stop = server_stop,
    .close = server_close,
};
