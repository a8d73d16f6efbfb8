#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/app.h"
#include "gateway/peer_state.h"
#include "gateway/roster.h"

/* Reads and writes the roster in the store, with one call at a time on a
 * connection of its own. */

#define ROSTER_IO_TIMEOUT_US (1000 * 1000)
#define ROSTER_IO_RETRY_US (250 * 1000)

struct roster_io {
    struct app *app;
    struct roster roster;
    struct http_client_conn *conn; /* of the call in flight */
    enum roster_call call;         /* in flight */
    bool is_missing;               /* the object must be created */
    struct position change;        /* newest one in the roster being written */
    int64_t sent_us;
    int64_t due_us; /* earliest time of the next call */
};

static void
roster_io_end_call(struct roster_io *roster_io, int64_t delay_us)
{
    http_client_close(roster_io->conn);
    roster_io->conn = NULL;
    roster_io->call = ROSTER_NONE;
    roster_io->due_us = app_now_us() + delay_us;
}

/* Adds the backend servers of the roster that the store does not list; they
 * are used for ROSTER_HOLD_US. */
static void
roster_io_apply(struct roster_io *roster_io,
                const struct wire_objects *objects)
{
    struct app *app = roster_io->app;
    const struct cache *cache = sync_cache_of(&app->sync, OBJECT_BACKENDS);
    int64_t now_us = app_now_us();
    uint32_t count = 0;
    for (size_t i = 0; i < objects->reply.object_count; i++) {
        struct backend_entry entry;
        const char *bad_field = NULL;
        const struct cache_object *object = &objects->reply.objects[i];
        /* What this VM knows of it, or the writer kept, goes before. */
        if (object->is_withheld || object->kept_spec != NULL ||
            g_hash_table_contains(cache->entries, object->name) ||
            backend_find(&app->gateway.backends, object->name) != NULL ||
            app->wire->read_backend(object, &entry, &bad_field) != RC_OK ||
            entry.is_draining) {
            continue;
        }
        backend_update(&app->gateway.backends, &entry, now_us);
        backend_expire(&app->gateway.backends, entry.id,
                       now_us + ROSTER_HOLD_US);
        count += 1;
    }
    log_info("roster",
             "roster read, using entries that are not listed backends=%zu "
             "not_listed=%u hold_ms=%d",
             objects->reply.object_count, count, ROSTER_HOLD_US / 1000);
}

static void
roster_io_on_read(struct roster_io *roster_io,
                  const struct http_response *response)
{
    bool is_missing = response->status == 404;
    struct wire_objects objects;
    peer_state_read(roster_io->app->wire->read_roster(response->status,
                                                      response->body,
                                                      response->body_bytes),
                    &objects);
    if (objects.reply.rc == RC_OK) {
        roster_io_apply(roster_io, &objects);
    }
    if (objects.reply.rc == RC_OK || is_missing) {
        roster_on_read(&roster_io->roster);
    }
    wire_objects_clear(&objects);
    roster_io_end_call(roster_io, ROSTER_IO_RETRY_US);
}

static void
roster_io_on_written(struct roster_io *roster_io,
                     const struct http_response *response)
{
    bool is_success = response->status >= 200 && response->status < 300;
    roster_io->is_missing = response->status == 404;
    if (is_success) {
        log_info("roster",
                 "roster written era=%" G_GINT64_FORMAT
                 " change=%" G_GINT64_FORMAT,
                 roster_io->change.era, roster_io->change.revision);
        roster_on_write(&roster_io->roster, roster_io->change, app_now_us());
    }
    else if (!roster_io->is_missing) {
        log_warn("roster", "roster write failed, retrying status=%d",
                 response->status);
    }
    roster_io_end_call(roster_io, ROSTER_IO_RETRY_US);
}

static void
roster_io_on_reply(struct http_client_conn *conn,
                   const struct http_response *response, void *ctx)
{
    struct roster_io *roster_io = ctx;
    if (response->rc != RC_OK ||
        !app_on_store_answer(roster_io->app, response)) {
        roster_io_end_call(roster_io, ROSTER_IO_RETRY_US);
    }
    else if (roster_io->call == ROSTER_READ) {
        roster_io_on_read(roster_io, response);
    }
    else {
        roster_io_on_written(roster_io, response);
    }
}

/* Sends the roster. Returns RC_TOO_LARGE without sending it, else as
 * http_client_request(). */
static int
roster_io_write(struct roster_io *roster_io)
{
    struct app *app = roster_io->app;
    struct position none = {.revision = 0};
    char *state =
        peer_state_write(&app->sync, OBJECT_BACKENDS, none, app_now_us());
    char *body = app->wire->write_roster(state);
    size_t body_bytes = strlen(body);
    int rc = RC_TOO_LARGE;
    if (body_bytes <= ROSTER_BODY_MAX_BYTES) {
        char *path = app->wire->roster_path(roster_io->is_missing);
        rc = http_client_request(
            roster_io->conn, roster_io->is_missing ? "POST" : "PUT", path,
            NULL, body, body_bytes, roster_io_on_reply, roster_io);
        g_free(path);
    }
    else {
        log_warn("roster", "roster too large, not written bytes=%zu",
                 body_bytes);
        roster_on_write(&roster_io->roster, roster_io->change, app_now_us());
    }
    g_free(body);
    g_free(state);
    return rc;
}

static int
roster_io_read(struct roster_io *roster_io)
{
    char *path = roster_io->app->wire->roster_stale_path();
    int rc = http_client_request(roster_io->conn, "GET", path, NULL, NULL, 0,
                                 roster_io_on_reply, roster_io);
    g_free(path);
    return rc;
}

static void
roster_io_on_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    struct roster_io *roster_io = ctx;
    bool is_read = roster_io->call == ROSTER_READ;
    if (rc == RC_OK) {
        rc = is_read ? roster_io_read(roster_io) : roster_io_write(roster_io);
    }
    if (rc != RC_OK) {
        roster_io_end_call(roster_io, ROSTER_IO_RETRY_US);
        return;
    }
    counter_add(roster_io->app->counters, "gateway_store_calls",
                is_read ? "roster_read" : "roster_write");
}

static void
roster_io_on_lost(struct http_client_conn *conn, void *ctx)
{
    roster_io_end_call(ctx, ROSTER_IO_RETRY_US);
}

static void
roster_io_start(struct roster_io *roster_io, enum roster_call call,
                struct position change, int64_t now_us)
{
    struct app *app = roster_io->app;
    roster_io->call = call;
    roster_io->change = change;
    roster_io->sent_us = now_us;
    roster_io->conn = http_client_connect(
        &app->loop, app->settings.store, ROSTER_BODY_MAX_BYTES * 2,
        &app->allot.shares[ALLOT_STORE], roster_io_on_connected,
        roster_io_on_lost, roster_io);
}

struct roster_io *
roster_io_new(struct app *app)
{
    struct roster_io *roster_io = g_new0(struct roster_io, 1);
    roster_io->app = app;
    return roster_io;
}

void
roster_io_free(struct roster_io *roster_io)
{
    http_client_close(roster_io->conn);
    g_free(roster_io);
}

void
roster_io_tick(struct roster_io *roster_io, int64_t now_us)
{
    struct app *app = roster_io->app;
    if (roster_io->call != ROSTER_NONE) {
        if (now_us - roster_io->sent_us >= ROSTER_IO_TIMEOUT_US) {
            roster_io_end_call(roster_io, ROSTER_IO_RETRY_US);
        }
        return;
    }
    if (now_us < roster_io->due_us || stop_is_stopping(&app->gateway.stop) ||
        app->wire->write_roster == NULL) {
        return;
    }
    const struct cache *cache = sync_cache_of(&app->sync, OBJECT_BACKENDS);
    struct roster_state state = {
        .is_first_live = member_is_first_live(&app->members, now_us),
        .has_list = cache->has_list && app->gateway.config != NULL,
        .is_failing = app->sync.failures > 0,
        .age_us = sync_age_us(&app->sync, OBJECT_BACKENDS, now_us),
        .recovered_us = app->sync.recovered_us,
        .change = cache->change,
        .lacks_backends = roster_may_read(&roster_io->roster, now_us) &&
                          gateway_lacks_backends(&app->gateway, now_us),
    };
    enum roster_call call = roster_due(&roster_io->roster, &state, now_us);
    if (call != ROSTER_NONE) {
        roster_io_start(roster_io, call, cache->change, now_us);
    }
}
