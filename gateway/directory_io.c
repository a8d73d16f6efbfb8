#include <string.h>

#include "common/log.h"
#include "gateway/app.h"

/* Addresses for callers, readiness and metrics. */

static void
dio_respond_text(struct hsv_request *http, int status, const char *text)
{
    hsv_respond(http, status, "text/plain", text, strlen(text));
}

void
dio_on_ready(struct hsv_request *http, void *ctx)
{
    struct app *app = ctx;
    if (!app->wire->is_ready_path(http->path)) {
        dio_respond_text(http, 404, "unknown path\n");
    }
    else if (!app_is_ready(app)) {
        dio_respond_text(http, 503, "not ready\n");
    }
    else {
        dio_respond_text(http, 200, "ready\n");
    }
}

void
dio_on_directory(struct hsv_request *http, void *ctx)
{
    struct app *app = ctx;
    if (!app->wire->is_directory_path(http->path)) {
        dio_respond_text(http, 404, "unknown path\n");
        return;
    }
    GPtrArray *addresses = g_ptr_array_new();
    mem_addresses(&app->mem, app_is_ready(app), app_random(app), app_now_us(),
                  addresses);
    if (addresses->len == 0) {
        dio_respond_text(http, 503, "no address\n");
    }
    else {
        int64_t ttl_ms =
            MIN(APP_ADDRESS_TTL_MS, app->settings.address_ttl_max_ms);
        char *body = app->wire->write_addresses(addresses, ttl_ms);
        hsv_respond(http, 200, "application/json", body, strlen(body));
        g_free(body);
    }
    g_ptr_array_free(addresses, TRUE);
}

static void
dio_render_latency(const struct hst *hist, GString *out)
{
    static const uint32_t permilles[] = {500, 900, 990, 999};
    for (size_t i = 0; i < G_N_ELEMENTS(permilles); i++) {
        g_string_append_printf(
            out,
            "carobhatch_gateway_answer_us{quantile=\"%.3f\"} "
            "%" G_GINT64_FORMAT "\n",
            permilles[i] / 1000.0, hst_value_at(hist, permilles[i]));
    }
    g_string_append_printf(out,
                           "carobhatch_gateway_answer_us_count "
                           "%" G_GUINT64_FORMAT "\n",
                           hist->total);
}

/* How old the news of each kind are, and the calls for them that failed. */
static void
dio_note_news(struct app *app)
{
    int64_t now_us = app_now_us();
    for (int kind = 0; kind < MEM_KIND_COUNT; kind++) {
        *cnt_get(app->counters, "gateway_news_age_ms", syn_kind_name(kind)) =
            (uint64_t)syn_age_us(&app->syn, kind, now_us) / 1000;
    }
    for (int call = 0; call < SYN_CALL_COUNT; call++) {
        *cnt_get(app->counters, "gateway_calls_unanswered",
                 syn_call_name(call)) = app->syn.unanswered[call];
    }
    *cnt_get(app->counters, "gateway_news_checks", NULL) = app->syn.checks;
}

void
dio_on_metrics(struct hsv_request *http, void *ctx)
{
    struct app *app = ctx;
    GString *out = g_string_new(NULL);
    dio_note_news(app);
    cnt_render(app->counters, out);
    dio_render_latency(&app->answer_us, out);
    hsv_respond(http, 200, "text/plain; version=0.0.4", out->str, out->len);
    g_string_free(out, TRUE);
}
