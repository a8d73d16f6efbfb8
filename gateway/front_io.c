#include "common/rc.h"
#include "gateway/app.h"

/* Servers for requests that are passed on as they are. */

#define FIO_BODY_MAX_BYTES (16 * 1024 * 1024)
/* How soon work is given up for a caller that left. */
#define FIO_GONE_CHECK_MS 100

struct fio {
    struct hsv_server *requests;
    struct hsv_server *ready;
    struct hsv_server *directory;
    struct hsv_server *metrics;
};

static int
fio_open_metrics(struct app *app, struct fio *fio)
{
    const struct stg *settings = &app->settings;
    if (settings->metrics_port == 0) {
        return RC_OK;
    }
    char *address = g_strdup_printf("%s:%" G_GINT64_FORMAT, settings->ip,
                                    settings->metrics_port);
    int rc =
        hsv_open(&app->loop, address, 0, dio_on_metrics, app, &fio->metrics);
    g_free(address);
    return rc;
}

static int
fio_open(struct app *app)
{
    const struct stg *settings = &app->settings;
    struct fio *fio = g_new0(struct fio, 1);
    app->front_ctx = fio;
    int rc = hsv_open(&app->loop, settings->request_listen, FIO_BODY_MAX_BYTES,
                      cio_on_request, app, &fio->requests);
    if (rc != RC_OK) {
        return rc;
    }
    hsv_set_gone_check(fio->requests, FIO_GONE_CHECK_MS);
    rc = hsv_open(&app->loop, settings->ready_listen, 0, dio_on_ready, app,
                  &fio->ready);
    if (rc != RC_OK) {
        return rc;
    }
    rc = hsv_open(&app->loop, settings->directory_listen, 0, dio_on_directory,
                  app, &fio->directory);
    return rc != RC_OK ? rc : fio_open_metrics(app, fio);
}

static void
fio_on_config(struct app *app, int64_t now_us)
{
    const struct fio *fio = app->front_ctx;
    int64_t idle_us = app->gtw.config->limits.idle_timeout_us;
    if (idle_us > 0) {
        hsv_set_idle_timeout(fio->requests, (uint64_t)idle_us / 1000);
    }
}

static bool
fio_is_busy(const struct app *app)
{
    return false;
}

static void
fio_drain(struct app *app)
{
    const struct fio *fio = app->front_ctx;
    hsv_drain(fio->requests);
}

static void
fio_stop(struct app *app)
{
    const struct fio *fio = app->front_ctx;
    hsv_stop(fio->requests);
}

static void
fio_close(struct app *app)
{
    g_free(app->front_ctx);
}

const struct app_front fio_front = {
    .open = fio_open,
    .on_config = fio_on_config,
    .is_busy = fio_is_busy,
    .drain = fio_drain,
    .stop = fio_stop,
    .close = fio_close,
};
