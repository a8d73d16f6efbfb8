#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/app.h"

/*
 * Registration of this VM in the platform's store, with one call at a time: it
 * creates and renews this VM's object, lists those of the other VMs and
 * deletes expired ones. Times are in microseconds of the monotonic clock.
 */

#define REGISTER_IO_BODY_MAX_BYTES (16 * 1024 * 1024)
/* How often hubs read the list of VMs, and how often the others do, which
 * learn of VMs from hubs. */
#define REGISTER_IO_LIST_INTERVAL_US (10LL * 1000 * 1000)
#define REGISTER_IO_LIST_FOLLOWER_INTERVAL_US (60LL * 1000 * 1000)
#define REGISTER_IO_RETRY_US (1000 * 1000)
/* After a return of the store to an older copy the VMs write their objects
 * again, this far apart on average. */
#define REGISTER_IO_REWRITE_APART_US (25 * 1000)
/* Calls of one round of the registration: list, create, replace and list
 * again. After more the round ends: the answers contradict each other. */
#define REGISTER_IO_ROUND_CALLS_MAX 4
#define REGISTER_IO_TIMEOUT_US (2000 * 1000)
/* A call has failed when it is this old and the store has answered another
 * call since it was sent. */
#define REGISTER_IO_SUPERSEDED_US (200 * 1000)

/*
 * Calls of the registration. A VM that starts lists the VMs, which shows which
 * VMs are hubs, then creates its object so that the others find it, then lists
 * the VMs again to find those that created theirs at the same time.
 */
enum register_io_step {
    REGISTER_IO_NONE,
    REGISTER_IO_LIST,
    REGISTER_IO_CREATE,
    REGISTER_IO_REPLACE,
    REGISTER_IO_DELETE,
    REGISTER_IO_DELETE_EXPIRED, /* the expired object of another VM */
};

/* State of the registration. */
struct register_io {
    struct app *app;
    struct http_client_conn *conn;
    enum register_io_step step;
    bool is_in_flight;
    bool is_written;
    bool is_listed;
    bool is_registered; /* written and listed once */
    int64_t renewals;   /* how often this VM's object was written */
    int64_t renewed_us; /* when it was last written */
    int64_t due_us;
    int64_t sent_us;
    uint32_t call_count; /* answered since the last pause */
    int64_t seen_era; /* of the store, when the object was last written or its
                       * write was planned */
    /* When this VM's object is to be written again because its content has
     * changed or the store has returned, 0: that has begun, or it need not be.
     */
    int64_t rewrite_us;
    bool must_rewrite; /* that has begun */
};

static void
register_io_end_call(struct register_io *registration, int64_t delay_us)
{
    http_client_close(registration->conn);
    registration->conn = NULL;
    registration->is_in_flight = false;
    registration->due_us = app_now_us() + delay_us;
    if (delay_us > 0) {
        registration->call_count = 0;
    }
}

static void
register_io_on_vms(struct register_io *registration,
                   const struct wire_objects *objects)
{
    struct app *app = registration->app;
    member_list_start(&app->members);
    for (size_t i = 0; i < objects->reply.object_count; i++) {
        struct wire_vm vm;
        if (app->wire->read_vm(&objects->reply.objects[i], &vm) == RC_OK) {
            member_list_add(&app->members, vm.name, vm.peer_address, vm.dc,
                            vm.capacity, objects->reply.objects[i].position);
        }
    }
    member_list_end(&app->members, app_now_us());
    peer_io_send_heartbeats(app->peers);
    app_sync(app);
}

static void
register_io_record_write(struct register_io *registration)
{
    registration->is_written = true;
    registration->renewals += 1;
    registration->renewed_us = app_now_us();
    registration->rewrite_us = 0;
    registration->must_rewrite = false;
    registration->seen_era = registration->app->sync.store.era;
}

/* Handles the response to the current call. Returns the call to make at once,
 * or REGISTER_IO_NONE. */
static enum register_io_step
register_io_next_step(struct register_io *registration,
                      const struct http_response *response)
{
    struct app *app = registration->app;
    int status = response->status;
    bool is_success = status >= 200 && status < 300;
    switch (registration->step) {
    case REGISTER_IO_CREATE:
        if (is_success) {
            register_io_record_write(registration);
            return REGISTER_IO_LIST;
        }
        return status == 409 ? REGISTER_IO_REPLACE : REGISTER_IO_NONE;
    case REGISTER_IO_REPLACE:
        if (is_success) {
            register_io_record_write(registration);
            return REGISTER_IO_LIST;
        }
        return status == 404 ? REGISTER_IO_CREATE : REGISTER_IO_NONE;
    case REGISTER_IO_LIST: {
        struct wire_objects objects;
        app->wire->read_objects(NULL, app->sync.store.era, status,
                                response->body, response->body_bytes,
                                &objects);
        is_success = objects.reply.rc == RC_OK;
        if (is_success) {
            register_io_on_vms(registration, &objects);
        }
        wire_objects_clear(&objects);
        registration->is_listed = is_success;
        return is_success && !registration->is_written ? REGISTER_IO_CREATE
                                                       : REGISTER_IO_NONE;
    }
    case REGISTER_IO_DELETE:
    case REGISTER_IO_DELETE_EXPIRED:
    case REGISTER_IO_NONE:
        break;
    }
    return REGISTER_IO_NONE;
}

/* Returns a VM whose object may be deleted, or NULL. The condition of the
 * deletion is a revision, so it must be of the store's era. */
static const struct member_vm *
register_io_find_expired(const struct register_io *registration,
                         int64_t now_us)
{
    struct app *app = registration->app;
    const struct member_vm *vm = member_find_expired(&app->members, now_us);
    return vm != NULL && vm->position.era == app->sync.store.era ? vm : NULL;
}

/* The call that starts the next round: renews this VM's object when that is
 * due, else deletes an expired one, else lists the VMs. */
static enum register_io_step
register_io_next_round_step(const struct register_io *registration)
{
    if (!registration->is_written) {
        return registration->step;
    }
    int64_t now_us = app_now_us();
    if (registration->must_rewrite ||
        now_us - registration->renewed_us >= MEMBER_RENEWAL_INTERVAL_US) {
        return REGISTER_IO_REPLACE;
    }
    return register_io_find_expired(registration, now_us) != NULL
               ? REGISTER_IO_DELETE_EXPIRED
               : REGISTER_IO_LIST;
}

/* Path of the current call, or NULL if no object has expired; free with
 * g_free. */
static char *
register_io_path(const struct register_io *registration)
{
    const struct app *app = registration->app;
    const struct member_vm *expired = NULL;
    switch (registration->step) {
    case REGISTER_IO_REPLACE:
    case REGISTER_IO_DELETE:
        return app->wire->vms_path(app->settings.vm);
    case REGISTER_IO_DELETE_EXPIRED:
        expired = register_io_find_expired(registration, app_now_us());
        if (expired == NULL) {
            return NULL;
        }
        log_info("store",
                 "deleting the object of an expired VM vm=%s "
                 "silent_ms=%" G_GINT64_FORMAT,
                 expired->name, (app_now_us() - expired->renewed_us) / 1000);
        return app->wire->vms_expired_path(expired->name, expired->position);
    case REGISTER_IO_LIST:
        return registration->is_registered ? app->wire->vms_stale_path()
                                           : app->wire->vms_path(NULL);
    case REGISTER_IO_CREATE:
    case REGISTER_IO_NONE:
        break;
    }
    return app->wire->vms_path(NULL);
}

static void register_io_send(struct register_io *registration);

/* Makes the next call of the round. */
static void
register_io_continue(struct register_io *registration,
                     enum register_io_step next, bool is_keepalive)
{
    registration->step = next;
    if (is_keepalive) {
        register_io_send(registration);
    }
    else {
        register_io_end_call(registration, 0);
    }
}

/* Ends the round with this status of its last call. */
static void
register_io_end_round(struct register_io *registration, int status)
{
    bool is_done = registration->is_written && registration->is_listed &&
                   !registration->must_rewrite;
    if (!is_done) {
        log_warn("store",
                 "registration call failed, retrying step=%d status=%d",
                 registration->step, status);
    }
    registration->step = register_io_next_round_step(registration);
    registration->is_registered = registration->is_registered || is_done;
    int64_t interval_us =
        member_is_follower(&registration->app->members, app_now_us())
            ? REGISTER_IO_LIST_FOLLOWER_INTERVAL_US
            : REGISTER_IO_LIST_INTERVAL_US;
    register_io_end_call(registration,
                         is_done ? interval_us : REGISTER_IO_RETRY_US);
}

static void
register_io_on_reply(struct http_client_conn *conn,
                     const struct http_response *response, void *ctx)
{
    struct register_io *registration = ctx;
    if (response->rc != RC_OK ||
        !app_on_store_answer(registration->app, response)) {
        register_io_end_call(registration, REGISTER_IO_RETRY_US);
        return;
    }
    if (registration->step == REGISTER_IO_DELETE) {
        register_io_end_call(registration, INT32_MAX);
        return;
    }
    if (registration->step == REGISTER_IO_DELETE_EXPIRED) {
        registration->step = REGISTER_IO_LIST;
        register_io_end_call(registration, REGISTER_IO_RETRY_US);
        return;
    }
    enum register_io_step next = register_io_next_step(registration, response);
    registration->call_count += 1;
    if (next != REGISTER_IO_NONE &&
        registration->call_count < REGISTER_IO_ROUND_CALLS_MAX) {
        register_io_continue(registration, next, response->is_keepalive);
    }
    else {
        register_io_end_round(registration, response->status);
    }
}

/* Sends the current call on the open connection. */
static void
register_io_send(struct register_io *registration)
{
    struct app *app = registration->app;
    static const struct {
        const char *method;
        const char *label;
    } calls[] = {
        [REGISTER_IO_CREATE] = {"POST", "vm_create"},
        [REGISTER_IO_REPLACE] = {"PUT", "vm_replace"},
        [REGISTER_IO_LIST] = {"GET", "vm_list"},
        [REGISTER_IO_DELETE] = {"DELETE", "vm_delete"},
        [REGISTER_IO_DELETE_EXPIRED] = {"DELETE", "vm_delete_lost"},
    };
    bool has_body = registration->step == REGISTER_IO_CREATE ||
                    registration->step == REGISTER_IO_REPLACE;
    char *path = register_io_path(registration);
    if (path == NULL) {
        /* The VM has sent a heartbeat or renewed its object. */
        registration->step = REGISTER_IO_LIST;
        register_io_end_call(registration, 0);
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
    int rc = http_client_request(
        registration->conn, calls[registration->step].method, path, NULL, body,
        body != NULL ? strlen(body) : 0, register_io_on_reply, registration);
    g_free(path);
    g_free(body);
    if (rc != RC_OK) {
        register_io_end_call(registration, REGISTER_IO_RETRY_US);
    }
}

static void
register_io_on_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    if (rc != RC_OK) {
        register_io_end_call(ctx, REGISTER_IO_RETRY_US);
        return;
    }
    register_io_send(ctx);
}

static void
register_io_on_lost(struct http_client_conn *conn, void *ctx)
{
    register_io_end_call(ctx, REGISTER_IO_RETRY_US);
}

static void
register_io_start(struct register_io *registration, int64_t now_us)
{
    struct app *app = registration->app;
    registration->is_in_flight = true;
    registration->sent_us = now_us;
    registration->conn = http_client_connect(
        &app->loop, app->settings.store, REGISTER_IO_BODY_MAX_BYTES,
        &app->allot.shares[ALLOT_STORE], register_io_on_connected,
        register_io_on_lost, registration);
}

struct register_io *
register_io_new(struct app *app)
{
    struct register_io *registration = g_new0(struct register_io, 1);
    registration->app = app;
    registration->step = REGISTER_IO_LIST;
    return registration;
}

void
register_io_free(struct register_io *registration)
{
    http_client_close(registration->conn);
    g_free(registration);
}

/* Whether the store has answered a call of another connection since the last
 * registration call was sent, which is old enough to count as failed. */
static bool
register_io_has_answered_since(const struct register_io *registration,
                               int64_t now_us)
{
    return registration->app->sync.last_answer_us > registration->sent_us &&
           now_us - registration->sent_us >= REGISTER_IO_SUPERSEDED_US;
}

/* After a return of the store this VM's object may be an older one or missing:
 * plans to write it again. VMs spread their writes by the hash of their names,
 * so that the store is not asked for all of them at once. */
static void
register_io_notice_era(struct register_io *registration, int64_t now_us)
{
    struct app *app = registration->app;
    if (registration->seen_era == app->sync.store.era) {
        return;
    }
    registration->seen_era = app->sync.store.era;
    if (!registration->is_written) {
        return;
    }
    int64_t spread_us = REGISTER_IO_REWRITE_APART_US *
                        (int64_t)(g_hash_table_size(app->members.vms) + 1);
    registration->rewrite_us =
        now_us + (int64_t)g_str_hash(app->settings.vm) % spread_us;
}

/* Starts writing this VM's object again when that is due. */
static void
register_io_rewrite(struct register_io *registration, int64_t now_us)
{
    if (registration->rewrite_us == 0 || now_us < registration->rewrite_us ||
        registration->step == REGISTER_IO_DELETE) {
        return;
    }
    registration->rewrite_us = 0;
    registration->must_rewrite = true;
    registration->step = REGISTER_IO_REPLACE;
    registration->due_us = MIN(registration->due_us, now_us);
}

void
register_io_renew(struct register_io *registration, int64_t now_us)
{
    if (registration->is_written) {
        registration->rewrite_us = now_us;
    }
}

void
register_io_tick(struct register_io *registration, int64_t now_us)
{
    register_io_notice_era(registration, now_us);
    if (registration->is_in_flight &&
        (now_us - registration->sent_us >= REGISTER_IO_TIMEOUT_US ||
         register_io_has_answered_since(registration, now_us))) {
        log_warn("store", "registration call timed out, retrying");
        register_io_end_call(registration, REGISTER_IO_RETRY_US);
    }
    if (!registration->is_in_flight && !registration->is_registered &&
        register_io_has_answered_since(registration, now_us)) {
        registration->due_us = now_us;
    }
    if (!registration->is_in_flight) {
        register_io_rewrite(registration, now_us);
    }
    if (!registration->is_in_flight && now_us >= registration->due_us) {
        register_io_start(registration, now_us);
    }
}

void
register_io_stop(struct register_io *registration)
{
    http_client_close(registration->conn);
    registration->conn = NULL;
    registration->step = REGISTER_IO_DELETE;
    register_io_start(registration, app_now_us());
}
