#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/rc.h"
#include "script.h"
#include "standin/hits.h"
#include "standin/searcher.h"
#include "standin/service_model.h"
#include "standin/store_object.h"
#include "standin/hrtimer.h"

struct standin_test {
    struct sob_store *store;
    struct shp shape;
};

static void
run_put(void *ctx, int argc, char **argv, GString *out)
{
    struct standin_test *test = ctx;
    json_t *value = json_string(argv[4]);
    int rc = sob_put(test->store, argv[1], argv[2], scr_number(argc, argv, 3),
                     value);
    json_decref(value);
    g_string_append(out, rc_name(rc));
}

static void
run_delete(void *ctx, int argc, char **argv, GString *out)
{
    struct standin_test *test = ctx;
    int rc =
        sob_delete(test->store, argv[1], argv[2], scr_number(argc, argv, 3));
    g_string_append(out, rc_name(rc));
}

static void
run_list(void *ctx, int argc, char **argv, GString *out)
{
    struct standin_test *test = ctx;
    char *list = sob_list(test->store, argv[1]);
    g_string_append(out, list);
    g_free(list);
}

static void
run_put_bytes(void *ctx, int argc, char **argv, GString *out)
{
    struct standin_test *test = ctx;
    char *text = g_strnfill((gsize)scr_number(argc, argv, 1), 'x');
    json_t *value = json_string(text);
    g_string_append(out, rc_name(sob_put(test->store, "big", text, 0, value)));
    json_decref(value);
    g_free(text);
}

/* shape SERVICE_US COLD_FACTOR COLD_MS; cold from time 0 */
static void
run_shape(void *ctx, int argc, char **argv, GString *out)
{
    struct standin_test *test = ctx;
    test->shape = (struct shp){
        .service_us = scr_number(argc, argv, 1),
        .straggler_factor = 1,
        .cold_factor = scr_number(argc, argv, 2),
        .cold_ms = scr_number(argc, argv, 3),
    };
}

/* at NOW_US SLOTS */
static void
run_at(void *ctx, int argc, char **argv, GString *out)
{
    struct standin_test *test = ctx;
    int64_t now_us = scr_number(argc, argv, 1);
    uint32_t slots = (uint32_t)scr_number(argc, argv, 2);
    g_string_append_printf(out, "service_us=%" PRId64 " limit=%u",
                           shp_draw_us(&test->shape, now_us),
                           shp_slot_limit(&test->shape, slots, now_us));
}

static void
run_hit(void *ctx, int argc, char **argv, GString *out)
{
    char *id =
        sih_id(scr_number(argc, argv, 1), (uint32_t)scr_number(argc, argv, 2),
               (uint32_t)scr_number(argc, argv, 3), argv[4]);
    g_string_append_printf(out, "%s %" PRId64, id, sih_score(id));
    g_free(id);
}

static void
run_versions(void *ctx, int argc, char **argv, GString *out)
{
    struct sea_versions versions = {.count = 0};
    int rc = sea_versions_parse(argv[1], &versions);
    g_string_append_printf(out, "%s count=%u", rc_name(rc), versions.count);
}

#define TIMER_COUNT 500

struct timer_test {
    struct tmr timers[TIMER_COUNT];
    int fired_count;
    int early_count;
    int misordered_count;
    int64_t last_us;
    int expected_count;
    struct tmr_set *set;
};

static void
on_timer(struct tmr *timer, void *ctx)
{
    struct timer_test *test = ctx;
    test->early_count += tmr_now_us() < timer->at_us;
    test->misordered_count += timer->at_us < test->last_us;
    test->last_us = timer->at_us;
    test->fired_count += 1;
    if (test->fired_count == test->expected_count) {
        tmr_set_close(test->set);
    }
}

/* timers: every third of 500 timers is stopped, every fifth restarted */
static void
run_timers(void *ctx, int argc, char **argv, GString *out)
{
    uv_loop_t loop;
    uv_loop_init(&loop);
    struct timer_test *test = g_new0(struct timer_test, 1);
    test->set = tmr_set_new(&loop);
    uint64_t random = 1;
    int64_t now_us = tmr_now_us() + 5000;
    for (int i = 0; i < TIMER_COUNT; i++) {
        tmr_start(test->set, &test->timers[i],
                  now_us + (int64_t)(shp_random(&random) % 20000), on_timer,
                  test);
    }
    test->expected_count = TIMER_COUNT;
    for (int i = 0; i < TIMER_COUNT; i++) {
        if (i % 3 == 0) {
            tmr_stop(&test->timers[i]);
            test->expected_count -= 1;
        }
        else if (i % 5 == 0) {
            tmr_start(test->set, &test->timers[i], now_us + 10000, on_timer,
                      test);
        }
    }
    uv_run(&loop, UV_RUN_DEFAULT);
    assert_int_equal(uv_loop_close(&loop), 0);
    g_string_append_printf(out, "lost=%d early=%d misordered=%d",
                           test->expected_count - test->fired_count,
                           test->early_count, test->misordered_count);
    g_free(test);
}

static const struct scr_command commands[] = {
    {"put", run_put},       {"delete", run_delete},
    {"list", run_list},     {"put-bytes", run_put_bytes},
    {"shape", run_shape},   {"at", run_at},
    {"hit", run_hit},       {"versions", run_versions},
    {"timers", run_timers},
};

static void
test_standin(void **state)
{
    struct standin_test test = {.store = sob_store_new()};
    assert_int_equal(scr_run(SCRIPT_DIR "/standin.txt", commands,
                             G_N_ELEMENTS(commands), &test),
                     0);
    sob_store_free(test.store);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_standin),
    };
    return cmocka_run_group_tests_name("standin", tests, NULL, NULL);
}
