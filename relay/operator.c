#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "relay/operator.h"
#include "common/rc.h"

/* Operators send no bodies. */
#define OPR_BODY_BYTES 4096

static void
opr_healthz(struct srv *server, struct hsv_request *request)
{
    const struct rly *rly = server->relay;
    int rc = RC_OK;
    if (rly->is_stopping) {
        rc = RC_STOPPING;
    }
    else if (!rly->has_state) {
        rc = RC_NOT_READY;
    }
    else if (!rly_has_lease(rly, srv_now_us())) {
        rc = RC_NOT_HOLDER;
    }
    const char *name = rc_name(rc);
    hsv_respond(request, rc_http_status(rc), "text/plain", name, strlen(name));
}

static void
opr_set_gauges(struct srv *server)
{
    const struct rly *rly = server->relay;
    uint64_t queued = 0;
    uint64_t running = 0;
    uint64_t links = 0;
    uint64_t held = 0;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, rly->instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ins *ins = value;
        queued += que_length(&ins->queue);
        running += ins->running->len;
        held += ins->state == INS_HELD;
        for (guint i = 0; i < ins->searchers->len; i++) {
            const struct sch *sch = g_ptr_array_index(ins->searchers, i);
            links += lnk_up_count(&sch->pool);
        }
    }
    *cnt_get(server->counters, "parts_queued", NULL) = queued;
    *cnt_get(server->counters, "requests_running", NULL) = running;
    *cnt_get(server->counters, "links_up", NULL) = links;
    *cnt_get(server->counters, "instances_held", NULL) = held;
    *cnt_get(server->counters, "queries_open", NULL) =
        g_hash_table_size(rly->queries);
}

static void
opr_metrics(struct srv *server, struct hsv_request *request)
{
    opr_set_gauges(server);
    GString *text = g_string_new(NULL);
    cnt_render(server->counters, text);
    hsv_respond(request, 200, "text/plain; version=0.0.4", text->str,
                text->len);
    g_string_free(text, TRUE);
}

static json_t *
opr_versions(const struct sch *sch)
{
    json_t *out = json_array();
    for (uint32_t i = 0; i < sch->status.version_count; i++) {
        const struct msg_version *version = &sch->status.versions[i];
        json_array_append_new(out,
                              json_pack("{s:I, s:I, s:I}", "version",
                                        (json_int_t)version->version, "shard",
                                        (json_int_t)version->shard, "shards",
                                        (json_int_t)version->shards));
    }
    return out;
}

static json_t *
opr_searcher(const struct sch *sch, int64_t now_us)
{
    json_t *out = json_pack(
        "{s:s, s:s, s:s, s:b, s:b, s:b, s:i, s:i, s:i, s:i}", "name",
        sch->name, "zone", sch->zone, "address", sch->address, "in",
        sch_is_in(sch), "answers", sch_is_offered(sch, now_us), "draining",
        sch->status.is_draining, "slots", (int)sch->slots, "in_flight",
        (int)sch->in_flight, "cold_share_permille",
        (int)cold_share_permille(&sch->cold, now_us), "links",
        (int)sch->pool.links->len);
    json_object_set_new(out, "links_idle",
                        json_integer(lnk_count(&sch->pool, LNK_IDLE)));
    json_object_set_new(out, "latency_us", json_integer(sch->latency_us));
    json_object_set_new(out, "norm_us", json_integer(sch->cold.norm_us));
    json_object_set_new(out, "versions", opr_versions(sch));
    return out;
}

static json_t *
opr_instance(const struct ins *ins, int64_t now_us)
{
    json_t *searchers = json_array();
    for (guint i = 0; i < ins->searchers->len; i++) {
        json_array_append_new(
            searchers,
            opr_searcher(g_ptr_array_index(ins->searchers, i), now_us));
    }
    return json_pack("{s:s, s:s, s:s, s:I, s:I, s:i, s:i, s:I, s:o}",
                     "service", ins->service, "name", ins->name, "state",
                     ins_state_name(ins->state), "epoch",
                     (json_int_t)ins->epoch, "usable_in_us",
                     (json_int_t)MAX(ins->usable_at_us - now_us, 0), "queued",
                     (int)que_length(&ins->queue), "in_flight",
                     (int)ins->running->len, "hedge_delay_us",
                     (json_int_t)ins->hedge.delay_us, "searchers", searchers);
}

static void
opr_status(struct srv *server, struct hsv_request *request)
{
    const struct rly *rly = server->relay;
    int64_t now_us = srv_now_us();
    json_t *instances = json_array();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, rly->instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_array_append_new(instances, opr_instance(value, now_us));
    }
    char start[32];
    (void)g_snprintf(start, sizeof(start), "%016" PRIx64, rly->start);
    uint64_t revision = rly->cfg != NULL ? rly->cfg->revision : 0;
    json_t *root = json_pack(
        "{s:s, s:s, s:I, s:I, s:b, s:i, s:i, s:o}", "machine", rly->machine,
        "start", start, "revision", (json_int_t)revision, "lease_ms_left",
        (json_int_t)(rly_has_lease(rly, now_us)
                         ? (rly->lease_until_us - now_us) / 1000
                         : 0),
        "stopping", rly->is_stopping, "queries",
        (int)g_hash_table_size(rly->queries), "orders",
        (int)g_hash_table_size(rly->orders), "instances", instances);
    char *text = json_dumps(root, JSON_SORT_KEYS | JSON_INDENT(1));
    hsv_respond(request, 200, "application/json", text, strlen(text));
    free(text);
    json_decref(root);
}

static const struct {
    const char *path;
    void (*run)(struct srv *server, struct hsv_request *request);
} opr_routes[] = {
    {"/healthz", opr_healthz},
    {"/metrics", opr_metrics},
    {"/status", opr_status},
};

static void
opr_on_request(struct hsv_request *request, void *ctx)
{
    int rc = RC_NO_ROUTE;
    for (size_t i = 0; i < G_N_ELEMENTS(opr_routes); i++) {
        if (strcmp(opr_routes[i].path, request->path) == 0) {
            if (strcmp(request->method, "GET") == 0) {
                opr_routes[i].run(ctx, request);
                return;
            }
            rc = RC_BAD_METHOD;
        }
    }
    const char *name = rc_name(rc);
    hsv_respond(request, rc_http_status(rc), "text/plain", name, strlen(name));
}

int
opr_open(struct srv *server, const char *address)
{
    return hsv_open(server->loop, address, OPR_BODY_BYTES, opr_on_request,
                    server, &server->operators);
}
