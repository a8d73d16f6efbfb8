#include "common/rc.h"
#include "gateway/app.h"

/* The servers of the platform's interface, where callers' requests are
 * forwarded unchanged. */

/* The most that the configuration can allow. */
#define FRONT_IO_BODY_MAX_BYTES (16ULL * 1024 * 1024)
#define FRONT_IO_HEAD_MAX_BYTES (512ULL * 1024)
/* Limits that are in force where the configuration sets none. */
#define FRONT_IO_HEAD_DEFAULT_BYTES (64ULL * 1024)
#define FRONT_IO_HEAD_TIMEOUT_MS 10000
#define FRONT_IO_IDLE_TIMEOUT_MS 60000
/* How often to check whether callers have disconnected, so that their requests
 * are cancelled. */
#define FRONT_IO_DISCONNECT_CHECK_MS 100

static const struct http_server_limits front_io_limits = {
    .head_max_bytes = FRONT_IO_HEAD_DEFAULT_BYTES,
    .body_max_bytes = FRONT_IO_BODY_MAX_BYTES,
    .head_timeout_ms = FRONT_IO_HEAD_TIMEOUT_MS,
    .idle_timeout_ms = FRONT_IO_IDLE_TIMEOUT_MS,
};

struct front_io {
    struct http_server *requests;
    struct http_server *ready;
    struct http_server *directory;
    struct http_server *metrics;
};

/* As http_server_open(), with a share of the process's account. */
static int
front_io_open_one(struct app *app, const char *address, size_t body_max_bytes,
                  http_server_handler_cb handler, enum allot_share share,
                  struct http_server **out)
{
    int rc = http_server_open(&app->loop, address, body_max_bytes, handler,
                              app, out);
    if (rc == RC_OK) {
        app_account_server(app, *out, share);
        http_server_set_refused_cb(*out, app_on_refused);
    }
    return rc;
}

static int
front_io_open_metrics(struct app *app, struct front_io *servers)
{
    const struct settings *settings = &app->settings;
    if (settings->metrics_port == 0) {
        return RC_OK;
    }
    char *address = g_strdup_printf("%s:%" G_GINT64_FORMAT, settings->ip,
                                    settings->metrics_port);
    int rc = front_io_open_one(app, address, 0, directory_io_on_metrics,
                               ALLOT_METRICS, &servers->metrics);
    g_free(address);
    return rc;
}

static int
front_io_open(struct app *app)
{
    const struct settings *settings = &app->settings;
    struct front_io *servers = g_new0(struct front_io, 1);
    app->front_ctx = servers;
    int rc = front_io_open_one(app, settings->request_listen,
                               FRONT_IO_BODY_MAX_BYTES, caller_io_on_request,
                               ALLOT_CALLERS, &servers->requests);
    if (rc != RC_OK) {
        return rc;
    }
    http_server_set_disconnect_check(servers->requests,
                                     FRONT_IO_DISCONNECT_CHECK_MS);
    rc =
        front_io_open_one(app, settings->ready_listen, 0,
                          directory_io_on_ready, ALLOT_READY, &servers->ready);
    if (rc != RC_OK) {
        return rc;
    }
    rc = front_io_open_one(app, settings->directory_listen, 0,
                           directory_io_on_directory, ALLOT_DIRECTORY,
                           &servers->directory);
    return rc != RC_OK ? rc : front_io_open_metrics(app, servers);
}

static void
front_io_on_config(struct app *app, int64_t now_us)
{
    const struct front_io *servers = app->front_ctx;
    const struct gateway_config_limits *set = &app->gateway.config->limits;
    struct http_server_limits limits = front_io_limits;
    if (set->body_max_bytes > 0) {
        limits.body_max_bytes =
            MIN(set->body_max_bytes, FRONT_IO_BODY_MAX_BYTES);
    }
    if (set->head_max_bytes > 0) {
        limits.head_max_bytes =
            MIN(set->head_max_bytes, FRONT_IO_HEAD_MAX_BYTES);
    }
    if (set->head_timeout_us > 0) {
        limits.head_timeout_ms = (uint64_t)set->head_timeout_us / 1000;
    }
    if (set->idle_timeout_us > 0) {
        limits.idle_timeout_ms = (uint64_t)set->idle_timeout_us / 1000;
    }
    http_server_set_limits(servers->requests, &limits);
}

static bool
front_io_is_owing(const struct app *app)
{
    const struct front_io *servers = app->front_ctx;
    return http_server_is_owing(servers->requests);
}

static void
front_io_drain(struct app *app)
{
    const struct front_io *servers = app->front_ctx;
    http_server_drain(servers->requests);
}

static void
front_io_stop(struct app *app)
{
    const struct front_io *servers = app->front_ctx;
    http_server_stop(servers->requests);
}

static void
front_io_close(struct app *app)
{
    g_free(app->front_ctx);
}

const struct app_front front_io_front = {
    .open = front_io_open,
    .on_config = front_io_on_config,
    .is_owing = front_io_is_owing,
    .drain = front_io_drain,
    .stop = front_io_stop,
    .close = front_io_close,
};
