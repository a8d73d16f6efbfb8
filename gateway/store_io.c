#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/app.h"

/*
 * Calls to the platform's store. Each kind of objects that sync watches has a
 * connection of its own, which stays open between calls. One more connection
 * serves the registration: it creates and renews this VM's object, lists those
 * of the other VMs and deletes expired ones. Times are in microseconds of the
 * monotonic clock.
 */

#define STORE_IO_BODY_MAX_BYTES (16 * 1024 * 1024)
/* How often hubs read the list of VMs, and how often the others do, which
 * learn of VMs from hubs. */
#define STORE_IO_LIST_INTERVAL_US (10LL * 1000 * 1000)
#define STORE_IO_LIST_FOLLOWER_INTERVAL_US (60LL * 1000 * 1000)
#define STORE_IO_RETRY_US (1000 * 1000)
/* Calls of one round of the registration: list, create, replace and list
 * again. After more the round ends: the answers contradict each other. */
#define STORE_IO_ROUND_CALLS_MAX 4
#define STORE_IO_TIMEOUT_US (2000 * 1000)
/* A call has failed when it is this old and the store has answered another
 * call since it was sent. */
#define STORE_IO_SUPERSEDED_US (200 * 1000)

/* Connection and last fetch of a kind. */
struct store_io_feed {
    struct app *app;
    struct http_client_conn *conn;
    bool is_connected;
    struct sync_fetch fetch;
    char *path;
};

/*
 * Calls of the registration. A VM that starts lists the VMs, which shows which
 * VMs are hubs, then creates its object so that the others find it, then lists
 * the VMs again to find those that created theirs at the same time.
 */
enum store_io_step {
    STORE_IO_NONE,
    STORE_IO_LIST,
    STORE_IO_CREATE,
    STORE_IO_REPLACE,
    STORE_IO_DELETE,
    STORE_IO_DELETE_EXPIRED, /* the expired object of another VM */
};

/* State of the registration. */
struct store_io_registration {
    struct app *app;
    struct http_client_conn *conn;
    enum store_io_step step;
    bool is_in_flight;
    bool is_written;
    bool is_listed;
    bool is_registered; /* written and listed once */
    int64_t renewals;   /* how often this VM's object was written */
    int64_t renewed_us; /* when it was last written */
    int64_t due_us;
    int64_t sent_us;
    uint32_t call_count; /* answered since the last pause */
};

struct store_io {
    struct app *app;
    struct store_io_feed feeds[OBJECT_KIND_COUNT];
    struct store_io_registration registration;
};

static void
store_io_close_conn(struct http_client_conn **conn)
{
    http_client_close(*conn);
    *conn = NULL;
}

static void
store_io_fail_fetch(struct store_io_feed *feed, int rc)
{
    store_io_close_conn(&feed->conn);
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
        store_io_fail_fetch(feed, RC_STORE_DOWN);
        return;
    }
    struct wire_objects objects;
    app->wire->read_objects(&feed->fetch, response->status, response->body,
                            response->body_bytes, &objects);
    bool is_refused = objects.reply.rc == RC_STORE_DOWN;
    if (is_refused) {
        log_warn("store", "error response from the store status=%d path=%s",
                 response->status, feed->path);
    }
    if (!response->is_keepalive || is_refused) {
        store_io_close_conn(&feed->conn);
        feed->is_connected = false;
    }
    sync_on_reply(&app->sync, &feed->fetch, &objects.reply, app_now_us());
    wire_objects_clear(&objects);
}

/* Sends the feed's fetch on its open connection. Returns as
 * http_client_request(). */
static int
store_io_send_fetch(struct store_io_feed *feed)
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
        store_io_fail_fetch(feed, RC_STORE_DOWN);
        return;
    }
    feed->is_connected = true;
    if (store_io_send_fetch(feed) != RC_OK) {
        store_io_fail_fetch(feed, RC_STORE_DOWN);
    }
}

static void
store_io_on_lost(struct http_client_conn *conn, void *ctx)
{
    struct store_io_feed *feed = ctx;
    store_io_close_conn(&feed->conn);
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
    if (feed->is_connected && store_io_send_fetch(feed) == RC_OK) {
        return;
    }
    /* The connection may be blocked by an earlier call without a response. */
    store_io_close_conn(&feed->conn);
    feed->is_connected = false;
    feed->conn = http_client_connect(
        &app->loop, app->settings.store, STORE_IO_BODY_MAX_BYTES,
        store_io_on_connected, store_io_on_lost, feed);
}

static void
store_io_end_registration_call(struct store_io_registration *registration,
                               int64_t delay_us)
{
    store_io_close_conn(&registration->conn);
    registration->is_in_flight = false;
    registration->due_us = app_now_us() + delay_us;
    if (delay_us > 0) {
        registration->call_count = 0;
    }
}

static void
store_io_on_vms_list(struct store_io_registration *registration,
                     const struct wire_objects *objects)
{
    struct app *app = registration->app;
    member_list_start(&app->members);
    for (size_t i = 0; i < objects->reply.object_count; i++) {
        struct wire_vm vm;
        if (app->wire->read_vm(&objects->reply.objects[i], &vm) == RC_OK) {
            member_list_add(&app->members, vm.name, vm.peer_address, vm.dc,
                            vm.capacity, objects->reply.objects[i].revision);
        }
    }
    member_list_end(&app->members, app_now_us());
    peer_io_send_heartbeats(app->peers);
    app_sync(app);
}

static void
store_io_record_write(struct store_io_registration *registration)
{
    registration->is_written = true;
    registration->renewals += 1;
    registration->renewed_us = app_now_us();
}

/* Handles the response to the current call. Returns the call to make at once,
 * or STORE_IO_NONE. */
static enum store_io_step
store_io_registration_next(struct store_io_registration *registration,
                           const struct http_response *response)
{
    struct app *app = registration->app;
    int status = response->status;
    bool is_success = status >= 200 && status < 300;
    switch (registration->step) {
    case STORE_IO_CREATE:
        if (is_success) {
            store_io_record_write(registration);
            return STORE_IO_LIST;
        }
        return status == 409 ? STORE_IO_REPLACE : STORE_IO_NONE;
    case STORE_IO_REPLACE:
        if (is_success) {
            store_io_record_write(registration);
            return STORE_IO_LIST;
        }
        return status == 404 ? STORE_IO_CREATE : STORE_IO_NONE;
    case STORE_IO_LIST: {
        struct wire_objects objects;
        app->wire->read_objects(NULL, status, response->body,
                                response->body_bytes, &objects);
        is_success = objects.reply.rc == RC_OK;
        if (is_success) {
            store_io_on_vms_list(registration, &objects);
        }
        wire_objects_clear(&objects);
        registration->is_listed = is_success;
        return is_success && !registration->is_written ? STORE_IO_CREATE
                                                       : STORE_IO_NONE;
    }
    case STORE_IO_DELETE:
    case STORE_IO_DELETE_EXPIRED:
    case STORE_IO_NONE:
        break;
    }
    return STORE_IO_NONE;
}

/* The call that starts the next round: renews this VM's object when that is
 * due, else deletes an expired one, else lists the VMs. */
static enum store_io_step
store_io_next_round_step(const struct store_io_registration *registration)
{
    if (!registration->is_written) {
        return registration->step;
    }
    if (app_now_us() - registration->renewed_us >=
        MEMBER_RENEWAL_INTERVAL_US) {
        return STORE_IO_REPLACE;
    }
    return member_find_expired(&registration->app->members, app_now_us()) !=
                   NULL
               ? STORE_IO_DELETE_EXPIRED
               : STORE_IO_LIST;
}

/* Path of the current call, or NULL if no object has expired; free with
 * g_free. */
static char *
store_io_registration_path(const struct store_io_registration *registration)
{
    const struct app *app = registration->app;
    const struct member_vm *expired = NULL;
    switch (registration->step) {
    case STORE_IO_REPLACE:
    case STORE_IO_DELETE:
        return app->wire->vms_path(app->settings.vm);
    case STORE_IO_DELETE_EXPIRED:
        expired =
            member_find_expired(&registration->app->members, app_now_us());
        if (expired == NULL) {
            return NULL;
        }
        log_info("store",
                 "deleting the object of an expired VM vm=%s "
                 "silent_ms=%" G_GINT64_FORMAT,
                 expired->name, (app_now_us() - expired->renewed_us) / 1000);
        return app->wire->vms_expired_path(expired->name, expired->revision);
    case STORE_IO_LIST:
        return registration->is_registered ? app->wire->vms_stale_path()
                                           : app->wire->vms_path(NULL);
    case STORE_IO_CREATE:
    case STORE_IO_NONE:
        break;
    }
    return app->wire->vms_path(NULL);
}

static void
store_io_send_registration(struct store_io_registration *registration);

static void
store_io_on_registration_reply(struct http_client_conn *conn,
                               const struct http_response *response, void *ctx)
{
    struct store_io_registration *registration = ctx;
    if (response->rc != RC_OK) {
        store_io_end_registration_call(registration, STORE_IO_RETRY_US);
        return;
    }
    if (registration->step == STORE_IO_DELETE) {
        store_io_end_registration_call(registration, INT32_MAX);
        return;
    }
    if (registration->step == STORE_IO_DELETE_EXPIRED) {
        registration->step = STORE_IO_LIST;
        store_io_end_registration_call(registration, STORE_IO_RETRY_US);
        return;
    }
    enum store_io_step next =
        store_io_registration_next(registration, response);
    registration->call_count += 1;
    if (next != STORE_IO_NONE &&
        registration->call_count < STORE_IO_ROUND_CALLS_MAX) {
        registration->step = next;
        if (response->is_keepalive) {
            store_io_send_registration(registration);
        }
        else {
            store_io_end_registration_call(registration, 0);
        }
        return;
    }
    bool is_done = registration->is_written && registration->is_listed;
    if (!is_done) {
        log_warn("store",
                 "registration call failed, retrying step=%d status=%d",
                 registration->step, response->status);
    }
    registration->step = store_io_next_round_step(registration);
    registration->is_registered = registration->is_registered || is_done;
    int64_t interval_us =
        member_is_follower(&registration->app->members, app_now_us())
            ? STORE_IO_LIST_FOLLOWER_INTERVAL_US
            : STORE_IO_LIST_INTERVAL_US;
    store_io_end_registration_call(registration,
                                   is_done ? interval_us : STORE_IO_RETRY_US);
}

/* Sends the current call on the open connection. */
static void
store_io_send_registration(struct store_io_registration *registration)
{
    struct app *app = registration->app;
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
    bool has_body = registration->step == STORE_IO_CREATE ||
                    registration->step == STORE_IO_REPLACE;
    char *path = store_io_registration_path(registration);
    if (path == NULL) {
        /* The VM has sent a heartbeat or renewed its object. */
        registration->step = STORE_IO_LIST;
        store_io_end_registration_call(registration, 0);
        return;
    }
    struct wire_vm vm = {
        .name = app->settings.vm,
        .peer_address = app->peer_address,
        .dc = app->settings.dc,
        .capacity = (uint32_t)app->settings.capacity,
        .renewals = registration->renewals,
    };
    char *body = has_body ? app->wire->write_vm(&vm) : NULL;
    counter_add(app->counters, "gateway_store_calls",
                calls[registration->step].label);
    int rc = http_client_request(registration->conn,
                                 calls[registration->step].method, path, NULL,
                                 body, body != NULL ? strlen(body) : 0,
                                 store_io_on_registration_reply, registration);
    g_free(path);
    g_free(body);
    if (rc != RC_OK) {
        store_io_end_registration_call(registration, STORE_IO_RETRY_US);
    }
}

static void
store_io_on_registration_connected(struct http_client_conn *conn, int rc,
                                   void *ctx)
{
    if (rc != RC_OK) {
        store_io_end_registration_call(ctx, STORE_IO_RETRY_US);
        return;
    }
    store_io_send_registration(ctx);
}

static void
store_io_on_registration_lost(struct http_client_conn *conn, void *ctx)
{
    store_io_end_registration_call(ctx, STORE_IO_RETRY_US);
}

static void
store_io_start_registration(struct store_io_registration *registration,
                            int64_t now_us)
{
    struct app *app = registration->app;
    registration->is_in_flight = true;
    registration->sent_us = now_us;
    registration->conn = http_client_connect(
        &app->loop, app->settings.store, STORE_IO_BODY_MAX_BYTES,
        store_io_on_registration_connected, store_io_on_registration_lost,
        registration);
}

struct store_io *
store_io_new(struct app *app)
{
    struct store_io *store = g_new0(struct store_io, 1);
    store->app = app;
    store->registration.app = app;
    store->registration.step = STORE_IO_LIST;
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        store->feeds[i].app = app;
    }
    return store;
}

void
store_io_free(struct store_io *store)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        store_io_close_conn(&store->feeds[i].conn);
        g_free(store->feeds[i].path);
    }
    store_io_close_conn(&store->registration.conn);
    g_free(store);
}

/* Whether the store has answered a call of another connection since the last
 * registration call was sent, which is old enough to count as failed. */
static bool
store_io_has_answered_since(const struct store_io_registration *registration,
                            int64_t now_us)
{
    return registration->app->sync.last_answer_us > registration->sent_us &&
           now_us - registration->sent_us >= STORE_IO_SUPERSEDED_US;
}

void
store_io_tick(struct store_io *store, int64_t now_us)
{
    struct store_io_registration *registration = &store->registration;
    if (registration->is_in_flight &&
        (now_us - registration->sent_us >= STORE_IO_TIMEOUT_US ||
         store_io_has_answered_since(registration, now_us))) {
        log_warn("store", "registration call timed out, retrying");
        store_io_end_registration_call(registration, STORE_IO_RETRY_US);
    }
    if (!registration->is_in_flight && !registration->is_registered &&
        store_io_has_answered_since(registration, now_us)) {
        registration->due_us = now_us;
    }
    if (!registration->is_in_flight && now_us >= registration->due_us) {
        store_io_start_registration(registration, now_us);
    }
}

void
store_io_deregister(struct store_io *store)
{
    struct store_io_registration *registration = &store->registration;
    store_io_close_conn(&registration->conn);
    registration->step = STORE_IO_DELETE;
    store_io_start_registration(registration, app_now_us());
}
