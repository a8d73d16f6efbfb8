#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/budget.h"
#include "common/hist.h"
#include "common/msg.h"
#include "common/net.h"
#include "common/opt.h"
#include "common/rc.h"
#include "script.h"

struct common_test {
    struct hst hist;
    struct bgt budget;
};

static void
run_hist(void *ctx, int argc, char **argv, GString *out)
{
    struct common_test *test = ctx;
    gint64 from = scr_number(argc, argv, 1);
    gint64 to = scr_number(argc, argv, 2);
    hst_reset(&test->hist);
    for (gint64 i = from; i <= to; i++) {
        hst_add(&test->hist, i);
    }
    g_string_append_printf(out, "p50=%" PRId64 " p99=%" PRId64 " max=%" PRId64,
                           hst_value_at(&test->hist, 500),
                           hst_value_at(&test->hist, 990),
                           hst_value_at(&test->hist, 1000));
}

static void
run_budget(void *ctx, int argc, char **argv, GString *out)
{
    struct common_test *test = ctx;
    bgt_init(&test->budget, (uint32_t)scr_number(argc, argv, 1), 4);
    gint64 earned = scr_number(argc, argv, 2);
    int granted = 0;
    for (gint64 i = 0; i < earned; i++) {
        bgt_earn(&test->budget);
    }
    while (bgt_spend(&test->budget)) {
        granted += 1;
    }
    g_string_append_printf(out, "granted=%d", granted);
}

static void
run_rc(void *ctx, int argc, char **argv, GString *out)
{
    int rc = (int)scr_number(argc, argv, 1);
    g_string_append_printf(out, "%s run=%s http=%d", rc_name(rc),
                           rc_run_name(rc_run(rc)), rc_http_status(rc));
}

static void
run_address(void *ctx, int argc, char **argv, GString *out)
{
    struct sockaddr_in address;
    g_string_append(out, rc_name(net_parse(argv[1], &address)));
}

static void
run_decode_hex(void *ctx, int argc, char **argv, GString *out)
{
    GByteArray *bytes = g_byte_array_new();
    for (const char *at = argv[1]; at[0] != '\0' && at[1] != '\0'; at += 2) {
        guint8 byte = (guint8)(g_ascii_xdigit_value(at[0]) * 16 +
                               g_ascii_xdigit_value(at[1]));
        g_byte_array_append(bytes, &byte, 1);
    }
    struct msg msg;
    int rc = msg_decode(bytes->data, bytes->len, &msg);
    g_string_append(out, rc_name(rc));
    if (rc == RC_OK) {
        g_string_append_printf(out, " type=%d", (int)msg.type);
        msg_clear(&msg);
    }
    g_byte_array_free(bytes, TRUE);
}

/* Every field of a nested message must survive the way there and back. */
static void
run_round_trip(void *ctx, int argc, char **argv, GString *out)
{
    struct msg_part parts[] = {
        {.instance = "d0", .shard = 3},
        {.instance = "d1", .shard = 4},
    };
    struct msg_query query = {
        .qid = UINT64_MAX,
        .service = "dispatch",
        .version = 7,
        .budget_us = -5,
        .limit = 10,
        .query = "fog",
        .parts = parts,
        .part_count = 2,
    };
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    assert_int_equal(msg_encode(MSG_QUERY, &query, &buffer), RC_OK);
    struct msg msg;
    assert_int_equal(msg_decode(buffer.data, buffer.size, &msg), RC_OK);
    const struct msg_query *back = msg.body;
    g_string_append_printf(
        out, "qid=%" PRIu64 " %s v=%" PRIu64 " budget=%" PRId64 " %s",
        back->qid, back->service, back->version, back->budget_us, back->query);
    for (size_t i = 0; i < back->part_count; i++) {
        g_string_append_printf(out, " %s:%" PRIu64, back->parts[i].instance,
                               back->parts[i].shard);
    }
    msg_clear(&msg);
    /* A message cut at any byte must be refused. */
    int accepted = 0;
    for (size_t cut = 0; cut < buffer.size; cut++) {
        accepted += msg_decode(buffer.data, cut, &msg) == RC_OK;
    }
    g_string_append_printf(out, " truncated_accepted=%d", accepted);
    msgpack_sbuffer_destroy(&buffer);
}

/* options PARAMETERS ARG...: how a program without ("-") or with positional
 * arguments takes these. */
static void
run_options(void *ctx, int argc, char **argv, GString *out)
{
    int64_t rate = 0;
    const struct opt_spec specs[] = {
        {.name = "rate",
         .kind = OPT_INT,
         .target = &rate,
         .help = "Rate",
         .arg = "N",
         .min = 1,
         .max = 9},
    };
    const char *arguments = strcmp(argv[1], "-") == 0 ? NULL : argv[1];
    int count = argc - 1;
    /* The parser takes arguments out of the array; the caller frees them. */
    char **copy = g_memdup2(argv + 1, sizeof(char *) * (size_t)argc);
    char **args = copy;
    int rc = opt_parse(&count, &args, specs, 1, arguments, NULL);
    g_free(copy);
    g_string_append_printf(out, "%s rate=%" PRId64 " left=%d", rc_name(rc),
                           rate, count - 1);
}

static const struct scr_command commands[] = {
    {"hist", run_hist},
    {"options", run_options},
    {"budget", run_budget},
    {"rc", run_rc},
    {"address", run_address},
    {"decode", run_decode_hex},
    {"round-trip", run_round_trip},
};

static void
test_common(void **state)
{
    struct common_test test = {.budget = {0}};
    assert_int_equal(scr_run(SCRIPT_DIR "/common.txt", commands,
                             G_N_ELEMENTS(commands), &test),
                     0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_common),
    };
    return cmocka_run_group_tests_name("common", tests, NULL, NULL);
}
