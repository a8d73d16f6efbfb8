#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>
#include <uv.h>

#include "common/http_client.h"
#include "common/rc.h"

/* Guards against a response without a length that is accepted as complete when
 * its connection is reset: libuv reports the end of the stream for a reset
 * too. Also against one that is accepted although its connection was closed
 * within its head or body, and against a response that is too long and counts
 * as one of a request that was not run.
 */

/* Limit of the client on the body of a response. */
#define BODY_MAX_BYTES 1000

struct reset_test {
    uv_loop_t loop;
    uv_tcp_t listener;
    uv_tcp_t peer;
    uv_write_t write;
    struct http_client_conn *conn;
    bool is_reset; /* the peer resets the connection instead of closing it */
    const char *text; /* what the peer sends */
    size_t text_bytes;
    int rc;
    int status;
    size_t field_count;
    size_t body_bytes;
};

static void
on_response(struct http_client_conn *conn,
            const struct http_response *response, void *ctx)
{
    struct reset_test *test = ctx;
    test->rc = response->rc;
    test->status = response->status;
    test->field_count = response->field_count;
    test->body_bytes = response->body_bytes;
    http_client_close(conn);
    uv_close((uv_handle_t *)&test->listener, NULL);
}

static void
on_written(uv_write_t *write, int status)
{
    struct reset_test *test = write->data;
    assert_int_equal(status, 0);
    if (test->is_reset) {
        assert_int_equal(uv_tcp_close_reset(&test->peer, NULL), 0);
    }
    else {
        uv_close((uv_handle_t *)&test->peer, NULL);
    }
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char buffer[4096];
    *buf = uv_buf_init(buffer, sizeof(buffer));
}

static void
on_request(uv_stream_t *peer, ssize_t nread, const uv_buf_t *buf)
{
    struct reset_test *test = peer->data;
    uv_buf_t out = uv_buf_init((char *)test->text, (unsigned)test->text_bytes);
    if (nread <= 0) {
        return;
    }
    uv_read_stop(peer);
    test->write.data = test;
    assert_int_equal(uv_write(&test->write, peer, &out, 1, on_written), 0);
}

static void
on_accept(uv_stream_t *listener, int status)
{
    struct reset_test *test = listener->data;
    uv_tcp_init(&test->loop, &test->peer);
    test->peer.data = test;
    assert_int_equal(uv_accept(listener, (uv_stream_t *)&test->peer), 0);
    uv_read_start((uv_stream_t *)&test->peer, on_alloc, on_request);
}

static void
on_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    assert_int_equal(rc, RC_OK);
    assert_int_equal(
        http_client_request(conn, "GET", "/", NULL, NULL, 0, on_response, ctx),
        RC_OK);
}

static void
run(struct reset_test *test)
{
    struct sockaddr_in address;
    int address_bytes = sizeof(address);
    char text[32];
    uv_loop_init(&test->loop);
    uv_tcp_init(&test->loop, &test->listener);
    test->listener.data = test;
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_bind(&test->listener, (const struct sockaddr *)&address, 0);
    uv_listen((uv_stream_t *)&test->listener, 4, on_accept);
    uv_tcp_getsockname(&test->listener, (struct sockaddr *)&address,
                       &address_bytes);
    (void)snprintf(text, sizeof(text), "127.0.0.1:%d",
                   ntohs(address.sin_port));
    test->conn = http_client_connect(&test->loop, text, BODY_MAX_BYTES, NULL,
                                     on_connected, NULL, test);
    uv_run(&test->loop, UV_RUN_DEFAULT);
    uv_loop_close(&test->loop);
}

#define UNTIL_CLOSE "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab"

static void
test_closed(void **state)
{
    struct reset_test test = {
        .text = UNTIL_CLOSE,
        .text_bytes = strlen(UNTIL_CLOSE),
    };
    run(&test);
    assert_int_equal(test.rc, RC_OK);
    assert_int_equal(test.body_bytes, 2);
}

static void
test_reset(void **state)
{
    struct reset_test test = {
        .is_reset = true,
        .text = UNTIL_CLOSE,
        .text_bytes = strlen(UNTIL_CLOSE),
    };
    run(&test);
    assert_int_equal(test.rc, RC_LINK_LOST);
}

/* Guards against an interim response that counts as the final one: it is
 * passed over, and its headers are not those of the final one. */
static void
test_interim(void **state)
{
    static const char text[] =
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 7\r\nLink: x\r\n\r\n"
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 207 Multi-Status\r\nContent-Length: 2\r\n\r\nab";
    for (size_t cut = 1; cut <= strlen(text); cut++) {
        struct reset_test test = {.text = text, .text_bytes = cut};
        run(&test);
        bool is_whole = cut == strlen(text);
        assert_int_equal(test.rc == RC_OK, is_whole);
        assert_int_equal(test.status, is_whole ? 207 : 0);
        assert_int_equal(test.field_count, is_whole ? 1 : test.field_count);
    }
}

/*
 * Guards against a status that is none, such as 000, which callers would get
 * as the answer: the peer has read the request, so nothing is known of it.
 */
static void
test_status(void **state)
{
    static const struct {
        const char *status;
        bool is_accepted;
    } cases[] = {
        {"000", false}, {"001", false}, {"099", false}, {"101", false},
        {"199", false}, {"200", true},  {"207", true},  {"304", true},
        {"404", true},  {"503", true},  {"599", true},  {"600", false},
        {"999", false}, {"0", false},   {"20", false},  {"1000", false},
        {"-20", false}, {"2x0", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf("HTTP/1.1 %s Status\r\n"
                                     "X-Response-Stamp: s\r\n"
                                     "Content-Length: 0\r\n\r\n",
                                     cases[i].status);
        struct reset_test test = {.text = text, .text_bytes = strlen(text)};
        run(&test);
        assert_int_equal(test.rc == RC_OK, cases[i].is_accepted);
        assert_int_not_equal(rc_executed(test.rc), RC_EXECUTED_NO);
        g_free(text);
    }
}

/* Guards against a wait for a body that never comes: these statuses have none,
 * whatever length the backend server names. */
static void
test_no_body(void **state)
{
    static const char *const statuses[] = {"204", "304"};
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        char *text = g_strdup_printf("HTTP/1.1 %s Status\r\n"
                                     "Content-Length: 100\r\n\r\n",
                                     statuses[i]);
        struct reset_test test = {.text = text, .text_bytes = strlen(text)};
        run(&test);
        assert_int_equal(test.rc, RC_OK);
        g_free(text);
    }
}

/* Guards against a backend server that sends interim responses without end. */
static void
test_many_interims(void **state)
{
    for (int count = 32; count <= 33; count++) {
        GString *text = g_string_new(NULL);
        for (int i = 0; i < count; i++) {
            g_string_append(text, "HTTP/1.1 103 Early Hints\r\n\r\n");
        }
        g_string_append(text, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        struct reset_test test = {.text = text->str, .text_bytes = text->len};
        run(&test);
        assert_int_equal(test.rc, count == 32 ? RC_OK : RC_BAD_REPLY);
        g_string_free(text, TRUE);
    }
}

/* The peer closes after each proper prefix of a response. One that ends with
 * its connection is whole as soon as its head is. */
static void
test_cut(void **state)
{
    static const struct {
        const char *text;
        size_t first_whole; /* bytes from which the response is accepted */
    } responses[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 40},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nab\r\n0\r\n\r\n",
         59},
        {UNTIL_CLOSE, strlen(UNTIL_CLOSE) - 2},
    };
    for (size_t i = 0; i < sizeof(responses) / sizeof(responses[0]); i++) {
        for (size_t cut = 1; cut <= strlen(responses[i].text); cut++) {
            struct reset_test test = {
                .text = responses[i].text,
                .text_bytes = cut,
            };
            run(&test);
            assert_int_equal(test.rc == RC_OK,
                             cut >= responses[i].first_whole);
        }
    }
}

/* Appends a body of this size in each form that HTTP/1.1 has for its length.
 */
static GString *
response_of(const char *form, size_t head_bytes, size_t body_bytes)
{
    GString *out = g_string_new("HTTP/1.1 200 OK\r\n");
    char *filler = g_strnfill(MAX(head_bytes, body_bytes), 'x');
    g_string_append_printf(out, "X-Filler: %.*s\r\n", (int)head_bytes, filler);
    if (strcmp(form, "length") == 0) {
        g_string_append_printf(out, "Content-Length: %zu\r\n\r\n%.*s",
                               body_bytes, (int)body_bytes, filler);
    }
    else if (strcmp(form, "chunked") == 0) {
        g_string_append_printf(out,
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "%zx\r\n%.*s\r\n0\r\n\r\n",
                               body_bytes, (int)body_bytes, filler);
    }
    else {
        g_string_append_printf(out, "Connection: close\r\n\r\n%.*s",
                               (int)body_bytes, filler);
    }
    g_free(filler);
    return out;
}

/* The peer has read the request, so it may have run, however long the response
 * is that it cannot give. */
static void
test_long(void **state)
{
    static const char *const forms[] = {"length", "chunked", "until-close"};
    static const struct {
        size_t head_bytes;
        size_t body_bytes;
        bool is_accepted;
    } sizes[] = {
        {1, BODY_MAX_BYTES, true},
        {1, BODY_MAX_BYTES + 1, false},
        {1, 100 * BODY_MAX_BYTES, false},
        {200 * 1000, 1, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(sizes); j++) {
            GString *text = response_of(forms[i], sizes[j].head_bytes,
                                        sizes[j].body_bytes);
            struct reset_test test = {
                .text = text->str,
                .text_bytes = text->len,
            };
            run(&test);
            assert_int_equal(test.rc == RC_OK, sizes[j].is_accepted);
            assert_int_not_equal(rc_executed(test.rc), RC_EXECUTED_NO);
            g_string_free(text, TRUE);
        }
    }
}

/* An attempt to connect that the system refuses at once. */
struct refused_test {
    uv_loop_t loop;
    struct http_client_conn *conn;
    bool has_returned; /* http_client_connect() has */
    uint32_t report_count;
};

static void
on_refused(struct http_client_conn *conn, int rc, void *ctx)
{
    struct refused_test *test = ctx;
    assert_true(test->has_returned);
    assert_int_equal(rc, RC_LINK_FAILED);
    test->report_count += 1;
    http_client_close(conn);
}

/* Guards against a caller that tries again within the call, without end: the
 * failure is reported by the event loop, unless the connection is closed. */
static void
test_refused(void **state)
{
    /* The broadcast address of the loopback network, and no address at all. */
    static const char *const addresses[] = {"127.255.255.255:80", "nowhere"};
    for (size_t i = 0; i < 2 * G_N_ELEMENTS(addresses); i++) {
        bool is_closed = i % 2 != 0;
        struct refused_test test = {.report_count = 0};
        uv_loop_init(&test.loop);
        test.conn =
            http_client_connect(&test.loop, addresses[i / 2], BODY_MAX_BYTES,
                                NULL, on_refused, NULL, &test);
        test.has_returned = true;
        if (is_closed) {
            http_client_close(test.conn);
        }
        uv_run(&test.loop, UV_RUN_DEFAULT);
        assert_int_equal(test.report_count, is_closed ? 0 : 1);
        assert_int_equal(uv_loop_close(&test.loop), 0);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_closed),  cmocka_unit_test(test_reset),
        cmocka_unit_test(test_interim), cmocka_unit_test(test_many_interims),
        cmocka_unit_test(test_no_body), cmocka_unit_test(test_status),
        cmocka_unit_test(test_cut),     cmocka_unit_test(test_long),
        cmocka_unit_test(test_refused),
    };
    return cmocka_run_group_tests_name("gateway-reset", tests, NULL, NULL);
}
