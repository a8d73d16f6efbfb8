#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/app.h"

/* Calls to the platform's store: one connection for each kind that is
 * followed, one for the VMs' own objects. */

#define STORE_IO_BODY_MAX_BYTES (16 * 1024 * 1024)
/* How often the list of VMs is read again, by hubs and by the others, who hear
 * of VMs from hubs. */
#define STORE_IO_VMS_IVL_US (10LL * 1000 * 1000)
#define STORE_IO_VMS_FOLLOWER_IVL_US (60LL * 1000 * 1000)
#define STORE_IO_RETRY_US (1000 * 1000)
#define STORE_IO_TIMEOUT_US (2000 * 1000)
/* A call that takes this long while a later one was answered is expired. */
#define STORE_IO_SUPERSEDED_US (200 * 1000)

/* A followed kind and its connection. */
struct store_io_feed {
    struct app *app;
    struct http_client_conn *conn;
    bool is_connected;
    struct sync_fetch fetch;
    char *path;
};

/* Steps of a start: the list tells whom to follow, the own object makes this
 * VM known, and the list after it names those that wrote at the same time. */
enum store_io_step {
    STORE_IO_NONE,
    STORE_IO_LIST,
    STORE_IO_CREATE,
    STORE_IO_REPLACE,
    STORE_IO_DELETE,
    STORE_IO_DELETE_EXPIRED, /* the object of a VM that is expired */
};

/* The call on the VMs' own objects that is under way. */
struct store_io_vms {
    struct app *app;
    struct http_client_conn *conn;
    enum store_io_step step;
    bool is_in_flight;
    bool is_written;
    bool is_listed;
    bool is_registered; /* written and listed once */
    int64_t renewals;
    int64_t renewed_us; /* when the own object was written last */
    int64_t due_us;
    int64_t sent_us;
};

struct store_io {
    struct app *app;
    struct store_io_feed feeds[OBJECT_KIND_COUNT];
    struct store_io_vms vms;
};

static void
store_io_close(struct http_client_conn **conn)
{
    http_client_close(*conn);
    *conn = NULL;
}

static void
store_io_feed_fail(struct store_io_feed *feed, int rc)
{
    store_io_close(&feed->conn);
    feed->is_connected = false;
    struct store_reply reply = {.rc = rc};
    sync_on_reply(&feed->app->sync, &feed->fetch, &reply, app_now_us());
}

static void
store_io_on_reply(struct http_client_conn *conn,
                  const struct http_response *response, void *ctx)
{
    struct store_io_feed *feed = ctx;
    struct app *app = feed->app;
    if (response->rc != RC_OK) {
        store_io_feed_fail(feed, RC_STORE_DOWN);
        return;
    }
    struct wire_objects objects;
    app->wire->read_objects(&feed->fetch, response->status, response->body,
                            response->body_bytes, &objects);
    bool is_refused = objects.reply.rc == RC_STORE_DOWN;
    if (is_refused) {
        log_warn("store", "refused status=%d path=%s", response->status,
                 feed->path);
    }
    if (!response->is_keepalive || is_refused) {
        store_io_close(&feed->conn);
        feed->is_connected = false;
    }
    sync_on_reply(&app->sync, &feed->fetch, &objects.reply, app_now_us());
    wire_objects_clear(&objects);
}

/* Sends the feed's call on its open connection; the result is
 * http_client_request()'s.
 */
static int
store_io_feed_send(struct store_io_feed *feed)
{
    int rc = http_client_request(feed->conn, "GET", feed->path, NULL, NULL, 0,
                                 store_io_on_reply, feed);
    if (rc == RC_OK) {
        counter_add(feed->app->counters, "gateway_store_calls",
                    feed->fetch.is_watch ? "watch" : "list");
    }
    return rc;
}

static void
store_io_on_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    struct store_io_feed *feed = ctx;
    if (rc != RC_OK) {
        store_io_feed_fail(feed, RC_STORE_DOWN);
        return;
    }
    feed->is_connected = true;
    if (store_io_feed_send(feed) != RC_OK) {
        store_io_feed_fail(feed, RC_STORE_DOWN);
    }
}

static void
store_io_on_lost(struct http_client_conn *conn, void *ctx)
{
    struct store_io_feed *feed = ctx;
    store_io_close(&feed->conn);
    feed->is_connected = false;
}

void
store_io_fetch(struct store_io *store, const struct sync_fetch *fetch)
{
    struct store_io_feed *feed = &store->feeds[fetch->kind];
    struct app *app = store->app;
    g_free(feed->path);
    feed->path = app->wire->fetch_path(fetch);
    feed->fetch = *fetch;
    feed->fetch.after = NULL;
    if (feed->is_connected && store_io_feed_send(feed) == RC_OK) {
        return;
    }
    /* An earlier call that was not answered still has the connection. */
    store_io_close(&feed->conn);
    feed->is_connected = false;
    if (http_client_connect(&app->loop, app->settings.store,
                            STORE_IO_BODY_MAX_BYTES, store_io_on_connected,
                            store_io_on_lost, feed, &feed->conn) != RC_OK) {
        feed->conn = NULL;
        log_warn("store", "cannot connect address=%s", app->settings.store);
    }
}

static void
store_io_vms_end(struct store_io_vms *vms, int64_t delay_us)
{
    store_io_close(&vms->conn);
    vms->is_in_flight = false;
    vms->due_us = app_now_us() + delay_us;
}

static void
store_io_on_vms_list(struct store_io_vms *vms,
                     const struct wire_objects *objects)
{
    struct app *app = vms->app;
    member_list_begin(&app->members);
    for (size_t i = 0; i < objects->reply.object_count; i++) {
        struct wire_vm vm;
        if (app->wire->read_vm(&objects->reply.objects[i], &vm) == RC_OK) {
            member_list_note(&app->members, vm.name, vm.peer_address, vm.dc,
                             vm.capacity, objects->reply.objects[i].revision);
        }
    }
    member_list_end(&app->members, app_now_us());
    peer_io_send_heartbeats(app->peers);
    app_sync(app);
}

static void
store_io_record_write(struct store_io_vms *vms)
{
    vms->is_written = true;
    vms->renewals += 1;
    vms->renewed_us = app_now_us();
}

/* What follows a reply to the step: another step at once, or STORE_IO_NONE. */
static enum store_io_step
store_io_vms_next(struct store_io_vms *vms,
                  const struct http_response *response)
{
    struct app *app = vms->app;
    int status = response->status;
    bool is_success = status >= 200 && status < 300;
    switch (vms->step) {
    case STORE_IO_CREATE:
        if (is_success) {
            store_io_record_write(vms);
            return STORE_IO_LIST;
        }
        return status == 409 ? STORE_IO_REPLACE : STORE_IO_NONE;
    case STORE_IO_REPLACE:
        if (is_success) {
            store_io_record_write(vms);
            return STORE_IO_LIST;
        }
        return status == 404 ? STORE_IO_CREATE : STORE_IO_NONE;
    case STORE_IO_LIST: {
        struct wire_objects objects;
        app->wire->read_objects(NULL, status, response->body,
                                response->body_bytes, &objects);
        is_success = objects.reply.rc == RC_OK;
        if (is_success) {
            store_io_on_vms_list(vms, &objects);
        }
        wire_objects_clear(&objects);
        vms->is_listed = is_success;
        return is_success && !vms->is_written ? STORE_IO_CREATE
                                              : STORE_IO_NONE;
    }
    case STORE_IO_DELETE:
    case STORE_IO_DELETE_EXPIRED:
    case STORE_IO_NONE:
        break;
    }
    return STORE_IO_NONE;
}

/* The first step of the next round: the own object is written again in time.
 */
static enum store_io_step
store_io_next_step(const struct store_io_vms *vms)
{
    if (!vms->is_written) {
        return vms->step;
    }
    if (app_now_us() - vms->renewed_us >= MEMBER_RENEWAL_IVL_US) {
        return STORE_IO_REPLACE;
    }
    return member_lost(&vms->app->members, app_now_us()) != NULL
               ? STORE_IO_DELETE_EXPIRED
               : STORE_IO_LIST;
}

/* Path of the call of the step; free with g_free. */
static char *
store_io_vms_path(const struct store_io_vms *vms)
{
    const struct app *app = vms->app;
    const struct member_vm *expired = NULL;
    switch (vms->step) {
    case STORE_IO_REPLACE:
    case STORE_IO_DELETE:
        return app->wire->vms_path(app->settings.vm);
    case STORE_IO_DELETE_EXPIRED:
        expired = member_lost(&vms->app->members, app_now_us());
        if (expired == NULL) {
            return NULL;
        }
        log_info("store", "deleting lost vm=%s silent_ms=%" G_GINT64_FORMAT,
                 expired->name, (app_now_us() - expired->renewed_us) / 1000);
        return app->wire->vms_lost_path(expired->name, expired->revision);
    case STORE_IO_LIST:
        return vms->is_registered ? app->wire->vms_stale_path()
                                  : app->wire->vms_path(NULL);
    case STORE_IO_CREATE:
    case STORE_IO_NONE:
        break;
    }
    return app->wire->vms_path(NULL);
}

static void store_io_vms_send(struct store_io_vms *vms);

static void
store_io_on_vms_reply(struct http_client_conn *conn,
                      const struct http_response *response, void *ctx)
{
    struct store_io_vms *vms = ctx;
    if (response->rc != RC_OK) {
        store_io_vms_end(vms, STORE_IO_RETRY_US);
        return;
    }
    if (vms->step == STORE_IO_DELETE) {
        store_io_vms_end(vms, INT32_MAX);
        return;
    }
    if (vms->step == STORE_IO_DELETE_EXPIRED) {
        vms->step = STORE_IO_LIST;
        store_io_vms_end(vms, STORE_IO_RETRY_US);
        return;
    }
    enum store_io_step next = store_io_vms_next(vms, response);
    if (next != STORE_IO_NONE) {
        vms->step = next;
        if (response->is_keepalive) {
            store_io_vms_send(vms);
        }
        else {
            store_io_vms_end(vms, 0);
        }
        return;
    }
    bool is_done = vms->is_written && vms->is_listed;
    if (!is_done) {
        log_warn("store", "call on own object refused step=%d status=%d",
                 vms->step, response->status);
    }
    vms->step = store_io_next_step(vms);
    vms->is_registered = vms->is_registered || is_done;
    int64_t interval_us = member_is_follower(&vms->app->members, app_now_us())
                              ? STORE_IO_VMS_FOLLOWER_IVL_US
                              : STORE_IO_VMS_IVL_US;
    store_io_vms_end(vms, is_done ? interval_us : STORE_IO_RETRY_US);
}

/* Sends the call of the step on the open connection. */
static void
store_io_vms_send(struct store_io_vms *vms)
{
    struct app *app = vms->app;
    static const struct {
        const char *method;
        const char *label;
    } calls[] = {
        [STORE_IO_CREATE] = {"POST", "vm_create"},
        [STORE_IO_REPLACE] = {"PUT", "vm_replace"},
        [STORE_IO_LIST] = {"GET", "vm_list"},
        [STORE_IO_DELETE] = {"DELETE", "vm_delete"},
        [STORE_IO_DELETE_EXPIRED] = {"DELETE", "vm_delete_lost"},
    };
    bool has_body =
        vms->step == STORE_IO_CREATE || vms->step == STORE_IO_REPLACE;
    char *path = store_io_vms_path(vms);
    if (path == NULL) {
        /* The expired VM was heard of meanwhile. */
        vms->step = STORE_IO_LIST;
        store_io_vms_end(vms, 0);
        return;
    }
    struct wire_vm vm = {
        .name = app->settings.vm,
        .peer_address = app->peer_address,
        .dc = app->settings.dc,
        .capacity = (uint32_t)app->settings.capacity,
        .renewals = vms->renewals,
    };
    char *body = has_body ? app->wire->write_vm(&vm) : NULL;
    counter_add(app->counters, "gateway_store_calls", calls[vms->step].label);
    int rc = http_client_request(vms->conn, calls[vms->step].method, path,
                                 NULL, body, body != NULL ? strlen(body) : 0,
                                 store_io_on_vms_reply, vms);
    g_free(path);
    g_free(body);
    if (rc != RC_OK) {
        store_io_vms_end(vms, STORE_IO_RETRY_US);
    }
}

static void
store_io_on_vms_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    if (rc != RC_OK) {
        store_io_vms_end(ctx, STORE_IO_RETRY_US);
        return;
    }
    store_io_vms_send(ctx);
}

static void
store_io_on_vms_lost(struct http_client_conn *conn, void *ctx)
{
    store_io_vms_end(ctx, STORE_IO_RETRY_US);
}

static void
store_io_vms_start(struct store_io_vms *vms, int64_t now_us)
{
    struct app *app = vms->app;
    vms->is_in_flight = true;
    vms->sent_us = now_us;
    if (http_client_connect(&app->loop, app->settings.store,
                            STORE_IO_BODY_MAX_BYTES, store_io_on_vms_connected,
                            store_io_on_vms_lost, vms, &vms->conn) != RC_OK) {
        vms->conn = NULL;
        store_io_vms_end(vms, STORE_IO_RETRY_US);
    }
}

struct store_io *
store_io_new(struct app *app)
{
    struct store_io *store = g_new0(struct store_io, 1);
    store->app = app;
    store->vms.app = app;
    store->vms.step = STORE_IO_LIST;
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        store->feeds[i].app = app;
    }
    return store;
}

void
store_io_free(struct store_io *store)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        store_io_close(&store->feeds[i].conn);
        g_free(store->feeds[i].path);
    }
    store_io_close(&store->vms.conn);
    g_free(store);
}

/* Whether the store has answered another call since the last one here. */
static bool
store_io_has_answered_since(const struct store_io_vms *vms, int64_t now_us)
{
    return vms->app->sync.last_answer_us > vms->sent_us &&
           now_us - vms->sent_us >= STORE_IO_SUPERSEDED_US;
}

void
store_io_tick(struct store_io *store, int64_t now_us)
{
    struct store_io_vms *vms = &store->vms;
    if (vms->is_in_flight && (now_us - vms->sent_us >= STORE_IO_TIMEOUT_US ||
                              store_io_has_answered_since(vms, now_us))) {
        log_warn("store", "no reply on own object");
        store_io_vms_end(vms, STORE_IO_RETRY_US);
    }
    if (!vms->is_in_flight && !vms->is_registered &&
        store_io_has_answered_since(vms, now_us)) {
        vms->due_us = now_us;
    }
    if (!vms->is_in_flight && now_us >= vms->due_us) {
        store_io_vms_start(vms, now_us);
    }
}

void
store_io_deregister(struct store_io *store)
{
    struct store_io_vms *vms = &store->vms;
    store_io_close(&vms->conn);
    vms->step = STORE_IO_DELETE;
    store_io_vms_start(vms, app_now_us());
}
