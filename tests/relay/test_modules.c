#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "relay/body.h"
#include "relay/cold.h"
#include "relay/dedup.h"
#include "common/hedge.h"
#include "relay/link.h"
#include "relay/queue.h"
#include "script.h"

/* Times in the scripts are milliseconds unless a command says otherwise. */
#define MS 1000

struct module_test {
    struct cold cold;
    struct hdg hedge;
    struct que queue;
    struct que_item items[8];
    uint32_t item_count;
    struct ddp dedup;
    struct lnk_pool pool;
    struct cnt_set *counters;
    GString *out;
    bool is_refusing; /* connects fail at once */
};

static void
run_cold(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    cold_init(&test->cold, (uint32_t)scr_number(argc, argv, 1),
              scr_number(argc, argv, 2) * MS,
              (uint32_t)scr_number(argc, argv, 3));
}

static void
run_cold_start(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    bool is_new =
        cold_note_start(&test->cold, (uint64_t)scr_number(argc, argv, 1),
                        scr_number(argc, argv, 2) * MS);
    g_string_append(out, is_new ? "cold" : "known");
}

/* Parts that end every `step_us`, the last one at TIME. */
static void
note_latencies(struct module_test *test, int argc, char **argv, gint64 step_us,
               GString *out)
{
    gint64 count = scr_number(argc, argv, 2);
    gint64 last_us = scr_number(argc, argv, 3) * MS;
    gint64 turned = 0;
    for (gint64 i = 0; i < count; i++) {
        turned += cold_note_latency(&test->cold, scr_number(argc, argv, 1),
                                    last_us - (count - 1 - i) * step_us);
    }
    g_string_append_printf(out, "norm_us=%" PRId64 " turned_cold=%" PRId64,
                           test->cold.norm_us, turned);
}

/* cold-latency US COUNT TIME: parts one after the other. */
static void
run_cold_latency(void *ctx, int argc, char **argv, GString *out)
{
    note_latencies(ctx, argc, argv, scr_number(argc, argv, 1), out);
}

/* cold-pause US COUNT TIME: parts that end together. */
static void
run_cold_pause(void *ctx, int argc, char **argv, GString *out)
{
    note_latencies(ctx, argc, argv, 0, out);
}

/* cold-shed TIME */
static void
run_cold_shed(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    gint64 now_us = scr_number(argc, argv, 1) * MS;
    g_string_append_printf(
        out, "turned_cold=%d",
        cold_note_shed(&test->cold, now_us - MS / 2, now_us));
}

static void
run_cold_at(void *ctx, int argc, char **argv, GString *out)
{
    const struct module_test *test = ctx;
    gint64 now_us = scr_number(argc, argv, 1) * MS;
    g_string_append_printf(out, "share=%u limit=%u may_start=%d",
                           cold_share_permille(&test->cold, now_us),
                           cold_limit(&test->cold, now_us),
                           cold_may_start(&test->cold,
                                          (uint32_t)scr_number(argc, argv, 2),
                                          now_us));
}

/* cold-run FROM TO: one request. */
static void
run_cold_run(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    gint64 from_us = scr_number(argc, argv, 1) * MS;
    cold_on_start(&test->cold, 0, from_us);
    cold_on_finish(&test->cold, from_us, scr_number(argc, argv, 2) * MS);
    g_string_append_printf(out, "next_start_ms=%" PRId64,
                           test->cold.next_start_us / MS);
}

static void
run_hedge(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    hdg_init(&test->hedge, (uint32_t)scr_number(argc, argv, 1));
}

/* hedge-note US COUNT */
static void
run_hedge_note(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    for (gint64 i = 0; i < scr_number(argc, argv, 2); i++) {
        hdg_note(&test->hedge, scr_number(argc, argv, 1));
    }
    g_string_append_printf(out, "delay_us=%" PRId64,
                           hdg_delay_us(&test->hedge, 100 * MS));
}

/* hedge-spend STARTS TRIES */
static void
run_hedge_spend(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    int granted = 0;
    for (gint64 i = 0; i < scr_number(argc, argv, 1); i++) {
        hdg_on_start(&test->hedge);
    }
    for (gint64 i = 0; i < scr_number(argc, argv, 2); i++) {
        granted += hdg_spend(&test->hedge);
    }
    g_string_append_printf(out, "granted=%d", granted);
}

static void
run_queue(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    test->queue.max = (uint32_t)scr_number(argc, argv, 1);
}

/* queue-add DEADLINE NOW: 2 slots; requests take 10, seldom 2 or 30. */
static void
run_queue_add(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    struct que_item *item = &test->items[test->item_count++];
    item->deadline_us = scr_number(argc, argv, 1) * MS;
    const struct que_pace pace = {
        .service_us = 10 * MS,
        .fast_us = 2 * MS,
        .slow_us = 30 * MS,
        .slots = 2,
    };
    int rc =
        que_add(&test->queue, item, &pace, scr_number(argc, argv, 2) * MS);
    g_string_append(out, rc_name(rc));
}

static void
run_queue_drain(void *ctx, int argc, char **argv, GString *out)
{
    const struct module_test *test = ctx;
    struct que_item *item = que_first(&test->queue);
    while (item != NULL) {
        g_string_append_printf(out, "%s%" PRId64, out->len > 0 ? " " : "",
                               item->deadline_us / MS);
        que_remove(item);
        item = que_first(&test->queue);
    }
}

static void
run_dedup(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    int rc = ddp_begin(&test->dedup, argv[1], scr_number(argc, argv, 2) * MS);
    g_string_append(out, rc_name(rc));
}

static void
run_dedup_end(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    ddp_end(&test->dedup, argv[1]);
}

static void
run_dedup_forget(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    ddp_forget(&test->dedup, argv[1]);
}

static int
on_connect(struct lnk *link, void *ctx)
{
    struct module_test *test = ctx;
    if (test->is_refusing) {
        return RC_LINK_FAILED;
    }
    g_string_append(test->out, "connect ");
    return RC_OK;
}

static int
on_probe(struct lnk *link, void *ctx)
{
    struct module_test *test = ctx;
    g_string_append(test->out, "probe ");
    return RC_OK;
}

static void
on_close(struct lnk *link, void *ctx)
{
    struct module_test *test = ctx;
    g_string_append(test->out, "close ");
}

static int
on_shut_down(struct lnk *link, void *ctx)
{
    struct module_test *test = ctx;
    g_string_append(test->out, "shut-down ");
    return RC_OK;
}

static const struct lnk_calls calls = {
    .connect = on_connect,
    .probe = on_probe,
    .shut_down = on_shut_down,
    .close = on_close,
};

/* pool CONNECTIONS SLOTS */
static void
run_pool(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    test->out = out;
    if (test->pool.links != NULL) {
        lnk_pool_clear(&test->pool);
        g_string_truncate(out, 0);
    }
    lnk_pool_init(&test->pool, (uint32_t)scr_number(argc, argv, 1),
                  (uint32_t)scr_number(argc, argv, 2), &calls, test, NULL,
                  test->counters);
}

static void
run_pool_tick(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    test->out = out;
    lnk_tick(&test->pool, scr_number(argc, argv, 1) * MS);
    g_string_append_printf(out, "connecting=%u idle=%u probing=%u busy=%u",
                           lnk_count(&test->pool, LNK_CONNECTING),
                           lnk_count(&test->pool, LNK_IDLE),
                           lnk_count(&test->pool, LNK_PROBING),
                           lnk_count(&test->pool, LNK_BUSY));
}

static struct lnk *
link_in(const struct module_test *test, enum lnk_state state)
{
    for (guint i = 0; i < test->pool.links->len; i++) {
        struct lnk *link = g_ptr_array_index(test->pool.links, i);
        if (link->state == state) {
            return link;
        }
    }
    fail_msg("no link in state %d", (int)state);
    return NULL;
}

/* pool-up TIME RC: one connection attempt ends. */
static void
run_pool_up(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    test->out = out;
    lnk_on_connected(link_in(test, LNK_CONNECTING),
                     (int)scr_number(argc, argv, 2),
                     scr_number(argc, argv, 1) * MS);
}

/* pool-answer TIME COUNT: probes are answered. */
static void
run_pool_answer(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    test->out = out;
    for (gint64 i = 0; i < scr_number(argc, argv, 2); i++) {
        lnk_on_answer(link_in(test, LNK_PROBING), true,
                      scr_number(argc, argv, 1) * MS);
    }
}

static void
run_pool_take(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    lnk_take(lnk_idle(&test->pool), test, scr_number(argc, argv, 1) * MS);
}

static void
run_pool_order(void *ctx, int argc, char **argv, GString *out)
{
    struct module_test *test = ctx;
    test->out = out;
    gint64 now_us = scr_number(argc, argv, 1) * MS;
    if (lnk_idle_proven(&test->pool, now_us) != NULL) {
        g_string_append(out, "proven");
        return;
    }
    lnk_probe_for_order(&test->pool, now_us);
}

#define REQUEST_ID 9

/* search-answer STATUS BODY, execute-answer STATUS BODY: to request 9 */
static void
run_read(void *ctx, int argc, char **argv, GString *out)
{
    struct bdy_answer answer;
    int status = (int)scr_number(argc, argv, 1);
    bool is_search = strcmp(argv[0], "search-answer") == 0;
    void (*read)(int, const char *, size_t, uint64_t, struct bdy_answer *) =
        is_search ? bdy_read_search : bdy_read_execute;
    read(status, argv[2], strlen(argv[2]), REQUEST_ID, &answer);
    g_string_append_printf(out, "%s", rc_name(answer.answer.rc));
    if (answer.answer.rc == RC_OK && is_search) {
        g_string_append_printf(out, " v=%" PRIu64 " s=%" PRIu64 " hits=%zu",
                               answer.answer.version, answer.answer.shard,
                               answer.answer.hit_count);
    }
    if (answer.result != NULL) {
        g_string_append_printf(out, " %s", answer.result);
    }
    if (answer.answer.has_start) {
        g_string_append_printf(out, " start=%" PRIu64, answer.answer.start);
    }
    bdy_answer_clear(&answer);
}

static void
run_read_status(void *ctx, int argc, char **argv, GString *out)
{
    struct sch_status status;
    int rc = bdy_read_status((int)scr_number(argc, argv, 1), argv[2],
                             strlen(argv[2]), &status);
    g_string_append(out, rc_name(rc));
    if (rc == RC_OK) {
        g_string_append_printf(out, " start=%" PRIu64 " draining=%d n=%u",
                               status.start, status.is_draining,
                               status.version_count);
    }
}

/* execute-body BODY: what is sent for an order with this body. */
static void
run_execute_body(void *ctx, int argc, char **argv, GString *out)
{
    struct job job = {
        .shard = 3,
        .text = "m1.a.1",
        .is_order = true,
        .body = {.data = argv[1], .bytes = strlen(argv[1])},
    };
    char *body = bdy_execute_body(&job, REQUEST_ID, 1500);
    g_string_append(out, body);
    free(body);
}

static const struct scr_command commands[] = {
    {"cold", run_cold},
    {"cold-start", run_cold_start},
    {"cold-latency", run_cold_latency},
    {"cold-pause", run_cold_pause},
    {"cold-shed", run_cold_shed},
    {"cold-at", run_cold_at},
    {"cold-run", run_cold_run},
    {"hedge", run_hedge},
    {"hedge-note", run_hedge_note},
    {"hedge-spend", run_hedge_spend},
    {"queue", run_queue},
    {"queue-add", run_queue_add},
    {"queue-drain", run_queue_drain},
    {"dedup", run_dedup},
    {"dedup-end", run_dedup_end},
    {"dedup-forget", run_dedup_forget},
    {"pool", run_pool},
    {"pool-tick", run_pool_tick},
    {"pool-up", run_pool_up},
    {"pool-answer", run_pool_answer},
    {"pool-take", run_pool_take},
    {"pool-order", run_pool_order},
    {"search-answer", run_read},
    {"execute-answer", run_read},
    {"status-answer", run_read_status},
    {"execute-body", run_execute_body},
};

static void
test_modules(void **state)
{
    struct module_test test = {.counters = cnt_set_new()};
    que_init(&test.queue, 0);
    ddp_init(&test.dedup, 2, 600000LL * MS);
    assert_int_equal(scr_run(SCRIPT_DIR "/modules.txt", commands,
                             G_N_ELEMENTS(commands), &test),
                     0);
    GString *rest = g_string_new(NULL);
    test.out = rest;
    lnk_pool_clear(&test.pool);
    g_string_free(rest, TRUE);
    que_clear(&test.queue);
    ddp_clear(&test.dedup);
    cnt_set_free(test.counters);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_modules),
    };
    return cmocka_run_group_tests_name("relay-modules", tests, NULL, NULL);
}
