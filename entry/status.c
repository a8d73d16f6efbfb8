#include <inttypes.h>

#include "entry/answer.h"
#include "entry/http.h"
#include "entry/snapshot.h"

static void
status_add_relay(uint32_t relay, const char *machine, size_t instance_count,
                 bool is_live, void *ctx)
{
    json_array_append_new(
        ctx, json_pack("{s:i, s:s, s:I, s:b}", "relay", (int)relay, "machine",
                       machine, "instances", (json_int_t)instance_count,
                       "live", is_live));
}

static json_t *
status_services_json(struct app *app)
{
    json_t *services = json_array();
    for (size_t i = 0; app->config != NULL && i < app->config->service_count;
         i++) {
        const char *name = app->config->services[i].name;
        const struct pln_layout *layout =
            snp_pick(pln_layouts(app->plan, name), 0);
        json_array_append_new(
            services,
            json_pack(
                "{s:s, s:I, s:I, s:I}", "name", name, "version",
                (json_int_t)(layout != NULL ? layout->version : 0), "shards",
                (json_int_t)(layout != NULL ? layout->shards : 0), "covered",
                (json_int_t)(layout != NULL ? layout->covered : 0)));
    }
    return services;
}

void
cmd_status(struct app *app, struct hsv_request *request, const char *rest)
{
    char start[17];
    (void)g_snprintf(start, sizeof(start), "%016" PRIx64, app->start);
    json_t *relays = json_array();
    pln_relay_each(app->plan, status_add_relay, relays);
    int64_t lease_ms_left = (app->lease_until_us - app_now_us()) / 1000;
    json_t *value = json_pack(
        "{s:s, s:s, s:s, s:I, s:b, s:I, s:o, s:o, s:I, s:I, s:I}", "machine",
        app->options->machine, "zone", app->options->zone, "start", start,
        "revision",
        (json_int_t)(app->config != NULL ? app->config->revision : 0),
        "draining", app->stop_us != 0, "lease_ms_left",
        (json_int_t)(app->lease_until_us != 0 ? lease_ms_left : 0), "services",
        status_services_json(app), "relays", relays, "searches_running",
        (json_int_t)gth_running(app->gather), "orders_running",
        (json_int_t)ord_running(app->orders), "forwards_running",
        (json_int_t)fwd_running(app->forwards));
    ans_json(request, 200, value);
}
