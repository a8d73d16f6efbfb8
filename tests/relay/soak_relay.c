#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/rc.h"
#include "relay/relay.h"

/*
 * Drives the relay core in virtual time against simulated searchers, entries
 * and an agent, with random faults, and checks from outside what the relay
 * must keep: slots, links, cold curve, lease, zones, one version per reply,
 * exact replies, orders at most once, "not run" only when true, silent links
 * replaced within 2 s, service restored after the faults end.
 *
 * Usage: soak_relay SEED STEPS
 */

#define SERVICES 2
#define INSTANCES 4 /* 3 of "desk", 1 of "app" */
#define DESKS 3
#define SEARCHERS 9 /* 2 per desk, 3 of "app" */
#define ZONES 3
#define HITS 5
#define SEC 1000000LL
#define SILENT_MAX_US (2 * SEC)
/* A busy searcher sees the close of a link this late. */
#define CLOSE_SEEN_MAX_US 60000
#define LATE_US 3000 /* a tick and the step before it */

#define ENTRIES 2
#define RELAY_START 1
/* An entry that sent something since then gets changes of the offer. */
#define ENTRY_TOUCH_US (2 * SEC)

enum fault {
    FAULT_crash,
    FAULT_restart,
    FAULT_silent_link,
    FAULT_silent_searcher,
    FAULT_unsilence,
    FAULT_turn_cold,
    FAULT_rollout,
    FAULT_drop_version,
    FAULT_drain,
    FAULT_zone,
    FAULT_leave,
    FAULT_limits,
    FAULT_lease_lost,
    FAULT_move_away,
    FAULT_come_back,
    FAULT_takeover,
    FAULT_pause,
    FAULT_hello,
    FAULT_straggler,
    FAULT_shed,
    FAULT_gone,
    FAULT_other_version,
    FAULT_other_shard,
    FAULT_garbage,
    FAULT_cut,
    FAULT_refuse_connect,
    FAULT_refuse_send,
    FAULT_cancel,
    FAULT_duplicate_exec,
    FAULT_duplicate_query,
    FAULT_remove,
    FAULT_old_state,
    FAULT_old_config,
    FAULT_lost_offer,
    FAULT_lost_confirm,
    FAULT_entry_restart,
    FAULT_other_start,
    FAULT_COUNT
};

/* In the order of enum fault. */
static const char fault_names[] =
    "crash restart silent_link silent_searcher unsilence turn_cold "
    "rollout drop_version drain zone leave limits "
    "lease_lost move_away come_back takeover pause hello "
    "straggler shed gone other_version other_shard garbage "
    "cut refuse_connect refuse_send cancel duplicate_exec duplicate_query "
    "remove old_state old_config lost_offer lost_confirm entry_restart "
    "other_start";

enum event_kind { EV_CONNECT, EV_ARRIVE, EV_ANSWER, EV_CLOSE_SEEN };

struct sim_link;

struct sim_searcher {
    char name[8];
    char address[24];
    int instance;
    int zone;
    bool is_up;
    bool is_silent;
    bool is_draining;
    bool is_leaving;
    bool is_removed; /* not declared */
    bool was_out;    /* in the configuration sent last */
    uint64_t start;
    uint64_t versions[4];
    int version_count;
    int64_t slow_until_us;
    int running; /* requests as the searcher sees them */
    /* As the relay was told. */
    uint64_t told_start;
    int64_t told_us;
    int relay_running;
    int64_t cold_busy_us; /* of requests started since told_us */
    /* In the RELEASED sent last, with this start. */
    bool is_listed;
    uint64_t listed_start;
    /* Listed in an orderly handover and in service since. */
    bool is_expected_warm;
};

struct sim_request {
    struct sim_searcher *at;
    uint64_t searcher_start;
    bool is_probe, is_order, has_arrived, is_done;
    uint64_t version, shard;
    char *id;
    int64_t started_us;
    enum fault fault; /* FAULT_COUNT for none */
    int rc;           /* decided on arrival */
};

struct sim_link {
    struct lnk *link; /* NULL when closed */
    struct sim_searcher *at;
    bool is_silent;
    bool is_closing; /* the relay cancelled its request */
    int64_t silent_us;
    int64_t answered_us;
    struct sim_request *request;
};

struct event {
    int64_t at_us;
    enum event_kind kind;
    struct sim_link *link;
    struct sim_request *request;
};

struct sim_query {
    uint64_t qid;
    struct zsk_peer peer;
    uint64_t version;
    uint64_t limit;
    uint64_t shards[INSTANCES];
    int shard_count;
    int runs[INSTANCES]; /* by position in shards */
    int64_t end_us;
};

struct sim_order {
    int runs;
    int open_execs;
    bool is_unknown;
};

struct sim_exec {
    char *id;
    int64_t end_us;
};

/* An entry and what it has of the relay's offer. */
struct sim_entry {
    uint64_t seq; /* 0 for none */
    uint64_t hello_start, hello_seq;
    int64_t sent_us;
    int answers; /* to the HELLO sent last */
};

struct sim {
    GRand *rand;
    uint32_t seed;
    uint64_t steps;
    uint64_t step;
    int64_t now_us;
    struct rly *rly;
    struct cnt_set *counters;
    GSequence *events;
    GPtrArray *links;
    GPtrArray *requests;
    struct sim_searcher searchers[SEARCHERS];
    bool zone_in[ZONES];
    bool held[INSTANCES];
    bool can_renew;
    uint64_t epoch[INSTANCES];
    bool is_used[INSTANCES]; /* told to hold and not yet released */
    int64_t usable_us[INSTANCES];
    int64_t lease_us;
    uint64_t version;
    uint64_t revision;
    uint64_t state_seq;
    int64_t slots[SERVICES];
    int64_t connections[SERVICES];
    bool is_calm;        /* no more faults */
    GHashTable *queries; /* qid -> sim_query */
    GHashTable *execs;   /* qid -> sim_exec */
    GHashTable *orders;  /* id -> sim_order */
    uint64_t next_qid;
    struct sim_entry entries[ENTRIES];
    GByteArray *offer; /* as sent last */
    uint64_t offer_seq;
    size_t offer_instances;
    char last_id[32];
    int last_instance;
    uint64_t decisions;
    uint64_t faults[FAULT_COUNT];
    uint64_t done, missing, complete, ran;
    uint64_t listed; /* searchers in RELEASED */
};

/* Formatted ahead: a signal handler may only write. */
static char repeat_line[80];
static size_t repeat_bytes;

static void
on_abort(int number)
{
    (void)!write(STDERR_FILENO, repeat_line, repeat_bytes);
}

#define CHECK(expr)                                                           \
    do {                                                                      \
        if (!(expr)) {                                                        \
            (void)fprintf(stderr, "%s:%d: check failed: %s\n", __FILE__,      \
                          __LINE__, #expr);                                   \
            abort();                                                          \
        }                                                                     \
    } while (0)

static int
pick(struct sim *sim, int below)
{
    return (int)g_rand_int_range(sim->rand, 0, below);
}

static bool
chance(struct sim *sim, int per_10000)
{
    return pick(sim, 10000) < per_10000;
}

static bool
inject(struct sim *sim, enum fault fault, int per_10000)
{
    if (sim->is_calm || !chance(sim, per_10000)) {
        return false;
    }
    sim->faults[fault] += 1;
    return true;
}

static int
service_of(int instance)
{
    return instance < DESKS ? 0 : 1;
}

static const char *
service_name(int service)
{
    return service == 0 ? "desk" : "app";
}

static const char *
instance_name(int instance)
{
    static const char *const names[INSTANCES] = {"d0", "d1", "d2", "a0"};
    return names[instance];
}

static int64_t
deadline_max_ms(int service)
{
    return service == 0 ? 300 : 1200;
}

static uint64_t
shards_of(int service)
{
    return service == 0 ? DESKS : 1;
}

/* The layout belongs to the version: each one places the shards anew. */
static uint64_t
shard_of(int instance, uint64_t version)
{
    return instance >= DESKS ? 0 : ((uint64_t)instance + version) % DESKS;
}

static struct msg_hit
hit_of(uint64_t version, uint64_t shard, uint64_t k, char *id, size_t bytes)
{
    (void)snprintf(id, bytes, "v%" PRIu64 "s%" PRIu64 "h%" PRIu64, version,
                   shard, k);
    return (struct msg_hit){
        .score = (int64_t)((version * 31 + shard * 17 + k * 7919) % 101),
        .id = id,
    };
}

/* Events */

static gint
event_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct event *left = a;
    const struct event *right = b;
    return (left->at_us > right->at_us) - (left->at_us < right->at_us);
}

static void
event_add(struct sim *sim, int64_t delay_us, enum event_kind kind,
          struct sim_link *link, struct sim_request *request)
{
    struct event *event = g_new0(struct event, 1);
    event->at_us = sim->now_us + delay_us;
    event->kind = kind;
    event->link = link;
    event->request = request;
    g_sequence_insert_sorted(sim->events, event, event_compare, NULL);
}

/* Calls of the relay */

static struct sim_searcher *
searcher_of(struct sim *sim, const struct lnk *link)
{
    const struct sch *sch = link->pool->owner;
    for (int i = 0; i < SEARCHERS; i++) {
        if (strcmp(sim->searchers[i].name, sch->name) == 0) {
            return &sim->searchers[i];
        }
    }
    abort();
}

static void
check_links(struct sim *sim, const struct sim_searcher *at)
{
    int64_t open = 0;
    for (guint i = 0; i < sim->links->len; i++) {
        const struct sim_link *link = g_ptr_array_index(sim->links, i);
        open += link->link != NULL && link->at == at;
    }
    CHECK(open <= sim->connections[service_of(at->instance)]);
}

static int
sim_connect(struct lnk *link, void *ctx)
{
    struct sim *sim = ctx;
    sim->decisions += 1;
    struct sim_link *opened = g_new0(struct sim_link, 1);
    opened->link = link;
    opened->at = searcher_of(sim, link);
    opened->is_silent = opened->at->is_silent;
    opened->silent_us = sim->now_us;
    link->io = opened;
    g_ptr_array_add(sim->links, opened);
    check_links(sim, opened->at);
    CHECK(sim->is_used[opened->at->instance]);
    if (!opened->is_silent || chance(sim, 5000)) {
        event_add(sim, 1000 + pick(sim, 6000), EV_CONNECT, opened, NULL);
    }
    return RC_OK;
}

static struct sim_request *
request_add(struct sim *sim, struct sim_link *link)
{
    struct sim_request *request = g_new0(struct sim_request, 1);
    request->at = link->at;
    request->searcher_start = link->at->start;
    request->started_us = sim->now_us;
    request->fault = FAULT_COUNT;
    link->request = request;
    g_ptr_array_add(sim->requests, request);
    event_add(sim, pick(sim, 1000), EV_ARRIVE, link, request);
    return request;
}

static int
sim_probe(struct lnk *link, void *ctx)
{
    struct sim *sim = ctx;
    sim->decisions += 1;
    if (inject(sim, FAULT_refuse_send, 20)) {
        return RC_LINK_FAILED;
    }
    request_add(sim, link->io)->is_probe = true;
    return RC_OK;
}

/* The request ended as the relay sees it. */
static void
relay_done(const struct sim *sim, const struct sim_request *request)
{
    struct sim_searcher *at = request->at;
    at->relay_running -= 1;
    if (request->started_us >= at->told_us) {
        at->cold_busy_us += sim->now_us - request->started_us;
    }
}

/* A cancelled request's close: requests on other links may overtake it. */
static int
sim_shut_down(struct lnk *link, void *ctx)
{
    struct sim *sim = ctx;
    sim->decisions += 1;
    struct sim_link *on = link->io;
    struct sim_request *request = on->request;
    CHECK(request != NULL && !request->is_probe);
    on->request = NULL;
    on->is_closing = true;
    relay_done(sim, request);
    event_add(sim, pick(sim, CLOSE_SEEN_MAX_US), EV_CLOSE_SEEN, on, request);
    return RC_OK;
}

static void
sim_close(struct lnk *link, void *ctx)
{
    struct sim *sim = ctx;
    sim->decisions += 1;
    struct sim_link *closed = link->io;
    struct sim_request *request = closed->request;
    closed->link = NULL;
    closed->request = NULL;
    if (request != NULL && !request->is_probe) {
        relay_done(sim, request);
        event_add(sim, pick(sim, CLOSE_SEEN_MAX_US), EV_CLOSE_SEEN, closed,
                  request);
    }
}

static int64_t
curve_permille(const struct sim *sim, const struct sim_searcher *at,
               int64_t now_us)
{
    int64_t elapsed_us = now_us - at->told_us;
    int64_t share = service_of(at->instance) == 0 ? 250 : 100;
    return MIN(1000, share + (1000 - share) * elapsed_us / (2 * SEC));
}

/* The work of a searcher below one slot stays below the curve's area. */
static void
check_cold(const struct sim *sim, const struct sim_searcher *at)
{
    int64_t slots = sim->slots[service_of(at->instance)];
    int64_t permille = curve_permille(sim, at, sim->now_us);
    int64_t limit = MAX(1, permille * slots / 1000);
    CHECK(at->relay_running <= limit);
    if (permille * slots >= 1000) {
        return;
    }
    int64_t elapsed_us = sim->now_us - at->told_us;
    int64_t mean = (curve_permille(sim, at, at->told_us) + permille) / 2;
    int64_t area_us = elapsed_us * (mean + 1) * slots / 1000;
    CHECK(at->cold_busy_us <= area_us + 100);
}

/* What must hold whenever a request leaves the relay. */
static void
check_send(struct sim *sim, struct sim_link *link)
{
    struct sim_searcher *at = link->at;
    int instance = at->instance;
    CHECK(sim->now_us < sim->lease_us);
    CHECK(sim->held[instance]);
    CHECK(sim->is_used[instance]);
    CHECK(sim->now_us >= sim->usable_us[instance]);
    CHECK(sim->zone_in[at->zone]);
    CHECK(!at->is_leaving && !at->is_removed);
    CHECK(link->request == NULL);
    at->relay_running += 1;
    CHECK(at->relay_running <= sim->slots[service_of(instance)]);
    check_cold(sim, at);
}

static enum fault
answer_fault(struct sim *sim, const struct sim_searcher *at)
{
    static const struct {
        enum fault fault;
        int per_10000;
    } rates[] = {
        {FAULT_straggler, 100},  {FAULT_shed, 30},
        {FAULT_gone, 10},        {FAULT_other_version, 10},
        {FAULT_other_shard, 10}, {FAULT_garbage, 10},
        {FAULT_cut, 30},
    };
    /* A cold searcher also fails. */
    if (sim->now_us < at->slow_until_us && inject(sim, FAULT_shed, 2000)) {
        return FAULT_shed;
    }
    if (sim->now_us < at->slow_until_us && inject(sim, FAULT_cut, 1000)) {
        return FAULT_cut;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        if (inject(sim, rates[i].fault, rates[i].per_10000)) {
            return rates[i].fault;
        }
    }
    return FAULT_COUNT;
}

static int
sim_send(struct lnk *link, const struct job *job, void *ctx)
{
    struct sim *sim = ctx;
    sim->decisions += 1;
    struct sim_link *on = link->io;
    check_send(sim, on);
    if (job->is_order) {
        CHECK(on->answered_us > 0);
        CHECK(sim->now_us - on->answered_us <= SEC / 2);
    }
    if (inject(sim, FAULT_refuse_send, 20)) {
        on->at->relay_running -= 1;
        return RC_LINK_FAILED;
    }
    struct sim_request *request = request_add(sim, on);
    request->is_order = job->is_order;
    request->version = job->version;
    request->shard = job->shard;
    request->id = g_strdup(job->text);
    request->fault = answer_fault(sim, on->at);
    return RC_OK;
}

static int
sim_search(struct lnk *link, const struct job *job, int64_t budget_us,
           void *ctx)
{
    CHECK(budget_us > 0 && !job->is_order);
    return sim_send(link, job, ctx);
}

static int
sim_execute(struct lnk *link, const struct job *job, int64_t budget_us,
            void *ctx)
{
    CHECK(budget_us > 0 && job->is_order);
    return sim_send(link, job, ctx);
}

static gint
hit_compare(gconstpointer a, gconstpointer b)
{
    const struct msg_hit *left = a;
    const struct msg_hit *right = b;
    if (left->score != right->score) {
        return left->score > right->score ? -1 : 1;
    }
    return strcmp(left->id, right->id);
}

/* The hits must be exactly the best ones of the shards that are done. */
static void
check_hits(const struct sim_query *query, const struct msg_reply *reply)
{
    struct msg_hit hits[INSTANCES * HITS];
    char ids[INSTANCES * HITS][32];
    size_t count = 0;
    for (size_t i = 0; i < reply->done_count; i++) {
        for (uint64_t k = 0; k < HITS; k++) {
            hits[count] = hit_of(query->version, reply->done[i].shard, k,
                                 ids[count], sizeof(ids[count]));
            count += 1;
        }
    }
    qsort(hits, count, sizeof(hits[0]), hit_compare);
    CHECK(reply->hit_count == MIN(count, query->limit));
    for (size_t i = 0; i < reply->hit_count; i++) {
        CHECK(reply->hits[i].score == hits[i].score);
        CHECK(strcmp(reply->hits[i].id, hits[i].id) == 0);
    }
}

/* Each shard asked for is named exactly once. */
static void
check_shards(const struct sim_query *query, const struct msg_reply *reply)
{
    CHECK(reply->done_count + reply->missing_count ==
          (size_t)query->shard_count);
    for (int i = 0; i < query->shard_count; i++) {
        int named = 0;
        for (size_t k = 0; k < reply->done_count; k++) {
            named += reply->done[k].shard == query->shards[i];
        }
        for (size_t k = 0; k < reply->missing_count; k++) {
            bool is_it = reply->missing[k].shard == query->shards[i];
            bool says_not_run = rc_run((int)reply->missing[k].rc) == RC_RUN_NO;
            CHECK(reply->missing[k].rc < 0);
            CHECK(!is_it || !says_not_run || query->runs[i] == 0);
            named += is_it;
        }
        CHECK(named == 1);
    }
}

static void
on_reply(struct sim *sim, const struct zsk_peer *peer,
         const struct msg_reply *reply)
{
    struct sim_query *query =
        g_hash_table_lookup(sim->queries, GSIZE_TO_POINTER(reply->qid));
    CHECK(query != NULL); /* neither unknown nor a second reply */
    CHECK(memcmp(peer, &query->peer, sizeof(*peer)) == 0);
    CHECK(reply->version == query->version);
    CHECK(reply->relay_start == RELAY_START);
    CHECK(reply->offer_seq == sim->rly->offer_seq);
    check_shards(query, reply);
    check_hits(query, reply);
    sim->done += reply->done_count;
    sim->missing += reply->missing_count;
    sim->complete += reply->missing_count == 0;
    g_hash_table_remove(sim->queries, GSIZE_TO_POINTER(reply->qid));
}

static void
on_exec_reply(struct sim *sim, const struct msg_exec_reply *reply)
{
    struct sim_exec *exec =
        g_hash_table_lookup(sim->execs, GSIZE_TO_POINTER(reply->qid));
    CHECK(exec != NULL);
    CHECK(reply->relay_start == RELAY_START);
    CHECK(reply->offer_seq == sim->rly->offer_seq);
    struct sim_order *order = g_hash_table_lookup(sim->orders, exec->id);
    order->open_execs -= 1;
    if (rc_run((int)reply->rc) == RC_RUN_NO) {
        CHECK(order->runs == 0 || order->is_unknown || order->open_execs > 0);
    }
    else {
        order->is_unknown = true;
    }
    if (reply->rc == RC_OK) {
        CHECK(order->runs == 1);
        CHECK(reply->body.bytes == strlen(exec->id));
        CHECK(memcmp(reply->body.data, exec->id, reply->body.bytes) == 0);
    }
    g_hash_table_remove(sim->execs, GSIZE_TO_POINTER(reply->qid));
}

static struct sim_entry *
entry_of(struct sim *sim, const struct zsk_peer *peer)
{
    CHECK(peer->id[0] >= 1 && peer->id[0] <= ENTRIES);
    return &sim->entries[peer->id[0] - 1];
}

/* Only the entry that has the newest offer may get a confirmation, and none
 * may get one for instances that the lease does not cover any more. */
static void
on_confirm(struct sim *sim, const struct zsk_peer *peer,
           const struct msg_confirm_offer *confirm)
{
    struct sim_entry *entry = entry_of(sim, peer);
    CHECK(entry->hello_start == RELAY_START);
    CHECK(confirm->relay_start == RELAY_START);
    CHECK(confirm->offer_seq == entry->hello_seq);
    CHECK(confirm->offer_seq == sim->offer_seq);
    CHECK(sim->offer_instances == 0 || sim->now_us < sim->lease_us);
    entry->answers += 1;
}

/* One seq is one offer, and it goes to entries in touch only. */
static void
sim_send_offer(const struct zsk_peer *peer, const void *data,
               size_t data_bytes, void *ctx)
{
    struct sim *sim = ctx;
    struct sim_entry *entry = entry_of(sim, peer);
    struct msg msg;
    CHECK(msg_decode(data, data_bytes, &msg) == RC_OK);
    CHECK(msg.type == MSG_OFFER);
    const struct msg_offer *offer = msg.body;
    bool is_same = sim->offer->len == data_bytes &&
                   memcmp(sim->offer->data, data, data_bytes) == 0;
    CHECK(offer->start == RELAY_START && offer->seq >= sim->offer_seq);
    CHECK(is_same == (offer->seq == sim->offer_seq));
    CHECK(offer->instance_count == 0 || sim->now_us < sim->lease_us);
    CHECK(sim->now_us - entry->sent_us <= ENTRY_TOUCH_US);
    g_byte_array_set_size(sim->offer, 0);
    g_byte_array_append(sim->offer, data, (guint)data_bytes);
    sim->offer_seq = offer->seq;
    sim->offer_instances = offer->instance_count;
    entry->answers += 1;
    sim->decisions += 1;
    if (!inject(sim, FAULT_lost_offer, 100)) {
        entry->seq = offer->seq;
    }
    msg_clear(&msg);
}

static void
sim_send_entry(const struct zsk_peer *peer, enum msg_type type,
               const void *body, void *ctx)
{
    struct sim *sim = ctx;
    sim->decisions += 1;
    if (type == MSG_REPLY) {
        on_reply(sim, peer, body);
    }
    else if (type == MSG_EXEC_REPLY) {
        on_exec_reply(sim, body);
    }
    else {
        CHECK(type == MSG_CONFIRM_OFFER);
        on_confirm(sim, peer, body);
    }
}

static int
instance_index(const char *name)
{
    for (int i = 0; i < INSTANCES; i++) {
        if (strcmp(instance_name(i), name) == 0) {
            return i;
        }
    }
    abort();
}

/* Only searchers on their full share may be listed as warm. */
static void
note_listed(struct sim *sim, int instance, const struct msg_released *released)
{
    for (int k = 0; k < SEARCHERS; k++) {
        struct sim_searcher *at = &sim->searchers[k];
        if (at->instance != instance) {
            continue;
        }
        at->is_listed = false;
        for (size_t i = 0; i < released->warm_count; i++) {
            if (strcmp(released->warm[i].address, at->address) == 0) {
                CHECK(released->warm[i].start == at->told_start);
                CHECK(curve_permille(sim, at, sim->now_us) == 1000);
                CHECK(sim->zone_in[at->zone]);
                CHECK(!at->is_leaving && !at->is_removed);
                at->is_listed = true;
                at->listed_start = at->told_start;
                sim->listed += 1;
            }
        }
    }
}

/* Nothing may be open to an instance that was released. */
static void
on_released(struct sim *sim, const struct msg_released *released)
{
    int instance = instance_index(released->instance);
    for (guint i = 0; i < sim->links->len; i++) {
        const struct sim_link *link = g_ptr_array_index(sim->links, i);
        CHECK(link->link == NULL || link->at->instance != instance);
    }
    if (!sim->is_used[instance]) {
        return; /* repeated */
    }
    CHECK(released->epoch <= sim->epoch[instance]);
    CHECK(!sim->held[instance] || released->epoch < sim->epoch[instance]);
    sim->is_used[instance] = false;
    note_listed(sim, instance, released);
}

static void
sim_send_agent(enum msg_type type, const void *body, void *ctx)
{
    struct sim *sim = ctx;
    sim->decisions += 1;
    if (type == MSG_RELEASED) {
        on_released(sim, body);
    }
    else {
        CHECK(type == MSG_SUBSCRIBE || type == MSG_STOPPING);
    }
}

static const struct rly_calls sim_calls = {
    .link = {.connect = sim_connect,
             .probe = sim_probe,
             .shut_down = sim_shut_down,
             .close = sim_close},
    .search = sim_search,
    .execute = sim_execute,
    .send_entry = sim_send_entry,
    .send_offer = sim_send_offer,
    .send_agent = sim_send_agent,
};

/* Searchers */

static bool
has_version(const struct sim_searcher *at, uint64_t version)
{
    for (int i = 0; i < at->version_count; i++) {
        if (at->versions[i] == version) {
            return true;
        }
    }
    return false;
}

static int64_t
latency_of(struct sim *sim, const struct sim_request *request)
{
    if (request->is_probe) {
        return 200 + pick(sim, 2000);
    }
    int64_t latency_us = 1000 + pick(sim, 3000);
    if (request->fault == FAULT_straggler) {
        latency_us *= 20;
    }
    if (sim->now_us < request->at->slow_until_us) {
        latency_us *= 10;
    }
    return latency_us;
}

static void
run_order(struct sim *sim, const struct sim_request *request)
{
    if (request->fault == FAULT_shed) {
        return;
    }
    struct sim_order *order = g_hash_table_lookup(sim->orders, request->id);
    CHECK(order->runs == 0);
    /* Whoever was told "not run" was told the truth. */
    CHECK(order->open_execs > 0 || order->is_unknown);
    order->runs += 1;
    sim->ran += 1;
}

static int
answer_rc(const struct sim_request *request)
{
    const struct sim_searcher *at = request->at;
    switch (request->fault) {
    case FAULT_shed:
        return RC_SHED;
    case FAULT_garbage:
        return RC_BAD_REPLY;
    case FAULT_gone:
        return request->is_order ? RC_BAD_REPLY : RC_VERSION_GONE;
    default:
        break;
    }
    bool is_served =
        has_version(at, request->version) &&
        shard_of(at->instance, request->version) == request->shard;
    return is_served || request->is_order ? RC_OK : RC_VERSION_GONE;
}

/* Notes that a part ran, for the check of "not run". */
static void
run_search(struct sim *sim, const struct sim_request *request)
{
    uint64_t qid = g_ascii_strtoull(request->id, NULL, 10);
    struct sim_query *query =
        g_hash_table_lookup(sim->queries, GSIZE_TO_POINTER(qid));
    if (query == NULL || request->rc == RC_SHED ||
        request->rc == RC_VERSION_GONE) {
        return;
    }
    for (int i = 0; i < query->shard_count; i++) {
        query->runs[i] += query->shards[i] == request->shard;
    }
}

static void
on_arrive(struct sim *sim, struct sim_link *link, struct sim_request *request)
{
    struct sim_searcher *at = request->at;
    if (!at->is_up || at->start != request->searcher_start ||
        request->is_done) {
        return;
    }
    /* A silent link may still deliver in one direction. */
    if (link->is_silent && chance(sim, 5000)) {
        return;
    }
    request->has_arrived = true;
    request->rc = answer_rc(request);
    if (!request->is_probe) {
        at->running += 1;
        CHECK(at->running <= sim->slots[service_of(at->instance)]);
    }
    if (request->is_order) {
        run_order(sim, request);
    }
    else if (!request->is_probe) {
        run_search(sim, request);
    }
    event_add(sim, latency_of(sim, request), EV_ANSWER, link, request);
}

static void
end_at_searcher(struct sim_request *request)
{
    struct sim_searcher *at = request->at;
    if (request->has_arrived && !request->is_done && !request->is_probe &&
        at->start == request->searcher_start) {
        at->running -= 1;
    }
    request->is_done = true;
}

static void
note_told(struct sim *sim, struct sim_searcher *at)
{
    if (at->told_start != at->start) {
        at->told_start = at->start;
        at->told_us = sim->now_us;
        at->cold_busy_us = 0;
        if (at->is_expected_warm && at->start == at->listed_start) {
            at->told_us -= 2 * SEC;
        }
        at->is_expected_warm = false;
    }
}

static void
answer_probe(struct sim *sim, struct sim_link *link)
{
    const struct sim_searcher *at = link->at;
    struct sch_status status = {
        .start = at->start,
        .is_draining = at->is_draining,
        .version_count = (uint32_t)at->version_count,
    };
    for (int i = 0; i < at->version_count; i++) {
        status.versions[i] = (struct msg_version){
            .version = at->versions[i],
            .shard = shard_of(at->instance, at->versions[i]),
            .shards = shards_of(service_of(at->instance)),
        };
    }
    rly_on_status(link->link, &status, true, sim->now_us);
}

static void
answer_request(struct sim *sim, struct sim_link *link,
               const struct sim_request *request)
{
    struct dsp_answer answer = {
        .rc = request->rc,
        .is_reusable = !chance(sim, 50),
        .has_start = true,
        .start = request->at->start,
        .version = request->version + (request->fault == FAULT_other_version),
        .shard = request->shard + (request->fault == FAULT_other_shard),
    };
    struct msg_hit hits[HITS];
    char ids[HITS][32];
    for (uint64_t k = 0; k < HITS; k++) {
        hits[k] =
            hit_of(answer.version, answer.shard, k, ids[k], sizeof(ids[k]));
    }
    if (answer.rc == RC_OK && !request->is_order) {
        answer.hits = hits;
        answer.hit_count = HITS;
    }
    else if (answer.rc == RC_OK) {
        answer.result = request->id;
        answer.result_bytes = strlen(request->id);
    }
    rly_on_answer(link->link, &answer, sim->now_us);
}

static void
on_answer(struct sim *sim, struct sim_link *link, struct sim_request *request)
{
    struct sim_searcher *at = request->at;
    bool is_gone = at->start != request->searcher_start || request->is_done;
    end_at_searcher(request);
    if (is_gone || link->link == NULL || link->is_silent || link->is_closing) {
        return;
    }
    bool is_cut = request->fault == FAULT_cut;
    if (!request->is_probe) {
        relay_done(sim, request);
    }
    link->request = NULL;
    if (is_cut) {
        /* The request ran, whatever its answer looked like. */
        static const int codes[] = {RC_LINK_LOST, RC_TOO_LARGE, RC_BAD_REPLY};
        rly_on_lost(link->link, codes[pick(sim, 3)], sim->now_us);
        return;
    }
    link->answered_us = sim->now_us;
    note_told(sim, at);
    if (request->is_probe) {
        answer_probe(sim, link);
    }
    else {
        answer_request(sim, link, request);
    }
}

static void
on_connect(struct sim *sim, struct sim_link *link)
{
    if (link->link == NULL) {
        return;
    }
    bool is_refused =
        !link->at->is_up || inject(sim, FAULT_refuse_connect, 50);
    rly_on_connected(link->link, is_refused ? RC_LINK_FAILED : RC_OK,
                     sim->now_us);
}

static void
run_events(struct sim *sim)
{
    GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
    while (!g_sequence_iter_is_end(first)) {
        struct event event = *(struct event *)g_sequence_get(first);
        if (event.at_us > sim->now_us) {
            return;
        }
        g_sequence_remove(first);
        switch (event.kind) {
        case EV_CONNECT:
            on_connect(sim, event.link);
            break;
        case EV_ARRIVE:
            on_arrive(sim, event.link, event.request);
            break;
        case EV_ANSWER:
            on_answer(sim, event.link, event.request);
            break;
        case EV_CLOSE_SEEN:
            end_at_searcher(event.request);
            if (event.link->link != NULL && !event.link->is_silent) {
                rly_on_lost(event.link->link, RC_LINK_LOST, sim->now_us);
            }
            break;
        }
        first = g_sequence_get_begin_iter(sim->events);
    }
}

/* Agent */

static struct cfg *
make_cfg(struct sim *sim)
{
    struct cfg *cfg = g_new0(struct cfg, 1);
    cfg->revision = sim->revision;
    cfg->zone_count = ZONES;
    cfg->zones = g_new0(struct cfg_zone, ZONES);
    for (int i = 0; i < ZONES; i++) {
        cfg->zones[i].name = g_strdup_printf("z%d", i);
        cfg->zones[i].is_in = sim->zone_in[i];
    }
    cfg->service_count = SERVICES;
    cfg->services = g_new0(struct cfg_service, SERVICES);
    for (int i = 0; i < SERVICES; i++) {
        cfg->services[i] = (struct cfg_service){
            .name = g_strdup(service_name(i)),
            .slots = sim->slots[i],
            .connections = sim->connections[i],
            .cold_share_permille = i == 0 ? 250 : 100,
            .cold_ramp_ms = 2000,
            .deadline_max_ms = deadline_max_ms(i),
            .queue_max_parts = 20,
            .hedge_budget_permille = 30,
            .instances = g_new0(struct cfg_instance, INSTANCES),
        };
    }
    for (int i = 0; i < INSTANCES; i++) {
        struct cfg_service *service = &cfg->services[service_of(i)];
        struct cfg_instance *instance =
            &service->instances[service->instance_count++];
        instance->name = g_strdup(instance_name(i));
        instance->searchers = g_new0(struct cfg_searcher, SEARCHERS);
        for (int k = 0; k < SEARCHERS; k++) {
            const struct sim_searcher *at = &sim->searchers[k];
            if (at->instance == i && !at->is_removed) {
                instance->searchers[instance->searcher_count++] =
                    (struct cfg_searcher){
                        .name = g_strdup(at->name),
                        .zone = g_strdup_printf("z%d", at->zone),
                        .address = g_strdup(at->address),
                        .is_leaving = at->is_leaving,
                    };
            }
        }
    }
    return cfg;
}

/* The list goes with every STATE, as the agent repeats it. */
static size_t
list_warm(const struct sim *sim, int instance, struct msg_warm *warm)
{
    size_t count = 0;
    for (int i = 0; i < SEARCHERS; i++) {
        const struct sim_searcher *at = &sim->searchers[i];
        if (at->instance == instance && at->is_listed) {
            warm[count++] = (struct msg_warm){
                .address = at->address,
                .start = at->listed_start,
            };
        }
    }
    return count;
}

static void
send_state(struct sim *sim, bool has_config, uint64_t orderly)
{
    struct msg_warm warm[INSTANCES][SEARCHERS];
    struct msg_holder holders[INSTANCES];
    struct msg_state state = {
        .seq = ++sim->state_seq,
        .machine = "m0",
        .start = 7,
        .revision = sim->revision,
        .holders = holders,
        .lease_until_us = sim->lease_us,
    };
    for (int i = 0; i < INSTANCES; i++) {
        if (sim->held[i]) {
            holders[state.holder_count++] = (struct msg_holder){
                .service = service_name(service_of(i)),
                .instance = instance_name(i),
                .machine = "m0",
                .start = 7,
                .epoch = sim->epoch[i],
                .orderly = orderly,
                .warm = warm[i],
                .warm_count = list_warm(sim, i, warm[i]),
            };
        }
    }
    rly_on_state(sim->rly, &state, has_config ? make_cfg(sim) : NULL,
                 sim->now_us);
}

static void
send_config(struct sim *sim)
{
    sim->revision += 1;
    for (int i = 0; i < SEARCHERS; i++) {
        struct sim_searcher *at = &sim->searchers[i];
        bool is_out =
            !sim->zone_in[at->zone] || at->is_leaving || at->is_removed;
        if (at->was_out && !is_out) {
            at->told_us = sim->now_us;
            at->cold_busy_us = 0;
            at->is_expected_warm = false;
        }
        at->was_out = is_out;
    }
    send_state(sim, true, 1);
}

static void
renew_lease(struct sim *sim)
{
    if (!sim->can_renew) {
        sim->can_renew = chance(sim, 1000);
        return;
    }
    sim->lease_us = sim->now_us + 1200000;
    struct msg_lease lease = {
        .revision = sim->revision,
        .lease_until_us = sim->lease_us,
    };
    struct msg msg = {.type = MSG_LEASE, .body = &lease};
    rly_on_agent(sim->rly, &msg, sim->now_us);
}

static void
give_contract(struct sim *sim, int instance, bool is_orderly)
{
    if (sim->held[instance] || sim->is_used[instance]) {
        return;
    }
    sim->faults[is_orderly ? FAULT_come_back : FAULT_takeover] += 1;
    sim->epoch[instance] += 2;
    sim->held[instance] = true;
    sim->is_used[instance] = true;
    int64_t wait_us = (deadline_max_ms(service_of(instance)) - 800) * 1000;
    sim->usable_us[instance] =
        sim->now_us + (is_orderly ? 0 : MAX(0, wait_us));
    for (int i = 0; i < SEARCHERS; i++) {
        struct sim_searcher *at = &sim->searchers[i];
        if (at->instance == instance) {
            at->told_start = 0;
            at->is_expected_warm = is_orderly && at->is_listed && !at->was_out;
        }
    }
    send_state(sim, false, is_orderly);
}

/* Entries */

static struct zsk_peer
peer_of(int i)
{
    struct zsk_peer peer = {.id_bytes = 5};
    memset(peer.id, i + 1, 5);
    return peer;
}

static void
to_relay(struct sim *sim, int peer, enum msg_type type, const void *body)
{
    struct zsk_peer from = peer_of(peer);
    struct msg msg = {.type = type, .body = body};
    sim->entries[peer].sent_us = sim->now_us;
    rly_on_entry(sim->rly, &from, &msg, sim->now_us);
}

/* Each HELLO has one answer at least, and one that was lost comes again. */
static void
send_hello(struct sim *sim)
{
    int peer = pick(sim, ENTRIES);
    struct sim_entry *entry = &sim->entries[peer];
    if (inject(sim, FAULT_entry_restart, 50)) {
        entry->seq = 0;
    }
    entry->hello_start = entry->seq != 0 ? RELAY_START : 0;
    if (inject(sim, FAULT_other_start, 50)) {
        entry->hello_start = RELAY_START + 1;
    }
    entry->hello_seq = entry->seq;
    const struct msg_hello hello = {
        .relay_start = entry->hello_start,
        .offer_seq = entry->hello_seq,
    };
    int times = inject(sim, FAULT_lost_confirm, 100) ? 2 : 1;
    for (int i = 0; i < times; i++) {
        entry->answers = 0;
        to_relay(sim, peer, MSG_HELLO, &hello);
        CHECK(entry->answers == 1);
    }
}

static void
send_query(struct sim *sim, int service, uint64_t version, int64_t budget_us)
{
    int peer = pick(sim, ENTRIES);
    struct sim_query *query = g_new0(struct sim_query, 1);
    struct msg_part parts[INSTANCES];
    query->qid = ++sim->next_qid;
    query->peer = peer_of(peer);
    query->version = version;
    query->limit = 1 + (uint64_t)pick(sim, 12);
    query->end_us = sim->now_us + budget_us;
    for (int i = 0; i < INSTANCES; i++) {
        if (service_of(i) == service) {
            uint64_t shard = shard_of(i, version);
            parts[query->shard_count] = (struct msg_part){
                .instance = instance_name(i),
                .shard = shard,
            };
            query->shards[query->shard_count++] = shard;
        }
    }
    g_hash_table_insert(sim->queries, GSIZE_TO_POINTER(query->qid), query);
    char text[24];
    (void)snprintf(text, sizeof(text), "%" PRIu64, query->qid);
    struct msg_query message = {
        .qid = query->qid,
        .service = service_name(service),
        .version = version,
        .budget_us = budget_us,
        .limit = query->limit,
        .query = text,
        .parts = parts,
        .part_count = (size_t)query->shard_count,
    };
    to_relay(sim, peer, MSG_QUERY, &message);
    if (g_hash_table_contains(sim->queries, GSIZE_TO_POINTER(message.qid))) {
        if (inject(sim, FAULT_duplicate_query, 50)) {
            to_relay(sim, peer, MSG_QUERY, &message);
        }
        if (inject(sim, FAULT_cancel, 100)) {
            struct msg_cancel cancel = {.qid = message.qid};
            g_hash_table_remove(sim->queries, GSIZE_TO_POINTER(message.qid));
            to_relay(sim, peer, MSG_CANCEL, &cancel);
        }
    }
}

static void
send_exec(struct sim *sim, const char *id, int instance, uint64_t version)
{
    struct sim_order *order = g_hash_table_lookup(sim->orders, id);
    if (order == NULL) {
        order = g_new0(struct sim_order, 1);
        g_hash_table_insert(sim->orders, g_strdup(id), order);
    }
    order->open_execs += 1;
    struct sim_exec *exec = g_new0(struct sim_exec, 1);
    exec->id = g_strdup(id);
    int64_t budget_us = 20000 + pick(sim, 200000);
    exec->end_us = sim->now_us + budget_us;
    struct msg_exec message = {
        .qid = ++sim->next_qid,
        .id = id,
        .service = service_name(service_of(instance)),
        .instance = instance_name(instance),
        .shard = shard_of(instance, version),
        .version = version,
        .budget_us = budget_us,
        .body = {.data = "{}", .bytes = 2},
    };
    g_hash_table_insert(sim->execs, GSIZE_TO_POINTER(message.qid), exec);
    to_relay(sim, pick(sim, ENTRIES), MSG_EXEC, &message);
}

static void
send_order(struct sim *sim)
{
    char id[32];
    (void)snprintf(id, sizeof(id), "o%" PRIu64, sim->next_qid);
    int instance = pick(sim, INSTANCES);
    send_exec(sim, id, instance, sim->version);
    while (inject(sim, FAULT_duplicate_exec, 1000)) {
        send_exec(sim, id, instance, sim->version);
    }
    if (inject(sim, FAULT_duplicate_exec, 1000)) {
        /* Most of the time the order before this one has ended. */
        send_exec(sim, sim->last_id, sim->last_instance, sim->version);
    }
    sim->last_instance = instance;
    memcpy(sim->last_id, id, sizeof(id));
}

/* Faults */

static struct sim_searcher *
any_searcher(struct sim *sim)
{
    return &sim->searchers[pick(sim, SEARCHERS)];
}

static void
silence(struct sim *sim, struct sim_link *link)
{
    if (link->link != NULL && !link->is_silent) {
        link->is_silent = true;
        link->silent_us = sim->now_us;
    }
}

/* Ends all links of the searcher; the relay hears of each. */
static void
crash(struct sim *sim, struct sim_searcher *at, bool comes_back)
{
    at->is_up = comes_back;
    at->is_silent = false;
    at->is_draining = false;
    at->start = g_rand_int(sim->rand) + 1ULL;
    at->running = 0;
    guint count = sim->links->len;
    for (guint i = 0; i < count; i++) {
        struct sim_link *link = g_ptr_array_index(sim->links, i);
        if (link->at != at || link->link == NULL || link->is_silent ||
            link->link->state == LNK_CONNECTING) {
            continue;
        }
        if (link->request != NULL && !link->request->is_probe) {
            relay_done(sim, link->request);
            /* Sent a moment ago on a link of the old process: it never
             * reaches the new one. */
            link->request->is_done = true;
        }
        link->request = NULL;
        rly_on_lost(link->link, RC_LINK_LOST, sim->now_us);
    }
}

static void
silence_searcher(struct sim *sim)
{
    struct sim_searcher *at = any_searcher(sim);
    at->is_silent = true;
    for (guint i = 0; i < sim->links->len; i++) {
        struct sim_link *link = g_ptr_array_index(sim->links, i);
        if (link->at == at) {
            silence(sim, link);
        }
    }
}

static void
rollout(struct sim *sim)
{
    bool is_everywhere = true;
    for (int i = 0; i < SEARCHERS; i++) {
        is_everywhere &= has_version(&sim->searchers[i], sim->version);
    }
    if (is_everywhere) {
        sim->version += 1;
    }
    for (int i = 0; i < SEARCHERS; i++) {
        struct sim_searcher *at = &sim->searchers[i];
        if (!has_version(at, sim->version) && chance(sim, 5000)) {
            if (at->version_count == 3) {
                memmove(at->versions, at->versions + 1,
                        2 * sizeof(at->versions[0]));
                at->version_count = 2;
            }
            at->versions[at->version_count++] = sim->version;
        }
    }
}

static void
change_limits(struct sim *sim)
{
    /* Only upwards: requests sent before the change still run. */
    sim->slots[1] += 1;
    send_config(sim);
}

static void
inject_searcher_faults(struct sim *sim)
{
    struct sim_searcher *at = any_searcher(sim);
    if (inject(sim, FAULT_crash, 2)) {
        crash(sim, at, false);
    }
    if (inject(sim, FAULT_restart, at->is_up ? 5 : 100)) {
        crash(sim, at, true);
    }
    if (inject(sim, FAULT_silent_link, 20) && sim->links->len > 0) {
        silence(sim, g_ptr_array_index(sim->links,
                                       pick(sim, (int)sim->links->len)));
    }
    if (inject(sim, FAULT_silent_searcher, 2)) {
        silence_searcher(sim);
    }
    if (at->is_silent && inject(sim, FAULT_unsilence, 100)) {
        at->is_silent = false;
    }
    if (inject(sim, FAULT_turn_cold, 3)) {
        at->slow_until_us = sim->now_us + 2 * SEC;
    }
    if (inject(sim, FAULT_rollout, 5)) {
        rollout(sim);
    }
    if (at->version_count > 1 && inject(sim, FAULT_drop_version, 2)) {
        at->version_count -= 1;
    }
    if (inject(sim, FAULT_drain, at->is_draining ? 100 : 3)) {
        at->is_draining = !at->is_draining;
    }
}

/* An agent that restarted behind the others; all zones were in. */
static void
send_old_config(struct sim *sim)
{
    bool zone_in[ZONES];
    memcpy(zone_in, sim->zone_in, sizeof(zone_in));
    for (int i = 0; i < ZONES; i++) {
        sim->zone_in[i] = true;
    }
    sim->revision -= 1;
    send_state(sim, true, 1);
    sim->revision += 1;
    memcpy(sim->zone_in, zone_in, sizeof(zone_in));
}

static void
inject_control_faults(struct sim *sim)
{
    int zone = pick(sim, ZONES);
    if (inject(sim, FAULT_zone, sim->zone_in[zone] ? 2 : 50)) {
        sim->zone_in[zone] = !sim->zone_in[zone];
        send_config(sim);
    }
    struct sim_searcher *at = any_searcher(sim);
    if (inject(sim, FAULT_leave, at->is_leaving ? 100 : 3)) {
        at->is_leaving = !at->is_leaving;
        send_config(sim);
    }
    at = any_searcher(sim);
    if (inject(sim, FAULT_remove, at->is_removed ? 300 : 3)) {
        at->is_removed = !at->is_removed;
        send_config(sim);
    }
    if (sim->slots[1] < 6 && inject(sim, FAULT_limits, 1)) {
        change_limits(sim);
    }
    if (inject(sim, FAULT_lease_lost, 2)) {
        sim->can_renew = false;
    }
    int instance = pick(sim, INSTANCES);
    if (sim->held[instance] && inject(sim, FAULT_move_away, 3)) {
        sim->held[instance] = false;
        send_state(sim, false, 0);
    }
    if (!sim->held[instance] && !sim->is_used[instance] &&
        inject(sim, FAULT_old_state, 20)) {
        sim->held[instance] = true;
        send_state(sim, false, 1);
        sim->held[instance] = false;
        send_state(sim, false, 1);
    }
    if (inject(sim, FAULT_old_config, 5)) {
        send_old_config(sim);
    }
    if (!sim->held[instance] && chance(sim, 20)) {
        give_contract(sim, instance, chance(sim, 5000));
    }
    if (inject(sim, FAULT_hello, 20)) {
        send_hello(sim);
    }
}

/* The machine stands still; on resuming it looks at the clock first. */
static void
pause_machine(struct sim *sim)
{
    sim->now_us += 200000 + pick(sim, 3000000);
    for (guint i = 0; i < sim->links->len; i++) {
        struct sim_link *link = g_ptr_array_index(sim->links, i);
        link->silent_us = MAX(link->silent_us, sim->now_us);
    }
}

/* Checks between steps */

static void
check_silent(struct sim *sim)
{
    guint i = 0;
    while (i < sim->links->len) {
        struct sim_link *link = g_ptr_array_index(sim->links, i);
        CHECK(link->link == NULL || !link->is_silent ||
              sim->now_us - link->silent_us <= SILENT_MAX_US);
        i += 1;
    }
}

/* Links are part of the contract; without a lease only requests that run may
 * keep theirs. */
static void
check_idle_links(const struct sim *sim)
{
    for (guint i = 0; i < sim->links->len; i++) {
        const struct sim_link *link = g_ptr_array_index(sim->links, i);
        bool is_idle = link->link != NULL && !link->is_closing &&
                       (link->request == NULL || link->request->is_probe);
        CHECK(!is_idle || sim->now_us < sim->lease_us + 2 * LNK_TICK_US);
    }
}

static void
check_late(struct sim *sim)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, sim->queries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        CHECK(sim->now_us <= ((struct sim_query *)value)->end_us + LATE_US);
    }
    g_hash_table_iter_init(&iter, sim->execs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        CHECK(sim->now_us <= ((struct sim_exec *)value)->end_us + LATE_US);
    }
}

/* Links and requests that nothing refers to any more are kept while events
 * may name them; this frees old ones so that a long run stays small. */
static void
forget_closed_links(struct sim *sim)
{
    if (g_sequence_get_length(sim->events) > 0) {
        return;
    }
    guint i = 0;
    while (i < sim->links->len) {
        const struct sim_link *link = g_ptr_array_index(sim->links, i);
        if (link->link == NULL) {
            g_ptr_array_remove_index_fast(sim->links, i);
        }
        else {
            i += 1;
        }
    }
}

static void
run_step(struct sim *sim)
{
    sim->now_us += 1 + pick(sim, 1000);
    if (inject(sim, FAULT_pause, 1)) {
        pause_machine(sim);
        rly_tick(sim->rly, sim->now_us);
    }
    run_events(sim);
    if (sim->step % 200 == 0) {
        check_idle_links(sim);
        renew_lease(sim);
        check_silent(sim);
        forget_closed_links(sim);
    }
    inject_searcher_faults(sim);
    inject_control_faults(sim);
    if (chance(sim, 2500)) {
        int service = pick(sim, SERVICES);
        uint64_t version = sim->version - (chance(sim, 500) ? 1 : 0);
        send_query(sim, service, version, 5000 + pick(sim, 200000));
    }
    if (chance(sim, 500)) {
        send_order(sim);
    }
    rly_tick(sim->rly, sim->now_us);
    check_late(sim);
}

static void
heal(struct sim *sim)
{
    sim->is_calm = true;
    sim->can_renew = true;
    for (int i = 0; i < ZONES; i++) {
        sim->zone_in[i] = true;
    }
    for (int i = 0; i < SEARCHERS; i++) {
        struct sim_searcher *at = &sim->searchers[i];
        at->is_up = true;
        at->is_silent = false;
        at->is_draining = false;
        at->is_leaving = false;
        at->is_removed = false;
        at->slow_until_us = 0;
        at->versions[0] = sim->version;
        at->version_count = 1;
    }
    renew_lease(sim);
    send_config(sim);
}

/* After the faults end, every query must be complete again. */
static void
check_recovery(struct sim *sim)
{
    heal(sim);
    int64_t until_us = sim->now_us + 10 * SEC;
    while (sim->now_us < until_us) {
        sim->step += 1;
        sim->now_us += 1000;
        run_events(sim);
        for (int i = 0; i < INSTANCES; i++) {
            give_contract(sim, i, true);
        }
        if (sim->step % 200 == 0) {
            renew_lease(sim);
        }
        rly_tick(sim->rly, sim->now_us);
    }
    uint64_t missing = sim->missing;
    uint64_t complete = sim->complete;
    for (int i = 0; i < 200; i++) {
        send_query(sim, i % SERVICES, sim->version, 250000);
        for (int k = 0; k < 250; k++) {
            sim->now_us += 1000;
            run_events(sim);
            rly_tick(sim->rly, sim->now_us);
        }
        renew_lease(sim);
    }
    CHECK(sim->missing == missing);
    CHECK(sim->complete == complete + 200);
}

static void
exec_free(gpointer data)
{
    struct sim_exec *exec = data;
    g_free(exec->id);
    g_free(exec);
}

static void
request_free(gpointer data)
{
    struct sim_request *request = data;
    g_free(request->id);
    g_free(request);
}

static void
sim_init(struct sim *sim)
{
    sim->rand = g_rand_new_with_seed(sim->seed);
    sim->now_us = 100 * SEC;
    sim->counters = cnt_set_new();
    sim->events = g_sequence_new(g_free);
    sim->links = g_ptr_array_new_with_free_func(g_free);
    sim->requests = g_ptr_array_new_with_free_func(request_free);
    sim->queries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    sim->execs = g_hash_table_new_full(NULL, NULL, NULL, exec_free);
    sim->orders =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    sim->version = 5;
    (void)snprintf(sim->last_id, sizeof(sim->last_id), "first");
    sim->can_renew = true;
    sim->slots[0] = 2;
    sim->slots[1] = 4;
    sim->connections[0] = 6;
    sim->connections[1] = 12;
    for (int i = 0; i < ZONES; i++) {
        sim->zone_in[i] = true;
    }
    for (int i = 0; i < SEARCHERS; i++) {
        struct sim_searcher *at = &sim->searchers[i];
        (void)snprintf(at->name, sizeof(at->name), "s%d", i);
        (void)snprintf(at->address, sizeof(at->address), "10.0.0.%d:80", i);
        at->instance = MIN(i / 2, INSTANCES - 1);
        at->zone = i % ZONES;
        at->is_up = true;
        at->start = (uint64_t)i + 1;
        at->versions[0] = sim->version;
        at->version_count = 1;
    }
    sim->offer = g_byte_array_new();
    sim->rly = rly_new("m0", RELAY_START, &sim_calls, sim, sim->counters);
    renew_lease(sim);
    send_config(sim);
    for (int i = 0; i < INSTANCES; i++) {
        give_contract(sim, i, true);
    }
    send_exec(sim, sim->last_id, 0, sim->version);
}

/* Hedges and retries stay within their share of the parts. */
static void
check_budgets(const struct sim *sim)
{
    uint64_t parts = *cnt_get(sim->counters, "parts_total", NULL);
    uint64_t retries = 0;
    static const int costly[] = {RC_LINK_LOST, RC_BAD_REPLY, RC_SHED};
    for (size_t i = 0; i < G_N_ELEMENTS(costly); i++) {
        retries +=
            *cnt_get(sim->counters, "retries_total", rc_name(costly[i]));
    }
    CHECK(retries * 10 <= parts);
    CHECK(*cnt_get(sim->counters, "hedges_total", NULL) * 1000 <= parts * 30);
}

static void
sim_report(const struct sim *sim)
{
    (void)printf("seed=%u steps=%" PRIu64 " decisions=%" PRIu64
                 " virtual_s=%" PRId64 " parts_done=%" PRIu64
                 " parts_missing=%" PRIu64 " orders_run=%" PRIu64
                 " warm_listed=%" PRIu64 "\nfaults:",
                 sim->seed, sim->steps, sim->decisions,
                 (int64_t)(sim->now_us / SEC - 100), sim->done, sim->missing,
                 sim->ran, sim->listed);
    char **names = g_strsplit(fault_names, " ", -1);
    for (int i = 0; i < FAULT_COUNT; i++) {
        (void)printf(" %s=%" PRIu64, names[i], sim->faults[i]);
    }
    g_strfreev(names);
    GString *text = g_string_new(NULL);
    cnt_render(sim->counters, text);
    (void)printf("\n%s", text->str);
    g_string_free(text, TRUE);
}

static void
sim_clear(struct sim *sim)
{
    rly_free(sim->rly);
    cnt_set_free(sim->counters);
    g_hash_table_destroy(sim->queries);
    g_hash_table_destroy(sim->execs);
    g_hash_table_destroy(sim->orders);
    g_sequence_free(sim->events);
    g_ptr_array_free(sim->links, TRUE);
    g_ptr_array_free(sim->requests, TRUE);
    g_byte_array_free(sim->offer, TRUE);
    g_rand_free(sim->rand);
}

int
main(int argc, char **argv)
{
    if (argc != 3) {
        (void)fprintf(stderr, "usage: soak_relay SEED STEPS\n");
        return 2;
    }
    struct sim sim = {
        .seed = (uint32_t)g_ascii_strtoull(argv[1], NULL, 10),
        .steps = g_ascii_strtoull(argv[2], NULL, 10),
    };
    repeat_bytes = (size_t)snprintf(repeat_line, sizeof(repeat_line),
                                    "repeat: soak_relay %u %" PRIu64 "\n",
                                    sim.seed, sim.steps);
    (void)signal(SIGABRT, on_abort);
    sim_init(&sim);
    for (sim.step = 0; sim.step < sim.steps; sim.step++) {
        run_step(&sim);
    }
    check_recovery(&sim);
    check_budgets(&sim);
    sim_report(&sim);
    sim_clear(&sim);
    return 0;
}
