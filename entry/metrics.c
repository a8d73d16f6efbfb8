#include "entry/http.h"

static void
metrics_set(struct app *app, const char *name, uint64_t value)
{
    *cnt_get(app->counters, name, NULL) = value;
}

void
cmd_metrics(struct app *app, struct hsv_request *request, const char *rest)
{
    metrics_set(app, "searches_running", gth_running(app->gather));
    metrics_set(app, "orders_running", ord_running(app->orders));
    metrics_set(app, "forwards_running", fwd_running(app->forwards));
    metrics_set(app, "ids_stored", rid_count(app->ids));
    metrics_set(app, "connections_open", hsv_connection_count(app->http));
    metrics_set(app, "revision",
                app->config != NULL ? app->config->revision : 0);
    GString *text = g_string_new(NULL);
    cnt_render(app->counters, text);
    hsv_respond(request, 200, "text/plain; version=0.0.4", text->str,
                text->len);
    g_string_free(text, TRUE);
}
