#include <string.h>

#include "common/log.h"
#include "gateway/member.h"

/* All VMs that are not strong together get 1/5 of the shared limits. */
#define MEMBER_WEAK_SHARE_DIVISOR 5

static void
member_vm_free(gpointer data)
{
    struct member_vm *vm = data;
    g_free(vm->name);
    g_free(vm->dc);
    g_free(vm->request_address);
    g_free(vm->peer_address);
    g_free(vm);
}

static void
member_invalidate_ranking(struct members *members)
{
    if (members->ranked != NULL) {
        g_ptr_array_free(members->ranked, TRUE);
        members->ranked = NULL;
    }
}

void
member_init(struct members *members, const char *self, uint32_t capacity)
{
    *members = (struct members){
        .self = g_new0(struct member_vm, 1),
        .vms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                     member_vm_free),
    };
    members->self->name = g_strdup(self);
    members->self->capacity = capacity;
}

void
member_clear(struct members *members)
{
    member_invalidate_ranking(members);
    g_hash_table_destroy(members->vms);
    member_vm_free(members->self);
}

static bool
member_is_self(const struct members *members, const char *name)
{
    return strcmp(name, members->self->name) == 0;
}

/* Returns NULL if the VM is unknown and MEMBER_VMS_MAX are known. */
static struct member_vm *
member_find_or_add(struct members *members, const char *name)
{
    struct member_vm *vm = g_hash_table_lookup(members->vms, name);
    if (vm == NULL && g_hash_table_size(members->vms) >= MEMBER_VMS_MAX) {
        log_sample("member", "too many VMs, not added vm=%s", name);
        return NULL;
    }
    if (vm == NULL) {
        vm = g_new0(struct member_vm, 1);
        vm->name = g_strdup(name);
        g_hash_table_insert(members->vms, vm->name, vm);
        member_invalidate_ranking(members);
    }
    return vm;
}

static void
member_set_capacity(struct members *members, struct member_vm *vm,
                    uint32_t capacity)
{
    if (vm->capacity != capacity) {
        vm->capacity = capacity;
        member_invalidate_ranking(members);
    }
}

static void
member_set_string(char **field, const char *value)
{
    if (g_strcmp0(*field, value) != 0) {
        g_free(*field);
        *field = g_strdup(value);
    }
}

/* Ranks by capacity, highest first. VMs of the same capacity rank by the hash
 * of their names, which spreads the hubs over them. */
static gint
member_compare(gconstpointer a, gconstpointer b)
{
    const struct member_vm *left = *(const struct member_vm *const *)a;
    const struct member_vm *right = *(const struct member_vm *const *)b;
    if (left->capacity != right->capacity) {
        return left->capacity > right->capacity ? -1 : 1;
    }
    guint left_hash = g_str_hash(left->name);
    guint right_hash = g_str_hash(right->name);
    if (left_hash != right_hash) {
        return left_hash < right_hash ? -1 : 1;
    }
    return strcmp(left->name, right->name);
}

static void
member_update_ranking(struct members *members)
{
    if (members->ranked != NULL) {
        return;
    }
    members->ranked = g_ptr_array_new();
    g_ptr_array_add(members->ranked, members->self);
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, members->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(members->ranked, value);
    }
    g_ptr_array_sort(members->ranked, member_compare);
    const struct member_vm *strongest = g_ptr_array_index(members->ranked, 0);
    members->strong_count = 0;
    for (guint i = 0; i < members->ranked->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        members->strong_count +=
            vm->capacity * 2 >= strongest->capacity ? 1 : 0;
    }
}

void
member_list_start(struct members *members)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, members->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct member_vm *)value)->is_listed = false;
    }
}

void
member_list_add(struct members *members, const char *name,
                const char *peer_address, const char *dc, uint32_t capacity,
                int64_t revision)
{
    if (member_is_self(members, name)) {
        return;
    }
    struct member_vm *vm = member_find_or_add(members, name);
    if (vm == NULL) {
        return;
    }
    vm->is_listed = true;
    if (vm->revision != revision) {
        vm->revision = revision;
        vm->renewed_us = 0;
    }
    if (vm->last_heartbeat_us == 0) {
        member_set_string(&vm->peer_address, peer_address);
        member_set_string(&vm->dc, dc);
        member_set_capacity(members, vm, capacity);
    }
}

void
member_list_end(struct members *members, int64_t now_us)
{
    bool is_gap = now_us - members->listed_us >= MEMBER_LIST_GAP_US;
    members->has_list = true;
    members->listed_us = now_us;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, members->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct member_vm *vm = value;
        if (vm->renewed_us == 0 || is_gap) {
            vm->renewed_us = now_us;
        }
        if (!vm->is_listed &&
            now_us - vm->last_heartbeat_us >= MEMBER_FORGET_US) {
            member_invalidate_ranking(members);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
member_update_changes(struct member_vm *vm,
                      const struct member_heartbeat *heartbeat,
                      const int64_t *own, int64_t now_us)
{
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        vm->changes[i] = heartbeat->changes[i];
        vm->synced_us[i] = MAX(now_us - MIN(heartbeat->ages_us[i], now_us), 0);
        if (heartbeat->changes[i] <= own[i]) {
            vm->newer_since_us[i] = 0;
        }
        else if (vm->newer_since_us[i] == 0) {
            vm->newer_since_us[i] = now_us;
        }
    }
}

void
member_on_heartbeat(struct members *members,
                    const struct member_heartbeat *heartbeat,
                    const int64_t *own, int64_t now_us)
{
    if (member_is_self(members, heartbeat->name)) {
        return;
    }
    struct member_vm *vm = member_find_or_add(members, heartbeat->name);
    if (vm == NULL) {
        return;
    }
    if (!member_is_live(members, vm, now_us) ||
        vm->start != heartbeat->start) {
        log_info("member",
                 "VM is alive vm=%s dc=%s start=%016" G_GINT64_MODIFIER
                 "x ready=%d capacity=%u",
                 heartbeat->name, heartbeat->dc, heartbeat->start,
                 heartbeat->is_ready, heartbeat->capacity);
    }
    vm->start = heartbeat->start;
    vm->is_ready = heartbeat->is_ready;
    vm->last_heartbeat_us = now_us;
    vm->unanswered_since_us = 0;
    member_set_capacity(members, vm, heartbeat->capacity);
    member_set_string(&vm->dc, heartbeat->dc);
    member_set_string(&vm->request_address, heartbeat->request_address);
    member_set_string(&vm->peer_address, heartbeat->peer_address);
    member_update_changes(vm, heartbeat, own, now_us);
}

bool
member_is_first_live(struct members *members, int64_t now_us)
{
    member_update_ranking(members);
    for (guint i = 0; i < members->ranked->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        if (vm == members->self) {
            return true;
        }
        if (member_is_live(members, vm, now_us)) {
            return false;
        }
    }
    return true;
}

const struct member_vm *
member_find_expired(struct members *members, int64_t now_us)
{
    if (!member_is_first_live(members, now_us)) {
        return NULL;
    }
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, members->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct member_vm *vm = value;
        if (vm->is_listed && !member_is_live(members, vm, now_us) &&
            now_us - vm->renewed_us >= MEMBER_EXPIRY_US) {
            return vm;
        }
    }
    return NULL;
}

void
member_on_relayed(struct members *members, const char *name,
                  const char *request_address, int64_t now_us)
{
    if (member_is_self(members, name)) {
        return;
    }
    struct member_vm *vm = member_find_or_add(members, name);
    if (vm == NULL) {
        return;
    }
    vm->relayed_us = now_us;
    member_set_string(&vm->request_address, request_address);
}

void
member_pick_relayed(struct members *members, int64_t now_us, GPtrArray *out)
{
    member_update_ranking(members);
    for (guint i = 0;
         i < members->strong_count && out->len < MEMBER_RELAYED_MAX; i++) {
        members->relay_last =
            (members->relay_last + 1) % members->strong_count;
        struct member_vm *vm =
            g_ptr_array_index(members->ranked, members->relay_last);
        if (vm != members->self && vm->is_ready &&
            member_is_live(members, vm, now_us)) {
            g_ptr_array_add(out, vm);
        }
    }
}

int64_t
member_heartbeat_interval_us(const struct members *members)
{
    bool is_large =
        g_hash_table_size(members->vms) >= MEMBER_LARGE_FLEET_COUNT;
    return is_large && !members->is_hub ? MEMBER_HEARTBEAT_LARGE_INTERVAL_US
                                        : MEMBER_HEARTBEAT_INTERVAL_US;
}

int64_t
member_next_heartbeat_us(const struct members *members, bool is_ready,
                         int64_t uptime_us)
{
    bool is_starting = !is_ready && uptime_us < MEMBER_STARTING_US;
    return is_starting ? MEMBER_HEARTBEAT_STARTING_INTERVAL_US
                       : member_heartbeat_interval_us(members);
}

static int64_t
member_dead_timeout_us(const struct members *members)
{
    return member_heartbeat_interval_us(members) *
           MEMBER_DEAD_MISSED_HEARTBEATS;
}

bool
member_is_live(const struct members *members, const struct member_vm *vm,
               int64_t now_us)
{
    return vm->last_heartbeat_us > 0 &&
           now_us - vm->last_heartbeat_us < member_dead_timeout_us(members);
}

/* Whether a VM that was sent heartbeats did not send one in time. */
static bool
member_is_dead(const struct members *members, const struct member_vm *vm,
               int64_t now_us)
{
    return !member_is_live(members, vm, now_us) &&
           vm->unanswered_since_us > 0 &&
           now_us - vm->unanswered_since_us >= member_dead_timeout_us(members);
}

static uint32_t
member_hub_count(const struct members *members)
{
    return CLAMP(members->strong_count, MEMBER_HUBS_MIN, MEMBER_HUBS_MAX);
}

bool
member_hubs(struct members *members, int64_t now_us, GPtrArray *out)
{
    member_update_ranking(members);
    uint32_t count = 0;
    bool is_hub = false;
    for (guint i = 0;
         i < members->ranked->len && count < member_hub_count(members); i++) {
        struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        if (vm == members->self) {
            is_hub = true;
            count += 1;
        }
        else if (!member_is_dead(members, vm, now_us)) {
            g_ptr_array_add(out, vm);
            count += 1;
        }
    }
    return is_hub;
}

bool
member_is_follower(struct members *members, int64_t now_us)
{
    GPtrArray *hubs = g_ptr_array_new();
    bool is_hub = member_hubs(members, now_us, hubs);
    bool is_follower = !is_hub && hubs->len > 0;
    g_ptr_array_free(hubs, TRUE);
    return is_follower;
}

uint32_t
member_follower_index(struct members *members)
{
    member_update_ranking(members);
    guint index = 0;
    (void)g_ptr_array_find(members->ranked, members->self, &index);
    return index - MIN(index, member_hub_count(members));
}

/* Moves the VMs of this VM's data centre to the front. */
static void
member_move_own_dc_first(const struct members *members, GPtrArray *vms)
{
    guint front = 0;
    for (guint i = 0; i < vms->len; i++) {
        struct member_vm *vm = g_ptr_array_index(vms, i);
        if (g_strcmp0(vm->dc, members->self->dc) == 0) {
            vms->pdata[i] = vms->pdata[front];
            vms->pdata[front] = vm;
            front += 1;
        }
    }
}

void
member_heartbeat_targets(struct members *members, int64_t now_us,
                         GPtrArray *out)
{
    members->is_hub = member_hubs(members, now_us, out);
    if (!members->is_hub) {
        member_move_own_dc_first(members, out);
        g_ptr_array_set_size(out,
                             (gint)MIN(out->len, MEMBER_HEARTBEAT_HUBS_MAX));
    }
    /* Probe dead strong VMs, which may have come back. */
    for (guint i = 0; i < MIN(members->strong_count, MEMBER_HUBS_MAX); i++) {
        struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        if (vm != members->self && member_is_dead(members, vm, now_us) &&
            now_us >= vm->next_probe_us) {
            vm->next_probe_us = now_us + MEMBER_PROBE_INTERVAL_US;
            g_ptr_array_add(out, vm);
        }
    }
    for (guint i = 0; i < out->len; i++) {
        struct member_vm *vm = g_ptr_array_index(out, i);
        if (vm->unanswered_since_us == 0) {
            vm->unanswered_since_us = now_us;
        }
    }
}

bool
member_must_reply(struct members *members, const char *name, int64_t now_us)
{
    GPtrArray *hubs = g_ptr_array_new();
    (void)member_hubs(members, now_us, hubs);
    bool is_target = false;
    for (guint i = 0; i < hubs->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(hubs, i);
        is_target = is_target || strcmp(vm->name, name) == 0;
    }
    g_ptr_array_free(hubs, TRUE);
    return !is_target;
}

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

const struct member_vm *
member_find_newer(const struct members *members, enum object_kind kind,
                  int64_t own, int64_t min_newer_us, int64_t now_us)
{
    const struct member_vm *best = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, members->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct member_vm *vm = value;
        if (!member_is_live(members, vm, now_us) || vm->changes[kind] <= own ||
            vm->newer_since_us[kind] == 0 ||
            now_us - vm->newer_since_us[kind] < min_newer_us) {
            continue;
        }
        bool is_same_dc = g_strcmp0(vm->dc, members->self->dc) == 0;
        bool is_best_same_dc =
            best != NULL && g_strcmp0(best->dc, members->self->dc) == 0;
        if (best == NULL || is_same_dc > is_best_same_dc ||
            (is_same_dc == is_best_same_dc &&
             vm->changes[kind] > best->changes[kind])) {
            best = vm;
        }
    }
    return best;
}

int64_t
member_synced_us(struct members *members, enum object_kind kind, int64_t own)
{
    int64_t synced_us = 0;
    member_update_ranking(members);
    for (guint i = 0; i < members->ranked->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        if (vm == members->self) {
            break;
        }
        if (vm->changes[kind] <= own) {
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
