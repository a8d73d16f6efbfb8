#include <inttypes.h>
#include <string.h>

#include "common/config_schema.h"
#include "common/log.h"
#include "common/rc.h"
#include "native/address.h"
#include "native/answer.h"
#include "native/server.h"

/* What callers and operators ask of a VM besides searches and orders. */

void
cmd_ids(struct srv *server, struct hsv_request *http, const char *rest)
{
    /* An order needs an id, so the account's quota is taken here and not again
     * with the order: a refused repeat could not say "not run". */
    char *account = hsv_header(http, "x-caller");
    int64_t now_us = app_now_us();
    int rc = qta_take(server->quota, account, now_us);
    g_free(account);
    char *id = NULL;
    if (rc == RC_OK) {
        rc = rid_issue(server->ids, now_us, &id);
    }
    if (rc != RC_OK) {
        ans_error(http, server->app->counters, rc, RC_RUN_NO, NULL, NULL);
        return;
    }
    ans_json(http, 200,
             json_pack("{s:s, s:I}", "id", id, "expires_ms",
                       (json_int_t)(RID_EXPIRY_US / 1000)));
    g_free(id);
}

void
cmd_entries(struct srv *server, struct hsv_request *http, const char *rest)
{
    struct app *app = server->app;
    char *dc = hsv_query_value(http, "zone");
    char *account = hsv_header(http, "x-caller");
    if (account == NULL) {
        /* Callers without a name are spread one by one. */
        server->unnamed_count += 1;
        account =
            g_strdup_printf("#%" G_GUINT64_FORMAT, server->unnamed_count);
    }
    GPtrArray *vms = g_ptr_array_new();
    mem_usable_vms(&app->mem, app_is_ready(app), app_now_us(), vms);
    const struct mem_vm *picked[ADR_MAX];
    size_t count =
        adr_pick(vms, dc != NULL ? dc : app->settings.dc, account, picked);
    json_t *entries = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(entries, json_pack("{s:s, s:s, s:s}", "machine",
                                                 picked[i]->name, "zone",
                                                 picked[i]->dc, "address",
                                                 picked[i]->request_address));
    }
    ans_json(http, 200,
             json_pack("{s:o, s:i}", "entries", entries, "ttl_ms",
                       APP_ADDRESS_TTL_MS));
    g_ptr_array_free(vms, TRUE);
    g_free(dc);
    g_free(account);
}

static const char *
operator_state(const struct app *app)
{
    if (app->stopping_us > 0) {
        return "draining";
    }
    return app_is_ready(app) ? "serving" : "starting";
}

void
cmd_healthz(struct srv *server, struct hsv_request *http, const char *rest)
{
    const struct app *app = server->app;
    if (app->gtw.config == NULL) {
        ans_error(http, app->counters, RC_NOT_READY, RC_RUN_NO, NULL, NULL);
        return;
    }
    ans_json(http, 200, json_pack("{s:s}", "state", operator_state(app)));
}

void
cmd_metrics(struct srv *server, struct hsv_request *http, const char *rest)
{
    struct cnt_set *counters = server->app->counters;
    *cnt_get(counters, "orders_running", NULL) = ord_running(server->orders);
    *cnt_get(counters, "forwards_running", NULL) = fwd_count(server->forwards);
    *cnt_get(counters, "ids_stored", NULL) = rid_count(server->ids);
    *cnt_get(counters, "connections_open", NULL) =
        hsv_connection_count(server->http);
    dio_on_metrics(http, server->app);
}

static json_t *
operator_vms_json(struct app *app, int64_t now_us)
{
    GPtrArray *vms = g_ptr_array_new();
    mem_usable_vms(&app->mem, app_is_ready(app), now_us, vms);
    json_t *list = json_array();
    for (guint i = 0; i < vms->len; i++) {
        const struct mem_vm *vm = g_ptr_array_index(vms, i);
        json_array_append_new(list, json_string(vm->name));
    }
    g_ptr_array_free(vms, TRUE);
    return list;
}

static json_t *
operator_services_json(const struct cfg *declared)
{
    json_t *services = json_array();
    for (size_t i = 0; declared != NULL && i < declared->service_count; i++) {
        const struct cfg_service *service = &declared->services[i];
        json_array_append_new(
            services,
            json_pack("{s:s, s:I, s:I, s:I}", "name", service->name, "version",
                      (json_int_t)service->index_version, "shards",
                      (json_int_t)service->instance_count, "served",
                      (json_int_t)(service->instance_count -
                                   cfg_idle_instances(declared, service))));
    }
    return services;
}

/* Digest of the document in force, the same on each VM. */
static uint64_t
operator_digest(const struct app *app)
{
    const struct fed_known *known = g_hash_table_lookup(
        syn_news_of(&app->syn, MEM_CONFIG)->known, "current");
    char *text = known != NULL
                     ? json_dumps(known->spec, JSON_COMPACT | JSON_SORT_KEYS)
                     : NULL;
    uint64_t digest = text != NULL ? cfg_digest(text, strlen(text)) : 0;
    free(text);
    return digest;
}

void
cmd_status(struct srv *server, struct hsv_request *http, const char *rest)
{
    struct app *app = server->app;
    char start[17];
    char digest[17];
    (void)g_snprintf(start, sizeof(start), "%016" PRIx64, app->start);
    (void)g_snprintf(digest, sizeof(digest), "%016" PRIx64,
                     operator_digest(app));
    int64_t revision = app->gtw.config != NULL ? app->gtw.config->version : 0;
    json_t *value = json_pack(
        "{s:s, s:s, s:s, s:s, s:I, s:s, s:o, s:o, s:I, s:I}", "machine",
        app->settings.vm, "zone", app->settings.dc, "start", start, "state",
        operator_state(app), "revision", (json_int_t)revision, "digest",
        digest, "machines", operator_vms_json(app, app_now_us()), "services",
        operator_services_json(srv_declared(server)), "requests_running",
        (json_int_t)app->gtw.asks.length, "orders_running",
        (json_int_t)ord_running(server->orders));
    ans_json(http, 200, value);
}

/* Hands the document over as if the store had sent it. */
static void
operator_offer(struct app *app, json_t *document, int64_t now_us)
{
    for (int kind = 0; kind < MEM_KIND_COUNT; kind++) {
        struct wir_objects objects = {
            .objects = g_array_new(FALSE, FALSE, sizeof(struct fed_object)),
            .reply = {.rc = RC_OK, .is_whole = true},
        };
        app->wire->expand(kind, document, &objects, &objects.reply.change);
        objects.reply.objects =
            (const struct fed_object *)objects.objects->data;
        objects.reply.object_count = objects.objects->len;
        syn_on_offer(&app->syn, kind, &objects.reply, now_us);
        wir_objects_clear(&objects);
    }
}

void
cmd_config(struct srv *server, struct hsv_request *http, const char *rest)
{
    struct app *app = server->app;
    json_t *root =
        json_loadb(http->body, http->body_bytes, JSON_REJECT_DUPLICATES, NULL);
    json_t *document = json_object_get(root, "document");
    struct cfg_error fault = {.path = NULL};
    int rc = document == NULL ? RC_BAD_JSON
                              : cfg_check(document, CFG_WHOLE, &fault);
    if (rc != RC_OK) {
        ans_error(http, app->counters, rc, RC_RUN_NO, fault.path, fault.text);
    }
    else {
        log_info("config", "offered revision=%" JSON_INTEGER_FORMAT,
                 json_integer_value(json_object_get(document, "revision")));
        operator_offer(app, document, app_now_us());
        ans_json(http, 200,
                 json_pack("{s:I}", "revision",
                           (json_int_t)app->gtw.config->version));
    }
    cfg_error_clear(&fault);
    json_decref(root);
}
