#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/app.h"

/*
 * Lists and watches in the platform's store. Each kind of objects that sync
 * watches has a connection of its own, which stays open between calls.
 */

#define STORE_IO_BODY_MAX_BYTES (16 * 1024 * 1024)
/* Connection and last fetch of a kind. */
struct store_io_feed {
    struct app *app;
    struct http_client_conn *conn;
    bool is_connected;
    struct sync_fetch fetch;
    char *path;
};

struct store_io {
    struct app *app;
    struct store_io_feed feeds[OBJECT_KIND_COUNT];
};

static void
store_io_disconnect(struct store_io_feed *feed)
{
    http_client_close(feed->conn);
    feed->conn = NULL;
    feed->is_connected = false;
}

static void
store_io_fail_fetch(struct store_io_feed *feed, int rc)
{
    store_io_disconnect(feed);
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
    if (!app_on_store_answer(app, response)) {
        /* Of an earlier era; at a later one the fetch is given up already. */
        store_io_fail_fetch(feed, RC_STORE_DOWN);
        return;
    }
    struct wire_objects objects;
    app->wire->read_objects(&feed->fetch, app->sync.store.era,
                            response->status, response->body,
                            response->body_bytes, &objects);
    bool is_refused = objects.reply.rc == RC_STORE_DOWN;
    if (is_refused) {
        log_warn("store", "error response from the store status=%d path=%s",
                 response->status, feed->path);
    }
    if (!response->is_keepalive || is_refused) {
        store_io_disconnect(feed);
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
    store_io_disconnect(feed);
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
    store_io_disconnect(feed);
    feed->conn = http_client_connect(
        &app->loop, app->settings.store, STORE_IO_BODY_MAX_BYTES,
        &app->allot.shares[ALLOT_STORE], store_io_on_connected,
        store_io_on_lost, feed);
}

void
store_io_cancel(struct store_io *store, enum object_kind kind)
{
    store_io_disconnect(&store->feeds[kind]);
}

void
store_io_reconnect(struct store_io *store)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        if (store->feeds[i].conn != NULL) {
            store_io_fail_fetch(&store->feeds[i], RC_STORE_DOWN);
        }
    }
}

struct store_io *
store_io_new(struct app *app)
{
    struct store_io *store = g_new0(struct store_io, 1);
    store->app = app;
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        store->feeds[i].app = app;
    }
    return store;
}

void
store_io_free(struct store_io *store)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        store_io_disconnect(&store->feeds[i]);
        g_free(store->feeds[i].path);
    }
    g_free(store);
}
