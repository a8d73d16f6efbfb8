#include "common/rc.h"
#include "gateway/app.h"

/* The servers of the platform's interface, where callers' requests are
 * forwarded unchanged. */

#define FRONT_IO_BODY_MAX_BYTES (16 * 1024 * 1024)
/* How often to check whether callers have disconnected, so that their requests
 * are cancelled. */
#define FRONT_IO_DISCONNECT_CHECK_MS 100

struct front_io {
    struct http_server *requests;
    struct http_server *ready;
    struct http_server *directory;
    struct http_server *metrics;
};

static int
front_io_open_metrics(struct app *app, struct front_io *servers)
{
    const struct settings *settings = &app->settings;
    if (settings->metrics_port == 0) {
        return RC_OK;
    }
    char *address = g_strdup_printf("%s:%" G_GINT64_FORMAT, settings->ip,
                                    settings->metrics_port);
    int rc = http_server_open(&app->loop, address, 0, directory_io_on_metrics,
                              app, &servers->metrics);
    g_free(address);
    return rc;
}

static int
front_io_open(struct app *app)
{
    const struct settings *settings = &app->settings;
    struct front_io *servers = g_new0(struct front_io, 1);
    app->front_ctx = servers;
    int rc = http_server_open(&app->loop, settings->request_listen,
                              FRONT_IO_BODY_MAX_BYTES, caller_io_on_request,
                              app, &servers->requests);
    if (rc != RC_OK) {
        return rc;
    }
    http_server_set_disconnect_check(servers->requests,
                                     FRONT_IO_DISCONNECT_CHECK_MS);
    rc = http_server_open(&app->loop, settings->ready_listen, 0,
                          directory_io_on_ready, app, &servers->ready);
    if (rc != RC_OK) {
        return rc;
    }
    rc = http_server_open(&app->loop, settings->directory_listen, 0,
                          directory_io_on_directory, app, &servers->directory);
    return rc != RC_OK ? rc : front_io_open_metrics(app, servers);
}

static void
front_io_on_config(struct app *app, int64_t now_us)
{
    const struct front_io *servers = app->front_ctx;
    int64_t idle_us = app->gateway.config->limits.idle_timeout_us;
    if (idle_us > 0) {
        http_server_set_idle_timeout(servers->requests,
                                     (uint64_t)idle_us / 1000);
    }
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
