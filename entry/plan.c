#include <stdlib.h>
#include <string.h>

#include "common/invariant.h"
#include "entry/plan.h"

struct pln_offered {
    char *service;
    char *instance;
    uint64_t epoch;
    struct msg_version *versions;
    size_t version_count;
};

struct pln_relay {
    uint32_t number;
    char *machine;
    uint64_t start; /* 0 before the first offer */
    uint64_t seq;
    int64_t heard_us;
    int64_t sent_us;
    int64_t hello_us; /* last HELLO */
    int64_t ask_us;   /* next HELLO for an offer known to be newer */
    bool is_greeted;  /* HELLO was sent */
    bool is_live;
    GPtrArray *offered; /* of struct pln_offered */
};

/* The winner among the offers of one instance. */
struct pln_winner {
    const struct pln_offered *offered;
    uint32_t relay;
};

struct pln {
    struct cnt_set *counters;
    GPtrArray *relays;    /* of struct pln_relay, by number */
    GHashTable *services; /* name -> GPtrArray of struct pln_layout */
    uint32_t last_number;
    uint64_t generation;
    bool is_stale; /* `services` is older than the offers */
};

static void
pln_offered_free(gpointer data)
{
    struct pln_offered *offered = data;
    g_free(offered->service);
    g_free(offered->instance);
    g_free(offered->versions);
    g_free(offered);
}

static void
pln_relay_free(gpointer data)
{
    struct pln_relay *relay = data;
    g_free(relay->machine);
    g_ptr_array_free(relay->offered, TRUE);
    g_free(relay);
}

static void
pln_layout_free(gpointer data)
{
    struct pln_layout *layout = data;
    for (uint64_t i = 0; i < layout->shards; i++) {
        if (layout->by_shard[i] != NULL) {
            g_array_free(layout->by_shard[i], TRUE);
        }
    }
    g_free(layout->by_shard);
    g_free(layout);
}

static void
pln_layouts_free(gpointer data)
{
    g_ptr_array_free(data, TRUE);
}

struct pln *
pln_new(struct cnt_set *counters)
{
    struct pln *plan = g_new0(struct pln, 1);
    plan->counters = counters;
    plan->relays = g_ptr_array_new_with_free_func(pln_relay_free);
    plan->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           pln_layouts_free);
    return plan;
}

void
pln_free(struct pln *plan)
{
    if (plan == NULL) {
        return;
    }
    g_hash_table_destroy(plan->services);
    g_ptr_array_free(plan->relays, TRUE);
    g_free(plan);
}

static void
pln_touch(struct pln *plan)
{
    plan->generation += 1;
    plan->is_stale = true;
}

static gint
pln_compare_number(gconstpointer key, gconstpointer item)
{
    uint32_t number = *(const uint32_t *)key;
    const struct pln_relay *relay = *(struct pln_relay *const *)item;
    return (number > relay->number) - (number < relay->number);
}

/* The numbers grow along the array. Called for each message. */
static struct pln_relay *
pln_relay_find(const struct pln *plan, uint32_t number)
{
    if (plan->relays->len == 0) {
        return NULL;
    }
    struct pln_relay **found =
        bsearch(&number, plan->relays->pdata, plan->relays->len,
                sizeof(gpointer), pln_compare_number);
    return found != NULL ? *found : NULL;
}

uint32_t
pln_relay_open(struct pln *plan, const char *machine, int64_t now_us)
{
    struct pln_relay *relay = g_new0(struct pln_relay, 1);
    relay->number = ++plan->last_number;
    relay->machine = g_strdup(machine);
    relay->heard_us = now_us;
    relay->ask_us = INT64_MAX;
    relay->offered = g_ptr_array_new_with_free_func(pln_offered_free);
    g_ptr_array_add(plan->relays, relay);
    return relay->number;
}

void
pln_relay_close(struct pln *plan, uint32_t number)
{
    struct pln_relay *relay = pln_relay_find(plan, number);
    if (relay != NULL) {
        g_ptr_array_remove(plan->relays, relay);
        pln_touch(plan);
    }
}

void
pln_heard(struct pln *plan, uint32_t number, int64_t now_us)
{
    struct pln_relay *relay = pln_relay_find(plan, number);
    if (relay != NULL) {
        relay->heard_us = now_us;
    }
}

void
pln_sent(struct pln *plan, uint32_t number, int64_t now_us)
{
    struct pln_relay *relay = pln_relay_find(plan, number);
    if (relay != NULL) {
        relay->sent_us = now_us;
    }
}

void
pln_note_offer(struct pln *plan, uint32_t number, uint64_t start, uint64_t seq)
{
    struct pln_relay *relay = pln_relay_find(plan, number);
    if (relay == NULL) {
        return;
    }
    bool is_known = relay->is_live && relay->start == start;
    if (is_known && seq == relay->seq) {
        relay->ask_us = INT64_MAX;
    }
    else if (!is_known || seq > relay->seq) {
        cnt_add(plan->counters, "offer_missed_total", NULL);
        /* At once, but not before the answer to the last question may have
         * come. */
        if (relay->ask_us == INT64_MAX) {
            relay->ask_us = 0;
        }
    }
}

bool
pln_hello_is_due(const struct pln *plan, uint32_t number, int64_t now_us,
                 uint64_t *start, uint64_t *seq)
{
    const struct pln_relay *relay = pln_relay_find(plan, number);
    if (relay == NULL) {
        return false;
    }
    *start = relay->is_live ? relay->start : 0;
    *seq = relay->is_live ? relay->seq : 0;
    if (!relay->is_greeted || now_us >= relay->ask_us) {
        return true;
    }
    /* Both ways: what the relay sends may answer what it got long ago. */
    bool is_in_touch = relay->is_live &&
                       now_us - relay->heard_us < PLN_HELLO_IVL_US &&
                       now_us - relay->sent_us < PLN_HELLO_IVL_US;
    return !is_in_touch && now_us - relay->hello_us >= PLN_HELLO_IVL_US;
}

void
pln_hello_sent(struct pln *plan, uint32_t number, int64_t now_us)
{
    struct pln_relay *relay = pln_relay_find(plan, number);
    if (relay == NULL) {
        return;
    }
    relay->is_greeted = true;
    relay->hello_us = now_us;
    relay->sent_us = now_us;
    if (relay->ask_us != INT64_MAX) {
        relay->ask_us = now_us + PLN_ASK_IVL_US;
    }
}

bool
pln_is_gone(const struct pln *plan, uint32_t number, const char *address,
            const char *listed, int64_t now_us)
{
    if (listed != NULL) {
        return strcmp(listed, address) != 0;
    }
    const struct pln_relay *relay = pln_relay_find(plan, number);
    return relay == NULL || now_us - relay->heard_us >= PLN_SILENCE_US;
}

static bool
pln_offered_equal(const struct pln_offered *old,
                  const struct msg_offer_instance *now)
{
    return old->epoch == now->epoch &&
           old->version_count == now->version_count &&
           strcmp(old->service, now->service) == 0 &&
           strcmp(old->instance, now->instance) == 0 &&
           (now->version_count == 0 ||
            memcmp(old->versions, now->versions,
                   now->version_count * sizeof(*now->versions)) == 0);
}

static bool
pln_is_unchanged(const struct pln_relay *relay, const struct msg_offer *offer)
{
    if (relay->offered->len != offer->instance_count) {
        return false;
    }
    for (size_t i = 0; i < offer->instance_count; i++) {
        if (!pln_offered_equal(g_ptr_array_index(relay->offered, i),
                               &offer->instances[i])) {
            return false;
        }
    }
    return true;
}

static bool
pln_is_valid(const struct msg_version *version)
{
    return version->version != 0 && version->shards <= PLN_MAX_SHARDS &&
           version->shard < version->shards;
}

static void
pln_count_invalid(struct pln *plan, const struct msg_offer_instance *instance)
{
    for (size_t i = 0; i < instance->version_count; i++) {
        if (!pln_is_valid(&instance->versions[i])) {
            cnt_add(plan->counters, "offer_dropped_total", "bad_version");
        }
    }
}

static void
pln_replace(struct pln *plan, struct pln_relay *relay,
            const struct msg_offer *offer)
{
    g_ptr_array_set_size(relay->offered, 0);
    for (size_t i = 0; i < offer->instance_count; i++) {
        const struct msg_offer_instance *from = &offer->instances[i];
        pln_count_invalid(plan, from);
        struct pln_offered *offered = g_new0(struct pln_offered, 1);
        offered->service = g_strdup(from->service);
        offered->instance = g_strdup(from->instance);
        offered->epoch = from->epoch;
        offered->versions = g_memdup2(
            from->versions, from->version_count * sizeof(*from->versions));
        offered->version_count = from->version_count;
        g_ptr_array_add(relay->offered, offered);
    }
}

bool
pln_offer(struct pln *plan, uint32_t number, const struct msg_offer *offer,
          int64_t now_us)
{
    struct pln_relay *relay = pln_relay_find(plan, number);
    if (relay == NULL || strcmp(relay->machine, offer->machine) != 0) {
        cnt_add(plan->counters, "offer_dropped_total", "wrong_machine");
        return false;
    }
    bool is_restarted = relay->start != 0 && relay->start != offer->start;
    /* An equal seq is a repetition; after a silence it brings the offers
     * back. */
    if (relay->start == offer->start && offer->seq == relay->seq &&
        relay->is_live) {
        relay->ask_us = INT64_MAX;
        return false;
    }
    if (relay->start == offer->start && offer->seq < relay->seq) {
        cnt_add(plan->counters, "offer_dropped_total", "old_seq");
        return false;
    }
    bool is_changed = !relay->is_live || !pln_is_unchanged(relay, offer);
    relay->start = offer->start;
    relay->seq = offer->seq;
    relay->heard_us = now_us;
    relay->ask_us = INT64_MAX;
    relay->is_live = true;
    if (is_changed) {
        pln_replace(plan, relay, offer);
        pln_touch(plan);
    }
    return is_restarted;
}

void
pln_expire(struct pln *plan, int64_t now_us, GArray *lost)
{
    for (guint i = 0; i < plan->relays->len; i++) {
        struct pln_relay *relay = g_ptr_array_index(plan->relays, i);
        if (!relay->is_live || now_us - relay->heard_us < PLN_SILENCE_US) {
            continue;
        }
        relay->is_live = false;
        g_ptr_array_set_size(relay->offered, 0);
        g_array_append_val(lost, relay->number);
        cnt_add(plan->counters, "relay_lost_total", "silent");
        pln_touch(plan);
    }
}

uint64_t
pln_generation(const struct pln *plan)
{
    return plan->generation;
}

/* The layout for a version, created when new. */
static struct pln_layout *
pln_layout_get(GPtrArray *layouts, uint64_t version, uint64_t shards)
{
    const struct pln_layout *found = pln_layout_find(layouts, version, shards);
    if (found != NULL) {
        return (struct pln_layout *)found;
    }
    struct pln_layout *layout = g_new0(struct pln_layout, 1);
    layout->version = version;
    layout->shards = shards;
    layout->by_shard = g_new0(GArray *, shards);
    g_ptr_array_add(layouts, layout);
    return layout;
}

static void
pln_add_version(GPtrArray *layouts, const struct pln_winner *winner,
                const struct msg_version *version)
{
    if (!pln_is_valid(version)) {
        return;
    }
    struct pln_layout *layout =
        pln_layout_get(layouts, version->version, version->shards);
    GArray **holders = &layout->by_shard[version->shard];
    if (*holders == NULL) {
        *holders = g_array_new(FALSE, FALSE, sizeof(struct pln_holder));
        layout->covered += 1;
    }
    struct pln_holder holder = {
        .instance = winner->offered->instance,
        .relay = winner->relay,
    };
    g_array_append_val(*holders, holder);
}

/* The higher epoch wins; on a tie the relay that was known first. */
static GHashTable *
pln_elect(const struct pln *plan)
{
    GHashTable *winners =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (guint i = 0; i < plan->relays->len; i++) {
        const struct pln_relay *relay = g_ptr_array_index(plan->relays, i);
        for (guint j = 0; j < relay->offered->len; j++) {
            const struct pln_offered *offered =
                g_ptr_array_index(relay->offered, j);
            char *key =
                g_strconcat(offered->service, "\t", offered->instance, NULL);
            struct pln_winner *winner = g_hash_table_lookup(winners, key);
            if (winner == NULL) {
                winner = g_new0(struct pln_winner, 1);
                g_hash_table_insert(winners, g_strdup(key), winner);
            }
            if (winner->offered == NULL ||
                offered->epoch > winner->offered->epoch) {
                winner->offered = offered;
                winner->relay = relay->number;
            }
            g_free(key);
        }
    }
    return winners;
}

static void
pln_add_winner(struct pln *plan, const struct pln_winner *winner)
{
    const struct pln_offered *offered = winner->offered;
    GPtrArray *layouts = g_hash_table_lookup(plan->services, offered->service);
    if (layouts == NULL) {
        layouts = g_ptr_array_new_with_free_func(pln_layout_free);
        g_hash_table_insert(plan->services, g_strdup(offered->service),
                            layouts);
    }
    for (size_t i = 0; i < offered->version_count; i++) {
        pln_add_version(layouts, winner, &offered->versions[i]);
    }
}

/* Many offers arrive between two reads, so the map is rebuilt on reading. */
static void
pln_refresh(struct pln *plan)
{
    if (!plan->is_stale) {
        return;
    }
    g_hash_table_remove_all(plan->services);
    GHashTable *winners = pln_elect(plan);
    GHashTableIter iter;
    gpointer winner = NULL;
    g_hash_table_iter_init(&iter, winners);
    while (g_hash_table_iter_next(&iter, NULL, &winner)) {
        pln_add_winner(plan, winner);
    }
    g_hash_table_destroy(winners);
    plan->is_stale = false;
}

const GPtrArray *
pln_layouts(struct pln *plan, const char *service)
{
    pln_refresh(plan);
    const GPtrArray *layouts = g_hash_table_lookup(plan->services, service);
    return layouts != NULL && layouts->len > 0 ? layouts : NULL;
}

const struct pln_layout *
pln_layout_find(const GPtrArray *layouts, uint64_t version, uint64_t shards)
{
    for (guint i = 0; layouts != NULL && i < layouts->len; i++) {
        const struct pln_layout *layout = g_ptr_array_index(layouts, i);
        if (layout->version == version && layout->shards == shards) {
            return layout;
        }
    }
    return NULL;
}

const struct pln_holder *
pln_holder_pick(const struct pln_layout *layout, uint64_t shard, uint64_t turn)
{
    if (layout == NULL || shard >= layout->shards ||
        layout->by_shard[shard] == NULL) {
        return NULL;
    }
    const GArray *holders = layout->by_shard[shard];
    CH_INVARIANT(holders->len > 0);
    return &g_array_index(holders, struct pln_holder, turn % holders->len);
}

void
pln_relay_each(const struct pln *plan, pln_relay_cb visit, void *ctx)
{
    for (guint i = 0; i < plan->relays->len; i++) {
        const struct pln_relay *relay = g_ptr_array_index(plan->relays, i);
        visit(relay->number, relay->machine, relay->offered->len,
              relay->is_live, ctx);
    }
}
