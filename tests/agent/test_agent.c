#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "agent/contract.h"
#include "agent/gossip.h"
#include "agent/lease.h"
#include "agent/member.h"
#include "agent/revision.h"
#include "agent/subscriber.h"
#include "common/rc.h"
#include "script.h"

#define START 1
#define MACHINES 3
#define WARM_MAX 4
#define SUBSCRIBERS 4

/* The modules of machine m0, start 1, and what they asked to be done. */
struct world {
    int64_t now_us;
    GString *out; /* of the command that runs */
    struct cnt_set *counters;
    struct lse *lease;
    struct ctr *contracts;
    struct rev *revision;
    struct mbr *members;
    struct gsp *gossip;
    struct sub *subscribers;
    bool is_unreached[SUBSCRIBERS]; /* by the first byte of the client */
    struct ctr_machine machines[MACHINES];
    struct ctr_view view;
    int64_t accepted_us; /* of every holder but m0 */
    int64_t voted_us;
};

static void
on_send(void *ctx, const char *machine, enum msg_type type, const void *body)
{
    struct world *world = ctx;
    const struct msg_beat *beat = body;
    const struct msg_ask *ask = body;
    if (type == MSG_BEAT) {
        g_string_append_printf(world->out, "beat %s seq=%" PRIu64 "\n",
                               machine, beat->seq);
    }
    else {
        g_string_append_printf(world->out, "ask %s about %s/%" PRIu64 "\n",
                               machine, ask->holder, ask->holder_start);
    }
}

static void
print_warm(GString *out, const struct msg_holder *holder)
{
    for (size_t i = 0; i < holder->warm_count; i++) {
        g_string_append_printf(out, " %s:%" PRIu64, holder->warm[i].address,
                               holder->warm[i].start);
    }
}

static void
on_write(void *ctx, uint64_t version, const struct msg_holder *value)
{
    struct world *world = ctx;
    g_string_append_printf(world->out,
                           "write %s v=%" PRIu64 " %s/%" PRIu64
                           " epoch=%" PRIu64 " orderly=%" PRIu64,
                           value->instance, version, value->machine,
                           value->start, value->epoch, value->orderly);
    print_warm(world->out, value);
    g_string_append_c(world->out, '\n');
}

static void
on_read(void *ctx, const char *service, const char *instance)
{
    struct world *world = ctx;
    g_string_append_printf(world->out, "read %s\n", instance);
}

static int64_t
on_accepted(void *ctx, const char *machine, uint64_t start)
{
    const struct world *world = ctx;
    return world->accepted_us;
}

static int64_t
on_voted_out(void *ctx, const char *machine, uint64_t start)
{
    const struct world *world = ctx;
    return world->voted_us;
}

static bool
on_is_in_cell(void *ctx, const char *machine)
{
    return true;
}

static void
on_ask(void *ctx, const char *machine, uint64_t start)
{
    struct world *world = ctx;
    g_string_append_printf(world->out, "ask about %s/%" PRIu64 "\n", machine,
                           start);
}

static void
on_changed(void *ctx)
{
}

static uint32_t
on_random(void *ctx, uint32_t limit)
{
    return limit - 1;
}

/* "N" is a document of revision N; anything else is malformed. */
static int
parse_number(const char *json, size_t json_bytes, struct cfg **out,
             char **error)
{
    if (json_bytes == 0 || !g_ascii_isdigit(json[0])) {
        *error = g_strdup("malformed");
        return RC_INVALID;
    }
    *out = g_new0(struct cfg, 1);
    (*out)->revision = g_ascii_strtoull(json, NULL, 10);
    return RC_OK;
}

static int
on_send_client(void *ctx, const struct zsk_peer *client, enum msg_type type,
               const void *body)
{
    struct world *world = ctx;
    int rc = world->is_unreached[client->id[0]] ? RC_AGAIN : RC_OK;
    g_string_append_printf(world->out, "%s to %d: %s\n",
                           type == MSG_STATE ? "state" : "lease",
                           client->id[0], rc_name(rc));
    return rc;
}

static void
world_clear(struct world *world)
{
    lse_free(world->lease);
    ctr_free(world->contracts);
    rev_free(world->revision);
    mbr_free(world->members);
    gsp_free(world->gossip);
    sub_free(world->subscribers);
    cnt_set_free(world->counters);
}

static void
run_new(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    world_clear(world);
    *world = (struct world){
        .now_us = 1000 * 1000,
        .out = out,
        .counters = cnt_set_new(),
        .accepted_us = -1,
        .voted_us = -1,
        .view = {.term = 1,
                 .is_leased = true,
                 .can_hold = true,
                 .is_store_usable = true},
    };
    const struct lse_callbacks lease = {.send = on_send, .ctx = world};
    const struct ctr_callbacks contracts = {
        .write = on_write,
        .read = on_read,
        .accepted_us = on_accepted,
        .voted_out_us = on_voted_out,
        .is_in_cell = on_is_in_cell,
        .ask = on_ask,
        .changed = on_changed,
        .ctx = world,
    };
    const struct msg_machine self = {
        .name = "m0",
        .start = START,
        .zone = "z",
        .agent_address = "a0",
        .entry_address = "",
        .peer_address = "",
        .relay_address = "",
        .state = MSG_MACHINE_LIVE,
        .beat = 1,
    };
    world->lease =
        lse_new("m0", START, world->now_us, &lease, world->counters);
    world->contracts = ctr_new("m0", START, &contracts, world->counters);
    world->revision = rev_new(world->now_us, parse_number, world->counters);
    world->members = mbr_new(&self, world->now_us);
    world->gossip = gsp_new(on_random, world);
    world->subscribers = sub_new(on_send_client, world, world->counters);
}

static void
run_wait(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    world->now_us += scr_number(argc, argv, 1) * 1000;
}

static void
print_lease(const struct world *world, GString *out)
{
    g_string_append_printf(
        out, "leased=%d term=%" PRIu64 " left_ms=%" PRId64,
        lse_is_valid(world->lease, world->now_us), lse_term(world->lease),
        MAX(lse_until_us(world->lease) - world->now_us, 0) / 1000);
}

static void
run_cell(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    int rc = lse_set_cell(world->lease, world->now_us,
                          (uint64_t)scr_number(argc, argv, 1),
                          (const char *const *)argv + 2, (size_t)argc - 2);
    g_string_append(out, rc_name(rc));
}

/* > told MACHINE VERSION MEMBER...: the machine's version of the cell */
static void
run_told(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    struct msg_member members[LSE_CELL_MAX + 1];
    size_t count = 0;
    for (int i = 3; i < argc; i++) {
        members[count++] = (struct msg_member){.machine = argv[i]};
    }
    const struct msg_cell message = {
        .machine = argv[1],
        .version = (uint64_t)scr_number(argc, argv, 2),
        .members = members,
        .member_count = count,
    };
    int rc = lse_on_cell(world->lease, world->now_us, &message);
    g_string_append_printf(out, "%s version=%" PRIu64, rc_name(rc),
                           lse_cell_version(world->lease));
}

/* > pulls VERSION: whether a message that names it is followed by a pull */
static void
run_pulls(void *ctx, int argc, char **argv, GString *out)
{
    const struct world *world = ctx;
    g_string_append_printf(
        out, "%d",
        lse_should_pull_cell(world->lease,
                             (uint64_t)scr_number(argc, argv, 1)));
}

static void
run_tick(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    world->out = out;
    lse_tick(world->lease, world->now_us);
}

/* > beat MACHINE START CELL-VERSION */
static void
run_beat(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    const struct msg_beat beat = {
        .machine = argv[1],
        .start = (uint64_t)scr_number(argc, argv, 2),
        .cell_version = (uint64_t)scr_number(argc, argv, 3),
    };
    struct msg_beat_ack ack;
    bool is_answered = lse_on_beat(world->lease, world->now_us, &beat, &ack);
    g_string_append_printf(out, "%s",
                           !is_answered ? "silent"
                                        : (ack.accepted ? "ok" : "refused"));
}

/* > ack MACHINE SEQ CELL-VERSION [START] */
static void
run_ack(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    const struct msg_beat_ack ack = {
        .machine = argv[1],
        .start = argc > 4 ? (uint64_t)scr_number(argc, argv, 4) : 0,
        .seq = (uint64_t)scr_number(argc, argv, 2),
        .cell_version = (uint64_t)scr_number(argc, argv, 3),
        .accepted = 1,
    };
    (void)lse_on_ack(world->lease, world->now_us, &ack);
    print_lease(world, out);
}

/* > asked ASKER HOLDER START CELL-VERSION */
static void
run_asked(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    const struct msg_ask ask = {
        .asker = argv[1],
        .holder = argv[2],
        .holder_start = (uint64_t)scr_number(argc, argv, 3),
        .cell_version = (uint64_t)scr_number(argc, argv, 4),
    };
    struct msg_vote vote;
    bool is_answered = lse_on_ask(world->lease, world->now_us, &ask, &vote);
    g_string_append_printf(
        out, "%s",
        !is_answered ? "silent" : (vote.not_heard ? "not heard" : "heard"));
}

/* > ask HOLDER START */
static void
run_ask(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    world->out = out;
    lse_ask(world->lease, world->now_us, argv[1],
            (uint64_t)scr_number(argc, argv, 2));
}

/* > vote VOTER HOLDER START: "not heard" in the newest round of this test */
static void
run_vote(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    const struct msg_vote vote = {
        .voter = argv[1],
        .holder = argv[2],
        .holder_start = (uint64_t)scr_number(argc, argv, 3),
        .nonce = START + (uint64_t)scr_number(argc, argv, 4),
        .not_heard = 1,
    };
    lse_on_vote(world->lease, world->now_us, &vote);
    g_string_append_printf(
        out, "voted_out=%d",
        lse_voted_out_us(world->lease, argv[2], vote.holder_start) >= 0);
}

static void
run_may_change(void *ctx, int argc, char **argv, GString *out)
{
    const struct world *world = ctx;
    g_string_append_printf(out, "%d",
                           lse_cell_may_change(world->lease, world->now_us));
}

/* > config INSTANCE... */
static void
run_config(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    struct cfg_instance instances[8] = {{.name = NULL}};
    for (int i = 1; i < argc; i++) {
        instances[i - 1].name = argv[i];
    }
    struct cfg_service service = {
        .name = "s",
        .instances = instances,
        .instance_count = (size_t)argc - 1,
    };
    const struct cfg cfg = {.services = &service, .service_count = 1};
    ctr_set_config(world->contracts, &cfg);
}

/* > machines NAME...: in the cell, just heard, start 10 times the number */
static void
run_machines(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    size_t count = 0;
    for (int i = 1; i < argc && count < MACHINES; i++) {
        world->machines[count] = (struct ctr_machine){
            .name = g_intern_string(argv[i]),
            .start = strcmp(argv[i], "m0") == 0
                         ? START
                         : (uint64_t)(argv[i][1] - '0') * 10,
            .accepted_us = world->now_us,
            .is_in_cell = true,
            .can_hold = true,
        };
        count += 1;
    }
    world->view.machines = world->machines;
    world->view.machine_count = count;
    world->view.stable_since_us = world->now_us;
}

/* Warm searchers, NAME START each, from argv[i] on. */
static size_t
read_warm(int argc, char **argv, int i, struct msg_warm *warm)
{
    size_t count = 0;
    for (; i + 1 < argc && count < WARM_MAX; i += 2) {
        warm[count++] = (struct msg_warm){
            .address = argv[i],
            .start = (uint64_t)scr_number(argc, argv, i + 1),
        };
    }
    return count;
}

/* INSTANCE VERSION MACHINE START EPOCH [ORDERLY [WARM...]] from argv[i] on */
static struct ctr_object
read_object(int argc, char **argv, int i)
{
    static struct msg_warm warm[WARM_MAX];
    return (struct ctr_object){
        .version = (uint64_t)scr_number(argc, argv, i + 1),
        .holder = {.service = "s",
                   .instance = argv[i],
                   .machine = argv[i + 2],
                   .start = (uint64_t)scr_number(argc, argv, i + 3),
                   .epoch = (uint64_t)scr_number(argc, argv, i + 4),
                   .orderly = argc > i + 5
                                  ? (uint64_t)scr_number(argc, argv, i + 5)
                                  : 0,
                   .warm = warm,
                   .warm_count = read_warm(argc, argv, i + 6, warm)},
    };
}

static void
run_object(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    struct ctr_object object;
    size_t count = 0;
    if (argc > 1) {
        object = read_object(argc, argv, 1);
        count = 1;
    }
    ctr_on_list(world->contracts, world->now_us, &object, count, true);
}

static void
run_contracts(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    world->out = out;
    ctr_tick(world->contracts, world->now_us, &world->view);
}

/* > wrote RC INSTANCE VERSION MACHINE START EPOCH */
static void
run_wrote(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    const struct ctr_object object = read_object(argc, argv, 2);
    ctr_on_write(world->contracts, world->now_us, &world->view,
                 rc_from_name(argv[1]), &object);
}

static void
run_was_read(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    const struct ctr_object object = read_object(argc, argv, 2);
    ctr_on_read(world->contracts, world->now_us, &world->view,
                rc_from_name(argv[1]), &object);
}

static void
run_released(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    struct msg_warm warm[WARM_MAX];
    const struct msg_released released = {
        .service = "s",
        .instance = argv[1],
        .epoch = (uint64_t)scr_number(argc, argv, 2),
        .warm = warm,
        .warm_count = read_warm(argc, argv, 3, warm),
    };
    ctr_on_released(world->contracts, world->now_us, &released);
}

static void
run_held(void *ctx, int argc, char **argv, GString *out)
{
    const struct world *world = ctx;
    g_string_append_printf(
        out, "held=%d used=%d",
        ctr_is_held(world->contracts, &world->view, "s", argv[1]),
        ctr_is_used(world->contracts, &world->view, "s", argv[1]));
}

/* What STATE says. */
static void
run_holders(void *ctx, int argc, char **argv, GString *out)
{
    const struct world *world = ctx;
    struct msg_holder *holders = NULL;
    size_t count = ctr_holders(world->contracts, &world->view, &holders);
    for (size_t i = 0; i < count; i++) {
        g_string_append_printf(out, "%s epoch=%" PRIu64 " orderly=%" PRIu64,
                               holders[i].instance, holders[i].epoch,
                               holders[i].orderly);
        print_warm(out, &holders[i]);
    }
    g_free(holders);
}

static void
run_relay_replaced(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    ctr_on_relay_replaced(world->contracts, world->now_us);
    run_holders(ctx, argc, argv, out);
}

/* > view leased|term|can_hold|refused|relay_gone|accepted|voted VALUE */
static void
run_view(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    gint64 value = scr_number(argc, argv, 2);
    struct ctr_view *view = &world->view;
    if (strcmp(argv[1], "leased") == 0) {
        view->is_leased = value != 0;
    }
    else if (strcmp(argv[1], "term") == 0) {
        view->term = (uint64_t)value;
    }
    else if (strcmp(argv[1], "can_hold") == 0) {
        view->can_hold = value != 0;
    }
    else if (strcmp(argv[1], "refused") == 0) {
        view->is_refused = value != 0;
    }
    else if (strcmp(argv[1], "accepted") == 0) {
        world->accepted_us = world->now_us;
    }
    else if (strcmp(argv[1], "voted") == 0) {
        world->voted_us = world->now_us;
    }
    else {
        fail_msg("no such field: %s", argv[1]);
    }
}

/* > offer REVISION DOCUMENT [DIGEST] */
static void
run_offer(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    uint64_t digest = argc > 3 ? (uint64_t)scr_number(argc, argv, 3) : 0;
    int rc = rev_offer(world->revision, (uint64_t)scr_number(argc, argv, 1),
                       digest, argv[2], strlen(argv[2]), NULL);
    size_t bytes = 0;
    g_string_append_printf(out, "%s in force: %" PRIu64 " %s", rc_name(rc),
                           rev_number(world->revision),
                           rev_document(world->revision, &bytes));
}

/* > ready [store] [peer REVISION] */
static void
run_ready(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    if (argc > 1 && strcmp(argv[1], "store") == 0) {
        rev_on_store(world->revision);
    }
    else if (argc > 2) {
        rev_on_peer(world->revision, (uint64_t)scr_number(argc, argv, 2));
    }
    g_string_append_printf(out, "%d",
                           rev_is_ready(world->revision, world->now_us));
}

/* > member NAME START BEAT [leaving] */
static void
run_member(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    const struct msg_machine entry = {
        .name = argv[1],
        .start = (uint64_t)scr_number(argc, argv, 2),
        .zone = "z",
        .agent_address = "a",
        .entry_address = "",
        .peer_address = "",
        .relay_address = "",
        .state = argc > 4 ? MSG_MACHINE_LEAVING : MSG_MACHINE_LIVE,
        .beat = (uint64_t)scr_number(argc, argv, 3),
    };
    g_string_append_printf(out, "%d",
                           mbr_merge(world->members, world->now_us, &entry));
}

static void
run_members(void *ctx, int argc, char **argv, GString *out)
{
    const struct world *world = ctx;
    for (size_t i = 0; i < mbr_count(world->members); i++) {
        const struct mbr_machine *machine = mbr_at(world->members, i);
        g_string_append_printf(out,
                               "%s/%" PRIu64 " beat=%" PRIu64 " state=%d\n",
                               machine->name, machine->start, machine->beat,
                               (int)mbr_state(world->members, world->now_us,
                                              machine, MBR_NOT_IN_CELL));
    }
}

static bool
skip_none(void *ctx, const struct mbr_machine *machine)
{
    return false;
}

/* > gossip COUNT: what a message holds when COUNT machines are known */
static void
run_gossip(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    for (gint64 i = 0; i < scr_number(argc, argv, 1); i++) {
        char name[16];
        (void)g_snprintf(name, sizeof(name), "n%04d", (int)i);
        const struct msg_machine entry = {
            .name = name,
            .start = 9,
            .zone = "z",
            .agent_address = name,
            .entry_address = "",
            .peer_address = "",
            .relay_address = "",
            .state = MSG_MACHINE_LIVE,
            .beat = 1,
        };
        (void)mbr_merge(world->members, world->now_us, &entry);
    }
    /* Entries of one message, and messages until all were sent once. */
    struct msg_machine entries[GSP_ENTRIES];
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    int messages = 0;
    size_t most = 0;
    while (g_hash_table_size(seen) < mbr_count(world->members)) {
        size_t count =
            gsp_fill(world->gossip, world->now_us, world->members, entries);
        most = MAX(most, count);
        messages += 1;
        for (size_t i = 0; i < count; i++) {
            g_hash_table_add(seen, (char *)entries[i].name);
        }
    }
    g_hash_table_destroy(seen);
    const struct mbr_machine *picks[GSP_FANOUT];
    size_t picked = gsp_pick(world->gossip, world->members, skip_none, NULL,
                             picks, GSP_FANOUT);
    g_string_append_printf(out, "entries=%zu messages=%d picked=%zu", most,
                           messages, picked);
}

/* > subscribe ROLE START CLIENT */
static void
run_subscribe(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    const struct msg_subscribe message = {
        .role = argv[1],
        .start = (uint64_t)scr_number(argc, argv, 2),
    };
    const struct zsk_peer peer = {
        .id = {(uint8_t)scr_number(argc, argv, 3)},
        .id_bytes = 1,
    };
    const struct prs_from from = {.peer = &peer};
    g_string_append_printf(
        out, "replaced=%d",
        sub_on_subscribe(world->subscribers, world->now_us, &from, &message));
}

/* > reach CLIENT 0|1: whether sends to it succeed */
static void
run_reach(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    world->is_unreached[scr_number(argc, argv, 1)] =
        scr_number(argc, argv, 2) == 0;
}

/* > send-state */
static void
run_send_state(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    world->out = out;
    struct msg_state state = {.revision = 1};
    sub_send_state(world->subscribers, world->now_us, &state);
}

static void
run_send_lease(void *ctx, int argc, char **argv, GString *out)
{
    struct world *world = ctx;
    world->out = out;
    const struct msg_lease lease = {.revision = 1};
    sub_send_lease(world->subscribers, world->now_us, &lease);
}

/* > subscribers: after a tick */
static void
run_subscribers(void *ctx, int argc, char **argv, GString *out)
{
    static const char *const relays[] = {
        [SUB_RELAY_NONE] = "none",
        [SUB_RELAY_STOPPING] = "stopping",
        [SUB_RELAY_UP] = "up",
    };
    struct world *world = ctx;
    const struct sub *subscribers = world->subscribers;
    sub_tick(world->subscribers, world->now_us);
    g_string_append_printf(out, "relay=%s entry_ready=%d due=%d",
                           relays[sub_relay_state(subscribers)],
                           sub_is_entry_ready(subscribers, world->now_us),
                           sub_is_due(subscribers, world->now_us));
    if (sub_relay_lost_us(subscribers) > 0) {
        g_string_append_printf(
            out, " lost_ms=%" PRId64,
            (world->now_us - sub_relay_lost_us(subscribers)) / 1000);
    }
}

static const struct scr_command commands[] = {
    {"new", run_new},
    {"wait", run_wait},
    {"cell", run_cell},
    {"told", run_told},
    {"pulls", run_pulls},
    {"tick", run_tick},
    {"beat", run_beat},
    {"ack", run_ack},
    {"asked", run_asked},
    {"ask", run_ask},
    {"vote", run_vote},
    {"may-change", run_may_change},
    {"config", run_config},
    {"machines", run_machines},
    {"object", run_object},
    {"contracts", run_contracts},
    {"wrote", run_wrote},
    {"was-read", run_was_read},
    {"released", run_released},
    {"holders", run_holders},
    {"held", run_held},
    {"relay-replaced", run_relay_replaced},
    {"view", run_view},
    {"offer", run_offer},
    {"ready", run_ready},
    {"member", run_member},
    {"members", run_members},
    {"gossip", run_gossip},
    {"subscribe", run_subscribe},
    {"reach", run_reach},
    {"send-state", run_send_state},
    {"send-lease", run_send_lease},
    {"subscribers", run_subscribers},
};

static void
run_script(const char *path)
{
    struct world world = {.now_us = 0};
    assert_int_equal(scr_run(path, commands, G_N_ELEMENTS(commands), &world),
                     0);
    world_clear(&world);
}

static void
test_lease(void **state)
{
    run_script(SCRIPT_DIR "/lease.txt");
}

static void
test_contract(void **state)
{
    run_script(SCRIPT_DIR "/contract.txt");
}

static void
test_members(void **state)
{
    run_script(SCRIPT_DIR "/members.txt");
}

static void
test_subscriber(void **state)
{
    run_script(SCRIPT_DIR "/subscriber.txt");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lease),
        cmocka_unit_test(test_contract),
        cmocka_unit_test(test_members),
        cmocka_unit_test(test_subscriber),
    };
    return cmocka_run_group_tests_name("agent", tests, NULL, NULL);
}
