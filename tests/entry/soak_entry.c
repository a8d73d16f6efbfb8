/*
 * Randomised run of the entry's decision modules against fake relays that
 * know the truth. Usage: soak_entry SEED STEPS. Guards against answers that
 * mix versions or queries, a coverage that was not achieved, an order that
 * runs twice, a false "not run" and an offer that stays outdated.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "entry/gather.h"
#include "entry/order.h"

#define RELAYS 4
#define INSTANCES 6
#define MAX_SHARDS 6
#define MAX_IDS 4000
#define MS 1000LL
#define SERVICE "desk"
#define RECENT_IDS 64
#define FLIGHT_US (12 * MS) /* of a message, at most */
#define LATE_US (400 * MS)  /* added to a late one, at most */
#define TWIN_US (60 * MS)   /* until a doubled one comes again, at most */
#define STEP_US (2 * MS)
/*
 * A change of an offer is known by then unless a message about offers was
 * lost, late or doubled since: late replies from before the change may delay
 * the HELLO, which then goes to the relay and back.
 */
#define CURRENT_US                                                            \
    (PLN_HELLO_IVL_US + LATE_US + TWIN_US + 3 * FLIGHT_US + 4 * STEP_US)

enum fault {
    FAULT_LATE,
    FAULT_CROSSED,
    FAULT_DUPLICATED,
    FAULT_LOST,
    FAULT_TRUNCATED,
    FAULT_WRONG_SHARD,
    FAULT_WRONG_VERSION,
    FAULT_VERSION_CHANGE,
    FAULT_REPARTITION,
    FAULT_REPEATED_ID,
    FAULT_RELAY_LOST,
    FAULT_HANDOVER,
    FAULT_UNSENT,
    FAULT_CALLER_GONE,
    FAULT_LOST_OFFER,
    FAULT_LOST_CONFIRM,
    FAULT_SAME_SEQ,
    FAULT_ENTRY_RESTART,
    FAULT_COUNT,
};

static const char *const fault_names[FAULT_COUNT] = {
    "late",        "crossed",       "duplicated",    "lost",
    "truncated",   "wrong_shard",   "wrong_version", "version_change",
    "repartition", "repeated_id",   "relay_lost",    "handover",
    "unsent",      "caller_gone",   "lost_offer",    "lost_confirm",
    "same_seq",    "entry_restart",
};

/* A message on its way, or an order that a searcher runs later. */
struct event {
    int64_t due_us;
    bool is_to_entry;
    bool is_run;
    uint32_t relay; /* index; to the entry: over whose link it arrives */
    uint64_t relay_start;
    GByteArray *bytes;
    uint64_t order; /* EXEC: sequence number of the id, else 0 */
    uint64_t qid;   /* of an order that runs later */
};

struct relay {
    uint32_t number; /* in the plan */
    uint64_t start;
    uint64_t seq;
    bool is_up;
    int64_t up_us;      /* when it comes back */
    int64_t touched_us; /* last message of the entry */
    int64_t since_us;   /* last change or fault that concerns its offer */
};

struct instance {
    uint32_t holder; /* index of the relay */
    uint64_t epoch;
    int64_t moves_us; /* when the contract of a lost relay moves, 0: no */
    struct msg_version versions[2];
    size_t version_count;
};

/* What is true about one id, as opposed to what the entry says. */
struct truth {
    uint32_t runs;
    uint32_t in_flight; /* EXEC messages and later runs */
    bool is_unknown_told;
    bool is_ok_told;
};

struct search {
    uint64_t tag;
    bool has_key;
    struct gth_query *query;
};

struct soak {
    GRand *rand;
    uint64_t seed;
    uint64_t steps;
    int64_t now_us;
    struct cnt_set *counters;
    struct pln *plan;
    struct gth *gather;
    struct rid *ids;
    struct ord *orders;
    GSequence *events;
    struct relay relays[RELAYS];
    struct instance instances[INSTANCES];
    uint64_t shards[2]; /* layout of versions newest - 1 and newest */
    uint64_t newest;
    GHashTable *searches; /* set of struct search */
    GHashTable *sent;     /* "tag version shard" that a relay reported done */
    GArray *truths;       /* of struct truth, by sequence number */
    GPtrArray *id_texts;
    uint64_t last_qid;
    uint64_t last_tag;
    uint64_t generation;
    uint64_t decisions;
    uint64_t answers;
    uint64_t complete;
    uint64_t waiting; /* orders whose outcome was not told yet */
    uint64_t faults[FAULT_COUNT];
    uint64_t currents; /* checks that an offer was known */
};

#define CHECK(soak, expr)                                                     \
    do {                                                                      \
        if (!(expr)) {                                                        \
            soak_fail(soak, #expr, __LINE__);                                 \
        }                                                                     \
    } while (0)

static void
soak_fail(const struct soak *soak, const char *expr, int line)
{
    (void)fprintf(stderr,
                  "failed: %s (line %d, time %" PRId64 " us)\n"
                  "repeat with: soak_entry %" PRIu64 " %" PRIu64 "\n",
                  expr, line, soak->now_us, soak->seed, soak->steps);
    abort();
}

static bool
chance(struct soak *soak, int permille)
{
    return g_rand_int_range(soak->rand, 0, 1000) < permille;
}

static int64_t
between(struct soak *soak, int64_t from, int64_t to)
{
    return from + g_rand_int_range(soak->rand, 0, (gint32)(to - from + 1));
}

static gint
event_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct event *event_a = a;
    const struct event *event_b = b;
    return (event_a->due_us > event_b->due_us) -
           (event_a->due_us < event_b->due_us);
}

static void
event_free(gpointer data)
{
    struct event *event = data;
    if (event->bytes != NULL) {
        g_byte_array_unref(event->bytes);
    }
    g_free(event);
}

static void
event_add(struct soak *soak, struct event event)
{
    if (event.bytes != NULL) {
        g_byte_array_ref(event.bytes);
    }
    g_sequence_insert_sorted(soak->events, g_memdup2(&event, sizeof(event)),
                             event_compare, NULL);
}

static GByteArray *
encode(enum msg_type type, const void *body)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    (void)msg_encode(type, body, &buffer);
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_append(bytes, (const guint8 *)buffer.data,
                        (guint)buffer.size);
    msgpack_sbuffer_destroy(&buffer);
    return bytes;
}

static struct truth *
truth_of(struct soak *soak, uint64_t seq)
{
    return &g_array_index(soak->truths, struct truth, seq);
}

static uint64_t
fault_count(const struct soak *soak)
{
    uint64_t count = 0;
    for (int i = 0; i < FAULT_COUNT; i++) {
        count += soak->faults[i];
    }
    return count;
}

static uint32_t
relay_of(const struct soak *soak, uint32_t number)
{
    for (uint32_t i = 0; i < RELAYS; i++) {
        if (soak->relays[i].number == number) {
            return i;
        }
    }
    soak_fail(soak, "known relay", __LINE__);
    return 0;
}

/* Sends a relay's message to the entry through the faults. */
static void
to_entry(struct soak *soak, uint32_t relay, enum msg_type type,
         const void *body)
{
    GByteArray *bytes = encode(type, body);
    uint64_t before = fault_count(soak);
    struct event event = {
        .due_us = soak->now_us + between(soak, 1, FLIGHT_US),
        .is_to_entry = true,
        .relay = relay,
        .relay_start = soak->relays[relay].start,
        .bytes = bytes,
    };
    if (chance(soak, 20)) {
        soak->faults[FAULT_LATE] += 1;
        event.due_us += between(soak, 50 * MS, LATE_US);
    }
    if (chance(soak, 20)) {
        soak->faults[FAULT_CROSSED] += 1;
        event.relay = (relay + 1) % RELAYS;
    }
    if (chance(soak, 20)) {
        soak->faults[FAULT_DUPLICATED] += 1;
        struct event twin = event;
        twin.due_us += between(soak, 0, TWIN_US);
        event_add(soak, twin);
    }
    if (chance(soak, 20)) {
        soak->faults[FAULT_TRUNCATED] += 1;
        GByteArray *cut = g_byte_array_new();
        g_byte_array_append(cut, bytes->data,
                            (guint)between(soak, 0, bytes->len - 1));
        event.bytes = cut;
        event_add(soak, event);
        g_byte_array_unref(cut);
    }
    else if (chance(soak, 15)) {
        soak->faults[FAULT_LOST] += 1;
        soak->faults[FAULT_LOST_OFFER] += type == MSG_OFFER;
        soak->faults[FAULT_LOST_CONFIRM] += type == MSG_CONFIRM_OFFER;
    }
    else {
        event_add(soak, event);
    }
    if ((type == MSG_OFFER || type == MSG_CONFIRM_OFFER) &&
        fault_count(soak) != before) {
        soak->relays[relay].since_us = soak->now_us;
    }
    g_byte_array_unref(bytes);
}

static void
relay_offer(struct soak *soak, uint32_t index)
{
    struct relay *relay = &soak->relays[index];
    struct msg_offer_instance offered[INSTANCES];
    size_t count = 0;
    char names[INSTANCES][8];
    for (uint32_t i = 0; i < INSTANCES; i++) {
        struct instance *instance = &soak->instances[i];
        if (instance->holder == index && instance->moves_us == 0) {
            (void)g_snprintf(names[i], sizeof(names[i]), "i%u", i);
            offered[count++] = (struct msg_offer_instance){
                .service = SERVICE,
                .instance = names[i],
                .epoch = instance->epoch,
                .versions = instance->versions,
                .version_count = instance->version_count,
            };
        }
    }
    char machine[8];
    (void)g_snprintf(machine, sizeof(machine), "m%u", index);
    const struct msg_offer offer = {
        .machine = machine,
        .start = relay->start,
        .seq = relay->seq,
        .instances = offered,
        .instance_count = count,
    };
    to_entry(soak, index, MSG_OFFER, &offer);
}

/* What the relay offers has changed: the entry is told if it is in touch. */
static void
relay_changed(struct soak *soak, uint32_t index)
{
    struct relay *relay = &soak->relays[index];
    relay->seq += 1;
    relay->since_us = soak->now_us;
    if (soak->now_us - relay->touched_us <= PLN_SILENCE_US) {
        relay_offer(soak, index);
    }
}

static void
relay_hello(struct soak *soak, uint32_t index, const struct msg_hello *hello)
{
    const struct relay *relay = &soak->relays[index];
    const struct msg_confirm_offer confirm = {
        .relay_start = relay->start,
        .offer_seq = relay->seq,
    };
    if (hello->relay_start == relay->start && hello->offer_seq == relay->seq) {
        to_entry(soak, index, MSG_CONFIRM_OFFER, &confirm);
    }
    else {
        relay_offer(soak, index);
    }
}

/* The result code of a part at this relay. */
static int
relay_part_rc(struct soak *soak, uint32_t relay, const char *name,
              uint64_t version, uint64_t shard)
{
    const struct instance *instance =
        &soak->instances[g_ascii_strtoull(name + 1, NULL, 10)];
    if (instance->holder != relay || instance->moves_us != 0) {
        return RC_NOT_HOLDER;
    }
    for (size_t i = 0; i < instance->version_count; i++) {
        if (instance->versions[i].version == version &&
            instance->versions[i].shard == shard) {
            return chance(soak, 20) ? RC_NO_SEARCHER : RC_OK;
        }
    }
    return RC_VERSION_GONE;
}

static char *
hit_id(const char *tag, uint64_t version, uint64_t shard)
{
    return g_strdup_printf("%s %" PRIu64 " %" PRIu64, tag, version, shard);
}

/* Answers a QUERY; each hit names the query, version and shard it is from. */
static void
relay_query(struct soak *soak, uint32_t relay, const struct msg_query *query)
{
    struct msg_shard done[MAX_SHARDS + 1];
    struct msg_missing missing[MAX_SHARDS];
    struct msg_hit hits[MAX_SHARDS + 1];
    struct msg_reply reply = {
        .qid = query->qid,
        .version = query->version,
        .done = done,
        .missing = missing,
        .hits = hits,
        .relay_start = soak->relays[relay].start,
        .offer_seq = soak->relays[relay].seq,
    };
    bool is_wrong = chance(soak, 10);
    for (size_t i = 0; i < query->part_count; i++) {
        const struct msg_part *part = &query->parts[i];
        int rc = relay_part_rc(soak, relay, part->instance, query->version,
                               part->shard);
        if (rc != RC_OK) {
            missing[reply.missing_count++] =
                (struct msg_missing){.shard = part->shard, .rc = rc};
            continue;
        }
        char *id = hit_id(query->query, query->version, part->shard);
        done[reply.done_count++].shard = part->shard;
        hits[reply.hit_count++] = (struct msg_hit){.score = 1, .id = id};
        if (!is_wrong) {
            g_hash_table_add(soak->sent, g_strdup(id));
        }
    }
    if (is_wrong && chance(soak, 500)) {
        soak->faults[FAULT_WRONG_VERSION] += 1;
        reply.version += 1;
    }
    else if (is_wrong) {
        soak->faults[FAULT_WRONG_SHARD] += 1;
        done[reply.done_count++].shard = MAX_SHARDS;
        hits[reply.hit_count++] = (struct msg_hit){
            .score = 2,
            .id = hit_id(query->query, query->version, MAX_SHARDS)};
    }
    to_entry(soak, relay, MSG_REPLY, &reply);
    for (size_t i = 0; i < reply.hit_count; i++) {
        g_free((char *)hits[i].id);
    }
}

static void
relay_ran(struct soak *soak, uint32_t relay, uint64_t qid, uint64_t seq)
{
    truth_of(soak, seq)->runs += 1;
    CHECK(soak, truth_of(soak, seq)->runs == 1);
    const struct msg_exec_reply reply = {
        .qid = qid,
        .rc = chance(soak, 40) ? RC_LINK_LOST : RC_OK,
        .body = {.data = "ran", .bytes = 3},
        .relay_start = soak->relays[relay].start,
        .offer_seq = soak->relays[relay].seq,
    };
    to_entry(soak, relay, MSG_EXEC_REPLY, &reply);
}

static void
relay_exec(struct soak *soak, uint32_t relay, const struct msg_exec *exec,
           uint64_t seq)
{
    static const int not_run[] = {RC_SHED, RC_VERSION_GONE, RC_LINK_FAILED,
                                  RC_NOT_HOLDER, RC_LINK_LOST};
    struct msg_exec_reply reply = {
        .qid = exec->qid,
        .relay_start = soak->relays[relay].start,
        .offer_seq = soak->relays[relay].seq,
    };
    reply.rc =
        relay_part_rc(soak, relay, exec->instance, exec->version, exec->shard);
    if (reply.rc == RC_OK && chance(soak, 300)) {
        reply.rc = not_run[between(soak, 0, G_N_ELEMENTS(not_run) - 1)];
    }
    if (reply.rc != RC_OK) {
        to_entry(soak, relay, MSG_EXEC_REPLY, &reply);
        return;
    }
    if (chance(soak, 800)) {
        relay_ran(soak, relay, exec->qid, seq);
        return;
    }
    /* A searcher that is slow runs it long after the deadline. */
    truth_of(soak, seq)->in_flight += 1;
    event_add(soak, (struct event){
                        .due_us = soak->now_us + between(soak, MS, 500 * MS),
                        .is_run = true,
                        .relay = relay,
                        .relay_start = soak->relays[relay].start,
                        .order = seq,
                        .qid = exec->qid,
                    });
}

/* Puts a message of the entry on its way. Returns RC_AGAIN when unsent. */
static int
to_relay(struct soak *soak, uint32_t number, enum msg_type type,
         const void *body, uint64_t order)
{
    uint32_t relay = relay_of(soak, number);
    soak->decisions += 1;
    if (chance(soak, soak->relays[relay].is_up ? 10 : 500)) {
        soak->faults[FAULT_UNSENT] += 1;
        return RC_AGAIN;
    }
    GByteArray *bytes = encode(type, body);
    if (order != 0) {
        truth_of(soak, order)->in_flight += 1;
    }
    event_add(soak, (struct event){
                        .due_us = soak->now_us + between(soak, 1, FLIGHT_US),
                        .relay = relay,
                        .relay_start = soak->relays[relay].start,
                        .bytes = bytes,
                        .order = order,
                    });
    g_byte_array_unref(bytes);
    pln_sent(soak->plan, number, soak->now_us);
    return RC_OK;
}

static int
on_query(void *ctx, uint32_t relay, const struct msg_query *query)
{
    struct soak *soak = ctx;
    CHECK(soak, query->budget_us > 0 && query->part_count > 0);
    return to_relay(soak, relay, MSG_QUERY, query, 0);
}

static void
on_cancel(void *ctx, uint32_t relay, uint64_t qid)
{
    const struct msg_cancel cancel = {.qid = qid};
    (void)to_relay(ctx, relay, MSG_CANCEL, &cancel, 0);
}

static int
on_exec(void *ctx, uint32_t relay, const struct msg_exec *exec)
{
    struct soak *soak = ctx;
    struct rid_id id;
    CHECK(soak, rid_parse(exec->id, &id) == RC_OK);
    const struct truth *truth = truth_of(soak, id.seq);
    CHECK(soak, truth->runs == 0 && truth->in_flight == 0);
    CHECK(soak, !truth->is_unknown_told && !truth->is_ok_told);
    return to_relay(soak, relay, MSG_EXEC, exec, id.seq);
}

static void
on_outcome(void *ctx, void *waiter_ctx, int rc, const void *body,
           size_t body_bytes)
{
    struct soak *soak = ctx;
    uint64_t seq = GPOINTER_TO_SIZE(waiter_ctx);
    soak->decisions += 1;
    soak->waiting -= 1;
    if (seq >= soak->truths->len) {
        CHECK(soak, rc == RC_BAD_ID);
        return;
    }
    struct truth *truth = truth_of(soak, seq);
    CHECK(soak, rc != RC_BAD_ID);
    if (rc_run(rc) == RC_RUN_NO) {
        CHECK(soak, truth->runs == 0 && truth->in_flight == 0);
        CHECK(soak, !truth->is_ok_told);
    }
    if (rc == RC_OK) {
        CHECK(soak, truth->runs == 1);
        CHECK(soak, body_bytes == 3 && memcmp(body, "ran", 3) == 0);
        truth->is_ok_told = true;
    }
    if (rc == RC_OUTCOME_UNKNOWN) {
        CHECK(soak, !truth->is_ok_told);
        truth->is_unknown_told = true;
    }
}

/* Compares an answer with what the relays really sent. */
static void
on_answer(void *ctx, void *request_ctx, const struct gth_answer *answer)
{
    struct soak *soak = ctx;
    struct search *search = request_ctx;
    uint64_t seen = 0;
    soak->decisions += 1;
    soak->answers += 1;
    soak->complete += answer->rc == RC_OK && answer->missing_count == 0;
    CHECK(soak, answer->hit_count == answer->shards_done);
    CHECK(soak, (answer->rc == RC_OK) == (answer->shards_done > 0));
    CHECK(soak, answer->shards_done + answer->missing_count ==
                    answer->shards_needed);
    for (size_t i = 0; i < answer->hit_count; i++) {
        CHECK(soak, g_hash_table_contains(soak->sent, answer->hits[i].id));
        char **part = g_strsplit(answer->hits[i].id, " ", 3);
        uint64_t shard = g_ascii_strtoull(part[2], NULL, 10);
        CHECK(soak, g_ascii_strtoull(part[0], NULL, 10) == search->tag);
        CHECK(soak, g_ascii_strtoull(part[1], NULL, 10) == answer->version);
        CHECK(soak, (seen & 1ULL << shard) == 0);
        seen |= 1ULL << shard;
        g_strfreev(part);
    }
    for (size_t i = 0; i < answer->missing_count; i++) {
        CHECK(soak, (seen & 1ULL << answer->missing[i].shard) == 0);
        CHECK(soak, answer->missing[i].rc != RC_OK);
        seen |= 1ULL << answer->missing[i].shard;
    }
    CHECK(soak, search->has_key ? answer->shards_needed <= 1
                                : seen == (1ULL << answer->shards_needed) - 1);
    if (answer->version + 1 >= soak->newest && !search->has_key) {
        uint64_t age = soak->newest - answer->version;
        CHECK(soak, answer->shards_needed == soak->shards[1 - age]);
    }
    g_hash_table_remove(soak->searches, search);
}

static uint64_t
on_qid(void *ctx)
{
    struct soak *soak = ctx;
    return ++soak->last_qid;
}

static size_t
on_idle(void *ctx, const char *service)
{
    return 0;
}

static void
entry_receive(struct soak *soak, const struct event *event)
{
    struct msg msg;
    uint32_t relay = soak->relays[event->relay].number;
    soak->decisions += 1;
    if (msg_decode(event->bytes->data, event->bytes->len, &msg) != RC_OK) {
        return;
    }
    pln_heard(soak->plan, relay, soak->now_us);
    if (msg.type == MSG_REPLY) {
        const struct msg_reply *reply = msg.body;
        pln_note_offer(soak->plan, relay, reply->relay_start,
                       reply->offer_seq);
        gth_reply(soak->gather, relay, reply, soak->now_us);
    }
    else if (msg.type == MSG_EXEC_REPLY) {
        const struct msg_exec_reply *reply = msg.body;
        pln_note_offer(soak->plan, relay, reply->relay_start,
                       reply->offer_seq);
        ord_reply(soak->orders, relay, reply, soak->now_us);
    }
    else if (msg.type == MSG_CONFIRM_OFFER) {
        const struct msg_confirm_offer *confirm = msg.body;
        pln_note_offer(soak->plan, relay, confirm->relay_start,
                       confirm->offer_seq);
    }
    else if (pln_offer(soak->plan, relay, msg.body, soak->now_us)) {
        gth_relay_lost(soak->gather, relay, soak->now_us);
        ord_relay_lost(soak->orders, relay, soak->now_us);
    }
    msg_clear(&msg);
}

static void
relay_receive(struct soak *soak, const struct event *event)
{
    if (event->order != 0) {
        truth_of(soak, event->order)->in_flight -= 1;
    }
    struct relay *relay = &soak->relays[event->relay];
    if (!relay->is_up || relay->start != event->relay_start) {
        return;
    }
    if (event->is_run) {
        relay_ran(soak, event->relay, event->qid, event->order);
        return;
    }
    struct msg msg;
    CHECK(soak,
          msg_decode(event->bytes->data, event->bytes->len, &msg) == RC_OK);
    relay->touched_us = soak->now_us;
    if (msg.type == MSG_HELLO) {
        relay_hello(soak, event->relay, msg.body);
    }
    else if (msg.type == MSG_QUERY) {
        relay_query(soak, event->relay, msg.body);
    }
    else if (msg.type == MSG_EXEC) {
        relay_exec(soak, event->relay, msg.body, event->order);
    }
    msg_clear(&msg);
}

/* Delivers what is due and runs the timers of the entry. */
static void
deliver(struct soak *soak)
{
    while (g_sequence_get_length(soak->events) > 0) {
        GSequenceIter *first = g_sequence_get_begin_iter(soak->events);
        struct event *event = g_sequence_get(first);
        if (event->due_us > soak->now_us) {
            break;
        }
        struct event copy = *event;
        if (copy.bytes != NULL) {
            g_byte_array_ref(copy.bytes);
        }
        g_sequence_remove(first);
        if (copy.is_to_entry) {
            entry_receive(soak, &copy);
        }
        else {
            relay_receive(soak, &copy);
        }
        if (copy.bytes != NULL) {
            g_byte_array_unref(copy.bytes);
        }
    }
    GArray *lost = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    pln_expire(soak->plan, soak->now_us, lost);
    for (guint i = 0; i < lost->len; i++) {
        uint32_t relay = g_array_index(lost, uint32_t, i);
        gth_relay_lost(soak->gather, relay, soak->now_us);
        ord_relay_lost(soak->orders, relay, soak->now_us);
    }
    g_array_free(lost, TRUE);
    if (soak->generation != pln_generation(soak->plan)) {
        soak->generation = pln_generation(soak->plan);
        gth_map_changed(soak->gather, soak->now_us);
        ord_map_changed(soak->orders, soak->now_us);
    }
    if (soak->now_us >= gth_next_due(soak->gather)) {
        gth_tick(soak->gather, soak->now_us);
    }
    if (soak->now_us >= ord_next_due(soak->orders)) {
        ord_tick(soak->orders, soak->now_us);
    }
}

static void
start_search(struct soak *soak)
{
    struct search *search = g_new0(struct search, 1);
    search->tag = ++soak->last_tag;
    search->has_key = chance(soak, 300);
    char text[24];
    (void)g_snprintf(text, sizeof(text), "%" PRIu64, search->tag);
    const struct gth_request request = {
        .service = SERVICE,
        .query = text,
        .key = search->has_key ? text : NULL,
        .limit = MAX_SHARDS * 2,
        .deadline_us = soak->now_us + between(soak, 5, 170) * MS,
        .ctx = search,
    };
    g_hash_table_add(soak->searches, search);
    struct gth_query *query = gth_start(soak->gather, &request, soak->now_us);
    if (query != NULL) {
        search->query = query;
    }
    if (query != NULL && chance(soak, 20)) {
        soak->faults[FAULT_CALLER_GONE] += 1;
        gth_abandon(soak->gather, query);
        g_hash_table_remove(soak->searches, search);
    }
}

/* Issues an id, or repeats a recent one, or uses one never issued. */
static uint64_t
choose_id(struct soak *soak)
{
    char *id = NULL;
    uint64_t last = soak->truths->len - 1;
    if (last > 0 && chance(soak, 500)) {
        soak->faults[FAULT_REPEATED_ID] += 1;
        uint64_t back = (uint64_t)between(soak, 0, RECENT_IDS);
        return back < last ? last - back : 1;
    }
    if (chance(soak, 5) || rid_issue(soak->ids, soak->now_us, &id) != RC_OK) {
        return last + 1 + (uint64_t)between(soak, 0, 5);
    }
    struct truth truth = {.runs = 0};
    g_array_append_val(soak->truths, truth);
    g_ptr_array_add(soak->id_texts, id);
    return last + 1;
}

static void
start_order(struct soak *soak)
{
    uint64_t seq = choose_id(soak);
    const char *text = seq < soak->id_texts->len
                           ? g_ptr_array_index(soak->id_texts, seq)
                           : "";
    const struct ord_request request = {
        .seq = seq,
        .order =
            {
                .id = text,
                .service = SERVICE,
                .key = text,
                .body = "b",
                .body_bytes = 1,
                .deadline_us = soak->now_us + between(soak, 0, 150) * MS,
            },
    };
    soak->waiting += 1;
    struct ord_waiter *waiter = ord_submit(
        soak->orders, &request, GSIZE_TO_POINTER(seq), soak->now_us);
    if (waiter != NULL && chance(soak, 20)) {
        soak->faults[FAULT_CALLER_GONE] += 1;
        soak->waiting -= 1;
        ord_abandon(soak->orders, waiter);
    }
}

/* Instance `i` of version newest serves shard i % shards. */
static void
instance_upgrade(struct soak *soak, uint32_t i, bool keeps_old)
{
    struct instance *instance = &soak->instances[i];
    struct msg_version next = {
        .version = soak->newest,
        .shard = i % soak->shards[1],
        .shards = soak->shards[1],
    };
    if (instance->versions[instance->version_count - 1].version ==
        soak->newest) {
        instance->versions[0] = next;
        instance->version_count = 1;
    }
    else {
        instance->versions[0] =
            instance->versions[instance->version_count - 1];
        instance->versions[keeps_old ? 1 : 0] = next;
        instance->version_count = keeps_old ? 2 : 1;
    }
    if (instance->moves_us == 0 && soak->relays[instance->holder].is_up) {
        relay_changed(soak, instance->holder);
    }
}

static void
change_version(struct soak *soak)
{
    uint64_t shards = soak->shards[1];
    soak->faults[FAULT_VERSION_CHANGE] += 1;
    if (chance(soak, 400)) {
        shards = (uint64_t)between(soak, 1, MAX_SHARDS);
        soak->faults[FAULT_REPARTITION] += shards != soak->shards[1];
    }
    for (uint32_t i = 0; i < INSTANCES; i++) {
        /* At most two versions exist at a time. */
        instance_upgrade(soak, i, false);
    }
    soak->newest += 1;
    soak->shards[0] = soak->shards[1];
    soak->shards[1] = shards;
}

static void
lose_relay(struct soak *soak, uint32_t index)
{
    struct relay *relay = &soak->relays[index];
    if (!relay->is_up) {
        return;
    }
    soak->faults[FAULT_RELAY_LOST] += 1;
    relay->is_up = false;
    relay->up_us = soak->now_us + between(soak, 20 * MS, 3000 * MS);
    for (uint32_t i = 0; i < INSTANCES; i++) {
        if (soak->instances[i].holder == index) {
            soak->instances[i].moves_us = soak->now_us + 2500 * MS;
        }
    }
}

static void
move_instance(struct soak *soak, uint32_t i)
{
    struct instance *instance = &soak->instances[i];
    uint32_t from = instance->holder;
    instance->holder = (uint32_t)between(soak, 0, RELAYS - 1);
    instance->epoch += 1;
    instance->moves_us = 0;
    if (soak->relays[from].is_up) {
        relay_changed(soak, from);
    }
    if (soak->relays[instance->holder].is_up) {
        relay_changed(soak, instance->holder);
    }
    else {
        instance->moves_us = soak->now_us + 2500 * MS;
    }
}

/* Relays come back, contracts of lost ones move. */
static void
run_relays(struct soak *soak)
{
    for (uint32_t i = 0; i < RELAYS; i++) {
        struct relay *relay = &soak->relays[i];
        if (!relay->is_up && soak->now_us >= relay->up_us) {
            relay->is_up = true;
            relay->start += RELAYS;
            if (chance(soak, 500)) {
                soak->faults[FAULT_SAME_SEQ] += 1;
                relay->seq -= 1;
            }
            else {
                relay->seq = 0;
            }
            /* It knows no entry yet. */
            relay->touched_us = soak->now_us - 2 * PLN_SILENCE_US;
            relay_changed(soak, i);
        }
    }
    for (uint32_t i = 0; i < INSTANCES; i++) {
        struct instance *instance = &soak->instances[i];
        if (instance->moves_us != 0 && soak->now_us >= instance->moves_us) {
            move_instance(soak, i);
        }
    }
}

/* To the relay it is another entry process that connects. */
static void
reopen_link(struct soak *soak, uint32_t index)
{
    struct relay *relay = &soak->relays[index];
    char machine[8];
    (void)g_snprintf(machine, sizeof(machine), "m%u", index);
    uint32_t number = relay->number;
    soak->faults[FAULT_ENTRY_RESTART] += 1;
    relay->since_us = soak->now_us;
    relay->touched_us = soak->now_us - 2 * PLN_SILENCE_US;
    relay->number = pln_relay_open(soak->plan, machine, soak->now_us);
    pln_relay_close(soak->plan, number);
    gth_relay_lost(soak->gather, number, soak->now_us);
    ord_relay_lost(soak->orders, number, soak->now_us);
}

/* Sends HELLO where it is due and checks that the offers are known. */
static void
run_hellos(struct soak *soak)
{
    for (uint32_t i = 0; i < RELAYS; i++) {
        const struct relay *relay = &soak->relays[i];
        struct msg_hello hello = {.offer_seq = 0};
        if (pln_hello_is_due(soak->plan, relay->number, soak->now_us,
                             &hello.relay_start, &hello.offer_seq) &&
            to_relay(soak, relay->number, MSG_HELLO, &hello, 0) == RC_OK) {
            pln_hello_sent(soak->plan, relay->number, soak->now_us);
        }
        if (relay->is_up && soak->now_us - relay->since_us > CURRENT_US) {
            soak->currents += 1;
            CHECK(soak, hello.relay_start == relay->start);
            CHECK(soak, hello.offer_seq == relay->seq);
        }
    }
}

static void
step(struct soak *soak)
{
    soak->now_us += between(soak, 0, STEP_US);
    if (chance(soak, 1) && chance(soak, 200)) {
        soak->now_us += 30000 * MS;
        for (uint32_t i = 0; i < RELAYS; i++) {
            soak->relays[i].since_us = soak->now_us;
        }
    }
    deliver(soak);
    run_relays(soak);
    run_hellos(soak);
    if (chance(soak, 150)) {
        start_search(soak);
    }
    if (chance(soak, 100)) {
        start_order(soak);
    }
    if (chance(soak, 4)) {
        instance_upgrade(soak, (uint32_t)between(soak, 0, INSTANCES - 1),
                         chance(soak, 500));
    }
    if (chance(soak, 1)) {
        change_version(soak);
    }
    if (chance(soak, 1) && chance(soak, 500)) {
        reopen_link(soak, (uint32_t)between(soak, 0, RELAYS - 1));
    }
    if (chance(soak, 1)) {
        lose_relay(soak, (uint32_t)between(soak, 0, RELAYS - 1));
    }
    if (chance(soak, 2)) {
        uint32_t i = (uint32_t)between(soak, 0, INSTANCES - 1);
        if (soak->instances[i].moves_us == 0) {
            soak->faults[FAULT_HANDOVER] += 1;
            move_instance(soak, i);
        }
    }
}

static void
soak_open(struct soak *soak)
{
    soak->rand = g_rand_new_with_seed((guint32)soak->seed);
    soak->now_us = 1000 * MS;
    soak->counters = cnt_set_new();
    soak->plan = pln_new(soak->counters);
    const struct gth_callbacks gather = {.send = on_query,
                                         .cancel = on_cancel,
                                         .finish = on_answer,
                                         .idle_instances = on_idle,
                                         .next_qid = on_qid,
                                         .ctx = soak};
    soak->gather = gth_new(soak->plan, soak->counters, &gather);
    soak->ids = rid_new("m0", soak->seed, MAX_IDS, soak->counters);
    const struct ord_callbacks order = {.send = on_exec,
                                        .finish = on_outcome,
                                        .next_qid = on_qid,
                                        .ctx = soak};
    soak->orders = ord_new(soak->ids, soak->plan, soak->counters, &order);
    soak->events = g_sequence_new(event_free);
    soak->searches =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, g_free, NULL);
    soak->sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    soak->truths = g_array_new(FALSE, TRUE, sizeof(struct truth));
    g_array_set_size(soak->truths, 1);
    soak->id_texts = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(soak->id_texts, NULL);
    soak->newest = 2;
    soak->shards[0] = soak->shards[1] = 3;
    for (uint32_t i = 0; i < RELAYS; i++) {
        char machine[8];
        (void)g_snprintf(machine, sizeof(machine), "m%u", i);
        soak->relays[i].number =
            pln_relay_open(soak->plan, machine, soak->now_us);
        soak->relays[i].start = i + 1;
        soak->relays[i].since_us = soak->now_us;
        soak->relays[i].is_up = true;
    }
    for (uint32_t i = 0; i < INSTANCES; i++) {
        soak->instances[i] = (struct instance){
            .holder = i % RELAYS,
            .epoch = 1,
            .versions = {{.version = 1, .shard = i % 3, .shards = 3}},
            .version_count = 1,
        };
        instance_upgrade(soak, i, false);
    }
}

static void
soak_close(struct soak *soak)
{
    g_sequence_free(soak->events);
    gth_free(soak->gather);
    ord_free(soak->orders);
    rid_free(soak->ids);
    pln_free(soak->plan);
    cnt_set_free(soak->counters);
    g_hash_table_destroy(soak->searches);
    g_hash_table_destroy(soak->sent);
    g_array_free(soak->truths, TRUE);
    g_ptr_array_free(soak->id_texts, TRUE);
    g_rand_free(soak->rand);
}

static void
soak_report(struct soak *soak)
{
    (void)printf("decisions=%" PRIu64 " answers=%" PRIu64 " complete=%" PRIu64
                 " orders=%u currents=%" PRIu64 "\nfaults:",
                 soak->decisions, soak->answers, soak->complete,
                 soak->truths->len - 1, soak->currents);
    for (int i = 0; i < FAULT_COUNT; i++) {
        (void)printf(" %s=%" PRIu64, fault_names[i], soak->faults[i]);
    }
    GString *text = g_string_new(NULL);
    cnt_render(soak->counters, text);
    (void)printf("\n%s", text->str);
    g_string_free(text, TRUE);
}

int
main(int argc, char **argv)
{
    if (argc != 3) {
        (void)fprintf(stderr, "usage: soak_entry SEED STEPS\n");
        return 2;
    }
    static struct soak soak;
    soak.seed = g_ascii_strtoull(argv[1], NULL, 10);
    soak.steps = g_ascii_strtoull(argv[2], NULL, 10);
    /* Printed first: a failed invariant aborts. */
    (void)printf("soak_entry %" PRIu64 " %" PRIu64 "\n", soak.seed,
                 soak.steps);
    (void)fflush(stdout);
    soak_open(&soak);
    for (uint64_t i = 0; i < soak.steps; i++) {
        step(&soak);
    }
    /* Everything that runs ends by its deadline. */
    soak.now_us += 1000 * MS;
    deliver(&soak);
    gth_tick(soak.gather, soak.now_us);
    ord_tick(soak.orders, soak.now_us);
    CHECK(&soak, gth_running(soak.gather) == 0);
    CHECK(&soak, ord_running(soak.orders) == 0 && soak.waiting == 0);
    CHECK(&soak, g_hash_table_size(soak.searches) == 0);
    soak_report(&soak);
    /* A run in which a kind of fault never happened shows nothing. */
    for (int i = 0; i < FAULT_COUNT && soak.steps >= 200000; i++) {
        CHECK(&soak, soak.faults[i] > 0);
    }
    soak_close(&soak);
    return 0;
}
