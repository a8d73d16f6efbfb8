#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/rc.h"
#include "relay/relay.h"
#include "script.h"

/*
 * The relay core with one instance ("desk", "d0") of two searchers. Links
 * come up and probes are answered by the test itself, one step of 1 ms later;
 * searches and orders are answered by the script.
 */

#define MS 1000
#define SEARCHERS 2
#define LINKS_MAX 64

struct core_searcher {
    bool is_silent; /* answers no probes */
    struct sch_status status;
};

struct core_test {
    struct rly *rly;
    struct cnt_set *counters;
    int64_t now_us;
    int64_t lease_us;
    uint64_t seq;
    uint64_t revision;
    bool is_zone_in;
    int64_t deadline_max_ms;
    int64_t cold_ramp_ms;
    struct core_searcher searchers[SEARCHERS];
    struct lnk *links[LINKS_MAX]; /* in the order of opening */
    int link_count;
    int stopping_count; /* messages to the agent */
    bool is_close_lost; /* the searcher does not see closes */
    bool is_paused;     /* the lease ends between decision and send */
    GString *out;
};

static int
searcher_index(const struct lnk *link)
{
    const struct sch *sch = link->pool->owner;
    return sch->name[1] - '0';
}

static int
on_connect(struct lnk *link, void *ctx)
{
    struct core_test *test = ctx;
    assert_true(test->link_count < LINKS_MAX);
    test->links[test->link_count++] = link;
    return RC_OK;
}

static int
on_probe(struct lnk *link, void *ctx)
{
    return RC_OK;
}

static void
on_close(struct lnk *link, void *ctx)
{
    struct core_test *test = ctx;
    int kept = 0;
    for (int i = 0; i < test->link_count; i++) {
        if (test->links[i] != link) {
            test->links[kept++] = test->links[i];
        }
    }
    test->link_count = kept;
    if (link->state == LNK_BUSY) {
        g_string_append_printf(test->out, "close s%d\n", searcher_index(link));
    }
}

/* Half of the close; the searcher's half follows in the next step. */
static int
on_shut_down(struct lnk *link, void *ctx)
{
    struct core_test *test = ctx;
    g_string_append_printf(test->out, "close s%d\n", searcher_index(link));
    return RC_OK;
}

static int
on_search(struct lnk *link, const struct job *job, int64_t budget_us,
          void *ctx)
{
    struct core_test *test = ctx;
    if (test->is_paused) {
        return RC_NOT_HOLDER;
    }
    g_string_append_printf(
        test->out,
        "search s%d v=%" PRIu64 " s=%" PRIu64 " budget_ms=%" PRId64 "\n",
        searcher_index(link), job->version, job->shard, budget_us / MS);
    return RC_OK;
}

static int
on_execute(struct lnk *link, const struct job *job, int64_t budget_us,
           void *ctx)
{
    struct core_test *test = ctx;
    if (test->is_paused) {
        return RC_NOT_HOLDER;
    }
    g_string_append_printf(test->out, "execute s%d %s\n", searcher_index(link),
                           job->text);
    return RC_OK;
}

static void
print_reply(GString *out, const struct msg_reply *reply)
{
    g_string_append_printf(out, "reply %" PRIu64 " v=%" PRIu64, reply->qid,
                           reply->version);
    for (size_t i = 0; i < reply->done_count; i++) {
        g_string_append_printf(out, " done=%" PRIu64, reply->done[i].shard);
    }
    for (size_t i = 0; i < reply->missing_count; i++) {
        g_string_append_printf(out, " missing=%" PRIu64 ":%s",
                               reply->missing[i].shard,
                               rc_name((int)reply->missing[i].rc));
    }
    for (size_t i = 0; i < reply->hit_count; i++) {
        g_string_append_printf(out, " %s", reply->hits[i].id);
    }
    g_string_append_c(out, '\n');
}

static void
print_offer(GString *out, const struct msg_offer *offer)
{
    g_string_append_printf(out, "offer seq=%" PRIu64, offer->seq);
    for (size_t i = 0; i < offer->instance_count; i++) {
        const struct msg_offer_instance *instance = &offer->instances[i];
        g_string_append_printf(out, " %s/%s epoch=%" PRIu64, instance->service,
                               instance->instance, instance->epoch);
        for (size_t k = 0; k < instance->version_count; k++) {
            g_string_append_printf(out, " %" PRIu64 ":%" PRIu64 "/%" PRIu64,
                                   instance->versions[k].version,
                                   instance->versions[k].shard,
                                   instance->versions[k].shards);
        }
    }
    g_string_append_c(out, '\n');
}

static void
on_send_entry(const struct zsk_peer *peer, enum msg_type type,
              const void *body, void *ctx)
{
    struct core_test *test = ctx;
    if (type == MSG_REPLY) {
        print_reply(test->out, body);
    }
    else if (type == MSG_CONFIRM_OFFER) {
        const struct msg_confirm_offer *confirm = body;
        g_string_append_printf(test->out,
                               "confirm start=%" PRIu64 " seq=%" PRIu64 "\n",
                               confirm->relay_start, confirm->offer_seq);
    }
    else {
        const struct msg_exec_reply *reply = body;
        g_string_append_printf(test->out, "exec-reply %" PRIu64 " %s %.*s\n",
                               reply->qid, rc_name((int)reply->rc),
                               (int)reply->body.bytes,
                               (const char *)reply->body.data);
    }
}

static void
on_send_offer(const struct zsk_peer *peer, const void *data, size_t data_bytes,
              void *ctx)
{
    struct core_test *test = ctx;
    struct msg msg;
    assert_int_equal(msg_decode(data, data_bytes, &msg), RC_OK);
    assert_int_equal(msg.type, MSG_OFFER);
    if (memcmp(peer->id, "entry", 5) != 0) {
        g_string_append_printf(test->out, "%.5s ", (const char *)peer->id);
    }
    print_offer(test->out, msg.body);
    msg_clear(&msg);
}

static void
print_warm(GString *out, const struct msg_released *released)
{
    for (size_t i = 0; i < released->warm_count; i++) {
        g_string_append_printf(out, " %s=%" PRIu64, released->warm[i].address,
                               released->warm[i].start);
    }
    g_string_append_c(out, '\n');
}

static void
on_send_agent(enum msg_type type, const void *body, void *ctx)
{
    struct core_test *test = ctx;
    if (type == MSG_RELEASED) {
        const struct msg_released *released = body;
        g_string_append_printf(
            test->out, "released %s epoch=%" PRIu64 " links=%d",
            released->instance, released->epoch, test->link_count);
        print_warm(test->out, released);
    }
    else if (type == MSG_STOPPING) {
        test->stopping_count += 1;
    }
}

static const struct rly_calls calls = {
    .link = {.connect = on_connect,
             .probe = on_probe,
             .shut_down = on_shut_down,
             .close = on_close},
    .search = on_search,
    .execute = on_execute,
    .send_entry = on_send_entry,
    .send_offer = on_send_offer,
    .send_agent = on_send_agent,
};

static struct cfg *
make_cfg(const struct core_test *test)
{
    struct cfg *cfg = g_new0(struct cfg, 1);
    cfg->revision = test->revision;
    cfg->zones = g_new0(struct cfg_zone, SEARCHERS);
    cfg->zone_count = SEARCHERS;
    cfg->services = g_new0(struct cfg_service, 1);
    cfg->service_count = 1;
    struct cfg_instance *instance = g_new0(struct cfg_instance, 1);
    cfg->services[0] = (struct cfg_service){
        .name = g_strdup("desk"),
        .slots = 2,
        .connections = 25,
        .cold_share_permille = test->cold_ramp_ms > 0 ? 500 : 1000,
        .cold_ramp_ms = test->cold_ramp_ms,
        .deadline_max_ms = test->deadline_max_ms,
        .queue_max_parts = 100,
        .hedge_budget_permille = 30,
        .instances = instance,
        .instance_count = 1,
    };
    instance->name = g_strdup("d0");
    instance->searchers = g_new0(struct cfg_searcher, SEARCHERS);
    instance->searcher_count = SEARCHERS;
    for (int i = 0; i < SEARCHERS; i++) {
        cfg->zones[i].name = g_strdup_printf("z%d", i);
        cfg->zones[i].is_in = i == 0 || test->is_zone_in;
        instance->searchers[i] = (struct cfg_searcher){
            .name = g_strdup_printf("s%d", i),
            .zone = g_strdup_printf("z%d", i),
            .address = g_strdup_printf("10.0.0.%d:80", i),
        };
    }
    return cfg;
}

static struct zsk_peer
entry_peer(void)
{
    return (struct zsk_peer){.id = "entry", .id_bytes = 5};
}

static void
from_entry(struct core_test *test, enum msg_type type, const void *body)
{
    struct zsk_peer peer = entry_peer();
    struct msg msg = {.type = type, .body = body};
    rly_on_entry(test->rly, &peer, &msg, test->now_us);
}

static void
step_links(struct core_test *test)
{
    struct lnk *links[LINKS_MAX];
    int count = test->link_count;
    memcpy(links, test->links, sizeof(links));
    for (int i = 0; i < count; i++) {
        struct core_searcher *at = &test->searchers[searcher_index(links[i])];
        if (links[i]->since_us >= test->now_us) {
            continue;
        }
        if (links[i]->state == LNK_CONNECTING) {
            rly_on_connected(links[i], RC_OK, test->now_us);
        }
        else if (links[i]->state == LNK_PROBING && !at->is_silent) {
            rly_on_status(links[i], &at->status, true, test->now_us);
        }
        else if (links[i]->state == LNK_CLOSING && !test->is_close_lost) {
            rly_on_lost(links[i], RC_LINK_LOST, test->now_us);
        }
    }
}

/* run MS */
static void
run_run(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = out;
    for (gint64 i = 0; i < scr_number(argc, argv, 1); i++) {
        test->now_us += MS;
        step_links(test);
        rly_tick(test->rly, test->now_us);
    }
}

/* closes lost|seen */
static void
run_closes(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->is_close_lost = strcmp(argv[1], "lost") == 0;
}

/* sends late|prompt: late ones find that the lease has ended meanwhile. */
static void
run_sends(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->is_paused = strcmp(argv[1], "late") == 0;
}

/* new DEADLINE_MAX_MS [COLD_RAMP_MS]: a relay that has heard of nothing yet;
 * the cold share is one slot of two. */
static void
run_new(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = g_string_new(NULL);
    if (test->rly != NULL) {
        rly_free(test->rly);
        cnt_set_free(test->counters);
    }
    g_string_free(test->out, TRUE);
    *test = (struct core_test){
        .now_us = 1000LL * MS,
        .is_zone_in = true,
        .deadline_max_ms = scr_number(argc, argv, 1),
        .cold_ramp_ms = argc > 2 ? scr_number(argc, argv, 2) : 0,
        .counters = cnt_set_new(),
        .out = out,
    };
    for (int i = 0; i < SEARCHERS; i++) {
        test->searchers[i].status = (struct sch_status){
            .start = (uint64_t)i + 1,
            .version_count = 1,
            .versions = {{.version = 7, .shard = 0, .shards = 1}},
        };
    }
    test->rly = rly_new("m0", 5, &calls, test, test->counters);
}

static void
send_state(struct core_test *test, const struct msg_holder *holder,
           bool has_config)
{
    struct msg_state state = {
        .seq = ++test->seq,
        .machine = "m0",
        .start = 7,
        .revision = test->revision,
        .holders = (struct msg_holder *)holder,
        .holder_count = holder != NULL,
        .lease_until_us = test->lease_us,
    };
    struct cfg *cfg = has_config ? make_cfg(test) : NULL;
    rly_on_state(test->rly, &state, cfg, test->now_us);
}

/* state MACHINE|- EPOCH ORDERLY LEASE_MS [ADDRESS START...]: with a list of
 * warm searchers. */
static void
run_state(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = out;
    bool is_first = test->revision == 0;
    test->revision = is_first ? 1 : test->revision;
    test->lease_us = test->now_us + scr_number(argc, argv, 4) * MS;
    struct msg_holder holder = {
        .service = "desk",
        .instance = "d0",
        .machine = argv[1],
        .start = 7,
        .epoch = (uint64_t)scr_number(argc, argv, 2),
        .orderly = (uint64_t)scr_number(argc, argv, 3),
    };
    struct msg_warm warm[SEARCHERS];
    holder.warm = warm;
    for (int i = 5; i + 1 < argc && holder.warm_count < SEARCHERS; i += 2) {
        warm[holder.warm_count++] = (struct msg_warm){
            .address = argv[i],
            .start = (uint64_t)scr_number(argc, argv, i + 1),
        };
    }
    send_state(test, argv[1][0] == '-' ? NULL : &holder, is_first);
}

/* zone out|in: of s1, with a new revision. */
static void
run_zone(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = out;
    test->is_zone_in = strcmp(argv[1], "in") == 0;
    test->revision += 1;
    struct msg_holder holder = {
        .service = "desk",
        .instance = "d0",
        .machine = "m0",
        .start = 7,
        .epoch = 1,
    };
    send_state(test, &holder, true);
}

/* hello [START SEQ [PEER]]: of an entry that has this offer; of another entry
 * if a PEER of 5 letters is named. */
static void
run_hello(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = out;
    struct msg_hello hello = {
        .relay_start = argc > 2 ? (uint64_t)scr_number(argc, argv, 1) : 0,
        .offer_seq = argc > 2 ? (uint64_t)scr_number(argc, argv, 2) : 0,
    };
    struct zsk_peer peer = entry_peer();
    if (argc > 3) {
        memcpy(peer.id, argv[3], peer.id_bytes);
    }
    struct msg msg = {.type = MSG_HELLO, .body = &hello};
    rly_on_entry(test->rly, &peer, &msg, test->now_us);
}

/* skip MS: time passes without a tick. */
static void
run_skip(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->now_us += scr_number(argc, argv, 1) * MS;
}

/* query QID BUDGET_MS [VERSION] */
static void
run_query(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = out;
    struct msg_part part = {.instance = "d0", .shard = 0};
    struct msg_query query = {
        .qid = (uint64_t)scr_number(argc, argv, 1),
        .service = "desk",
        .version = argc > 3 ? (uint64_t)scr_number(argc, argv, 3) : 7,
        .budget_us = scr_number(argc, argv, 2) * MS,
        .limit = 2,
        .query = "fog",
        .parts = &part,
        .part_count = 1,
    };
    from_entry(test, MSG_QUERY, &query);
}

static void
run_cancel(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = out;
    struct msg_cancel cancel = {.qid = (uint64_t)scr_number(argc, argv, 1)};
    from_entry(test, MSG_CANCEL, &cancel);
}

/* exec QID ID BUDGET_MS */
static void
run_exec(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = out;
    struct msg_exec exec = {
        .qid = (uint64_t)scr_number(argc, argv, 1),
        .id = argv[2],
        .service = "desk",
        .instance = "d0",
        .version = 7,
        .budget_us = scr_number(argc, argv, 3) * MS,
        .body = {.data = "{}", .bytes = 2},
    };
    from_entry(test, MSG_EXEC, &exec);
}

/* The link whose request started first or last. */
static struct lnk *
busy_link(const struct core_test *test, bool is_oldest)
{
    struct lnk *found = NULL;
    for (int i = 0; i < test->link_count; i++) {
        struct lnk *link = test->links[i];
        if (link->state != LNK_BUSY) {
            continue;
        }
        const struct att *att = link->request;
        const struct att *best = found != NULL ? found->request : NULL;
        if (best == NULL ||
            (att->started_us < best->started_us) == is_oldest) {
            found = link;
        }
    }
    assert_non_null(found);
    return found;
}

/* answer oldest|newest RC [VERSION]: a request ends. */
static void
run_answer(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = out;
    struct lnk *link = busy_link(test, strcmp(argv[1], "oldest") == 0);
    int rc = rc_from_name(argv[2]);
    if (rc == RC_LINK_LOST || rc == RC_TOO_LARGE) {
        rly_on_lost(link, rc, test->now_us);
        return;
    }
    const struct msg_hit hits[] = {{.score = 1, .id = "low"},
                                   {.score = 3, .id = "high"},
                                   {.score = 2, .id = "mid"}};
    struct dsp_answer answer = {
        .rc = rc,
        .is_reusable = true,
        .version = argc > 3 ? (uint64_t)scr_number(argc, argv, 3) : 7,
        .hits = hits,
        .hit_count = G_N_ELEMENTS(hits),
        .result = "1",
        .result_bytes = 1,
    };
    rly_on_answer(link, &answer, test->now_us);
}

/* warm COUNT: queries that are answered after 1 ms each. */
static void
run_warm(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = g_string_new(NULL);
    char *one[] = {"run", "1"};
    for (gint64 i = 0; i < scr_number(argc, argv, 1); i++) {
        char *qid = g_strdup_printf("%" PRId64, 100000 + i);
        char *query[] = {"query", qid, "100"};
        run_query(test, 3, query, test->out);
        run_run(test, 2, one, test->out);
        char *answer[] = {"answer", "oldest", "ok"};
        run_answer(test, 3, answer, test->out);
        g_free(qid);
    }
    g_string_free(test->out, TRUE);
    test->out = out;
}

/* start I START: the searcher has restarted. */
static void
run_start(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->searchers[scr_number(argc, argv, 1)].status.start =
        (uint64_t)scr_number(argc, argv, 2);
}

/* searcher I silent|answers|draining */
static void
run_searcher(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    struct core_searcher *at = &test->searchers[scr_number(argc, argv, 1)];
    at->is_silent = strcmp(argv[2], "silent") == 0;
    at->status.is_draining = strcmp(argv[2], "draining") == 0;
}

/* version I VERSION: the searcher replaces the version that it serves. */
static void
run_version(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->searchers[scr_number(argc, argv, 1)].status.versions[0].version =
        (uint64_t)scr_number(argc, argv, 2);
}

static void
run_stop(void *ctx, int argc, char **argv, GString *out)
{
    struct core_test *test = ctx;
    test->out = out;
    rly_stop(test->rly, test->now_us);
}

static void
run_stopped(void *ctx, int argc, char **argv, GString *out)
{
    const struct core_test *test = ctx;
    bool is_stopped = rly_is_stopped(test->rly, test->now_us);
    g_string_append_printf(out, "%s stopping=%d",
                           is_stopped ? "stopped" : "running",
                           test->stopping_count);
}

/* count NAME REASON */
static void
run_count(void *ctx, int argc, char **argv, GString *out)
{
    const struct core_test *test = ctx;
    g_string_append_printf(out, "%" PRIu64,
                           *cnt_get(test->counters, argv[1], argv[2]));
}

static const struct scr_command commands[] = {
    {"run", run_run},           {"new", run_new},
    {"state", run_state},       {"zone", run_zone},
    {"hello", run_hello},       {"query", run_query},
    {"cancel", run_cancel},     {"exec", run_exec},
    {"answer", run_answer},     {"warm", run_warm},
    {"searcher", run_searcher}, {"version", run_version},
    {"closes", run_closes},     {"sends", run_sends},
    {"stop", run_stop},         {"stopped", run_stopped},
    {"count", run_count},       {"start", run_start},
    {"skip", run_skip},
};

static void
test_core(void **state)
{
    struct core_test test = {.rly = NULL};
    assert_int_equal(scr_run(SCRIPT_DIR "/core.txt", commands,
                             G_N_ELEMENTS(commands), &test),
                     0);
    test.out = g_string_new(NULL);
    rly_free(test.rly);
    g_string_free(test.out, TRUE);
    cnt_set_free(test.counters);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_core),
    };
    return cmocka_run_group_tests_name("relay-core", tests, NULL, NULL);
}
