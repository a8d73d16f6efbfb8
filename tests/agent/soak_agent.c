#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/contract.h"
#include "agent/gossip.h"
#include "agent/lease.h"
#include "agent/member.h"
#include "agent/revision.h"
#include "common/msg.h"
#include "common/rc.h"

/*
 * Randomised run of the agent's decision modules: seven agents and a store in
 * virtual time. Guards against two machines that may use one instance at the
 * same time, a revision that decreases, a document adopted in part, and a
 * system that does not recover once the faults end.
 *
 * The mode "peers" guards against a version of the cell that only the store
 * can tell: agents restart while it is down, and it fails when only the writer
 * of a change has its reply.
 * The mode "votes" guards against voters that go on refusing a holder after a
 * round that failed, so that it loses its lease with the next machine.
 *
 * Usage: soak_agent SEED STEPS [faults|cells|outage|peers|votes]
 */

#define AGENTS 7
#define INSTANCES 12
#define BUCKETS 4096 /* steps; longer delays do not exist */
#define VERSIONS 16  /* old versions that a lagging read may return */
#define FAULT_STEP_US 5000
#define OUTAGE_STEP_US 20000
#define TICK_US 20000
#define TIMEOUT_US (INT64_C(5) * 1000 * 1000)
#define LIST_US (INT64_C(10) * 1000 * 1000)
/* Without faults at the end, all must be well after this time. */
#define CALM_US (INT64_C(90) * 1000 * 1000)

enum fault {
    FAULT_LOST,
    FAULT_DELAYED,
    FAULT_ONE_WAY,
    FAULT_TWO_WAY,
    FAULT_PAUSE,
    FAULT_RESTART,
    FAULT_STOP,
    FAULT_OUTAGE,
    FAULT_REPLY_LOST,
    FAULT_REQUEST_LATE,
    FAULT_LAGGING_READ,
    FAULT_TRUNCATED,
    FAULT_CELL_CHANGE,
    FAULT_COUNT,
};

static const char *const fault_names[FAULT_COUNT] = {
    "lost",        "delayed",    "one-way-partition", "two-way-partition",
    "pause",       "restart",    "planned-stop",      "store-outage",
    "reply-lost",  "late-write", "lagging-read",      "truncated-document",
    "cell-change",
};

enum call_kind {
    CALL_PUT_CONTRACT,
    CALL_GET_CONTRACT,
    CALL_LIST_CONTRACTS,
    CALL_LIST_CONFIG,
    CALL_GET_CELL,
    CALL_PUT_CELL,
};

/* A version of an object: a contract, or the cell with `members` as a mask. */
struct object {
    uint64_t version;
    int64_t at_us;
    int machine;
    uint64_t start;
    uint64_t epoch;
    uint64_t orderly;
    uint64_t warm; /* start of the one listed searcher, 0 for none */
    uint64_t members;
};

struct history {
    struct object versions[VERSIONS];
    uint64_t count;
};

struct call {
    enum call_kind kind;
    int agent;
    uint64_t start; /* of the caller */
    int instance;
    uint64_t expected; /* version of a PUT */
    struct object value;
    int refs;
    bool is_done; /* answered or timed out */
    int rc;
    struct object results[INSTANCES];
    uint64_t revision;
};

enum event_kind {
    EVENT_MESSAGE,
    EVENT_ARRIVE, /* a call reaches the store */
    EVENT_REPLY,
    EVENT_TIMEOUT,
};

struct event {
    enum event_kind kind;
    int to;
    int from;
    struct call *call;
    GByteArray *bytes;
};

struct agent {
    struct sim *sim;
    int index;
    char name[8];
    uint64_t start;
    bool is_up;
    bool is_leaving;
    int64_t up_us;     /* when it starts again */
    int64_t paused_us; /* until then */
    int64_t leaving_us;
    int64_t drift_ppm;
    int64_t offset_us;
    int64_t tick_us;
    int64_t list_us;
    int64_t config_us;
    int64_t cell_us;
    bool is_cell_busy;
    GQueue *backlog; /* events that wait for the end of a pause */
    struct cnt_set *counters;
    struct lse *lease;
    struct ctr *contracts;
    struct rev *revision;
    struct mbr *members;
    struct gsp *gossip;
    struct ctr_machine machines[AGENTS];
    struct ctr_view view;
    uint64_t holders_mask;
    uint32_t used_mask; /* while leased; valid unless is_used_stale */
    bool is_used_stale;
    uint64_t last_revision;
    /* What an earlier process's relay may go on with. */
    uint32_t ghost_mask;
    int64_t ghost_until_us;
};

/* The last RELEASED of an instance. */
struct release {
    uint64_t token; /* start of the searcher that it lists */
    int machine;
    uint64_t epoch;
};

struct sim {
    GRand *rand;
    int64_t now_us;
    int64_t step_us;
    int64_t step;
    int64_t steps;
    bool has_faults;
    bool is_cells; /* members of the cell change all the time */
    struct agent agents[AGENTS];
    bool is_blocked[AGENTS][AGENTS];
    int64_t blocked_until_us;
    GPtrArray *buckets[BUCKETS];
    struct history contracts[INSTANCES];
    struct history cell;
    GPtrArray *documents; /* text of revision i + 1 */
    bool is_store_down;
    int64_t store_until_us;
    uint32_t loss_permille;
    uint64_t decisions;
    uint64_t faults[FAULT_COUNT];
    uint64_t transfers; /* contract versions with another holder */
    uint64_t served;    /* instances with a user, summed over steps */
    uint64_t next_start;
    struct release release[INSTANCES];
    uint64_t releases;
    uint64_t used_epoch[INSTANCES]; /* the newest one that was used */
    uint64_t warm_writes;
};

static void
sim_fail(const struct sim *sim, const char *what, int number)
{
    (void)fprintf(stderr, "failed: %s (%d) at step %" PRId64 "\n", what,
                  number, sim->step);
    abort();
}

static uint32_t
sim_random(struct sim *sim, uint32_t limit)
{
    return (uint32_t)g_rand_int_range(sim->rand, 0, (gint32)limit);
}

/* True with the probability while faults are injected; counts the fault. */
static bool
sim_fault(struct sim *sim, enum fault fault, uint32_t per_million)
{
    if (!sim->has_faults || sim_random(sim, 1000000) >= per_million) {
        return false;
    }
    sim->faults[fault] += 1;
    return true;
}

static int64_t
agent_now(const struct agent *agent)
{
    int64_t now_us = agent->sim->now_us;
    return agent->offset_us + now_us + now_us * agent->drift_ppm / 1000000;
}

static void
sim_schedule(struct sim *sim, struct event *event, int64_t delay_us)
{
    int64_t steps = MAX(1, delay_us / sim->step_us);
    steps = MIN(steps, BUCKETS - 1);
    g_ptr_array_add(sim->buckets[(sim->step + steps) % BUCKETS], event);
}

static void
sim_schedule_call(struct sim *sim, struct call *call, enum event_kind kind,
                  int64_t delay_us)
{
    struct event *event = g_new0(struct event, 1);
    event->kind = kind;
    event->to = call->agent;
    event->call = call;
    call->refs += 1;
    sim_schedule(sim, event, delay_us);
}

static void
call_unref(struct call *call)
{
    call->refs -= 1;
    if (call->refs == 0) {
        g_free(call);
    }
}

static void
event_free(struct event *event)
{
    if (event->call != NULL) {
        call_unref(event->call);
    }
    if (event->bytes != NULL) {
        g_byte_array_unref(event->bytes);
    }
    g_free(event);
}

static int64_t
sim_delay(struct sim *sim)
{
    if (sim_fault(sim, FAULT_DELAYED, 20000)) {
        return 10000 + sim_random(sim, 3000000);
    }
    return 500 + sim_random(sim, 4000);
}

static void
sim_send(struct sim *sim, int from, int to, enum msg_type type,
         const void *body)
{
    if (sim->is_blocked[from][to] ||
        sim_fault(sim, FAULT_LOST, sim->loss_permille * 1000)) {
        return;
    }
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    (void)msg_encode(type, body, &buffer);
    struct event *event = g_new0(struct event, 1);
    event->kind = EVENT_MESSAGE;
    event->from = from;
    event->to = to;
    event->bytes = g_byte_array_new();
    g_byte_array_append(event->bytes, (const guint8 *)buffer.data,
                        (guint)buffer.size);
    msgpack_sbuffer_destroy(&buffer);
    sim_schedule(sim, event, sim_delay(sim));
}

static int
index_of(const char *name)
{
    return name[1] - '0';
}

/* The store. */

static const struct object *
history_at(const struct history *history, int64_t at_us)
{
    static const struct object none = {.version = 0};
    uint64_t oldest =
        history->count > VERSIONS ? history->count - VERSIONS : 0;
    for (uint64_t i = history->count; i > oldest; i--) {
        const struct object *object = &history->versions[(i - 1) % VERSIONS];
        if (object->at_us <= at_us || i - 1 == oldest) {
            return object;
        }
    }
    return &none;
}

/*
 * A listed searcher was warm at the releaser: the list comes from the last
 * release, after which nobody used the instance, or is passed on by a holder
 * that never used it.
 */
static void
sim_check_warm(struct sim *sim, int instance, const struct object *current,
               const struct object *next)
{
    struct release release = sim->release[instance];
    if (next->machine != release.machine) {
        sim->release[instance] = (struct release){.token = 0};
    }
    if (next->warm == 0) {
        return;
    }
    sim->warm_writes += 1;
    bool is_released = next->warm == release.token &&
                       current->machine == release.machine &&
                       sim->used_epoch[instance] <= release.epoch;
    bool is_passed_on = next->warm == current->warm &&
                        sim->used_epoch[instance] < current->epoch;
    if (next->orderly != 1 || (!is_released && !is_passed_on)) {
        sim_fail(sim, "warm list without its release", instance);
    }
}

static int
history_put(struct sim *sim, struct history *history, const struct call *call,
            struct object *result)
{
    const struct object *current = history_at(history, INT64_MAX);
    if (current->version != call->expected) {
        *result = *current;
        return RC_CONFLICT;
    }
    struct object next = call->value;
    next.version = history->count + 1;
    next.at_us = sim->now_us;
    if (current->version > 0 && call->kind == CALL_PUT_CONTRACT) {
        if (next.epoch <= current->epoch) {
            sim_fail(sim, "epoch did not grow", call->instance);
        }
        sim->transfers += next.machine != current->machine;
        sim_check_warm(sim, call->instance, current, &next);
    }
    history->versions[history->count % VERSIONS] = next;
    history->count += 1;
    *result = next;
    return RC_OK;
}

static void
store_arrive(struct sim *sim, struct call *call)
{
    if (sim->is_store_down) {
        return;
    }
    int64_t at_us = sim->now_us;
    if (call->kind != CALL_PUT_CONTRACT && call->kind != CALL_PUT_CELL &&
        sim_fault(sim, FAULT_LAGGING_READ, 50000)) {
        at_us -= sim_random(sim, 4000000);
    }
    call->rc = RC_OK;
    switch (call->kind) {
    case CALL_PUT_CONTRACT:
        call->rc = history_put(sim, &sim->contracts[call->instance], call,
                               &call->results[0]);
        break;
    case CALL_PUT_CELL:
        call->rc = history_put(sim, &sim->cell, call, &call->results[0]);
        break;
    case CALL_GET_CONTRACT:
        call->results[0] = *history_at(&sim->contracts[call->instance], at_us);
        break;
    case CALL_GET_CELL:
        call->results[0] = *history_at(&sim->cell, at_us);
        break;
    case CALL_LIST_CONTRACTS:
        for (int i = 0; i < INSTANCES; i++) {
            call->results[i] = *history_at(&sim->contracts[i], at_us);
        }
        break;
    case CALL_LIST_CONFIG:
        call->revision = sim->documents->len;
        break;
    }
    if (!sim_fault(sim, FAULT_REPLY_LOST, 30000)) {
        sim_schedule_call(sim, call, EVENT_REPLY, sim_delay(sim));
    }
}

static struct call *
agent_call(struct agent *agent, enum call_kind kind, int instance)
{
    struct sim *sim = agent->sim;
    struct call *call = g_new0(struct call, 1);
    call->kind = kind;
    call->agent = agent->index;
    call->start = agent->start;
    call->instance = instance;
    int64_t delay_us = sim_delay(sim);
    if (kind == CALL_PUT_CONTRACT &&
        sim_fault(sim, FAULT_REQUEST_LATE, 30000)) {
        /* Later than the caller waits: it lands when nobody expects it. */
        delay_us = sim_random(sim, 12000000);
    }
    sim_schedule_call(sim, call, EVENT_ARRIVE, delay_us);
    sim_schedule_call(sim, call, EVENT_TIMEOUT, TIMEOUT_US);
    return call;
}

/* Callbacks of the modules. */

static void
agent_send(void *ctx, const char *machine, enum msg_type type,
           const void *body)
{
    struct agent *agent = ctx;
    sim_send(agent->sim, agent->index, index_of(machine), type, body);
}

static void
agent_write(void *ctx, uint64_t version, const struct msg_holder *value)
{
    struct agent *agent = ctx;
    struct call *call =
        agent_call(agent, CALL_PUT_CONTRACT, atoi(value->instance + 1));
    call->expected = version;
    call->value = (struct object){
        .machine = index_of(value->machine),
        .start = value->start,
        .epoch = value->epoch,
        .orderly = value->orderly,
        .warm = value->warm_count > 0 ? value->warm[0].start : 0,
    };
}

static void
agent_read(void *ctx, const char *service, const char *instance)
{
    (void)agent_call(ctx, CALL_GET_CONTRACT, atoi(instance + 1));
}

static int64_t
agent_accepted(void *ctx, const char *machine, uint64_t start)
{
    const struct agent *agent = ctx;
    return lse_accepted_us(agent->lease, machine, start);
}

static int64_t
agent_voted_out(void *ctx, const char *machine, uint64_t start)
{
    const struct agent *agent = ctx;
    return lse_voted_out_us(agent->lease, machine, start);
}

static bool
agent_is_in_cell(void *ctx, const char *machine)
{
    const struct agent *agent = ctx;
    return lse_is_known(agent->lease, machine);
}

static void
agent_ask(void *ctx, const char *machine, uint64_t start)
{
    struct agent *agent = ctx;
    lse_ask(agent->lease, agent_now(agent), machine, start);
}

static void
agent_changed(void *ctx)
{
}

static uint32_t
agent_random(void *ctx, uint32_t limit)
{
    struct agent *agent = ctx;
    return sim_random(agent->sim, limit);
}

/* A document that a cut must make invalid: the parser needs all of it. */
static int
soak_parse(const char *json, size_t json_bytes, struct cfg **out, char **error)
{
    json_t *document = json_loadb(json, json_bytes, 0, NULL);
    if (document == NULL) {
        *error = g_strdup("malformed");
        return RC_BAD_JSON;
    }
    struct cfg *cfg = g_new0(struct cfg, 1);
    cfg->revision =
        (uint64_t)json_integer_value(json_object_get(document, "revision"));
    json_decref(document);
    cfg->cluster = g_strdup("c");
    cfg->service_count = 1;
    cfg->services = g_new0(struct cfg_service, 1);
    cfg->services[0].name = g_strdup("s");
    cfg->services[0].instance_count = INSTANCES;
    cfg->services[0].instances = g_new0(struct cfg_instance, INSTANCES);
    for (int i = 0; i < INSTANCES; i++) {
        cfg->services[0].instances[i].name = g_strdup_printf("i%d", i);
    }
    *out = cfg;
    return RC_OK;
}

static void
agent_start(struct agent *agent)
{
    struct sim *sim = agent->sim;
    sim->next_start += 1;
    agent->start = sim->next_start;
    agent->is_up = true;
    agent->is_leaving = false;
    agent->tick_us = 0;
    agent->list_us = 0;
    agent->config_us = 0;
    agent->cell_us = 0;
    agent->is_cell_busy = false;
    agent->last_revision = 0;
    int64_t now_us = agent_now(agent);
    const struct lse_callbacks lease = {
        .send = agent_send,
        .ctx = agent,
    };
    const struct ctr_callbacks contracts = {
        .write = agent_write,
        .read = agent_read,
        .accepted_us = agent_accepted,
        .voted_out_us = agent_voted_out,
        .is_in_cell = agent_is_in_cell,
        .ask = agent_ask,
        .changed = agent_changed,
        .ctx = agent,
    };
    const struct msg_machine self = {
        .name = agent->name,
        .start = agent->start,
        .zone = "z",
        .agent_address = agent->name,
        .entry_address = "",
        .peer_address = "",
        .relay_address = "r",
        .state = MSG_MACHINE_LIVE,
        .beat = 1,
    };
    agent->lease =
        lse_new(agent->name, agent->start, now_us, &lease, agent->counters);
    agent->contracts =
        ctr_new(agent->name, agent->start, &contracts, agent->counters);
    agent->revision = rev_new(now_us, soak_parse, agent->counters);
    agent->members = mbr_new(&self, now_us);
    agent->gossip = gsp_new(agent_random, agent);
    agent->is_used_stale = true;
    agent->view = (struct ctr_view){.stable_since_us = now_us};
}

static const struct ctr_view *
agent_view(struct agent *agent)
{
    int64_t now_us = agent_now(agent);
    size_t count = mbr_count(agent->members);
    uint64_t mask = 0;
    for (size_t i = 0; i < count; i++) {
        const struct mbr_machine *machine = mbr_at(agent->members, i);
        int64_t heard_us = MBR_NOT_IN_CELL;
        if (lse_is_member(agent->lease, machine->name)) {
            heard_us =
                lse_heard_us(agent->lease, machine->name, machine->start);
        }
        bool can_hold = mbr_state(agent->members, now_us, machine, heard_us) ==
                        MSG_MACHINE_LIVE;
        agent->machines[i] = (struct ctr_machine){
            .name = machine->name,
            .start = machine->start,
            .accepted_us =
                lse_accepted_us(agent->lease, machine->name, machine->start),
            .is_in_cell = lse_is_member(agent->lease, machine->name),
            .can_hold = can_hold,
        };
        mask = mask * 31 + (can_hold ? machine->start : 0);
    }
    if (mask != agent->holders_mask) {
        agent->holders_mask = mask;
        agent->view.stable_since_us = now_us;
    }
    agent->view.machines = agent->machines;
    agent->view.machine_count = count;
    agent->view.term = lse_term(agent->lease);
    agent->view.is_leased = lse_is_valid(agent->lease, now_us);
    agent->view.is_refused = lse_is_refused(agent->lease, now_us);
    agent->view.can_hold = !agent->is_leaving;
    agent->view.is_store_usable = true;
    return &agent->view;
}

static uint32_t
agent_used_mask(struct agent *agent)
{
    if (!lse_is_valid(agent->lease, agent_now(agent))) {
        return 0;
    }
    if (!agent->is_used_stale) {
        return agent->used_mask;
    }
    uint32_t mask = 0;
    agent->view.is_leased = true;
    agent->view.term = lse_term(agent->lease);
    for (int i = 0; i < INSTANCES; i++) {
        char instance[8];
        (void)g_snprintf(instance, sizeof(instance), "i%d", i);
        if (ctr_is_used(agent->contracts, &agent->view, "s", instance)) {
            mask |= 1U << i;
            agent->sim->used_epoch[i] =
                history_at(&agent->sim->contracts[i], INT64_MAX)->epoch;
        }
    }
    agent->used_mask = mask;
    agent->is_used_stale = false;
    return mask;
}

static void
agent_end(struct agent *agent, int64_t down_us)
{
    if (!agent->is_up) {
        return;
    }
    /* Its relay goes on until the lease it was told of ends. */
    agent->ghost_mask = agent_used_mask(agent);
    agent->ghost_until_us = lse_until_us(agent->lease);
    agent->is_up = false;
    agent->up_us = agent->sim->now_us + down_us;
    lse_free(agent->lease);
    ctr_free(agent->contracts);
    rev_free(agent->revision);
    mbr_free(agent->members);
    gsp_free(agent->gossip);
}

/* Messages. */

static void
agent_note_revision(struct agent *agent, int from, uint64_t number)
{
    rev_on_peer(agent->revision, number);
    if (rev_should_pull(agent->revision, agent_now(agent), number)) {
        const struct msg_pull pull = {.revision = rev_number(agent->revision)};
        sim_send(agent->sim, agent->index, from, MSG_PULL, &pull);
    }
}

static void
agent_note_cell(struct agent *agent, int from, uint64_t version)
{
    if (lse_should_pull_cell(agent->lease, version)) {
        const struct msg_cell_pull pull = {
            .version = lse_cell_version(agent->lease),
        };
        sim_send(agent->sim, agent->index, from, MSG_CELL_PULL, &pull);
    }
}

static void
agent_send_cell(struct agent *agent, int to)
{
    struct msg_member members[LSE_CELL_MAX];
    const struct msg_cell cell = {
        .machine = agent->name,
        .version = lse_cell_version(agent->lease),
        .members = members,
        .member_count = lse_member_count(agent->lease),
    };
    for (size_t i = 0; i < cell.member_count; i++) {
        members[i].machine = lse_member(agent->lease, i);
    }
    sim_send(agent->sim, agent->index, to, MSG_CELL, &cell);
}

static void
agent_on_cell_pull(struct agent *agent, int from,
                   const struct msg_cell_pull *pull)
{
    if (pull->version < lse_cell_version(agent->lease)) {
        agent_send_cell(agent, from);
    }
}

static void
agent_on_ack(struct agent *agent, int from, const struct msg_beat_ack *ack)
{
    (void)lse_on_ack(agent->lease, agent_now(agent), ack);
    agent_note_cell(agent, from, ack->cell_version);
}

static void
agent_on_pull(struct agent *agent, int from, const struct msg_pull *pull)
{
    if (pull->revision >= rev_number(agent->revision)) {
        return;
    }
    size_t bytes = 0;
    const char *document = rev_document(agent->revision, &bytes);
    if (sim_fault(agent->sim, FAULT_TRUNCATED, 200000)) {
        bytes = sim_random(agent->sim, (uint32_t)bytes);
    }
    const struct msg_config config = {
        .revision = rev_number(agent->revision),
        .digest = rev_digest(agent->revision),
        .document = {.data = document, .bytes = bytes},
    };
    sim_send(agent->sim, agent->index, from, MSG_CONFIG, &config);
}

static void
agent_offer(struct agent *agent, uint64_t number, uint64_t digest,
            const char *json, size_t json_bytes)
{
    if (rev_offer(agent->revision, number, digest, json, json_bytes, NULL) ==
        RC_OK) {
        ctr_set_config(agent->contracts, rev_cfg(agent->revision));
    }
}

static void
agent_on_members(struct agent *agent, int from,
                 const struct msg_members *message)
{
    struct msg_machine entries[GSP_ENTRIES];
    size_t count = 0;
    if (gsp_on_members(agent->gossip, agent_now(agent), agent->members,
                       message, entries, &count)) {
        const struct msg_members answer = {
            .revision = rev_number(agent->revision),
            .digest = rev_digest(agent->revision),
            .machines = entries,
            .machine_count = count,
        };
        sim_send(agent->sim, agent->index, from, MSG_MEMBERS, &answer);
    }
    agent_note_revision(agent, from, message->revision);
}

static void
agent_on_beat(struct agent *agent, int from, const struct msg_beat *beat)
{
    struct msg_beat_ack ack;
    if (lse_on_beat(agent->lease, agent_now(agent), beat, &ack)) {
        sim_send(agent->sim, agent->index, from, MSG_BEAT_ACK, &ack);
    }
    if (beat->state == MSG_MACHINE_LEAVING) {
        mbr_on_leaving(agent->members, agent_now(agent), beat->machine,
                       beat->start);
    }
    agent_note_cell(agent, from, beat->cell_version);
    agent_note_revision(agent, from, beat->revision);
}

static void
agent_on_message(struct agent *agent, int from, const GByteArray *bytes)
{
    struct msg msg;
    if (msg_decode(bytes->data, bytes->len, &msg) != RC_OK) {
        sim_fail(agent->sim, "message does not decode", from);
    }
    int64_t now_us = agent_now(agent);
    const struct msg_config *config = msg.body;
    struct msg_vote vote;
    switch (msg.type) {
    case MSG_BEAT:
        agent_on_beat(agent, from, msg.body);
        break;
    case MSG_BEAT_ACK:
        agent_on_ack(agent, from, msg.body);
        break;
    case MSG_ASK:
        if (lse_on_ask(agent->lease, now_us, msg.body, &vote)) {
            sim_send(agent->sim, agent->index, from, MSG_VOTE, &vote);
        }
        break;
    case MSG_VOTE:
        lse_on_vote(agent->lease, now_us, msg.body);
        break;
    case MSG_PULL:
        agent_on_pull(agent, from, msg.body);
        break;
    case MSG_CONFIG:
        agent_offer(agent, config->revision, config->digest,
                    config->document.data, config->document.bytes);
        break;
    case MSG_MEMBERS:
        agent_on_members(agent, from, msg.body);
        break;
    case MSG_CELL_PULL:
        agent_on_cell_pull(agent, from, msg.body);
        break;
    case MSG_CELL:
        (void)lse_on_cell(agent->lease, now_us, msg.body);
        break;
    default:
        break;
    }
    msg_clear(&msg);
}

/* Replies of the store. */

static size_t
take_warm(const struct object *object, struct msg_warm *out)
{
    *out = (struct msg_warm){.address = "x", .start = object->warm};
    return object->warm != 0;
}

static void
agent_take_contract(struct agent *agent, const struct call *call, int rc)
{
    char instance[8];
    char machine[8];
    (void)g_snprintf(instance, sizeof(instance), "i%d", call->instance);
    (void)g_snprintf(machine, sizeof(machine), "m%d",
                     call->results[0].machine);
    struct msg_warm warm;
    const struct ctr_object object = {
        .version = call->results[0].version,
        .holder = {.service = "s",
                   .instance = instance,
                   .machine = machine,
                   .start = call->results[0].start,
                   .epoch = call->results[0].epoch,
                   .orderly = call->results[0].orderly,
                   .warm = &warm,
                   .warm_count = take_warm(&call->results[0], &warm)},
    };
    const struct ctr_view *view = agent_view(agent);
    if (call->kind == CALL_PUT_CONTRACT) {
        ctr_on_write(agent->contracts, agent_now(agent), view, rc, &object);
    }
    else {
        ctr_on_read(agent->contracts, agent_now(agent), view, rc, &object);
    }
}

static void
agent_take_list(struct agent *agent, const struct call *call)
{
    struct ctr_object objects[INSTANCES];
    struct msg_warm warm[INSTANCES];
    char names[INSTANCES][2][8];
    size_t count = 0;
    for (int i = 0; i < INSTANCES; i++) {
        const struct object *result = &call->results[i];
        if (result->version == 0) {
            continue;
        }
        (void)g_snprintf(names[i][0], 8, "i%d", i);
        (void)g_snprintf(names[i][1], 8, "m%d", result->machine);
        objects[count] = (struct ctr_object){
            .version = result->version,
            .holder = {.service = "s",
                       .instance = names[i][0],
                       .machine = names[i][1],
                       .start = result->start,
                       .epoch = result->epoch,
                       .orderly = result->orderly,
                       .warm = &warm[count],
                       .warm_count = take_warm(result, &warm[count])},
        };
        count += 1;
    }
    ctr_on_list(agent->contracts, agent_now(agent), objects, count, true);
}

static void
agent_take_cell(struct agent *agent, const struct object *cell)
{
    const char *members[AGENTS];
    size_t count = 0;
    for (int i = 0; i < AGENTS; i++) {
        if ((cell->members >> i) & 1) {
            members[count] = agent->sim->agents[i].name;
            count += 1;
        }
    }
    if (count > 0) {
        (void)lse_set_cell(agent->lease, agent_now(agent), cell->version,
                           members, count);
    }
}

static void
agent_on_reply(struct agent *agent, struct call *call, int rc)
{
    if (call->is_done) {
        return;
    }
    call->is_done = true;
    bool is_ok = rc == RC_OK || rc == RC_CONFLICT;
    const char *document = NULL;
    switch (call->kind) {
    case CALL_PUT_CONTRACT:
    case CALL_GET_CONTRACT:
        agent_take_contract(agent, call, rc);
        break;
    case CALL_LIST_CONTRACTS:
        if (is_ok) {
            agent_take_list(agent, call);
        }
        break;
    case CALL_LIST_CONFIG:
        if (is_ok && call->revision > 0) {
            document =
                g_ptr_array_index(agent->sim->documents, call->revision - 1);
            agent_offer(agent, call->revision, 0, document, strlen(document));
            rev_on_store(agent->revision);
        }
        break;
    case CALL_GET_CELL:
    case CALL_PUT_CELL:
        agent->is_cell_busy = false;
        if (is_ok) {
            agent_take_cell(agent, &call->results[0]);
        }
        for (int i = 0; i < AGENTS; i++) {
            if (call->kind == CALL_PUT_CELL && rc == RC_OK &&
                i != agent->index) {
                agent_send_cell(agent, i);
            }
        }
        break;
    }
}

/* Time. */

static uint64_t
agent_cell_mask(const struct agent *agent)
{
    uint64_t members = 0;
    for (size_t i = 0; i < lse_member_count(agent->lease); i++) {
        members |= UINT64_C(1) << index_of(lse_member(agent->lease, i));
    }
    return members;
}

/* Members leave and join for no reason, as long as the rules allow it. */
static void
agent_change_cell(struct agent *agent)
{
    struct sim *sim = agent->sim;
    bool is_wanted =
        !lse_is_member(agent->lease, agent->name) ||
        (lse_is_valid(agent->lease, agent_now(agent)) &&
         sim_fault(sim, FAULT_CELL_CHANGE, sim->is_cells ? 100000 : 200));
    if (!is_wanted || !lse_cell_may_change(agent->lease, agent_now(agent))) {
        return;
    }
    uint64_t members = agent_cell_mask(agent);
    uint64_t changed = UINT64_C(1) << agent->index;
    if (lse_is_member(agent->lease, agent->name)) {
        changed = UINT64_C(1) << sim_random(sim, AGENTS);
    }
    struct call *call = agent_call(agent, CALL_PUT_CELL, 0);
    call->expected = lse_cell_version(agent->lease);
    call->value.members = members ^ changed;
    if (__builtin_popcountll(call->value.members) < 4) {
        call->value.members = members;
    }
    agent->is_cell_busy = true;
}

static void
agent_tick_store(struct agent *agent, int64_t now_us)
{
    if (now_us >= agent->list_us) {
        agent->list_us = now_us + LIST_US / (1 + sim_random(agent->sim, 9));
        (void)agent_call(agent, CALL_LIST_CONTRACTS, 0);
    }
    if (now_us >= agent->config_us) {
        agent->config_us = now_us + LIST_US;
        (void)agent_call(agent, CALL_LIST_CONFIG, 0);
    }
    if (!agent->is_cell_busy &&
        (now_us >= agent->cell_us ||
         (lse_cell_version_seen(agent->lease) >
              lse_cell_version(agent->lease) &&
          now_us >= agent->cell_us - LIST_US + 100000))) {
        agent->cell_us = now_us + LIST_US;
        agent->is_cell_busy = true;
        (void)agent_call(agent, CALL_GET_CELL, 0);
    }
    else if (!agent->is_cell_busy) {
        agent_change_cell(agent);
    }
}

static void
agent_gossip(struct agent *agent, int64_t now_us)
{
    if (!gsp_is_due(agent->gossip, now_us)) {
        return;
    }
    mbr_tick(agent->members, now_us);
    struct msg_machine entries[GSP_ENTRIES];
    const struct msg_members message = {
        .revision = rev_number(agent->revision),
        .digest = rev_digest(agent->revision),
        .machines = entries,
        .machine_count =
            gsp_fill(agent->gossip, now_us, agent->members, entries),
    };
    for (int i = 0; i < AGENTS; i++) {
        if (i != agent->index) {
            sim_send(agent->sim, agent->index, i, MSG_MEMBERS, &message);
        }
    }
}

/* The relay lets go of draining contracts after a while. */
static void
agent_release(struct agent *agent, int64_t now_us)
{
    for (int i = 0; i < INSTANCES; i++) {
        char instance[8];
        (void)g_snprintf(instance, sizeof(instance), "i%d", i);
        const struct object *object =
            history_at(&agent->sim->contracts[i], INT64_MAX);
        if (ctr_is_used(agent->contracts, &agent->view, "s", instance) &&
            !ctr_is_held(agent->contracts, &agent->view, "s", instance) &&
            sim_random(agent->sim, 10) == 0) {
            struct sim *sim = agent->sim;
            struct msg_warm warm = {.address = "x", .start = ++sim->releases};
            sim->release[i] = (struct release){
                .token = warm.start,
                .machine = agent->index,
                .epoch = object->epoch,
            };
            const struct msg_released released = {
                .service = "s",
                .instance = instance,
                .epoch = object->epoch,
                .warm = &warm,
                .warm_count = 1,
            };
            ctr_on_released(agent->contracts, now_us, &released);
        }
    }
}

static void
agent_check_revision(struct agent *agent)
{
    uint64_t number = rev_number(agent->revision);
    if (number < agent->last_revision) {
        sim_fail(agent->sim, "revision decreased", agent->index);
    }
    agent->last_revision = number;
    size_t bytes = 0;
    const char *document = rev_document(agent->revision, &bytes);
    if (number > 0 && strcmp(document, g_ptr_array_index(agent->sim->documents,
                                                         number - 1)) != 0) {
        sim_fail(agent->sim, "document is not the published one",
                 agent->index);
    }
}

/* An adopted version has the members that the store has. */
static void
agent_check_cell(struct agent *agent)
{
    const struct history *cell = &agent->sim->cell;
    uint64_t version = lse_cell_version(agent->lease);
    if (version == 0 || version + VERSIONS <= cell->count) {
        return;
    }
    const struct object *object = &cell->versions[(version - 1) % VERSIONS];
    if (object->version != version ||
        object->members != agent_cell_mask(agent)) {
        sim_fail(agent->sim, "members are not those of the version",
                 agent->index);
    }
}

static void
agent_tick(struct agent *agent)
{
    int64_t now_us = agent_now(agent);
    if (now_us < agent->tick_us) {
        return;
    }
    agent->tick_us = now_us + TICK_US;
    agent->sim->decisions += 1;
    agent->is_used_stale = true;
    const struct lse_announce announce = {
        .revision = rev_number(agent->revision),
        .digest = rev_digest(agent->revision),
        .state = agent->is_leaving ? MSG_MACHINE_LEAVING : MSG_MACHINE_LIVE,
    };
    lse_announce(agent->lease, &announce);
    mbr_set_self(agent->members, now_us, announce.state, "r", "e");
    lse_tick(agent->lease, now_us);
    agent_gossip(agent, now_us);
    agent_tick_store(agent, now_us);
    ctr_tick(agent->contracts, now_us, agent_view(agent));
    agent_release(agent, now_us);
    agent_check_revision(agent);
    agent_check_cell(agent);
    if (agent->is_leaving && (ctr_named_count(agent->contracts) == 0 ||
                              now_us - agent->leaving_us > 15000000)) {
        agent_end(agent, 500000);
    }
}

static void
agent_on_event(struct agent *agent, const struct event *event)
{
    agent->sim->decisions += 1;
    agent->is_used_stale = true;
    if (event->kind == EVENT_MESSAGE) {
        agent_on_message(agent, event->from, event->bytes);
    }
    else if (event->call->start == agent->start) {
        bool is_reply = event->kind == EVENT_REPLY;
        agent_on_reply(agent, event->call,
                       is_reply ? event->call->rc : RC_STORE_DOWN);
    }
}

static void
sim_deliver(struct sim *sim, struct event *event)
{
    if (event->kind == EVENT_ARRIVE) {
        store_arrive(sim, event->call);
        event_free(event);
        return;
    }
    struct agent *agent = &sim->agents[event->to];
    if (!agent->is_up) {
        event_free(event);
    }
    else if (agent->paused_us > sim->now_us ||
             !g_queue_is_empty(agent->backlog)) {
        g_queue_push_tail(agent->backlog, event);
    }
    else {
        agent_on_event(agent, event);
        event_free(event);
    }
}

static void
sim_run_agent(struct sim *sim, struct agent *agent)
{
    if (!agent->is_up) {
        if (sim->now_us >= agent->up_us) {
            agent_start(agent);
        }
        return;
    }
    if (agent->paused_us > sim->now_us) {
        return;
    }
    while (!g_queue_is_empty(agent->backlog)) {
        struct event *event = g_queue_pop_head(agent->backlog);
        agent_on_event(agent, event);
        event_free(event);
    }
    agent_tick(agent);
}

/* Faults. */

static void
sim_partition(struct sim *sim)
{
    bool is_two_way = sim_random(sim, 2) == 0;
    uint32_t side = 1 + sim_random(sim, (1U << AGENTS) - 2);
    for (int i = 0; i < AGENTS; i++) {
        for (int j = 0; j < AGENTS; j++) {
            bool from = (side >> i) & 1;
            bool to = (side >> j) & 1;
            sim->is_blocked[i][j] = is_two_way ? from != to : from && !to;
        }
    }
    sim->faults[is_two_way ? FAULT_TWO_WAY : FAULT_ONE_WAY] += 1;
    sim->blocked_until_us = sim->now_us + 500000 + sim_random(sim, 7500000);
}

static void
sim_publish(struct sim *sim)
{
    uint64_t revision = sim->documents->len + 1;
    g_ptr_array_add(
        sim->documents,
        g_strdup_printf("{\"pad\":\"%0*d\",\"revision\":%" PRIu64 "}",
                        1 + (int)sim_random(sim, 200), 0, revision));
    const char *document = g_ptr_array_index(sim->documents, revision - 1);
    struct agent *agent = &sim->agents[sim_random(sim, AGENTS)];
    if (agent->is_up && agent->paused_us <= sim->now_us) {
        agent_offer(agent, revision, 0, document, strlen(document));
    }
}

static void
sim_agent_faults(struct sim *sim, struct agent *agent)
{
    if (!agent->is_up || agent->paused_us > sim->now_us) {
        return;
    }
    /* Per step of 5 ms: about one fault of each kind a minute and agent. */
    if (sim_fault(sim, FAULT_PAUSE, 80)) {
        agent->paused_us = sim->now_us + 100000 + sim_random(sim, 5000000);
    }
    else if (sim_fault(sim, FAULT_RESTART, sim->is_cells ? 200 : 60)) {
        agent_end(agent, sim_random(sim, 4000000));
    }
    else if (!agent->is_leaving && sim_fault(sim, FAULT_STOP, 30)) {
        agent->is_leaving = true;
        agent->leaving_us = agent_now(agent);
    }
}

static void
sim_faults(struct sim *sim)
{
    /* Half of each 40 s is rough, so that rough times start from order. */
    sim->loss_permille = (sim->now_us / 20000000) % 2 == 0 ? 5 : 100;
    if (sim->now_us >= sim->blocked_until_us) {
        memset(sim->is_blocked, 0, sizeof(sim->is_blocked));
        if (sim->has_faults &&
            sim_random(sim, sim->is_cells ? 200 : 1500) == 0) {
            sim_partition(sim);
        }
    }
    if (sim->now_us >= sim->store_until_us) {
        sim->is_store_down = false;
        if (sim_fault(sim, FAULT_OUTAGE, 150)) {
            sim->is_store_down = true;
            sim->store_until_us =
                sim->now_us + 500000 + sim_random(sim, 20000000);
        }
    }
    if (sim->has_faults && sim_random(sim, 2000) == 0) {
        sim_publish(sim);
    }
    for (int i = 0; i < AGENTS; i++) {
        sim_agent_faults(sim, &sim->agents[i]);
    }
}

/* Checks. */

static uint32_t
sim_check_users(struct sim *sim)
{
    uint32_t all = 0;
    for (int i = 0; i < AGENTS; i++) {
        struct agent *agent = &sim->agents[i];
        uint32_t mask = agent->is_up ? agent_used_mask(agent) : 0;
        if (agent_now(agent) < agent->ghost_until_us) {
            mask |= agent->ghost_mask;
        }
        if ((all & mask) != 0) {
            sim_fail(sim, "two machines use one instance",
                     __builtin_ctz(all & mask));
        }
        all |= mask;
    }
    return all;
}

static void
sim_step(struct sim *sim)
{
    sim->step += 1;
    sim->now_us += sim->step_us;
    GPtrArray *bucket = sim->buckets[sim->step % BUCKETS];
    for (guint i = 0; i < bucket->len; i++) {
        sim_deliver(sim, g_ptr_array_index(bucket, i));
    }
    g_ptr_array_set_size(bucket, 0);
    for (int i = 0; i < AGENTS; i++) {
        sim_run_agent(sim, &sim->agents[i]);
    }
    sim->served += (uint64_t)__builtin_popcount(sim_check_users(sim));
}

static void
sim_open(struct sim *sim, uint32_t seed, int64_t step_us)
{
    sim->rand = g_rand_new_with_seed(seed);
    sim->step_us = step_us;
    sim->documents = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < BUCKETS; i++) {
        sim->buckets[i] = g_ptr_array_new();
    }
    sim->cell.versions[0] = (struct object){
        .version = 1,
        .members = (1U << AGENTS) - 1,
    };
    sim->cell.count = 1;
    sim_publish(sim);
    for (int i = 0; i < AGENTS; i++) {
        struct agent *agent = &sim->agents[i];
        agent->sim = sim;
        agent->index = i;
        (void)g_snprintf(agent->name, sizeof(agent->name), "m%d", i);
        /* Clocks differ by up to 1 % in speed and by any offset. */
        agent->drift_ppm = (int64_t)sim_random(sim, 20001) - 10000;
        agent->offset_us = 1000000 + sim_random(sim, 1000000000);
        agent->backlog = g_queue_new();
        agent->counters = cnt_set_new();
        agent_start(agent);
    }
}

static void
sim_close(struct sim *sim)
{
    for (int i = 0; i < AGENTS; i++) {
        struct agent *agent = &sim->agents[i];
        agent_end(agent, 0);
        g_queue_free_full(agent->backlog, (GDestroyNotify)event_free);
        cnt_set_free(agent->counters);
    }
    for (int i = 0; i < BUCKETS; i++) {
        for (guint j = 0; j < sim->buckets[i]->len; j++) {
            event_free(g_ptr_array_index(sim->buckets[i], j));
        }
        g_ptr_array_free(sim->buckets[i], TRUE);
    }
    g_ptr_array_free(sim->documents, TRUE);
    g_rand_free(sim->rand);
}

static void
sim_run(struct sim *sim, int64_t duration_us)
{
    for (int64_t end_us = sim->now_us + duration_us; sim->now_us < end_us;) {
        sim_step(sim);
    }
}

/* With the faults over, every instance is served and all agree. */
static void
sim_check_recovery(struct sim *sim)
{
    sim->has_faults = false;
    sim->is_store_down = false;
    sim->loss_permille = 0;
    memset(sim->is_blocked, 0, sizeof(sim->is_blocked));
    sim_run(sim, CALM_US);
    if (sim_check_users(sim) != (1U << INSTANCES) - 1) {
        sim_fail(sim, "an instance has no user after the faults ended",
                 (int)sim_check_users(sim));
    }
    for (int i = 0; i < AGENTS; i++) {
        if (rev_number(sim->agents[i].revision) != sim->documents->len) {
            sim_fail(sim, "an agent is behind after the faults ended", i);
        }
    }
}

static void
sim_run_faults(struct sim *sim)
{
    sim->has_faults = true;
    for (int64_t i = 0; i < sim->steps; i++) {
        sim_faults(sim);
        sim_step(sim);
    }
    sim_check_recovery(sim);
}

/* The store is down for an hour while all machines live. */
static void
sim_run_outage(struct sim *sim)
{
    sim_run(sim, INT64_C(60) * 1000 * 1000);
    uint64_t transfers = sim->transfers;
    uint64_t epochs = 0;
    for (int i = 0; i < INSTANCES; i++) {
        epochs += history_at(&sim->contracts[i], INT64_MAX)->epoch;
    }
    sim->is_store_down = true;
    for (int i = 0; i < 3600; i++) {
        sim_run(sim, 1000 * 1000);
        if (sim_check_users(sim) != (1U << INSTANCES) - 1) {
            sim_fail(sim, "an instance has no user during the outage", i);
        }
    }
    sim->is_store_down = false;
    sim_run(sim, INT64_C(60) * 1000 * 1000);
    for (int i = 0; i < INSTANCES; i++) {
        epochs -= history_at(&sim->contracts[i], INT64_MAX)->epoch;
    }
    if (sim->transfers != transfers || epochs != 0) {
        sim_fail(sim, "a contract changed hands", (int)epochs);
    }
}

/* All members of the store's version of the cell have it, and a lease. */
static void
sim_check_cell(struct sim *sim, const char *what)
{
    const struct object *cell = history_at(&sim->cell, INT64_MAX);
    for (int i = 0; i < AGENTS; i++) {
        const struct agent *agent = &sim->agents[i];
        if (((cell->members >> i) & 1) == 0) {
            continue;
        }
        if (lse_cell_version(agent->lease) != cell->version ||
            !lse_is_valid(agent->lease, agent_now(agent))) {
            sim_fail(sim, what, i);
        }
    }
}

/* The store fails in the moment in which the writer learns of its change. */
static void
sim_change_and_fail(struct sim *sim, int writer, uint64_t members)
{
    struct agent *agent = &sim->agents[writer];
    uint64_t version = lse_cell_version(agent->lease);
    if (!lse_cell_may_change(agent->lease, agent_now(agent))) {
        sim_fail(sim, "a cell without faults may not change", writer);
    }
    struct call *call = agent_call(agent, CALL_PUT_CELL, 0);
    call->expected = version;
    call->value.members = members;
    for (int i = 0; i < 100 && lse_cell_version(agent->lease) == version;
         i++) {
        sim_step(sim);
    }
    sim->is_store_down = true;
}

static void
sim_run_peers(struct sim *sim)
{
    sim_run(sim, INT64_C(60) * 1000 * 1000);
    sim->is_store_down = true;
    /* Without the restarted ones there is no majority. */
    for (int i = 0; i < AGENTS - 2; i++) {
        agent_end(&sim->agents[i], 500000);
        sim_run(sim, INT64_C(5) * 1000 * 1000);
        sim_check_cell(sim, "a restarted agent does not vote");
    }
    sim->is_store_down = false;
    sim_run(sim, INT64_C(60) * 1000 * 1000);
    uint64_t all = (UINT64_C(1) << AGENTS) - 1;
    sim_change_and_fail(sim, 2, all ^ UINT64_C(1));
    sim_run(sim, INT64_C(3) * 1000 * 1000);
    sim_check_cell(sim, "a change stays with its writer");
    sim_check_recovery(sim);
}

static uint64_t
sim_count(struct sim *sim, const char *name)
{
    uint64_t sum = 0;
    for (int i = 0; i < AGENTS; i++) {
        sum += *cnt_get(sim->agents[i].counters, name, NULL);
    }
    return sum;
}

static void
sim_run_leased(struct sim *sim, const struct agent *agent, int64_t duration_us)
{
    for (int64_t end_us = sim->now_us + duration_us; sim->now_us < end_us;) {
        sim_step(sim);
        if (!lse_is_valid(agent->lease, agent_now(agent))) {
            sim_fail(sim, "a live holder lost its lease", agent->index);
        }
    }
}

/*
 * Three of seven machines do not hear a holder for a while and fail to vote it
 * out. Once they hear it again, it must survive the loss of another one.
 */
static void
sim_run_votes(struct sim *sim)
{
    sim_run(sim, INT64_C(60) * 1000 * 1000);
    for (int h = 0; h < AGENTS; h++) {
        const struct agent *holder = &sim->agents[h];
        for (int i = 1; i <= AGENTS / 2; i++) {
            sim->is_blocked[h][(h + i) % AGENTS] = true;
            sim->is_blocked[(h + i) % AGENTS][h] = true;
        }
        sim_run_leased(sim, holder, INT64_C(4) * 1000 * 1000);
        memset(sim->is_blocked, 0, sizeof(sim->is_blocked));
        sim_run_leased(sim, holder, INT64_C(5) * 1000 * 1000);
        agent_end(&sim->agents[(h + AGENTS - 1) % AGENTS],
                  INT64_C(10) * 1000 * 1000);
        sim_run_leased(sim, holder, INT64_C(10) * 1000 * 1000);
        sim_run(sim, INT64_C(60) * 1000 * 1000);
    }
    if (sim_count(sim, "lease_asks_total") == 0) {
        sim_fail(sim, "nobody asked", 0);
    }
    sim_check_recovery(sim);
}

int
main(int argc, char **argv)
{
    if (argc < 3) {
        (void)fprintf(stderr, "usage: soak_agent SEED STEPS "
                              "[faults|cells|outage|peers|votes]\n");
        return 2;
    }
    const char *mode = argc > 3 ? argv[3] : "faults";
    bool is_outage = strcmp(mode, "outage") == 0;
    uint32_t seed = (uint32_t)g_ascii_strtoull(argv[1], NULL, 10);
    printf("repeat with: soak_agent %s %s %s\n", argv[1], argv[2], mode);
    (void)fflush(stdout);
    struct sim *sim = g_new0(struct sim, 1);
    sim->is_cells = strcmp(mode, "cells") == 0;
    sim->steps = g_ascii_strtoll(argv[2], NULL, 10);
    sim_open(sim, seed, is_outage ? OUTAGE_STEP_US : FAULT_STEP_US);
    if (is_outage) {
        sim_run_outage(sim);
    }
    else if (strcmp(mode, "peers") == 0) {
        sim_run_peers(sim);
    }
    else if (strcmp(mode, "votes") == 0) {
        sim_run_votes(sim);
    }
    else {
        sim_run_faults(sim);
    }
    printf("steps=%" PRId64 " virtual_s=%" PRId64 " decisions=%" PRIu64
           " transfers=%" PRIu64 " revisions=%u cell_versions=%" PRIu64
           " served_permille=%" PRIu64 " warm_writes=%" PRIu64 "\n",
           sim->step, sim->now_us / 1000000, sim->decisions, sim->transfers,
           sim->documents->len, sim->cell.count,
           sim->served * 1000 / ((uint64_t)sim->step * INSTANCES),
           sim->warm_writes);
    for (int i = 0; i < FAULT_COUNT; i++) {
        printf("fault %s=%" PRIu64 "\n", fault_names[i], sim->faults[i]);
    }
    sim_close(sim);
    g_free(sim);
    return 0;
}
