#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <inttypes.h>

#include "common/rc.h"
#include "entry/admit.h"
#include "script.h"

#define SERVICE "dispatch"
#define SHARDS 20

struct admit_test {
    struct cnt_set *counters;
    struct adm *admit;
    int64_t now_us;
};

static void
print_state(const struct admit_test *test, GString *out)
{
    g_string_append_printf(out, "limit=%" PRIu64 " running=%" PRIu64,
                           adm_limit(test->admit, SERVICE),
                           adm_running(test->admit, SERVICE));
}

/* take COUNT PRIORITY: how many of them were admitted. */
static void
run_take(void *ctx, int argc, char **argv, GString *out)
{
    struct admit_test *test = ctx;
    gint64 count = scr_number(argc, argv, 1);
    int admitted = 0;
    for (gint64 i = 0; i < count; i++) {
        admitted +=
            adm_take(test->admit, SERVICE, scr_number(argc, argv, 2)) == RC_OK;
    }
    g_string_append_printf(out, "admitted=%d ", admitted);
    print_state(test, out);
}

/* complete COUNT LATENCY_MS: searches that missed nothing, of 170 ms. */
static void
run_complete(void *ctx, int argc, char **argv, GString *out)
{
    struct admit_test *test = ctx;
    const struct adm_result result = {
        .shards_needed = SHARDS,
        .is_complete = true,
        .latency_us = scr_number(argc, argv, 2) * 1000,
        .budget_us = INT64_C(170) * 1000,
    };
    for (gint64 i = 0; i < scr_number(argc, argv, 1); i++) {
        adm_done(test->admit, SERVICE, &result, test->now_us);
    }
    print_state(test, out);
}

/* refused SHARD...: one search that missed these shards because of load. */
static void
run_refused(void *ctx, int argc, char **argv, GString *out)
{
    struct admit_test *test = ctx;
    uint64_t shards[SHARDS];
    size_t count = 0;
    for (int i = 1; i < argc && count < SHARDS; i++) {
        shards[count++] = (uint64_t)scr_number(argc, argv, i);
    }
    const struct adm_result result = {
        .shards_needed = SHARDS,
        .latency_us = INT64_C(100) * 1000,
        .budget_us = INT64_C(170) * 1000,
        .refused = shards,
        .refused_count = count,
    };
    adm_done(test->admit, SERVICE, &result, test->now_us);
    print_state(test, out);
}

static void
run_abandon(void *ctx, int argc, char **argv, GString *out)
{
    struct admit_test *test = ctx;
    adm_done(test->admit, SERVICE, NULL, test->now_us);
    print_state(test, out);
}

static void
run_wait_ms(void *ctx, int argc, char **argv, GString *out)
{
    struct admit_test *test = ctx;
    test->now_us += scr_number(argc, argv, 1) * 1000;
}

static const struct scr_command commands[] = {
    {"take", run_take},       {"complete", run_complete},
    {"refused", run_refused}, {"abandon", run_abandon},
    {"wait-ms", run_wait_ms},
};

static void
test_admit(void **state)
{
    struct cnt_set *counters = cnt_set_new();
    struct admit_test test = {
        .counters = counters,
        .admit = adm_new(counters),
        .now_us = 1000000,
    };
    assert_int_equal(scr_run(SCRIPT_DIR "/admit.txt", commands,
                             G_N_ELEMENTS(commands), &test),
                     0);
    adm_free(test.admit);
    cnt_set_free(counters);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_admit),
    };
    return cmocka_run_group_tests_name("admit", tests, NULL, NULL);
}
