#include <string.h>

#include "common/rc.h"
#include "soak.h"

#define SSR_WORK_MIN_MS 2
#define SSR_WORK_SPREAD_MS 7
#define SSR_SLOW_FACTOR 12
#define SSR_RECORDS 12
#define SSR_RECORD_BYTES 16

/* A request that is being worked on. */
struct ssr_work {
    struct ssr *server;
    struct hsv_request *http;
    uv_timer_t timer;
    char id[64];
    char stamp[128];
    bool is_spoiled;
};

int
sok_service_of(const char *stamp)
{
    return atoi(stamp + 1);
}

/* The records that a shard holds for a request: all replicas agree. */
static void
ssr_records(const char *id, int service, char *out)
{
    for (int i = 0; i < SSR_RECORDS; i++) {
        char *text = g_strdup_printf("%s/%d/%d", id, service, i);
        char *sum = g_compute_checksum_for_string(G_CHECKSUM_MD5, text, -1);
        memcpy(out + (size_t)i * SSR_RECORD_BYTES, sum, SSR_RECORD_BYTES);
        g_free(sum);
        g_free(text);
    }
}

static void
ssr_respond(struct ssr_work *work)
{
    struct ssr *server = work->server;
    char body[SSR_RECORDS * SSR_RECORD_BYTES];
    ssr_records(work->id, server->service, body);
    const char *id = work->is_spoiled ? "another" : work->id;
    struct http_field fields[] = {
        http_field_of("x-request-id", id),
        http_field_of("x-response-stamp", work->stamp),
        http_field_of("content-type", "application/octet-stream"),
        http_field_of("keep-alive", "timeout=5"),
    };
    hsv_respond_fields(work->http, 200, fields, G_N_ELEMENTS(fields), body,
                       sizeof(body));
}

static void
ssr_on_closed(uv_handle_t *handle)
{
    struct ssr_work *work = handle->data;
    ssr_respond(work);
    g_free(work);
}

static void
ssr_on_done(uv_timer_t *timer)
{
    uv_close((uv_handle_t *)timer, ssr_on_closed);
}

static void
ssr_refuse(struct ssr *server, struct hsv_request *http, int status,
           const char *id)
{
    struct http_field fields[] = {
        http_field_of("x-not-executed", "1"),
        http_field_of("x-request-id", id != NULL ? id : ""),
    };
    hsv_respond_fields(http, status, fields, 2, "", 0);
}

static void
ssr_on_request(struct hsv_request *http, void *ctx)
{
    struct ssr *server = ctx;
    struct sok *sok = server->sok;
    char *id = hsv_header(http, "x-request-id");
    char *expected = hsv_header(http, "x-expected-instance");
    char *left = hsv_header(http, "x-request-deadline-ms");
    if (id == NULL) {
        sok_violation(sok, "unasked", "a request without an id reached %s",
                      server->id);
        ssr_refuse(server, http, 400, NULL);
    }
    else if (g_strcmp0(expected, server->id) != 0) {
        ssr_refuse(server, http, 421, id);
    }
    else if (server->is_shedding && sok_random(sok, 2) == 0) {
        scl_on_arrival(sok, server, id, http->target, false);
        ssr_refuse(server, http, 503, id);
    }
    else {
        if (left == NULL) {
            sok_violation(sok, "deadline", "request %s has no deadline", id);
        }
        scl_on_arrival(sok, server, id, http->target, true);
        struct ssr_work *work = g_new0(struct ssr_work, 1);
        work->server = server;
        work->http = http;
        work->is_spoiled = server->is_spoiling && sok_random(sok, 8) == 0;
        g_strlcpy(work->id, id, sizeof(work->id));
        g_snprintf(work->stamp, sizeof(work->stamp), "s%d-%s:%s:%u",
                   server->service, server->id, id, sok_random(sok, 1 << 30));
        uint32_t work_ms =
            SSR_WORK_MIN_MS + sok_random(sok, SSR_WORK_SPREAD_MS);
        uv_timer_init(&sok->loop, &work->timer);
        work->timer.data = work;
        uv_timer_start(&work->timer, ssr_on_done,
                       server->is_slow ? work_ms * SSR_SLOW_FACTOR : work_ms,
                       0);
    }
    g_free(id);
    g_free(expected);
    g_free(left);
}

static void
ssr_name(struct ssr *server)
{
    g_snprintf(server->id, sizeof(server->id), "b%d-%d", server->index,
               server->starts);
}

void
ssr_list(struct ssr *server)
{
    char service[16];
    char dc[16];
    g_snprintf(service, sizeof(service), "service%d", server->service);
    g_snprintf(dc, sizeof(dc), "dc%d", server->dc);
    json_t *spec =
        json_pack("{s:s,s:s,s:s,s:i,s:s,s:i,s:i}", "service", service,
                  "address", server->address, "zone", dc, "slots", 4, "state",
                  server->is_draining ? "draining" : "ready", "warmup_left_ms",
                  0, "seq", 1);
    sst_put(server->sok->store, "servers", server->id, spec);
    json_decref(spec);
    server->is_listed = true;
}

void
ssr_drain(struct ssr *server)
{
    server->is_draining = true;
    server->drained_us = sok_now_us();
    ssr_list(server);
}

void
ssr_unlist(struct ssr *server)
{
    if (server->drained_us == 0) {
        server->drained_us = sok_now_us();
    }
    server->is_listed = false;
    sst_delete(server->sok->store, "servers", server->id);
}

void
ssr_restart(struct ssr *server)
{
    if (server->is_listed) {
        ssr_unlist(server);
    }
    prx_reset(server->proxy);
    server->starts += 1;
    server->is_draining = false;
    server->drained_us = 0;
    ssr_name(server);
    ssr_list(server);
}

void
ssr_open(struct sok *sok, struct ssr *server, int index)
{
    char listen[SOK_ADDRESS_BYTES];
    *server = (struct ssr){
        .sok = sok,
        .index = index,
        .service = index / SOK_REPLICAS,
        .dc = index % SOK_DCS,
        .starts = 1,
    };
    ssr_name(server);
    sok_address(sok, SOK_HOST, SOK_SERVER_PORT + index, listen);
    sok_address(sok, SOK_HOST, SOK_SERVER_PROXY_PORT + index, server->address);
    g_assert_cmpint(hsv_open(&sok->loop, listen, 1 << 20, ssr_on_request,
                             server, &server->server),
                    ==, 0);
    server->proxy = prx_new(sok, server->address, listen);
    ssr_list(server);
}
