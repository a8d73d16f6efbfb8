#include <inttypes.h>
#include <string.h>

#include "common/config_schema.h"
#include "common/json_room.h"
#include "common/log.h"
#include "common/rc.h"
#include "native/address.h"
#include "native/answer.h"
#include "native/server.h"

/*
 * Endpoints besides searches and orders: request ids and addresses for
 * callers, configuration, health, metrics and status for operators.
 */

void
handle_ids(struct server *server, struct http_request *http, const char *rest)
{
    /* An order needs an id, so the account's quota is charged here and not
     * again with the order: if a repeated order were refused for its quota,
     * the response could not truthfully say "not run". */
    char *account = http_server_header(http, "x-caller");
    int64_t now_us = app_now_us();
    int rc = quota_consume(server->quota, account, now_us);
    g_free(account);
    char *id = NULL;
    if (rc == RC_OK) {
        rc = request_id_issue(server->ids, now_us, &id);
    }
    if (rc != RC_OK) {
        answer_error(http, server->app->counters, rc, RC_EXECUTED_NO, NULL,
                     NULL);
        return;
    }
    answer_json(http, 200,
                json_pack("{s:s, s:I}", "id", id, "expires_ms",
                          (json_int_t)(REQUEST_ID_EXPIRY_US / 1000)));
    g_free(id);
}

void
handle_entries(struct server *server, struct http_request *http,
               const char *rest)
{
    struct app *app = server->app;
    char *dc = http_server_query_value(http, "zone");
    char *account = http_server_header(http, "x-caller");
    if (account == NULL) {
        /* Requests without an account get a generated name each, which spreads
         * them over the VMs. */
        server->anonymous_request_count += 1;
        account = g_strdup_printf("#%" G_GUINT64_FORMAT,
                                  server->anonymous_request_count);
    }
    GPtrArray *vms = g_ptr_array_new();
    member_usable_vms(&app->members, app_is_ready(app), app_now_us(), vms);
    const struct member_vm *picked[ADDRESS_PICK_MAX];
    size_t count =
        address_pick(vms, dc != NULL ? dc : app->settings.dc, account, picked);
    json_t *entries = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(entries, json_pack("{s:s, s:s, s:s}", "machine",
                                                 picked[i]->name, "zone",
                                                 picked[i]->dc, "address",
                                                 picked[i]->request_address));
    }
    answer_json(http, 200,
                json_pack("{s:o, s:i}", "entries", entries, "ttl_ms",
                          APP_ADDRESS_TTL_MS));
    g_ptr_array_free(vms, TRUE);
    g_free(dc);
    g_free(account);
}

static const char *
operator_state(const struct app *app)
{
    if (stop_is_stopping(&app->gateway.stop)) {
        return "draining";
    }
    return app_is_ready(app) ? "serving" : "starting";
}

void
handle_healthz(struct server *server, struct http_request *http,
               const char *rest)
{
    const struct app *app = server->app;
    if (app->gateway.config == NULL) {
        answer_error(http, app->counters, RC_NOT_READY, RC_EXECUTED_NO, NULL,
                     NULL);
        return;
    }
    answer_json(http, 200, json_pack("{s:s}", "state", operator_state(app)));
}

void
handle_metrics(struct server *server, struct http_request *http,
               const char *rest)
{
    struct counter_set *counters = server->app->counters;
    *counter_get(counters, "orders_running", NULL) =
        order_running_count(server->orders);
    *counter_get(counters, "forwards_running", NULL) =
        forward_count(server->forwards);
    *counter_get(counters, "ids_stored", NULL) = request_id_count(server->ids);
    *counter_get(counters, "connections_open", NULL) =
        http_server_connection_count(server->http);
    directory_io_on_metrics(http, server->app);
}

static json_t *
operator_vms_json(struct app *app, int64_t now_us)
{
    GPtrArray *vms = g_ptr_array_new();
    member_usable_vms(&app->members, app_is_ready(app), now_us, vms);
    json_t *list = json_array();
    for (guint i = 0; i < vms->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(vms, i);
        json_array_append_new(list, json_string(vm->name));
    }
    g_ptr_array_free(vms, TRUE);
    return list;
}

static json_t *
operator_services_json(const struct config *config)
{
    json_t *services = json_array();
    for (size_t i = 0; config != NULL && i < config->service_count; i++) {
        const struct config_service *service = &config->services[i];
        json_array_append_new(
            services,
            json_pack(
                "{s:s, s:I, s:I, s:I}", "name", service->name, "version",
                (json_int_t)service->index_version, "shards",
                (json_int_t)service->instance_count, "served",
                (json_int_t)(service->instance_count -
                             config_count_unavailable(config, service))));
    }
    return services;
}

/* Digest of the last document read, equal on all VMs that have the same one;
 * 0 without one. */
static uint64_t
operator_document_digest(const struct app *app)
{
    const struct cache_entry *entry = g_hash_table_lookup(
        sync_cache_of(&app->sync, OBJECT_CONFIG)->entries, "current");
    char *text = entry != NULL
                     ? json_dumps(entry->spec, JSON_COMPACT | JSON_SORT_KEYS)
                     : NULL;
    uint64_t digest = text != NULL ? config_digest(text, strlen(text)) : 0;
    free(text);
    return digest;
}

void
handle_status(struct server *server, struct http_request *http,
              const char *rest)
{
    struct app *app = server->app;
    char start[17];
    char digest[17];
    (void)g_snprintf(start, sizeof(start), "%016" PRIx64, app->start);
    (void)g_snprintf(digest, sizeof(digest), "%016" PRIx64,
                     operator_document_digest(app));
    int64_t revision =
        app->gateway.config != NULL ? app->gateway.config->version : 0;
    json_t *value = json_pack(
        "{s:s, s:s, s:s, s:s, s:I, s:s, s:o, s:o, s:I, s:I}", "machine",
        app->settings.vm, "zone", app->settings.dc, "start", start, "state",
        operator_state(app), "revision", (json_int_t)revision, "digest",
        digest, "machines", operator_vms_json(app, app_now_us()), "services",
        operator_services_json(server_config(server)), "requests_running",
        (json_int_t)app->gateway.requests.length, "orders_running",
        (json_int_t)order_running_count(server->orders));
    answer_json(http, 200, value);
}

/* Applies the parts of the document that are newer than the cached ones, as if
 * the store had sent them. */
static void
operator_apply_document(struct app *app, json_t *document, int64_t now_us)
{
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        struct wire_objects objects = {
            .objects = g_array_new(FALSE, FALSE, sizeof(struct cache_object)),
            .reply = {.rc = RC_OK, .is_full_list = true},
        };
        app->wire->expand_document(kind, document, &objects,
                                   &objects.reply.change);
        objects.reply.objects =
            (const struct cache_object *)objects.objects->data;
        objects.reply.object_count = objects.objects->len;
        sync_on_push(&app->sync, kind, &objects.reply, now_us);
        wire_objects_clear(&objects);
    }
}

void
handle_config(struct server *server, struct http_request *http,
              const char *rest)
{
    struct app *app = server->app;
    json_t *root = json_room_load(http->body, http->body_bytes,
                                  JSON_REJECT_DUPLICATES, NULL);
    json_t *document = json_object_get(root, "document");
    struct config_error error = {.path = NULL};
    int rc = document == NULL
                 ? RC_BAD_JSON
                 : config_check(document, CONFIG_COMPLETE, &error);
    if (rc != RC_OK) {
        answer_error(http, app->counters, rc, RC_EXECUTED_NO, error.path,
                     error.text);
    }
    else {
        log_info("config",
                 "received a configuration document from an operator "
                 "revision=%" JSON_INTEGER_FORMAT,
                 json_integer_value(json_object_get(document, "revision")));
        operator_apply_document(app, document, app_now_us());
        answer_json(http, 200,
                    json_pack("{s:I}", "revision",
                              (json_int_t)app->gateway.config->version));
    }
    config_error_clear(&error);
    json_decref(root);
}
