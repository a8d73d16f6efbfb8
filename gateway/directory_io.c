#include <string.h>

#include "common/json_room.h"
#include "common/log.h"
#include "gateway/app.h"

/* HTTP handlers for callers' address lists, readiness and metrics. */

static void
directory_io_respond_text(struct http_request *http, int status,
                          const char *text)
{
    http_server_respond(http, status, "text/plain", text, strlen(text));
}

void
directory_io_on_ready(struct http_request *http, void *ctx)
{
    struct app *app = ctx;
    if (!app->wire->is_ready_path(http->path)) {
        directory_io_respond_text(http, 404, "unknown path\n");
    }
    else if (!app_is_ready(app)) {
        directory_io_respond_text(http, 503, "not ready\n");
    }
    else {
        directory_io_respond_text(http, 200, "ready\n");
    }
}

void
directory_io_on_directory(struct http_request *http, void *ctx)
{
    struct app *app = ctx;
    if (!app->wire->is_directory_path(http->path)) {
        directory_io_respond_text(http, 404, "unknown path\n");
        return;
    }
    GPtrArray *addresses = g_ptr_array_new();
    member_addresses(&app->members, app_is_ready(app), app_random(app),
                     app_now_us(), addresses);
    if (addresses->len == 0) {
        directory_io_respond_text(http, 503, "no address\n");
    }
    else {
        int64_t ttl_ms =
            MIN(APP_ADDRESS_TTL_MS, app->settings.address_ttl_max_ms);
        char *body = app->wire->write_addresses(addresses, ttl_ms);
        http_server_respond(http, 200, "application/json", body, strlen(body));
        g_free(body);
    }
    g_ptr_array_free(addresses, TRUE);
}

static void
directory_io_render_latency(const struct histogram *histogram, GString *out)
{
    static const uint32_t permilles[] = {500, 900, 990, 999};
    for (size_t i = 0; i < G_N_ELEMENTS(permilles); i++) {
        g_string_append_printf(
            out,
            "carobhatch_gateway_answer_us{quantile=\"%.3f\"} "
            "%" G_GINT64_FORMAT "\n",
            permilles[i] / 1000.0,
            histogram_value_at(histogram, permilles[i]));
    }
    g_string_append_printf(out,
                           "carobhatch_gateway_answer_us_count "
                           "%" G_GUINT64_FORMAT "\n",
                           histogram->total);
}

/* Copies the age and position of each kind, the position of the store and the
 * counts of calls that timed out to the counters. */
static void
directory_io_update_sync_counters(struct app *app)
{
    int64_t now_us = app_now_us();
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        *counter_get(app->counters, "gateway_news_age_ms",
                     sync_kind_name(kind)) =
            (uint64_t)sync_age_us(&app->sync, kind, now_us) / 1000;
        const struct cache *cache = sync_cache_of(&app->sync, kind);
        *counter_get(app->counters, "gateway_news_revision",
                     sync_kind_name(kind)) = (uint64_t)cache->change.revision;
        *counter_get(app->counters, "gateway_news_era", sync_kind_name(kind)) =
            (uint64_t)cache->change.era;
        *counter_get(app->counters, "gateway_objects_passed_over",
                     sync_kind_name(kind)) = cache->passed_over;
        *counter_get(app->counters, "gateway_objects_no_room",
                     sync_kind_name(kind)) = cache->no_room;
        *counter_get(app->counters, "gateway_objects_kept",
                     sync_kind_name(kind)) = cache->kept;
        *counter_get(app->counters, "gateway_objects_released",
                     sync_kind_name(kind)) = cache->released;
    }
    for (int call = 0; call < SYNC_CALL_COUNT; call++) {
        *counter_get(app->counters, "gateway_calls_unanswered",
                     sync_call_name(call)) = app->sync.unanswered[call];
    }
    *counter_get(app->counters, "gateway_news_checks", NULL) =
        app->sync.aborted_watches;
    *counter_get(app->counters, "gateway_store_era", NULL) =
        (uint64_t)app->sync.store.era;
    *counter_get(app->counters, "gateway_store_revision", NULL) =
        (uint64_t)app->sync.store.revision;
    *counter_get(app->counters, "gateway_store_returns", NULL) =
        app->sync.store_returns;
    *counter_get(app->counters, "gateway_values_refused", NULL) =
        json_room_refused();
    *counter_get(app->counters, "gateway_past_answers", NULL) =
        app->sync.past_answers;
}

/* Copies what is in use of each share, and its limits, to the counters. */
static void
directory_io_update_share_counters(struct app *app)
{
    struct counter_set *counters = app->counters;
    for (int i = 0; i < ALLOT_SHARE_COUNT; i++) {
        const struct resource_share *share = &app->allot.shares[i];
        const char *name = allot_name(i);
        *counter_get(counters, "gateway_share_connections", name) =
            share->connection_count;
        *counter_get(counters, "gateway_share_connections_max", name) =
            share->connection_max;
        *counter_get(counters, "gateway_share_bytes", name) = share->bytes;
        *counter_get(counters, "gateway_share_bytes_max", name) =
            share->bytes_max;
        *counter_get(counters, "gateway_share_connections_refused", name) =
            share->refused_connections;
        *counter_get(counters, "gateway_share_bytes_refused", name) =
            share->refused_bytes;
    }
    *counter_get(counters, "gateway_requests_open", NULL) =
        app->gateway.requests.length;
    *counter_get(counters, "gateway_requests_open_max", NULL) =
        app->gateway.request_max;
}

void
directory_io_on_metrics(struct http_request *http, void *ctx)
{
    struct app *app = ctx;
    GString *out = g_string_new(NULL);
    directory_io_update_sync_counters(app);
    directory_io_update_share_counters(app);
    counter_render(app->counters, out);
    directory_io_render_latency(&app->answer_us, out);
    http_server_respond(http, 200, "text/plain; version=0.0.4", out->str,
                        out->len);
    g_string_free(out, TRUE);
}
