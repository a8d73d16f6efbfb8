#include <string.h>

#include "common/log.h"
#include "gateway/cache.h"
#include "gateway/member_rank.h"

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

void
member_set_own_capacity(struct members *members, uint32_t capacity)
{
    member_set_capacity(members, members->self, capacity);
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

void
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
member_on_return(struct members *members, int64_t now_us)
{
    members->keep_listed_until_us = now_us + MEMBER_RETURN_HOLD_US;
}

void
member_list_start(struct members *members)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, members->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct member_vm *vm = value;
        vm->was_listed = vm->is_listed;
        vm->is_listed = false;
    }
}

void
member_list_add(struct members *members, const char *name,
                const char *peer_address, const char *dc, uint32_t capacity,
                struct position position)
{
    if (member_is_self(members, name)) {
        return;
    }
    struct member_vm *vm = member_find_or_add(members, name);
    if (vm == NULL) {
        return;
    }
    vm->is_listed = true;
    if (position_compare(vm->position, position) != 0) {
        vm->position = position;
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
        vm->is_listed =
            vm->is_listed ||
            (vm->was_listed && now_us < members->keep_listed_until_us);
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
                      const struct position *own, int64_t now_us)
{
    vm->config_version = heartbeat->config_version;
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        vm->changes[i] = heartbeat->changes[i];
        vm->hold_until_us[i] =
            heartbeat->holds_us[i] > 0
                ? now_us + MIN(heartbeat->holds_us[i], CACHE_HOLD_US)
                : 0;
        vm->synced_us[i] = MAX(now_us - MIN(heartbeat->ages_us[i], now_us), 0);
        if (!position_is_after(heartbeat->changes[i], own[i])) {
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
                    const struct position *own, int64_t now_us)
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

bool
member_is_dead(const struct members *members, const struct member_vm *vm,
               int64_t now_us)
{
    return !member_is_live(members, vm, now_us) &&
           vm->unanswered_since_us > 0 &&
           now_us - vm->unanswered_since_us >= member_dead_timeout_us(members);
}
