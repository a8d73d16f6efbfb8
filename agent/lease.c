#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "agent/lease.h"
#include "common/invariant.h"
#include "common/rc.h"

/* Beats whose sent time is kept; older acknowledgements are worthless. */
#define LSE_SENT_COUNT 64
#define LSE_RECORD_KEEP_US (INT64_C(600) * 1000 * 1000)
#define LSE_REFUSED_US (INT64_C(600) * 1000)

struct lse_member_state {
    char *name;
    uint64_t acked_seq; /* of this machine's beats */
    /* What its acknowledgements say of the version that it adopted. */
    uint64_t start;
    uint64_t adopted_version;
    int64_t adopted_us;  /* since when this start has had it */
    int64_t answered_us; /* when the newest answered beat was sent */
};

/* A version that peers state while this machine has adopted none. */
struct lse_offer {
    uint64_t version;
    GPtrArray *members;           /* names */
    bool is_stated[LSE_CELL_MAX]; /* by the member */
};

/* One start of a machine: the key of the tables below. */
struct lse_id {
    char *machine;
    uint64_t start;
};

/* What this machine as a voter knows of one start of a machine. */
struct lse_record {
    struct lse_id id;    /* first, so that the record is its own key */
    int64_t heard_us;    /* any beat, -1 for never */
    int64_t accepted_us; /* acknowledged beat, -1 for never */
    /* Beat that only this voter's silence or vote kept from being accepted, -1
     * for none. */
    int64_t unanswered_us;
    int64_t voted_us; /* when it said "not heard", -1 if it has not */
};

/* One question to the cell. */
struct lse_round {
    struct lse_id id; /* of the holder in question; first, as above */
    uint64_t nonce;
    int64_t asked_us;
    int64_t decided_asked_us; /* -1, or when the decided round was asked */
    bool votes[LSE_CELL_MAX];
};

struct lse {
    char *machine;
    uint64_t start;
    int64_t started_us;
    struct lse_callbacks callbacks;
    struct cnt_set *counters;
    struct lse_announce announce;
    uint64_t cell_version;
    uint64_t cell_version_seen;
    struct lse_member_state members[LSE_CELL_MAX];
    size_t member_count;
    int64_t cell_us; /* when this machine adopted the version */
    struct lse_offer offer;
    GHashTable *former; /* names */
    uint64_t seq;
    uint64_t first_seq; /* of the current cell version */
    int64_t beat_us;
    int64_t sent_us[LSE_SENT_COUNT];
    int64_t until_us;
    uint64_t term;
    int64_t refused_us;
    GHashTable *records; /* set of struct lse_record */
    GHashTable *rounds;  /* set of struct lse_round */
    uint64_t nonce;
    int64_t pruned_us;
};

static guint
lse_id_hash(const void *key)
{
    const struct lse_id *id = key;
    return g_str_hash(id->machine) ^ (guint)id->start;
}

static gboolean
lse_id_equal(const void *a, const void *b)
{
    const struct lse_id *left = a;
    const struct lse_id *right = b;
    return left->start == right->start &&
           strcmp(left->machine, right->machine) == 0;
}

/* For records and rounds, which both begin with their id. */
static void
lse_id_free(void *data)
{
    struct lse_id *id = data;
    g_free(id->machine);
    g_free(data);
}

static void *
lse_id_find(GHashTable *table, const char *machine, uint64_t start)
{
    const struct lse_id id = {.machine = (char *)machine, .start = start};
    return g_hash_table_lookup(table, &id);
}

struct lse *
lse_new(const char *machine, uint64_t start, int64_t now_us,
        const struct lse_callbacks *callbacks, struct cnt_set *counters)
{
    struct lse *lease = g_new0(struct lse, 1);
    lease->machine = g_strdup(machine);
    lease->start = start;
    lease->started_us = now_us;
    lease->callbacks = *callbacks;
    lease->counters = counters;
    lease->announce.state = MSG_MACHINE_LIVE;
    lease->offer.members = g_ptr_array_new_with_free_func(g_free);
    lease->beat_us = now_us - LSE_BEAT_US;
    lease->refused_us = -1;
    lease->nonce = start;
    lease->pruned_us = now_us;
    lease->former =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    lease->records =
        g_hash_table_new_full(lse_id_hash, lse_id_equal, NULL, lse_id_free);
    lease->rounds =
        g_hash_table_new_full(lse_id_hash, lse_id_equal, NULL, lse_id_free);
    return lease;
}

static void
lse_members_clear(struct lse *lease)
{
    for (size_t i = 0; i < lease->member_count; i++) {
        g_free(lease->members[i].name);
    }
    lease->member_count = 0;
}

void
lse_free(struct lse *lease)
{
    if (lease == NULL) {
        return;
    }
    lse_members_clear(lease);
    g_ptr_array_free(lease->offer.members, TRUE);
    g_hash_table_destroy(lease->former);
    g_hash_table_destroy(lease->records);
    g_hash_table_destroy(lease->rounds);
    g_free(lease->machine);
    g_free(lease);
}

void
lse_announce(struct lse *lease, const struct lse_announce *announce)
{
    lease->announce = *announce;
}

static void
lse_refuse(struct lse *lease, const char *reason)
{
    cnt_add(lease->counters, "lease_refused_total", reason);
}

static struct lse_record *
lse_record_find(const struct lse *lease, const char *machine, uint64_t start)
{
    return lse_id_find(lease->records, machine, start);
}

static struct lse_record *
lse_record_get(struct lse *lease, const char *machine, uint64_t start)
{
    struct lse_record *record = lse_record_find(lease, machine, start);
    if (record == NULL) {
        record = g_new(struct lse_record, 1);
        *record = (struct lse_record){
            .id = {.machine = g_strdup(machine), .start = start},
            .heard_us = -1,
            .accepted_us = -1,
            .unanswered_us = -1,
            .voted_us = -1,
        };
        g_hash_table_insert(lease->records, record, record);
    }
    return record;
}

static struct lse_member_state *
lse_member_find(const struct lse *lease, const char *name)
{
    for (size_t i = 0; i < lease->member_count; i++) {
        if (strcmp(lease->members[i].name, name) == 0) {
            return (struct lse_member_state *)&lease->members[i];
        }
    }
    return NULL;
}

static size_t
lse_majority(const struct lse *lease)
{
    return lease->member_count / 2 + 1;
}

int
lse_set_cell(struct lse *lease, int64_t now_us, uint64_t version,
             const char *const *members, size_t member_count)
{
    if (version <= lease->cell_version) {
        return RC_STALE;
    }
    if (member_count == 0 || member_count > LSE_CELL_MAX) {
        return RC_INVALID;
    }
    for (size_t i = 0; i < lease->member_count; i++) {
        g_hash_table_add(lease->former, g_strdup(lease->members[i].name));
    }
    lse_members_clear(lease);
    for (size_t i = 0; i < member_count; i++) {
        lease->members[i] =
            (struct lse_member_state){.name = g_strdup(members[i])};
    }
    lease->member_count = member_count;
    lease->cell_version = version;
    lease->cell_version_seen = MAX(lease->cell_version_seen, version);
    lease->cell_us = now_us;
    /* Acknowledgements and votes count only within one version. */
    lease->first_seq = lease->seq + 1;
    lease->beat_us = now_us - LSE_BEAT_US;
    g_hash_table_remove_all(lease->rounds);
    return RC_OK;
}

bool
lse_should_pull_cell(const struct lse *lease, uint64_t version)
{
    return version > lease->cell_version;
}

/* Notes the statement; true when it completes a majority without this one. */
static bool
lse_offer_take(struct lse *lease, const struct msg_cell *message)
{
    struct lse_offer *offer = &lease->offer;
    if (message->version > offer->version) {
        offer->version = message->version;
        g_ptr_array_set_size(offer->members, 0);
        for (size_t i = 0; i < message->member_count; i++) {
            g_ptr_array_add(offer->members,
                            g_strdup(message->members[i].machine));
        }
        memset(offer->is_stated, 0, sizeof(offer->is_stated));
    }
    if (message->version < offer->version) {
        return false;
    }
    size_t stated = 0;
    for (guint i = 0; i < offer->members->len; i++) {
        const char *name = g_ptr_array_index(offer->members, i);
        offer->is_stated[i] |= strcmp(name, message->machine) == 0 &&
                               strcmp(name, lease->machine) != 0;
        stated += offer->is_stated[i];
    }
    return stated >= offer->members->len / 2 + 1;
}

int
lse_on_cell(struct lse *lease, int64_t now_us, const struct msg_cell *message)
{
    if (message->version <= lease->cell_version) {
        return RC_STALE;
    }
    if (message->member_count == 0 || message->member_count > LSE_CELL_MAX) {
        return RC_INVALID;
    }
    if (lease->cell_version == 0 && !lse_offer_take(lease, message)) {
        return RC_AGAIN;
    }
    const char *members[LSE_CELL_MAX];
    for (size_t i = 0; i < message->member_count; i++) {
        members[i] = message->members[i].machine;
    }
    return lse_set_cell(lease, now_us, message->version, members,
                        message->member_count);
}

static void
lse_note_adoption(struct lse *lease, struct lse_member_state *member,
                  int64_t now_us, const struct msg_beat_ack *ack)
{
    if (ack->seq > lease->seq || ack->seq + LSE_SENT_COUNT <= lease->seq ||
        ack->seq == 0) {
        return;
    }
    int64_t sent_us = lease->sent_us[ack->seq % LSE_SENT_COUNT];
    if (sent_us < member->answered_us) {
        return; /* overtaken by a newer acknowledgement */
    }
    if (member->start != ack->start ||
        member->adopted_version != ack->cell_version) {
        member->start = ack->start;
        member->adopted_version = ack->cell_version;
        member->adopted_us = now_us;
    }
    member->answered_us = sent_us;
}

static void
lse_extend(struct lse *lease, int64_t now_us, int64_t until_us)
{
    if (until_us <= lease->until_us || until_us <= now_us) {
        return;
    }
    if (now_us >= lease->until_us) {
        lease->term += 1;
    }
    /* A lease only moves forward and never reaches past a full BOUND. */
    CH_INVARIANT(until_us <= now_us + LSE_BOUND_US);
    lease->until_us = until_us;
}

static int
lse_compare_seq(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left < right ? 1 : (left > right ? -1 : 0);
}

/* Newest beat of the current cell version that a majority acknowledged. */
static uint64_t
lse_majority_seq(const struct lse *lease)
{
    uint64_t seqs[LSE_CELL_MAX] = {0};
    bool is_member = false;
    for (size_t i = 0; i < lease->member_count; i++) {
        bool is_self = strcmp(lease->members[i].name, lease->machine) == 0;
        is_member = is_member || is_self;
        seqs[i] = is_self ? lease->seq : lease->members[i].acked_seq;
    }
    if (!is_member) {
        return 0;
    }
    qsort(seqs, lease->member_count, sizeof(seqs[0]), lse_compare_seq);
    return seqs[lse_majority(lease) - 1];
}

static bool
lse_renew(struct lse *lease, int64_t now_us)
{
    uint64_t seq = lse_majority_seq(lease);
    if (seq < lease->first_seq || seq + LSE_SENT_COUNT <= lease->seq) {
        return false;
    }
    int64_t before = lease->until_us;
    lse_extend(lease, now_us,
               lease->sent_us[seq % LSE_SENT_COUNT] + LSE_BOUND_US);
    return lease->until_us > before;
}

static void
lse_prune(struct lse *lease, int64_t now_us)
{
    lease->pruned_us = now_us;
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(&iter, lease->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lse_record *record = value;
        if (record->heard_us + LSE_RECORD_KEEP_US < now_us &&
            record->voted_us + LSE_RECORD_KEEP_US < now_us) {
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_iter_init(&iter, lease->rounds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lse_round *round = value;
        if (round->asked_us + LSE_RECORD_KEEP_US < now_us) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
lse_send_all(struct lse *lease, enum msg_type type, const void *body)
{
    for (size_t i = 0; i < lease->member_count; i++) {
        if (strcmp(lease->members[i].name, lease->machine) != 0) {
            lease->callbacks.send(lease->callbacks.ctx, lease->members[i].name,
                                  type, body);
        }
    }
}

void
lse_tick(struct lse *lease, int64_t now_us)
{
    if (now_us - lease->pruned_us > LSE_RECORD_KEEP_US / 10) {
        lse_prune(lease, now_us);
    }
    if (lease->cell_version == 0 || now_us - lease->beat_us < LSE_BEAT_US) {
        return;
    }
    /* Keeps the cadence although the caller's timer is coarser. */
    lease->beat_us =
        MAX(lease->beat_us + LSE_BEAT_US, now_us - LSE_BEAT_US / 2);
    lease->seq += 1;
    lease->sent_us[lease->seq % LSE_SENT_COUNT] = now_us;
    const struct msg_beat beat = {
        .machine = lease->machine,
        .start = lease->start,
        .seq = lease->seq,
        .cell_version = lease->cell_version,
        .revision = lease->announce.revision,
        .digest = lease->announce.digest,
        .state = lease->announce.state,
    };
    lse_send_all(lease, MSG_BEAT, &beat);
    /* A cell of one needs no acknowledgement, only the restart silence. */
    if (now_us - lease->started_us >= LSE_LEASE_US) {
        (void)lse_renew(lease, now_us);
    }
}

/* A voter speaks only one LEASE after its start and with a known cell. */
static bool
lse_is_silent(struct lse *lease, int64_t now_us)
{
    if (now_us - lease->started_us < LSE_LEASE_US) {
        lse_refuse(lease, "restarted");
        return true;
    }
    if (lease->cell_version == 0) {
        lse_refuse(lease, "no_cell");
        return true;
    }
    return false;
}

/*
 * True while the vote against this start still binds the voter. The vote may
 * count until LSE_ROUND_US after the question. When a majority has voted, the
 * holder's lease has lapsed, and a lease that it gains later is of a new term.
 */
static bool
lse_is_bound(const struct lse_record *record, int64_t now_us)
{
    return record->voted_us >= 0 && now_us - record->voted_us < LSE_LEASE_US;
}

static bool
lse_accepts(struct lse *lease, int64_t now_us, const struct msg_beat *beat,
            struct lse_record *record)
{
    if (lse_member_find(lease, beat->machine) == NULL) {
        lse_refuse(lease, "not_member");
        return false;
    }
    if (beat->cell_version < lease->cell_version_seen) {
        lse_refuse(lease, "cell_version");
        return false;
    }
    if (lse_is_bound(record, now_us)) {
        /* It is alive: without this each round that a machine cut off from it
         * asks would bind this voter again. */
        record->unanswered_us = now_us;
        lse_refuse(lease, "voted");
        return false;
    }
    return true;
}

bool
lse_on_beat(struct lse *lease, int64_t now_us, const struct msg_beat *beat,
            struct msg_beat_ack *ack)
{
    struct lse_record *record =
        lse_record_get(lease, beat->machine, beat->start);
    record->heard_us = now_us;
    lease->cell_version_seen =
        MAX(lease->cell_version_seen, beat->cell_version);
    if (lse_is_silent(lease, now_us)) {
        record->unanswered_us = now_us;
        return false;
    }
    bool accepted = lse_accepts(lease, now_us, beat, record);
    if (accepted) {
        record->accepted_us = now_us;
    }
    *ack = (struct msg_beat_ack){
        .machine = lease->machine,
        .start = lease->start,
        .seq = beat->seq,
        .cell_version = lease->cell_version,
        .revision = lease->announce.revision,
        .accepted = accepted,
    };
    return true;
}

bool
lse_on_ack(struct lse *lease, int64_t now_us, const struct msg_beat_ack *ack)
{
    lease->cell_version_seen =
        MAX(lease->cell_version_seen, ack->cell_version);
    struct lse_member_state *member = lse_member_find(lease, ack->machine);
    if (member == NULL) {
        return false;
    }
    lse_note_adoption(lease, member, now_us, ack);
    if (ack->accepted != 1) {
        if (ack->cell_version == lease->cell_version) {
            lease->refused_us = now_us;
        }
        return false;
    }
    if (ack->seq > lease->seq || ack->seq < lease->first_seq ||
        ack->seq <= member->acked_seq) {
        lse_refuse(lease, "ack_not_current");
        return false;
    }
    member->acked_seq = ack->seq;
    return lse_renew(lease, now_us);
}

bool
lse_on_ask(struct lse *lease, int64_t now_us, const struct msg_ask *ask,
           struct msg_vote *vote)
{
    lease->cell_version_seen =
        MAX(lease->cell_version_seen, ask->cell_version);
    if (lse_is_silent(lease, now_us)) {
        return false;
    }
    if (ask->cell_version < lease->cell_version_seen ||
        lse_member_find(lease, ask->asker) == NULL) {
        lse_refuse(lease, "ask_not_current");
        return false;
    }
    bool not_heard = false;
    bool is_self = strcmp(ask->holder, lease->machine) == 0 &&
                   ask->holder_start == lease->start;
    if (!is_self) {
        struct lse_record *record =
            lse_record_get(lease, ask->holder, ask->holder_start);
        /* A voter that ended its silence just now has accepted no beat yet,
         * but a machine that it heard meanwhile is alive. */
        int64_t heard_us = MAX(record->accepted_us, record->unanswered_us);
        not_heard = heard_us < 0 || now_us - heard_us >= LSE_LEASE_US;
        if (not_heard) {
            record->voted_us = now_us;
        }
    }
    *vote = (struct msg_vote){
        .voter = lease->machine,
        .voter_start = lease->start,
        .holder = ask->holder,
        .holder_start = ask->holder_start,
        .cell_version = lease->cell_version,
        .nonce = ask->nonce,
        .not_heard = not_heard,
    };
    return true;
}

static void
lse_round_start(struct lse *lease, int64_t now_us, struct lse_round *round)
{
    lease->nonce += 1;
    round->nonce = lease->nonce;
    round->asked_us = now_us;
    memset(round->votes, 0, sizeof(round->votes));
    const struct msg_ask ask = {
        .asker = lease->machine,
        .holder = round->id.machine,
        .holder_start = round->id.start,
        .cell_version = lease->cell_version,
        .nonce = round->nonce,
    };
    cnt_add(lease->counters, "lease_asks_total", NULL);
    lse_send_all(lease, MSG_ASK, &ask);
    struct msg_vote vote;
    if (lse_on_ask(lease, now_us, &ask, &vote)) {
        lse_on_vote(lease, now_us, &vote);
    }
}

void
lse_ask(struct lse *lease, int64_t now_us, const char *holder, uint64_t start)
{
    if (lease->cell_version == 0) {
        return;
    }
    struct lse_round *round = lse_id_find(lease->rounds, holder, start);
    if (round == NULL) {
        round = g_new0(struct lse_round, 1);
        round->id =
            (struct lse_id){.machine = g_strdup(holder), .start = start};
        round->asked_us = now_us - LSE_ROUND_US;
        round->decided_asked_us = -1;
        g_hash_table_insert(lease->rounds, round, round);
    }
    if (now_us - round->asked_us >= LSE_ROUND_US) {
        lse_round_start(lease, now_us, round);
    }
}

void
lse_on_vote(struct lse *lease, int64_t now_us, const struct msg_vote *vote)
{
    struct lse_round *round =
        lse_id_find(lease->rounds, vote->holder, vote->holder_start);
    const struct lse_member_state *member =
        lse_member_find(lease, vote->voter);
    if (round == NULL || member == NULL || round->nonce != vote->nonce ||
        now_us - round->asked_us >= LSE_ROUND_US) {
        lse_refuse(lease, "vote_not_current");
        return;
    }
    round->votes[member - lease->members] = vote->not_heard == 1;
    size_t count = 0;
    for (size_t i = 0; i < lease->member_count; i++) {
        count += round->votes[i];
    }
    if (count >= lse_majority(lease)) {
        round->decided_asked_us = round->asked_us;
    }
}

int64_t
lse_voted_out_us(const struct lse *lease, const char *holder, uint64_t start)
{
    const struct lse_round *round = lse_id_find(lease->rounds, holder, start);
    return round != NULL ? round->decided_asked_us : -1;
}

int64_t
lse_until_us(const struct lse *lease)
{
    return lease->until_us;
}

bool
lse_is_valid(const struct lse *lease, int64_t now_us)
{
    return now_us < lease->until_us;
}

uint64_t
lse_term(const struct lse *lease)
{
    return lease->term;
}

bool
lse_is_refused(const struct lse *lease, int64_t now_us)
{
    return lease->refused_us >= 0 &&
           now_us - lease->refused_us < LSE_REFUSED_US &&
           lse_member_find(lease, lease->machine) != NULL;
}

int64_t
lse_heard_us(const struct lse *lease, const char *machine, uint64_t start)
{
    const struct lse_record *record = lse_record_find(lease, machine, start);
    return record != NULL ? record->heard_us : -1;
}

int64_t
lse_accepted_us(const struct lse *lease, const char *machine, uint64_t start)
{
    const struct lse_record *record = lse_record_find(lease, machine, start);
    return record != NULL ? record->accepted_us : -1;
}

bool
lse_is_member(const struct lse *lease, const char *machine)
{
    return lse_member_find(lease, machine) != NULL;
}

bool
lse_is_known(const struct lse *lease, const char *machine)
{
    return lse_is_member(lease, machine) ||
           g_hash_table_contains(lease->former, machine);
}

uint64_t
lse_cell_version(const struct lse *lease)
{
    return lease->cell_version;
}

uint64_t
lse_cell_version_seen(const struct lse *lease)
{
    return lease->cell_version_seen;
}

size_t
lse_member_count(const struct lse *lease)
{
    return lease->member_count;
}

const char *
lse_member(const struct lse *lease, size_t i)
{
    return lease->members[i].name;
}

bool
lse_cell_may_change(const struct lse *lease, int64_t now_us)
{
    if (lease->cell_version == 0) {
        return false;
    }
    size_t adopted = 0;
    for (size_t i = 0; i < lease->member_count; i++) {
        const struct lse_member_state *member = &lease->members[i];
        if (strcmp(member->name, lease->machine) == 0) {
            adopted += now_us - lease->cell_us >= LSE_LEASE_US;
            continue;
        }
        adopted += member->adopted_version == lease->cell_version &&
                   now_us - member->adopted_us >= LSE_LEASE_US &&
                   now_us - member->answered_us <= LSE_ADOPTED_US;
    }
    return adopted >= lse_majority(lease);
}
