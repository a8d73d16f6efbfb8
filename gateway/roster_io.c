#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/app.h"
#include "gateway/peer_state.h"
#include "gateway/roster.h"

/* Calls that read and write the roster in the store. */

#define RIO_TIMEOUT_US (1000 * 1000)
#define RIO_RETRY_US (250 * 1000)

struct rio {
    struct app *app;
    struct ros roster;
    struct hcl_conn *conn; /* of the call under way */
    enum ros_call call;    /* under way */
    bool is_missing;       /* the object must be created */
    int64_t change;        /* that is being written */
    int64_t sent_us;
    int64_t due_us; /* the next call at the earliest */
};

static void
rio_end(struct rio *rio, int64_t delay_us)
{
    hcl_close(rio->conn);
    rio->conn = NULL;
    rio->call = ROS_NONE;
    rio->due_us = app_now_us() + delay_us;
}

/* Takes over backend servers that the store does not list, for a while. */
static void
rio_apply(struct rio *rio, const struct wir_objects *objects)
{
    struct app *app = rio->app;
    int64_t now_us = app_now_us();
    uint32_t count = 0;
    for (size_t i = 0; i < objects->reply.object_count; i++) {
        struct bke_entry entry;
        const struct fed_object *object = &objects->reply.objects[i];
        if (bke_find(&app->gtw.backends, object->name) != NULL ||
            app->wire->read_backend(object, &entry) != RC_OK ||
            entry.is_draining) {
            continue;
        }
        bke_note(&app->gtw.backends, &entry, now_us);
        bke_lapse(&app->gtw.backends, entry.id, now_us + ROS_HOLD_US);
        count += 1;
    }
    log_info("roster", "read backends=%zu not_listed=%u hold_ms=%d",
             objects->reply.object_count, count, ROS_HOLD_US / 1000);
}

static void
rio_on_read(struct rio *rio, const struct hcl_response *response)
{
    bool is_missing = response->status == 404;
    struct wir_objects objects;
    nws_read(rio->app->wire->read_roster(response->status, response->body,
                                         response->body_bytes),
             &objects);
    if (objects.reply.rc == RC_OK) {
        rio_apply(rio, &objects);
    }
    if (objects.reply.rc == RC_OK || is_missing) {
        ros_on_read(&rio->roster);
    }
    wir_objects_clear(&objects);
    rio_end(rio, RIO_RETRY_US);
}

static void
rio_on_written(struct rio *rio, const struct hcl_response *response)
{
    bool is_good = response->status >= 200 && response->status < 300;
    rio->is_missing = response->status == 404;
    if (is_good) {
        log_info("roster", "written change=%" G_GINT64_FORMAT, rio->change);
        ros_on_write(&rio->roster, rio->change, app_now_us());
    }
    else if (!rio->is_missing) {
        log_warn("roster", "write refused status=%d", response->status);
    }
    rio_end(rio, RIO_RETRY_US);
}

static void
rio_on_reply(struct hcl_conn *conn, const struct hcl_response *response,
             void *ctx)
{
    struct rio *rio = ctx;
    if (response->rc != RC_OK) {
        rio_end(rio, RIO_RETRY_US);
    }
    else if (rio->call == ROS_READ) {
        rio_on_read(rio, response);
    }
    else {
        rio_on_written(rio, response);
    }
}

/* Sends the roster. Returns RC_OK, RC_TOO_LARGE or as hcl_request(). */
static int
rio_write(struct rio *rio)
{
    struct app *app = rio->app;
    char *news = nws_write(&app->syn, MEM_BACKENDS, 0);
    char *body = app->wire->write_roster(news);
    size_t body_bytes = strlen(body);
    int rc = RC_TOO_LARGE;
    if (body_bytes <= ROS_BODY_MAX_BYTES) {
        char *path = app->wire->roster_path(rio->is_missing);
        rc = hcl_request(rio->conn, rio->is_missing ? "POST" : "PUT", path,
                         NULL, body, body_bytes, rio_on_reply, rio);
        g_free(path);
    }
    else {
        log_warn("roster", "too large to write bytes=%zu", body_bytes);
        ros_on_write(&rio->roster, rio->change, app_now_us());
    }
    g_free(body);
    g_free(news);
    return rc;
}

static int
rio_read(struct rio *rio)
{
    char *path = rio->app->wire->roster_stale_path();
    int rc =
        hcl_request(rio->conn, "GET", path, NULL, NULL, 0, rio_on_reply, rio);
    g_free(path);
    return rc;
}

static void
rio_on_connected(struct hcl_conn *conn, int rc, void *ctx)
{
    struct rio *rio = ctx;
    bool is_read = rio->call == ROS_READ;
    if (rc == RC_OK) {
        rc = is_read ? rio_read(rio) : rio_write(rio);
    }
    if (rc != RC_OK) {
        rio_end(rio, RIO_RETRY_US);
        return;
    }
    cnt_add(rio->app->counters, "gateway_store_calls",
            is_read ? "roster_read" : "roster_write");
}

static void
rio_on_lost(struct hcl_conn *conn, void *ctx)
{
    rio_end(ctx, RIO_RETRY_US);
}

static void
rio_start(struct rio *rio, enum ros_call call, int64_t change, int64_t now_us)
{
    struct app *app = rio->app;
    rio->call = call;
    rio->change = change;
    rio->sent_us = now_us;
    if (hcl_connect(&app->loop, app->settings.store, ROS_BODY_MAX_BYTES * 2,
                    rio_on_connected, rio_on_lost, rio, &rio->conn) != RC_OK) {
        rio->conn = NULL;
        rio_end(rio, RIO_RETRY_US);
    }
}

struct rio *
rio_new(struct app *app)
{
    struct rio *rio = g_new0(struct rio, 1);
    rio->app = app;
    return rio;
}

void
rio_free(struct rio *rio)
{
    hcl_close(rio->conn);
    g_free(rio);
}

void
rio_tick(struct rio *rio, int64_t now_us)
{
    struct app *app = rio->app;
    if (rio->call != ROS_NONE) {
        if (now_us - rio->sent_us >= RIO_TIMEOUT_US) {
            rio_end(rio, RIO_RETRY_US);
        }
        return;
    }
    if (now_us < rio->due_us || app->stopping_us > 0 ||
        app->wire->write_roster == NULL) {
        return;
    }
    const struct fed *feed = syn_news_of(&app->syn, MEM_BACKENDS);
    struct ros_state state = {
        .is_first = mem_is_first_live(&app->mem, now_us),
        .has_list = feed->has_list && app->gtw.config != NULL,
        .is_failing = app->syn.fail_run > 0,
        .recovered_us = app->syn.recovered_us,
        .change = feed->change,
        .lacks_backends = ros_may_read(&rio->roster, now_us) &&
                          gtw_lacks_backends(&app->gtw),
    };
    enum ros_call call = ros_due(&rio->roster, &state, now_us);
    if (call != ROS_NONE) {
        rio_start(rio, call, feed->change, now_us);
    }
}
