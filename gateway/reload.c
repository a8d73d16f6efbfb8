#include <string.h>

#include "common/log.h"
#include "common/rc.h"
#include "gateway/reload.h"

#define RELOAD_PERMILLE 1000.0
/* Share of the drain time for which a leaving backend server may be used if no
 * other one can serve. It may have sent its notice some time ago. */
#define RELOAD_LEAVING_USE_PERMILLE 500
#define RELOAD_BYTES_PER_MB (1024ULL * 1024)

void
reload_apply(struct app *app)
{
    const struct settings *settings = &app->settings;
    app->gateway.bounds = (struct gateway_bounds){
        .extra_permille = (uint32_t)settings->extra_permille,
        .extra_count = (uint32_t)settings->extra_count,
        .warmup_overshoot =
            (double)settings->warmup_overshoot_permille / RELOAD_PERMILLE,
        .warmup_slack = (uint32_t)settings->warmup_slack,
        .leaving_use_us = settings->drain_ms *
                          RELOAD_LEAVING_USE_PERMILLE, /* ms x permille */
    };
    app->gateway.stop.grace_us = settings->grace_ms * 1000;
    allot_set_limits(&app->allot, settings->files,
                     (uint64_t)settings->memory_mb * RELOAD_BYTES_PER_MB,
                     app->front->has_orders);
    app->gateway.backends.link_max =
        app->allot.shares[ALLOT_BACKENDS].connection_max;
    app->gateway.request_max = allot_request_max(&app->allot);
}

/* Returns when the file was last changed, 0 if it cannot be read. */
static int64_t
reload_mtime_ns(const struct app *app)
{
    uv_fs_t req;
    int failed = uv_fs_stat(NULL, &req, app->settings_path, NULL);
    int64_t mtime_ns = failed != 0
                           ? 0
                           : (int64_t)req.statbuf.st_mtim.tv_sec * 1000000000 +
                                 req.statbuf.st_mtim.tv_nsec;
    uv_fs_req_cleanup(&req);
    return mtime_ns;
}

/* Tells the other VMs, those that will start too. */
static void
reload_announce_capacity(struct app *app)
{
    member_set_own_capacity(&app->members, (uint32_t)app->settings.capacity);
    peer_io_send_heartbeats(app->peers);
    register_io_renew(app->registration, app_now_us());
}

void
reload_settings(struct app *app)
{
    if (app->settings_path == NULL) {
        return;
    }
    struct settings settings;
    app->settings_mtime_ns = reload_mtime_ns(app);
    if (settings_read(app->settings_path, &settings) != RC_OK) {
        log_error("app", "invalid settings, old ones stay in force file=%s",
                  app->settings_path);
        return;
    }
    int64_t capacity = app->settings.capacity;
    char *store = g_strdup(app->settings.store);
    (void)settings_update(&app->settings, &settings);
    settings_clear(&settings);
    reload_apply(app);
    if (app->settings.capacity != capacity) {
        reload_announce_capacity(app);
    }
    if (strcmp(app->settings.store, store) != 0) {
        store_io_reconnect(app->store);
    }
    g_free(store);
    log_info("app", "settings read file=%s store=%s", app->settings_path,
             app->settings.store);
}

void
reload_init(struct app *app)
{
    if (app->settings_path != NULL) {
        app->settings_mtime_ns = reload_mtime_ns(app);
    }
}

void
reload_if_changed(struct app *app)
{
    if (app->settings_path != NULL &&
        reload_mtime_ns(app) != app->settings_mtime_ns) {
        reload_settings(app);
    }
}
