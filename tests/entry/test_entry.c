#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/rc.h"
#include "entry/address.h"
#include "entry/body.h"
#include "entry/forward.h"
#include "entry/gather.h"
#include "entry/order.h"
#include "entry/quota.h"
#include "entry/snapshot.h"
#include "script.h"

#define MAX_ITEMS 32

/* The decision modules of one entry with relays played by the script. */
struct entry_test {
    struct cnt_set *counters;
    struct pln *plan;
    struct gth *gather;
    struct rid *ids;
    struct ord *orders;
    struct fwd *forwards;
    struct qta *quota;
    GHashTable *queries; /* tag -> struct gth_query */
    int64_t now_us;
    uint64_t last_qid;
    int send_rc;
    size_t idle_instances;
    GString *out; /* of the command that runs */
};

static int
on_query(void *ctx, uint32_t relay, const struct msg_query *query)
{
    struct entry_test *test = ctx;
    g_string_append_printf(test->out,
                           "query qid=%" PRIu64 " relay=%u v=%" PRIu64
                           " budget=%" PRId64 " parts=",
                           query->qid, relay, query->version,
                           query->budget_us);
    for (size_t i = 0; i < query->part_count; i++) {
        g_string_append_printf(test->out, "%s%s:%" PRIu64, i > 0 ? "," : "",
                               query->parts[i].instance,
                               query->parts[i].shard);
    }
    g_string_append_printf(test->out, "%s\n",
                           test->send_rc == RC_OK ? "" : " unsent");
    return test->send_rc;
}

static void
on_cancel(void *ctx, uint32_t relay, uint64_t qid)
{
    struct entry_test *test = ctx;
    g_string_append_printf(test->out, "cancel qid=%" PRIu64 " relay=%u\n", qid,
                           relay);
}

static void
on_answer(void *ctx, void *request_ctx, const struct gth_answer *answer)
{
    struct entry_test *test = ctx;
    g_string_append_printf(
        test->out,
        "answer %s %s v=%" PRIu64 " %" PRIu64 "/%" PRIu64 " missing=",
        (const char *)request_ctx, rc_name(answer->rc), answer->version,
        answer->shards_done, answer->shards_needed);
    for (size_t i = 0; i < answer->missing_count; i++) {
        g_string_append_printf(test->out, "%s%" PRIu64 ":%s", i > 0 ? "," : "",
                               answer->missing[i].shard,
                               rc_name(answer->missing[i].rc));
    }
    g_string_append(test->out, " hits=");
    for (size_t i = 0; i < answer->hit_count; i++) {
        g_string_append_printf(test->out, "%s%" PRId64 ":%s", i > 0 ? "," : "",
                               answer->hits[i].score, answer->hits[i].id);
    }
    g_string_append_c(test->out, '\n');
    g_hash_table_remove(test->queries, request_ctx);
}

static int
on_exec(void *ctx, uint32_t relay, const struct msg_exec *exec)
{
    struct entry_test *test = ctx;
    g_string_append_printf(test->out,
                           "exec qid=%" PRIu64 " relay=%u v=%" PRIu64
                           " %s:%" PRIu64 " budget=%" PRId64 "%s\n",
                           exec->qid, relay, exec->version, exec->instance,
                           exec->shard, exec->budget_us,
                           test->send_rc == RC_OK ? "" : " unsent");
    return test->send_rc;
}

static void
on_outcome(void *ctx, void *waiter_ctx, int rc, const void *body,
           size_t body_bytes)
{
    struct entry_test *test = ctx;
    g_string_append_printf(test->out, "outcome %s %s run=%s body=%.*s\n",
                           (const char *)waiter_ctx, rc_name(rc),
                           rc_run_name(rc_run(rc)), (int)body_bytes,
                           body != NULL ? (const char *)body : "");
}

static int
on_order(void *ctx, const char *machine, const struct msg_order *order)
{
    struct entry_test *test = ctx;
    g_string_append_printf(
        test->out, "order qid=%" PRIu64 " to=%s budget=%" PRId64 "%s\n",
        order->qid, machine, order->budget_us,
        test->send_rc == RC_OK ? "" : " unsent");
    return test->send_rc;
}

static uint64_t
on_qid(void *ctx)
{
    struct entry_test *test = ctx;
    return ++test->last_qid;
}

static size_t
on_idle(void *ctx, const char *service)
{
    const struct entry_test *test = ctx;
    return test->idle_instances;
}

static int
setup(void **state)
{
    struct entry_test *test = g_new0(struct entry_test, 1);
    test->now_us = 1000000;
    test->counters = cnt_set_new();
    test->plan = pln_new(test->counters);
    const struct gth_callbacks gather = {.send = on_query,
                                         .cancel = on_cancel,
                                         .finish = on_answer,
                                         .idle_instances = on_idle,
                                         .next_qid = on_qid,
                                         .ctx = test};
    test->gather = gth_new(test->plan, test->counters, &gather);
    test->ids = rid_new("m1", 0xabcdef, 4, test->counters);
    const struct ord_callbacks order = {.send = on_exec,
                                        .finish = on_outcome,
                                        .next_qid = on_qid,
                                        .ctx = test};
    test->orders = ord_new(test->ids, test->plan, test->counters, &order);
    const struct fwd_callbacks forward = {.send = on_order,
                                          .finish = on_outcome,
                                          .next_qid = on_qid,
                                          .ctx = test};
    test->forwards = fwd_new(test->counters, &forward);
    test->quota = qta_new(test->counters);
    test->queries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
    *state = test;
    return 0;
}

static int
teardown(void **state)
{
    struct entry_test *test = *state;
    g_hash_table_destroy(test->queries);
    fwd_free(test->forwards);
    qta_free(test->quota);
    ord_free(test->orders);
    rid_free(test->ids);
    gth_free(test->gather);
    pln_free(test->plan);
    cnt_set_free(test->counters);
    g_free(test);
    return 0;
}

/* Strings that outlive the command. */
static char *
keep(const char *text)
{
    return (char *)g_intern_string(text);
}

static void
run_relay(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    g_string_append_printf(out, "relay=%u",
                           pln_relay_open(test->plan, argv[1], test->now_us));
}

/* Tells both modules, as the I/O code does after each event. */
static void
tell_map_changed(struct entry_test *test)
{
    gth_map_changed(test->gather, test->now_us);
    ord_map_changed(test->orders, test->now_us);
}

/* idle COUNT: instances whose searchers are all out of service */
static void
run_idle(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->idle_instances = (size_t)scr_number(argc, argv, 1);
}

/* offer RELAY MACHINE START SEQ [INSTANCE:EPOCH:VERSION:SHARD:SHARDS...] */
static void
run_offer(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->out = out;
    struct msg_offer_instance instances[MAX_ITEMS];
    struct msg_version versions[MAX_ITEMS];
    size_t count = 0;
    for (int i = 5; i < argc; i++) {
        char **part = g_strsplit(argv[i], ":", 5);
        versions[count] = (struct msg_version){
            .version = g_ascii_strtoull(part[2], NULL, 10),
            .shard = g_ascii_strtoull(part[3], NULL, 10),
            .shards = g_ascii_strtoull(part[4], NULL, 10),
        };
        instances[count] = (struct msg_offer_instance){
            .service = "desk",
            .instance = keep(part[0]),
            .epoch = g_ascii_strtoull(part[1], NULL, 10),
            .versions = &versions[count],
            .version_count = 1,
        };
        g_strfreev(part);
        count += 1;
    }
    uint32_t relay = (uint32_t)scr_number(argc, argv, 1);
    const struct msg_offer offer = {
        .machine = argv[2],
        .start = (uint64_t)scr_number(argc, argv, 3),
        .seq = (uint64_t)scr_number(argc, argv, 4),
        .instances = instances,
        .instance_count = count,
    };
    uint64_t generation = pln_generation(test->plan);
    if (pln_offer(test->plan, relay, &offer, test->now_us)) {
        g_string_append(out, "restarted\n");
        gth_relay_lost(test->gather, relay, test->now_us);
        ord_relay_lost(test->orders, relay, test->now_us);
    }
    if (generation != pln_generation(test->plan)) {
        tell_map_changed(test);
    }
}

/* sent RELAY: something other than HELLO was sent to the relay. */
static void
run_sent(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    pln_sent(test->plan, (uint32_t)scr_number(argc, argv, 1), test->now_us);
}

/* heard RELAY START SEQ: a message that names the relay's newest offer. */
static void
run_heard(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    uint32_t relay = (uint32_t)scr_number(argc, argv, 1);
    pln_heard(test->plan, relay, test->now_us);
    pln_note_offer(test->plan, relay, (uint64_t)scr_number(argc, argv, 2),
                   (uint64_t)scr_number(argc, argv, 3));
}

/* hello RELAY: sends HELLO if it is due. */
static void
run_hello(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    uint32_t relay = (uint32_t)scr_number(argc, argv, 1);
    uint64_t start = 0;
    uint64_t seq = 0;
    if (!pln_hello_is_due(test->plan, relay, test->now_us, &start, &seq)) {
        g_string_append(out, "not due");
        return;
    }
    pln_hello_sent(test->plan, relay, test->now_us);
    g_string_append_printf(out, "hello start=%" PRIu64 " seq=%" PRIu64, start,
                           seq);
}

/* listed RELAY ADDRESS|-: whether the link to the relay at "a" is closed, with
 * this address in STATE. */
static void
run_listed(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    uint32_t relay = (uint32_t)scr_number(argc, argv, 1);
    const char *listed = strcmp(argv[2], "-") != 0 ? argv[2] : NULL;
    if (!pln_is_gone(test->plan, relay, "a", listed, test->now_us)) {
        g_string_append(out, "kept");
        return;
    }
    g_string_append(out, "closed\n");
    test->out = out;
    pln_relay_close(test->plan, relay);
    gth_relay_lost(test->gather, relay, test->now_us);
    ord_relay_lost(test->orders, relay, test->now_us);
}

static void
run_pick(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    const GPtrArray *layouts = pln_layouts(test->plan, "desk");
    uint64_t excluded = argc > 1 ? (uint64_t)scr_number(argc, argv, 1) : 0;
    const struct pln_layout *layout = snp_pick(layouts, excluded);
    if (layout == NULL) {
        g_string_append(out, "none");
        return;
    }
    g_string_append_printf(out, "v=%" PRIu64 " covered=%" PRIu64 "/%" PRIu64,
                           layout->version, layout->covered, layout->shards);
    for (uint64_t i = 0; i < layout->shards; i++) {
        const struct pln_holder *holder = pln_holder_pick(layout, i, 0);
        if (holder != NULL) {
            g_string_append_printf(out, " %" PRIu64 "=%s@%u", i,
                                   holder->instance, holder->relay);
        }
    }
}

/* Moves the time forward by milliseconds and runs what is due. */
static void
run_wait(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->out = out;
    test->now_us += scr_number(argc, argv, 1) * 1000;
    GArray *lost = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    pln_expire(test->plan, test->now_us, lost);
    for (guint i = 0; i < lost->len; i++) {
        uint32_t relay = g_array_index(lost, uint32_t, i);
        g_string_append_printf(out, "lost relay=%u\n", relay);
        gth_relay_lost(test->gather, relay, test->now_us);
        ord_relay_lost(test->orders, relay, test->now_us);
    }
    g_array_free(lost, TRUE);
    gth_tick(test->gather, test->now_us);
    ord_tick(test->orders, test->now_us);
    fwd_tick(test->forwards, test->now_us);
}

/* Lets sends fail with "again", or succeed. */
static void
run_link(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->send_rc = strcmp(argv[1], "down") == 0 ? RC_AGAIN : RC_OK;
}

/* search TAG DEADLINE_MS LIMIT [KEY] */
static void
run_search(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->out = out;
    const struct gth_request request = {
        .service = "desk",
        .query = "fog",
        .key = argc > 4 ? argv[4] : NULL,
        .limit = (uint64_t)scr_number(argc, argv, 3),
        .deadline_us = test->now_us + scr_number(argc, argv, 2) * 1000,
        .ctx = keep(argv[1]),
    };
    struct gth_query *query = gth_start(test->gather, &request, test->now_us);
    if (query != NULL) {
        g_hash_table_insert(test->queries, keep(argv[1]), query);
    }
}

static void
run_abandon(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->out = out;
    gth_abandon(test->gather, g_hash_table_lookup(test->queries, argv[1]));
    g_hash_table_remove(test->queries, argv[1]);
}

/* Starts and drops queries, which earn the budget for restarts. */
static void
run_warm(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->out = g_string_new(NULL);
    for (gint64 i = 0; i < scr_number(argc, argv, 1); i++) {
        const struct gth_request request = {
            .service = "desk",
            .query = "warm",
            .limit = 1,
            .deadline_us = test->now_us + 1000,
        };
        gth_abandon(test->gather,
                    gth_start(test->gather, &request, test->now_us));
    }
    g_string_free(test->out, TRUE);
    test->out = out;
}

/* Splits "A:B,C:D" into numbers and texts. Returns how many there are. */
static size_t
split_pairs(const char *list, int64_t *numbers, const char **texts)
{
    size_t count = 0;
    char **items = g_strsplit(list, ",", MAX_ITEMS);
    for (char **item = items; *item != NULL && **item != '\0'; item++) {
        const char *colon = strchr(*item, ':');
        numbers[count] = g_ascii_strtoll(*item, NULL, 10);
        texts[count] = keep(colon != NULL ? colon + 1 : "0");
        count += 1;
    }
    g_strfreev(items);
    return count;
}

/* reply RELAY QID VERSION DONE MISSING HITS, "" for an empty list */
static void
run_reply(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->out = out;
    int64_t numbers[MAX_ITEMS];
    const char *texts[MAX_ITEMS];
    struct msg_shard done[MAX_ITEMS];
    struct msg_missing missing[MAX_ITEMS];
    struct msg_hit hits[MAX_ITEMS];
    struct msg_reply reply = {
        .qid = (uint64_t)scr_number(argc, argv, 2),
        .version = (uint64_t)scr_number(argc, argv, 3),
        .done = done,
        .missing = missing,
        .hits = hits,
    };
    reply.done_count = split_pairs(argv[4], numbers, texts);
    for (size_t i = 0; i < reply.done_count; i++) {
        done[i].shard = (uint64_t)numbers[i];
    }
    reply.missing_count = split_pairs(argv[5], numbers, texts);
    for (size_t i = 0; i < reply.missing_count; i++) {
        missing[i].shard = (uint64_t)numbers[i];
        missing[i].rc = rc_from_name(texts[i]);
    }
    reply.hit_count = split_pairs(argv[6], numbers, texts);
    for (size_t i = 0; i < reply.hit_count; i++) {
        hits[i] = (struct msg_hit){.score = numbers[i], .id = texts[i]};
    }
    gth_reply(test->gather, (uint32_t)scr_number(argc, argv, 1), &reply,
              test->now_us);
}

/* Prints the counters whose name starts with the prefix. */
static void
run_count(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    GString *text = g_string_new(NULL);
    cnt_render(test->counters, text);
    char **lines = g_strsplit(text->str, "\n", -1);
    char *prefix = g_strconcat("carobhatch_", argv[1], NULL);
    for (char **line = lines; *line != NULL; line++) {
        if (g_str_has_prefix(*line, prefix)) {
            g_string_append_printf(out, "%s\n", *line + strlen("carobhatch_"));
        }
    }
    g_free(prefix);
    g_strfreev(lines);
    g_string_free(text, TRUE);
}

static void
run_id(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    char *id = NULL;
    int rc = rid_issue(test->ids, test->now_us, &id);
    g_string_append_printf(out, "%s %s", rc_name(rc), id != NULL ? id : "");
    g_free(id);
}

static void
run_parse_id(void *ctx, int argc, char **argv, GString *out)
{
    struct rid_id id;
    int rc = rid_parse(argv[1], &id);
    g_string_append(out, rc_name(rc));
    if (rc == RC_OK) {
        g_string_append_printf(out, " %s %" PRIx64 " %" PRIx64, id.machine,
                               id.start, id.seq);
    }
}

/* own-id ID: whether this process issued it. */
static void
run_own_id(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    struct rid_id id;
    assert_int_equal(rid_parse(argv[1], &id), RC_OK);
    g_string_append(out, rid_is_own(test->ids, &id) ? "own" : "other");
}

/* order TAG SEQ DEADLINE_MS */
static void
run_order(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->out = out;
    const struct ord_request request = {
        .seq = (uint64_t)scr_number(argc, argv, 2),
        .order =
            {
                .id = "id",
                .service = "desk",
                .key = "k",
                .body = "b",
                .body_bytes = 1,
                .deadline_us = test->now_us + scr_number(argc, argv, 3) * 1000,
            },
    };
    (void)ord_submit(test->orders, &request, keep(argv[1]), test->now_us);
}

/* executed RELAY QID RC-NAME BODY */
static void
run_executed(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->out = out;
    const struct msg_exec_reply reply = {
        .qid = (uint64_t)scr_number(argc, argv, 2),
        .rc = rc_from_name(argv[3]),
        .body = {.data = argv[4], .bytes = strlen(argv[4])},
    };
    ord_reply(test->orders, (uint32_t)scr_number(argc, argv, 1), &reply,
              test->now_us);
}

/* What a refusal may say about an own id, and how many are stored. */
static void
run_not_run(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    struct rid_id id = {.start = 0xabcdef, .machine = "m1"};
    id.seq = (uint64_t)scr_number(argc, argv, 1);
    rid_expire(test->ids, test->now_us);
    g_string_append_printf(
        out, "%s stored=%zu",
        rid_is_not_run(test->ids, &id, test->now_us) ? "not_run" : "unknown",
        rid_count(test->ids));
}

/* forward TAG MACHINE DEADLINE_MS */
static void
run_forward(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->out = out;
    const struct fwd_request request = {
        .machine = argv[2],
        .order =
            {
                .id = "id",
                .service = "desk",
                .key = "k",
                .body = "b",
                .body_bytes = 1,
                .deadline_us = test->now_us + scr_number(argc, argv, 3) * 1000,
            },
        .ctx = keep(argv[1]),
    };
    (void)fwd_start(test->forwards, &request, test->now_us);
}

/* forwarded MACHINE QID RC-NAME */
static void
run_forwarded(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    test->out = out;
    const struct msg_order_reply reply = {
        .qid = (uint64_t)scr_number(argc, argv, 2),
        .rc = rc_from_name(argv[3]),
    };
    fwd_reply(test->forwards, argv[1], &reply);
}

/* callers [NAME:RATE:BURST...] */
static void
run_callers(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    struct cfg_caller callers[MAX_ITEMS];
    struct cfg config = {.callers = callers};
    for (int i = 1; i < argc; i++) {
        char **part = g_strsplit(argv[i], ":", 3);
        callers[config.caller_count++] = (struct cfg_caller){
            .name = keep(part[0]),
            .quota_per_s = g_ascii_strtoll(part[1], NULL, 10),
            .burst = g_ascii_strtoll(part[2], NULL, 10),
        };
        g_strfreev(part);
    }
    qta_configure(test->quota, &config, test->now_us);
}

/* take CALLER TIMES: prints how many were admitted */
static void
run_take(void *ctx, int argc, char **argv, GString *out)
{
    struct entry_test *test = ctx;
    const char *caller = strcmp(argv[1], "-") == 0 ? NULL : argv[1];
    int admitted = 0;
    for (gint64 i = 0; i < scr_number(argc, argv, 2); i++) {
        admitted += qta_take(test->quota, caller, test->now_us) == RC_OK;
    }
    g_string_append_printf(out, "admitted=%d", admitted);
}

/* entries CALLER ZONE EXCLUDED NAME:ZONE:STATE... */
static void
run_entries(void *ctx, int argc, char **argv, GString *out)
{
    struct msg_machine machines[MAX_ITEMS];
    size_t count = 0;
    for (int i = 4; i < argc; i++) {
        char **part = g_strsplit(argv[i], ":", 3);
        machines[count++] = (struct msg_machine){
            .name = keep(part[0]),
            .zone = keep(part[1]),
            .entry_address = "127.0.0.1:1",
            .state = g_ascii_strtoull(part[2], NULL, 10),
        };
        g_strfreev(part);
    }
    const struct msg_machine *picked[ADR_MAX_ENTRIES];
    size_t found =
        adr_pick(machines, count, argv[2], argv[1], argv[3], picked);
    for (size_t i = 0; i < found; i++) {
        g_string_append_printf(out, "%s%s", i > 0 ? " " : "", picked[i]->name);
    }
}

/* How evenly 3,000 callers are spread over 6 machines of one zone. */
static void
run_spread(void *ctx, int argc, char **argv, GString *out)
{
    struct msg_machine machines[6];
    int counts[6] = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(machines); i++) {
        char *name = g_strdup_printf("m%zu", i);
        machines[i] = (struct msg_machine){
            .name = keep(name),
            .zone = "z",
            .entry_address = "127.0.0.1:1",
            .state = MSG_MACHINE_LIVE,
        };
        g_free(name);
    }
    for (int i = 0; i < 3000; i++) {
        char *caller = g_strdup_printf("caller-%d", i);
        const struct msg_machine *picked[ADR_MAX_ENTRIES];
        (void)adr_pick(machines, 6, "z", caller, NULL, picked);
        counts[picked[0] - machines] += 1;
        g_free(caller);
    }
    bool is_even = true;
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        /* 500 each; 4 standard deviations are 82. */
        is_even = is_even && counts[i] > 418 && counts[i] < 582;
    }
    g_string_append(out, is_even ? "even" : "uneven");
}

/* body TEXT, or body - BYTES for a body of that size */
static void
run_body(void *ctx, int argc, char **argv, GString *out)
{
    const char *query = NULL;
    json_t *data = NULL;
    int64_t deadline_ms = 0;
    const struct bdy_field fields[] = {
        {.name = "query",
         .kind = BDY_STRING,
         .target = &query,
         .is_required = true,
         .min = 1,
         .max = BDY_MAX_BYTES,
         .rc_range = RC_BAD_FIELD},
        {.name = "body", .kind = BDY_DATA, .target = &data},
        {.name = "deadline_ms",
         .kind = BDY_INT,
         .target = &deadline_ms,
         .min = 1,
         .max = 170,
         .rc_range = RC_BAD_DEADLINE},
    };
    char *text = g_strdup(argv[1]);
    if (argc > 2) {
        g_free(text);
        char *fill = g_strnfill((gsize)scr_number(argc, argv, 2) - 12, 'x');
        text = g_strconcat("{\"query\":\"", fill, "\"}", NULL);
        g_free(fill);
    }
    struct bdy_error error;
    json_t *root = NULL;
    int rc = bdy_parse(text, strlen(text), fields, G_N_ELEMENTS(fields), &root,
                       &error);
    g_string_append_printf(out, "%s field=%s message=%s", rc_name(rc),
                           error.field != NULL ? error.field : "",
                           error.message);
    json_decref(root);
    g_free(text);
}

static const struct scr_command commands[] = {
    {"relay", run_relay},         {"offer", run_offer},
    {"pick", run_pick},           {"wait", run_wait},
    {"link", run_link},           {"idle", run_idle},
    {"search", run_search},       {"abandon", run_abandon},
    {"warm", run_warm},           {"reply", run_reply},
    {"count", run_count},         {"id", run_id},
    {"parse-id", run_parse_id},   {"own-id", run_own_id},
    {"order", run_order},         {"executed", run_executed},
    {"not-run", run_not_run},     {"forward", run_forward},
    {"forwarded", run_forwarded}, {"callers", run_callers},
    {"take", run_take},           {"entries", run_entries},
    {"spread", run_spread},       {"sent", run_sent},
    {"heard", run_heard},         {"hello", run_hello},
    {"listed", run_listed},       {"body", run_body},
};

static void
run_script(void **state, const char *path)
{
    assert_int_equal(scr_run(path, commands, G_N_ELEMENTS(commands), *state),
                     0);
}

#define SCRIPT_TEST(name)                                                     \
    static void test_##name(void **state)                                     \
    {                                                                         \
        run_script(state, SCRIPT_DIR "/" #name ".txt");                       \
    }
SCRIPT_TEST(plan)
SCRIPT_TEST(offer)
SCRIPT_TEST(gather)
SCRIPT_TEST(order)
SCRIPT_TEST(caller)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_plan, setup, teardown),
        cmocka_unit_test_setup_teardown(test_offer, setup, teardown),
        cmocka_unit_test_setup_teardown(test_gather, setup, teardown),
        cmocka_unit_test_setup_teardown(test_order, setup, teardown),
        cmocka_unit_test_setup_teardown(test_caller, setup, teardown),
    };
    return cmocka_run_group_tests_name("entry", tests, NULL, NULL);
}
