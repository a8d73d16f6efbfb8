#include "gateway/member_rank.h"

/* What this VM derives from the members: how many share the limits, who knows
 * newer state, and which VMs callers can use. */

/* All VMs that are not strong together get 1/5 of the shared limits. */
#define MEMBER_WEAK_SHARE_DIVISOR 5

static bool
member_is_sender(const struct member_vm *vm, int64_t now_us)
{
    return vm->is_listed ||
           (vm->last_heartbeat_us > 0 &&
            now_us - vm->last_heartbeat_us < MEMBER_FORGET_US);
}

uint32_t
member_sender_count(struct members *members, int64_t now_us)
{
    member_update_ranking(members);
    uint32_t strong = 0;
    uint32_t all = 0;
    bool is_strong = false;
    for (guint i = 0; i < members->ranked->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        if (vm != members->self && !member_is_sender(vm, now_us)) {
            continue;
        }
        all += 1;
        strong += i < members->strong_count ? 1 : 0;
        is_strong =
            is_strong || (vm == members->self && i < members->strong_count);
    }
    if (!members->has_list) {
        return MAX(all, MEMBER_ASSUMED_COUNT);
    }
    if (strong == all) {
        return all;
    }
    return is_strong ? strong + (strong + MEMBER_WEAK_SHARE_DIVISOR - 2) /
                                    (MEMBER_WEAK_SHARE_DIVISOR - 1)
                     : (all - strong) * MEMBER_WEAK_SHARE_DIVISOR;
}

struct share_place
member_strong_place(struct members *members, int64_t now_us)
{
    member_update_ranking(members);
    struct share_place place = {.index = 0};
    bool is_found = false;
    for (guint i = 0; i < members->strong_count; i++) {
        const struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        bool is_self = vm == members->self;
        if (!is_self && !member_is_sender(vm, now_us)) {
            continue;
        }
        is_found = is_found || is_self;
        place.count += 1;
        place.index += is_found ? 0 : 1;
    }
    return is_found ? place : (struct share_place){.index = 0};
}

int64_t
member_return_delay_us(const struct members *members)
{
    guint count = g_hash_table_size(members->vms) + 1;
    int64_t spread_us = (int64_t)count * MEMBER_RETURN_APART_US;
    return g_str_hash(members->self->name) % spread_us;
}

const struct member_vm *
member_find_newer(const struct members *members, enum object_kind kind,
                  struct position own, int64_t min_newer_us,
                  int64_t return_delay_us, int64_t now_us)
{
    const struct member_vm *best = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, members->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct member_vm *vm = value;
        int64_t newer_since_us = vm->newer_since_us[kind];
        int64_t delay_us =
            vm->changes[kind].era > own.era ? return_delay_us : min_newer_us;
        bool is_due = now_us - newer_since_us >= delay_us;
        if (!member_is_live(members, vm, now_us) || newer_since_us == 0 ||
            !is_due || !position_is_after(vm->changes[kind], own)) {
            continue;
        }
        bool is_same_dc = g_strcmp0(vm->dc, members->self->dc) == 0;
        bool is_best_same_dc =
            best != NULL && g_strcmp0(best->dc, members->self->dc) == 0;
        if (best == NULL || is_same_dc > is_best_same_dc ||
            (is_same_dc == is_best_same_dc &&
             position_is_after(vm->changes[kind], best->changes[kind]))) {
            best = vm;
        }
    }
    return best;
}

const struct member_vm *
member_find_newer_config(const struct members *members, struct position own,
                         int64_t now_us)
{
    const struct member_vm *best = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, members->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct member_vm *vm = value;
        int64_t known = best != NULL ? best->config_version
                                     : members->self->config_version;
        if (member_is_live(members, vm, now_us) &&
            vm->newer_since_us[OBJECT_CONFIG] == 0 &&
            vm->changes[OBJECT_CONFIG].era == own.era &&
            vm->config_version > known) {
            best = vm;
        }
    }
    return best;
}

static bool
member_holds_news(const struct member_vm *vm, enum object_kind kind,
                  int64_t now_us)
{
    const struct member_held_request *last = &vm->held_requests[kind];
    if (last->lost_us > 0) {
        return now_us - last->lost_us >= MEMBER_HELD_RETRY_US;
    }
    return last->sent_us == 0 || last->era != vm->changes[kind].era ||
           now_us - last->sent_us >= MEMBER_HELD_INTERVAL_US ||
           vm->hold_until_us[kind] - last->hold_until_us >=
               MEMBER_HELD_LATER_US;
}

struct member_vm *
member_find_holder(const struct members *members, enum object_kind kind,
                   int64_t era, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, members->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct member_vm *vm = value;
        if (now_us < vm->hold_until_us[kind] && vm->changes[kind].era == era &&
            vm->peer_address != NULL && member_is_live(members, vm, now_us) &&
            member_holds_news(vm, kind, now_us)) {
            return vm;
        }
    }
    return NULL;
}

void
member_on_held_lost(struct members *members, const char *name,
                    enum object_kind kind, int64_t now_us)
{
    struct member_vm *vm = g_hash_table_lookup(members->vms, name);
    if (vm != NULL) {
        vm->held_requests[kind].lost_us = now_us;
    }
}

void
member_on_held_request(struct member_vm *vm, enum object_kind kind,
                       int64_t now_us)
{
    vm->held_requests[kind] = (struct member_held_request){
        .sent_us = now_us,
        .era = vm->changes[kind].era,
        .hold_until_us = vm->hold_until_us[kind],
    };
}

int64_t
member_synced_us(struct members *members, enum object_kind kind,
                 const struct position *own)
{
    int64_t synced_us = 0;
    member_update_ranking(members);
    for (guint i = 0; i < members->ranked->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        if (vm == members->self) {
            break;
        }
        bool knows_no_more =
            own == NULL || (vm->changes[kind].era == own->era &&
                            !position_is_after(vm->changes[kind], *own));
        if (knows_no_more) {
            synced_us = MAX(synced_us, vm->synced_us[kind]);
        }
    }
    return synced_us;
}

static bool
member_is_usable(const struct members *members, const struct member_vm *vm,
                 int64_t now_us)
{
    if (member_is_live(members, vm, now_us)) {
        return vm->is_ready;
    }
    return vm->relayed_us > 0 &&
           now_us - vm->relayed_us < MEMBER_RELAYED_EXPIRY_US;
}

/* Appends those of the first `count` ranked VMs that callers can use. */
static void
member_add_addresses(const struct members *members, guint count, bool is_ready,
                     double random, int64_t now_us, GPtrArray *out)
{
    guint first = (guint)(random * count);
    for (guint i = 0; i < count && out->len < MEMBER_ADDRESSES_MAX; i++) {
        const struct member_vm *vm =
            g_ptr_array_index(members->ranked, (first + i) % count);
        bool is_usable = vm == members->self
                             ? is_ready
                             : member_is_usable(members, vm, now_us);
        if (is_usable) {
            g_ptr_array_add(out, vm->request_address);
        }
    }
}

void
member_addresses(struct members *members, bool is_ready, double random,
                 int64_t now_us, GPtrArray *out)
{
    member_update_ranking(members);
    member_add_addresses(members, members->strong_count, is_ready, random,
                         now_us, out);
    if (out->len >= MIN(MEMBER_STRONG_MIN, members->strong_count)) {
        return;
    }
    g_ptr_array_set_size(out, 0);
    member_add_addresses(members, members->ranked->len, is_ready, random,
                         now_us, out);
}

void
member_usable_vms(struct members *members, bool is_ready, int64_t now_us,
                  GPtrArray *out)
{
    member_update_ranking(members);
    for (guint i = 0; i < members->ranked->len; i++) {
        struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        bool is_usable = vm == members->self
                             ? is_ready
                             : member_is_usable(members, vm, now_us);
        if (is_usable) {
            g_ptr_array_add(out, vm);
        }
    }
}
