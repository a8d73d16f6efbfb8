#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "common/msg.h"
#include "common/rc.h"
#include "common/zsock.h"

/*
 * Processor time of messages between carobhatch processes. The argument is the
 * loopback address to use (IPV4:PORT). Prints one line `name size value unit`
 * per measurement:
 *
 *   encode_query PARTS ns, decode_query PARTS ns
 *   encode_reply PARTS ns, decode_reply PARTS ns
 *   query_size PARTS bytes, reply_size PARTS bytes
 *   zsock BYTES ns: processor time of both ends and of libzmq's thread for
 *   one message over a loopback connection
 */

#define BENCH_ADDRESS "127.0.0.1:20899"
#define BENCH_REPEAT_PARTS 2000000
#define BENCH_HITS 10
#define BENCH_ZSOCK_MESSAGES 100000
#define BENCH_ZSOCK_WINDOW 256

static const uint64_t bench_parts[] = {1, 5, 20, 100, 500, 1500};
static const size_t bench_sizes[] = {64, 512, 1024, 2048, 4096, 16384, 65536};

static int64_t
bench_cpu_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static void
bench_print(const char *name, uint64_t size, int64_t value, const char *unit)
{
    (void)printf("%s %" PRIu64 " %" PRId64 " %s\n", name, size, value, unit);
}

static void
bench_message(const char *name, enum msg_type type, const void *body,
              uint64_t parts)
{
    int64_t repeats = BENCH_REPEAT_PARTS / (int64_t)(parts + 20);
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    int64_t start_ns = bench_cpu_ns();
    for (int64_t i = 0; i < repeats; i++) {
        msgpack_sbuffer_clear(&buffer);
        (void)msg_encode(type, body, &buffer);
    }
    int64_t encoded_ns = bench_cpu_ns();
    for (int64_t i = 0; i < repeats; i++) {
        struct msg msg;
        if (msg_decode(buffer.data, buffer.size, &msg) == RC_OK) {
            msg_clear(&msg);
        }
    }
    int64_t decoded_ns = bench_cpu_ns();
    char label[64];
    (void)snprintf(label, sizeof(label), "encode_%s", name);
    bench_print(label, parts, (encoded_ns - start_ns) / repeats, "ns");
    (void)snprintf(label, sizeof(label), "decode_%s", name);
    bench_print(label, parts, (decoded_ns - encoded_ns) / repeats, "ns");
    (void)snprintf(label, sizeof(label), "%s_size", name);
    bench_print(label, parts, (int64_t)buffer.size, "bytes");
    msgpack_sbuffer_destroy(&buffer);
}

static void
bench_query(uint64_t count)
{
    struct msg_part *parts = g_new0(struct msg_part, count);
    char(*names)[32] = g_malloc0(count * sizeof(*names));
    for (uint64_t i = 0; i < count; i++) {
        (void)snprintf(names[i], sizeof(names[i]), "d%" PRIu64, i);
        parts[i] = (struct msg_part){.instance = names[i], .shard = i};
    }
    struct msg_query query = {
        .qid = 1,
        .service = "dispatch",
        .version = 7,
        .budget_us = 150000,
        .limit = BENCH_HITS,
        .query = "fog fluid drums in stock",
        .parts = parts,
        .part_count = count,
    };
    bench_message("query", MSG_QUERY, &query, count);
    g_free(names);
    g_free(parts);
}

static void
bench_reply(uint64_t count)
{
    struct msg_shard *done = g_new0(struct msg_shard, count);
    struct msg_hit hits[BENCH_HITS];
    for (uint64_t i = 0; i < count; i++) {
        done[i].shard = i;
    }
    for (int i = 0; i < BENCH_HITS; i++) {
        hits[i] = (struct msg_hit){.score = 900000 - i, .id = "v7-s12-1-fog"};
    }
    struct msg_reply reply = {
        .qid = 1,
        .version = 7,
        .done = done,
        .done_count = count,
        .hits = hits,
        .hit_count = BENCH_HITS,
    };
    bench_message("reply", MSG_REPLY, &reply, count);
    g_free(done);
}

struct bench_link {
    struct zsk_socket *server;
    struct zsk_socket *client;
    uv_loop_t *loop;
    uv_timer_t timer;
    char *data;
    size_t data_bytes;
    int sent;
    int received;
    int64_t start_ns;
};

static void
bench_fill(struct bench_link *link)
{
    while (link->sent < BENCH_ZSOCK_MESSAGES &&
           link->sent - link->received < BENCH_ZSOCK_WINDOW) {
        if (zsk_send(link->client, NULL, link->data, link->data_bytes) !=
            RC_OK) {
            return;
        }
        link->sent += 1;
    }
}

static void
bench_on_message(struct zsk_socket *socket, const struct zsk_peer *peer,
                 const void *data, size_t data_bytes, void *ctx)
{
    struct bench_link *link = ctx;
    if (link->received == 0) {
        link->start_ns = bench_cpu_ns();
    }
    link->received += 1;
    if (link->received == BENCH_ZSOCK_MESSAGES) {
        bench_print("zsock", link->data_bytes,
                    (bench_cpu_ns() - link->start_ns) / BENCH_ZSOCK_MESSAGES,
                    "ns");
        uv_stop(link->loop);
        return;
    }
    bench_fill(link);
}

static void
bench_on_timer(uv_timer_t *timer)
{
    bench_fill(timer->data);
}

static int
bench_zsock(uv_loop_t *loop, const char *address, size_t data_bytes)
{
    struct bench_link link = {
        .loop = loop,
        .data = g_malloc0(data_bytes),
        .data_bytes = data_bytes,
    };
    struct zsk_context *context = zsk_context_new(loop);
    int rc =
        zsk_listen(context, address, bench_on_message, &link, &link.server);
    if (rc == RC_OK) {
        rc = zsk_connect(context, address, bench_on_message, &link,
                         &link.client);
    }
    uv_timer_init(loop, &link.timer);
    link.timer.data = &link;
    if (rc == RC_OK) {
        uv_timer_start(&link.timer, bench_on_timer, 1, 1);
        uv_run(loop, UV_RUN_DEFAULT);
    }
    uv_close((uv_handle_t *)&link.timer, NULL);
    zsk_context_free(context);
    uv_run(loop, UV_RUN_DEFAULT);
    g_free(link.data);
    return rc;
}

int
main(int argc, char **argv)
{
    const char *address = argc > 1 ? argv[1] : BENCH_ADDRESS;
    for (size_t i = 0; i < G_N_ELEMENTS(bench_parts); i++) {
        bench_query(bench_parts[i]);
        bench_reply(bench_parts[i]);
    }
    uv_loop_t loop;
    uv_loop_init(&loop);
    int rc = RC_OK;
    for (size_t i = 0; i < G_N_ELEMENTS(bench_sizes) && rc == RC_OK; i++) {
        rc = bench_zsock(&loop, address, bench_sizes[i]);
    }
    uv_loop_close(&loop);
    return rc == RC_OK ? 0 : 1;
}
