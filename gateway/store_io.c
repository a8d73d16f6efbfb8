#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/app.h"

/* Calls to the platform's store: one connection for each kind that is
 * followed, one for the VMs' own objects. */

#define STO_BODY_MAX_BYTES (16 * 1024 * 1024)
/* How often the list of VMs is read again, by hubs and by the others, who hear
 * of VMs from hubs. */
#define STO_VMS_IVL_US (10LL * 1000 * 1000)
#define STO_VMS_FOLLOWER_IVL_US (60LL * 1000 * 1000)
#define STO_RETRY_US (1000 * 1000)
#define STO_TIMEOUT_US (2000 * 1000)
/* A call that takes this long while a later one was answered is lost. */
#define STO_LOST_US (200 * 1000)

/* A followed kind and its connection. */
struct sto_feed {
    struct app *app;
    struct hcl_conn *conn;
    bool is_up;
    struct syn_fetch fetch;
    char *path;
};

/* Steps of a start: the list tells whom to follow, the own object makes this
 * VM known, and the list after it names those that wrote at the same time. */
enum sto_step {
    STO_NONE,
    STO_LIST,
    STO_CREATE,
    STO_REPLACE,
    STO_DELETE,
    STO_DELETE_LOST, /* the object of a VM that is lost */
};

/* The call on the VMs' own objects that is under way. */
struct sto_vms {
    struct app *app;
    struct hcl_conn *conn;
    enum sto_step step;
    bool is_in_flight;
    bool is_written;
    bool is_listed;
    bool is_known; /* written and listed once */
    int64_t renewals;
    int64_t renewed_us; /* when the own object was written last */
    int64_t due_us;
    int64_t sent_us;
};

struct sto {
    struct app *app;
    struct sto_feed feeds[MEM_KIND_COUNT];
    struct sto_vms vms;
};

static void
sto_close(struct hcl_conn **conn)
{
    hcl_close(*conn);
    *conn = NULL;
}

static void
sto_feed_fail(struct sto_feed *feed, int rc)
{
    sto_close(&feed->conn);
    feed->is_up = false;
    struct fed_reply reply = {.rc = rc};
    syn_on_reply(&feed->app->syn, &feed->fetch, &reply, app_now_us());
}

static void
sto_on_reply(struct hcl_conn *conn, const struct hcl_response *response,
             void *ctx)
{
    struct sto_feed *feed = ctx;
    struct app *app = feed->app;
    if (response->rc != RC_OK) {
        sto_feed_fail(feed, RC_STORE_DOWN);
        return;
    }
    struct wir_objects objects;
    app->wire->read_objects(&feed->fetch, response->status, response->body,
                            response->body_bytes, &objects);
    bool is_refused = objects.reply.rc == RC_STORE_DOWN;
    if (is_refused) {
        log_warn("store", "refused status=%d path=%s", response->status,
                 feed->path);
    }
    if (!response->is_keepalive || is_refused) {
        sto_close(&feed->conn);
        feed->is_up = false;
    }
    syn_on_reply(&app->syn, &feed->fetch, &objects.reply, app_now_us());
    wir_objects_clear(&objects);
}

/* Sends the feed's call on its open connection; the result is hcl_request()'s.
 */
static int
sto_feed_send(struct sto_feed *feed)
{
    int rc = hcl_request(feed->conn, "GET", feed->path, NULL, NULL, 0,
                         sto_on_reply, feed);
    if (rc == RC_OK) {
        cnt_add(feed->app->counters, "gateway_store_calls",
                feed->fetch.is_watch ? "watch" : "list");
    }
    return rc;
}

static void
sto_on_connected(struct hcl_conn *conn, int rc, void *ctx)
{
    struct sto_feed *feed = ctx;
    if (rc != RC_OK) {
        sto_feed_fail(feed, RC_STORE_DOWN);
        return;
    }
    feed->is_up = true;
    if (sto_feed_send(feed) != RC_OK) {
        sto_feed_fail(feed, RC_STORE_DOWN);
    }
}

static void
sto_on_lost(struct hcl_conn *conn, void *ctx)
{
    struct sto_feed *feed = ctx;
    sto_close(&feed->conn);
    feed->is_up = false;
}

void
sto_fetch(struct sto *store, const struct syn_fetch *fetch)
{
    struct sto_feed *feed = &store->feeds[fetch->kind];
    struct app *app = store->app;
    g_free(feed->path);
    feed->path = app->wire->fetch_path(fetch);
    feed->fetch = *fetch;
    feed->fetch.after = NULL;
    if (feed->is_up && sto_feed_send(feed) == RC_OK) {
        return;
    }
    /* An earlier call that was not answered still has the connection. */
    sto_close(&feed->conn);
    feed->is_up = false;
    if (hcl_connect(&app->loop, app->settings.store, STO_BODY_MAX_BYTES,
                    sto_on_connected, sto_on_lost, feed,
                    &feed->conn) != RC_OK) {
        feed->conn = NULL;
        log_warn("store", "cannot connect address=%s", app->settings.store);
    }
}

static void
sto_vms_end(struct sto_vms *vms, int64_t delay_us)
{
    sto_close(&vms->conn);
    vms->is_in_flight = false;
    vms->due_us = app_now_us() + delay_us;
}

static void
sto_on_vms_list(struct sto_vms *vms, const struct wir_objects *objects)
{
    struct app *app = vms->app;
    mem_list_begin(&app->mem);
    for (size_t i = 0; i < objects->reply.object_count; i++) {
        struct wir_vm vm;
        if (app->wire->read_vm(&objects->reply.objects[i], &vm) == RC_OK) {
            mem_list_note(&app->mem, vm.name, vm.peer_address, vm.dc,
                          vm.capacity, objects->reply.objects[i].revision);
        }
    }
    mem_list_end(&app->mem, app_now_us());
    pio_beat(app->peers);
    app_sync(app);
}

static void
sto_note_written(struct sto_vms *vms)
{
    vms->is_written = true;
    vms->renewals += 1;
    vms->renewed_us = app_now_us();
}

/* What follows a reply to the step: another step at once, or STO_NONE. */
static enum sto_step
sto_vms_next(struct sto_vms *vms, const struct hcl_response *response)
{
    struct app *app = vms->app;
    int status = response->status;
    bool is_good = status >= 200 && status < 300;
    switch (vms->step) {
    case STO_CREATE:
        if (is_good) {
            sto_note_written(vms);
            return STO_LIST;
        }
        return status == 409 ? STO_REPLACE : STO_NONE;
    case STO_REPLACE:
        if (is_good) {
            sto_note_written(vms);
            return STO_LIST;
        }
        return status == 404 ? STO_CREATE : STO_NONE;
    case STO_LIST: {
        struct wir_objects objects;
        app->wire->read_objects(NULL, status, response->body,
                                response->body_bytes, &objects);
        is_good = objects.reply.rc == RC_OK;
        if (is_good) {
            sto_on_vms_list(vms, &objects);
        }
        wir_objects_clear(&objects);
        vms->is_listed = is_good;
        return is_good && !vms->is_written ? STO_CREATE : STO_NONE;
    }
    case STO_DELETE:
    case STO_DELETE_LOST:
    case STO_NONE:
        break;
    }
    return STO_NONE;
}

/* The first step of the next round: the own object is written again in time.
 */
static enum sto_step
sto_next_step(const struct sto_vms *vms)
{
    if (!vms->is_written) {
        return vms->step;
    }
    if (app_now_us() - vms->renewed_us >= MEM_RENEW_US) {
        return STO_REPLACE;
    }
    return mem_lost(&vms->app->mem, app_now_us()) != NULL ? STO_DELETE_LOST
                                                          : STO_LIST;
}

/* Path of the call of the step; free with g_free. */
static char *
sto_vms_path(const struct sto_vms *vms)
{
    const struct app *app = vms->app;
    const struct mem_vm *lost = NULL;
    switch (vms->step) {
    case STO_REPLACE:
    case STO_DELETE:
        return app->wire->vms_path(app->settings.vm);
    case STO_DELETE_LOST:
        lost = mem_lost(&vms->app->mem, app_now_us());
        if (lost == NULL) {
            return NULL;
        }
        log_info("store", "deleting lost vm=%s silent_ms=%" G_GINT64_FORMAT,
                 lost->name, (app_now_us() - lost->renewed_us) / 1000);
        return app->wire->vms_lost_path(lost->name, lost->revision);
    case STO_LIST:
        return vms->is_known ? app->wire->vms_stale_path()
                             : app->wire->vms_path(NULL);
    case STO_CREATE:
    case STO_NONE:
        break;
    }
    return app->wire->vms_path(NULL);
}

static void sto_vms_send(struct sto_vms *vms);

static void
sto_on_vms_reply(struct hcl_conn *conn, const struct hcl_response *response,
                 void *ctx)
{
    struct sto_vms *vms = ctx;
    if (response->rc != RC_OK) {
        sto_vms_end(vms, STO_RETRY_US);
        return;
    }
    if (vms->step == STO_DELETE) {
        sto_vms_end(vms, INT32_MAX);
        return;
    }
    if (vms->step == STO_DELETE_LOST) {
        vms->step = STO_LIST;
        sto_vms_end(vms, STO_RETRY_US);
        return;
    }
    enum sto_step next = sto_vms_next(vms, response);
    if (next != STO_NONE) {
        vms->step = next;
        if (response->is_keepalive) {
            sto_vms_send(vms);
        }
        else {
            sto_vms_end(vms, 0);
        }
        return;
    }
    bool is_done = vms->is_written && vms->is_listed;
    if (!is_done) {
        log_warn("store", "call on own object refused step=%d status=%d",
                 vms->step, response->status);
    }
    vms->step = sto_next_step(vms);
    vms->is_known = vms->is_known || is_done;
    int64_t again_us = mem_is_follower(&vms->app->mem, app_now_us())
                           ? STO_VMS_FOLLOWER_IVL_US
                           : STO_VMS_IVL_US;
    sto_vms_end(vms, is_done ? again_us : STO_RETRY_US);
}

/* Sends the call of the step on the open connection. */
static void
sto_vms_send(struct sto_vms *vms)
{
    struct app *app = vms->app;
    static const struct {
        const char *method;
        const char *label;
    } calls[] = {
        [STO_CREATE] = {"POST", "vm_create"},
        [STO_REPLACE] = {"PUT", "vm_replace"},
        [STO_LIST] = {"GET", "vm_list"},
        [STO_DELETE] = {"DELETE", "vm_delete"},
        [STO_DELETE_LOST] = {"DELETE", "vm_delete_lost"},
    };
    bool has_body = vms->step == STO_CREATE || vms->step == STO_REPLACE;
    char *path = sto_vms_path(vms);
    if (path == NULL) {
        /* The lost VM was heard of meanwhile. */
        vms->step = STO_LIST;
        sto_vms_end(vms, 0);
        return;
    }
    struct wir_vm vm = {
        .name = app->settings.vm,
        .peer_address = app->peer_address,
        .dc = app->settings.dc,
        .capacity = (uint32_t)app->settings.capacity,
        .renewals = vms->renewals,
    };
    char *body = has_body ? app->wire->write_vm(&vm) : NULL;
    cnt_add(app->counters, "gateway_store_calls", calls[vms->step].label);
    int rc =
        hcl_request(vms->conn, calls[vms->step].method, path, NULL, body,
                    body != NULL ? strlen(body) : 0, sto_on_vms_reply, vms);
    g_free(path);
    g_free(body);
    if (rc != RC_OK) {
        sto_vms_end(vms, STO_RETRY_US);
    }
}

static void
sto_on_vms_connected(struct hcl_conn *conn, int rc, void *ctx)
{
    if (rc != RC_OK) {
        sto_vms_end(ctx, STO_RETRY_US);
        return;
    }
    sto_vms_send(ctx);
}

static void
sto_on_vms_lost(struct hcl_conn *conn, void *ctx)
{
    sto_vms_end(ctx, STO_RETRY_US);
}

static void
sto_vms_start(struct sto_vms *vms, int64_t now_us)
{
    struct app *app = vms->app;
    vms->is_in_flight = true;
    vms->sent_us = now_us;
    if (hcl_connect(&app->loop, app->settings.store, STO_BODY_MAX_BYTES,
                    sto_on_vms_connected, sto_on_vms_lost, vms,
                    &vms->conn) != RC_OK) {
        vms->conn = NULL;
        sto_vms_end(vms, STO_RETRY_US);
    }
}

struct sto *
sto_new(struct app *app)
{
    struct sto *store = g_new0(struct sto, 1);
    store->app = app;
    store->vms.app = app;
    store->vms.step = STO_LIST;
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        store->feeds[i].app = app;
    }
    return store;
}

void
sto_free(struct sto *store)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        sto_close(&store->feeds[i].conn);
        g_free(store->feeds[i].path);
    }
    sto_close(&store->vms.conn);
    g_free(store);
}

/* Whether the store has answered another call since the last one here. */
static bool
sto_has_answered_since(const struct sto_vms *vms, int64_t now_us)
{
    return vms->app->syn.answered_us > vms->sent_us &&
           now_us - vms->sent_us >= STO_LOST_US;
}

void
sto_tick(struct sto *store, int64_t now_us)
{
    struct sto_vms *vms = &store->vms;
    if (vms->is_in_flight && (now_us - vms->sent_us >= STO_TIMEOUT_US ||
                              sto_has_answered_since(vms, now_us))) {
        log_warn("store", "no reply on own object");
        sto_vms_end(vms, STO_RETRY_US);
    }
    if (!vms->is_in_flight && !vms->is_known &&
        sto_has_answered_since(vms, now_us)) {
        vms->due_us = now_us;
    }
    if (!vms->is_in_flight && now_us >= vms->due_us) {
        sto_vms_start(vms, now_us);
    }
}

void
sto_unlist(struct sto *store)
{
    struct sto_vms *vms = &store->vms;
    sto_close(&vms->conn);
    vms->step = STO_DELETE;
    sto_vms_start(vms, app_now_us());
}
