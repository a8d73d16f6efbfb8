#include <string.h>

#include "common/log.h"
#include "gateway/member.h"

/* Weak VMs together get this share of the common limits: 1 of 5. */
#define MEM_WEAK_SHARE 5

static void
mem_vm_free(gpointer data)
{
    struct mem_vm *vm = data;
    g_free(vm->name);
    g_free(vm->dc);
    g_free(vm->request_address);
    g_free(vm->peer_address);
    g_free(vm);
}

static void
mem_touch(struct mem *mem)
{
    if (mem->ranked != NULL) {
        g_ptr_array_free(mem->ranked, TRUE);
        mem->ranked = NULL;
    }
}

void
mem_init(struct mem *mem, const char *self, uint32_t capacity)
{
    *mem = (struct mem){
        .self = g_new0(struct mem_vm, 1),
        .vms =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, mem_vm_free),
    };
    mem->self->name = g_strdup(self);
    mem->self->capacity = capacity;
}

void
mem_clear(struct mem *mem)
{
    mem_touch(mem);
    g_hash_table_destroy(mem->vms);
    mem_vm_free(mem->self);
}

static bool
mem_is_self(const struct mem *mem, const char *name)
{
    return strcmp(name, mem->self->name) == 0;
}

static struct mem_vm *
mem_vm_of(struct mem *mem, const char *name)
{
    struct mem_vm *vm = g_hash_table_lookup(mem->vms, name);
    if (vm == NULL) {
        vm = g_new0(struct mem_vm, 1);
        vm->name = g_strdup(name);
        g_hash_table_insert(mem->vms, vm->name, vm);
        mem_touch(mem);
    }
    return vm;
}

static void
mem_set_capacity(struct mem *mem, struct mem_vm *vm, uint32_t capacity)
{
    if (vm->capacity != capacity) {
        vm->capacity = capacity;
        mem_touch(mem);
    }
}

static void
mem_replace(char **field, const char *value)
{
    if (g_strcmp0(*field, value) != 0) {
        g_free(*field);
        *field = g_strdup(value);
    }
}

/* Higher capacity first; the hash spreads the hubs over equal VMs. */
static gint
mem_compare(gconstpointer a, gconstpointer b)
{
    const struct mem_vm *left = *(const struct mem_vm *const *)a;
    const struct mem_vm *right = *(const struct mem_vm *const *)b;
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
mem_rank(struct mem *mem)
{
    if (mem->ranked != NULL) {
        return;
    }
    mem->ranked = g_ptr_array_new();
    g_ptr_array_add(mem->ranked, mem->self);
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(mem->ranked, value);
    }
    g_ptr_array_sort(mem->ranked, mem_compare);
    const struct mem_vm *strongest = g_ptr_array_index(mem->ranked, 0);
    mem->strong_count = 0;
    for (guint i = 0; i < mem->ranked->len; i++) {
        const struct mem_vm *vm = g_ptr_array_index(mem->ranked, i);
        mem->strong_count += vm->capacity * 2 >= strongest->capacity ? 1 : 0;
    }
}

void
mem_list_begin(struct mem *mem)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct mem_vm *)value)->is_listed = false;
    }
}

void
mem_list_note(struct mem *mem, const char *name, const char *peer_address,
              const char *dc, uint32_t capacity, int64_t revision)
{
    if (mem_is_self(mem, name)) {
        return;
    }
    struct mem_vm *vm = mem_vm_of(mem, name);
    vm->is_listed = true;
    if (vm->revision != revision) {
        vm->revision = revision;
        vm->renewed_us = 0;
    }
    if (vm->heard_us == 0) {
        mem_replace(&vm->peer_address, peer_address);
        mem_replace(&vm->dc, dc);
        mem_set_capacity(mem, vm, capacity);
    }
}

void
mem_list_end(struct mem *mem, int64_t now_us)
{
    bool is_gap = now_us - mem->listed_us >= MEM_LIST_GAP_US;
    mem->has_list = true;
    mem->listed_us = now_us;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct mem_vm *vm = value;
        if (vm->renewed_us == 0 || is_gap) {
            vm->renewed_us = now_us;
        }
        if (!vm->is_listed && now_us - vm->heard_us >= MEM_FORGET_US) {
            mem_touch(mem);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
mem_note_changes(struct mem_vm *vm, const struct mem_beat *beat,
                 const int64_t *own, int64_t now_us)
{
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        vm->changes[i] = beat->changes[i];
        vm->checked_us[i] = MAX(now_us - MIN(beat->ages_us[i], now_us), 0);
        if (beat->changes[i] <= own[i]) {
            vm->ahead_us[i] = 0;
        }
        else if (vm->ahead_us[i] == 0) {
            vm->ahead_us[i] = now_us;
        }
    }
}

void
mem_on_beat(struct mem *mem, const struct mem_beat *beat, const int64_t *own,
            int64_t now_us)
{
    if (mem_is_self(mem, beat->name)) {
        return;
    }
    struct mem_vm *vm = mem_vm_of(mem, beat->name);
    if (!mem_is_live(mem, vm, now_us) || vm->start != beat->start) {
        log_info("member",
                 "heard of vm=%s dc=%s start=%016" G_GINT64_MODIFIER
                 "x ready=%d capacity=%u",
                 beat->name, beat->dc, beat->start, beat->is_ready,
                 beat->capacity);
    }
    vm->start = beat->start;
    vm->is_ready = beat->is_ready;
    vm->heard_us = now_us;
    vm->asked_us = 0;
    mem_set_capacity(mem, vm, beat->capacity);
    mem_replace(&vm->dc, beat->dc);
    mem_replace(&vm->request_address, beat->request_address);
    mem_replace(&vm->peer_address, beat->peer_address);
    mem_note_changes(vm, beat, own, now_us);
}

bool
mem_is_first_live(struct mem *mem, int64_t now_us)
{
    mem_rank(mem);
    for (guint i = 0; i < mem->ranked->len; i++) {
        const struct mem_vm *vm = g_ptr_array_index(mem->ranked, i);
        if (vm == mem->self) {
            return true;
        }
        if (mem_is_live(mem, vm, now_us)) {
            return false;
        }
    }
    return true;
}

const struct mem_vm *
mem_lost(struct mem *mem, int64_t now_us)
{
    if (!mem_is_first_live(mem, now_us)) {
        return NULL;
    }
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mem_vm *vm = value;
        if (vm->is_listed && !mem_is_live(mem, vm, now_us) &&
            now_us - vm->renewed_us >= MEM_LOST_US) {
            return vm;
        }
    }
    return NULL;
}

void
mem_on_vouched(struct mem *mem, const char *name, const char *request_address,
               int64_t now_us)
{
    if (mem_is_self(mem, name)) {
        return;
    }
    struct mem_vm *vm = mem_vm_of(mem, name);
    vm->vouched_us = now_us;
    mem_replace(&vm->request_address, request_address);
}

void
mem_vouch(struct mem *mem, int64_t now_us, GPtrArray *out)
{
    mem_rank(mem);
    for (guint i = 0; i < mem->strong_count && out->len < MEM_VOUCHED_MAX;
         i++) {
        mem->vouched_next = (mem->vouched_next + 1) % mem->strong_count;
        struct mem_vm *vm = g_ptr_array_index(mem->ranked, mem->vouched_next);
        if (vm != mem->self && vm->is_ready && mem_is_live(mem, vm, now_us)) {
            g_ptr_array_add(out, vm);
        }
    }
}

int64_t
mem_beat_ivl_us(const struct mem *mem)
{
    bool is_large = g_hash_table_size(mem->vms) >= MEM_LARGE_COUNT;
    return is_large && !mem->is_hub ? MEM_BEAT_LARGE_IVL_US : MEM_BEAT_IVL_US;
}

static int64_t
mem_dead_us(const struct mem *mem)
{
    return mem_beat_ivl_us(mem) * MEM_DEAD_BEATS;
}

bool
mem_is_live(const struct mem *mem, const struct mem_vm *vm, int64_t now_us)
{
    return vm->heard_us > 0 && now_us - vm->heard_us < mem_dead_us(mem);
}

/* One that did not answer, or fell silent. */
static bool
mem_is_dead(const struct mem *mem, const struct mem_vm *vm, int64_t now_us)
{
    return !mem_is_live(mem, vm, now_us) && vm->asked_us > 0 &&
           now_us - vm->asked_us >= mem_dead_us(mem);
}

static uint32_t
mem_hub_count(const struct mem *mem)
{
    return CLAMP(mem->strong_count, MEM_HUBS_MIN, MEM_HUBS_MAX);
}

bool
mem_hubs(struct mem *mem, int64_t now_us, GPtrArray *out)
{
    mem_rank(mem);
    uint32_t count = 0;
    bool is_hub = false;
    for (guint i = 0; i < mem->ranked->len && count < mem_hub_count(mem);
         i++) {
        struct mem_vm *vm = g_ptr_array_index(mem->ranked, i);
        if (vm == mem->self) {
            is_hub = true;
            count += 1;
        }
        else if (!mem_is_dead(mem, vm, now_us)) {
            g_ptr_array_add(out, vm);
            count += 1;
        }
    }
    return is_hub;
}

bool
mem_is_follower(struct mem *mem, int64_t now_us)
{
    GPtrArray *hubs = g_ptr_array_new();
    bool is_hub = mem_hubs(mem, now_us, hubs);
    bool is_follower = !is_hub && hubs->len > 0;
    g_ptr_array_free(hubs, TRUE);
    return is_follower;
}

uint32_t
mem_follower_index(struct mem *mem)
{
    mem_rank(mem);
    guint index = 0;
    (void)g_ptr_array_find(mem->ranked, mem->self, &index);
    return index - MIN(index, mem_hub_count(mem));
}

/* Moves the VMs of this one's data centre to the front. */
static void
mem_own_dc_first(const struct mem *mem, GPtrArray *vms)
{
    guint front = 0;
    for (guint i = 0; i < vms->len; i++) {
        struct mem_vm *vm = g_ptr_array_index(vms, i);
        if (g_strcmp0(vm->dc, mem->self->dc) == 0) {
            vms->pdata[i] = vms->pdata[front];
            vms->pdata[front] = vm;
            front += 1;
        }
    }
}

void
mem_beat_targets(struct mem *mem, int64_t now_us, GPtrArray *out)
{
    mem->is_hub = mem_hubs(mem, now_us, out);
    if (!mem->is_hub) {
        mem_own_dc_first(mem, out);
        g_ptr_array_set_size(out, (gint)MIN(out->len, MEM_PARENTS_MAX));
    }
    /* Strong VMs that died may have come back. */
    for (guint i = 0; i < MIN(mem->strong_count, MEM_HUBS_MAX); i++) {
        struct mem_vm *vm = g_ptr_array_index(mem->ranked, i);
        if (vm != mem->self && mem_is_dead(mem, vm, now_us) &&
            now_us >= vm->retry_us) {
            vm->retry_us = now_us + MEM_RETRY_US;
            g_ptr_array_add(out, vm);
        }
    }
    for (guint i = 0; i < out->len; i++) {
        struct mem_vm *vm = g_ptr_array_index(out, i);
        if (vm->asked_us == 0) {
            vm->asked_us = now_us;
        }
    }
}

bool
mem_must_reply(struct mem *mem, const char *name, int64_t now_us)
{
    GPtrArray *hubs = g_ptr_array_new();
    (void)mem_hubs(mem, now_us, hubs);
    bool is_target = false;
    for (guint i = 0; i < hubs->len; i++) {
        const struct mem_vm *vm = g_ptr_array_index(hubs, i);
        is_target = is_target || strcmp(vm->name, name) == 0;
    }
    g_ptr_array_free(hubs, TRUE);
    return !is_target;
}

static bool
mem_may_send(const struct mem_vm *vm, int64_t now_us)
{
    return vm->is_listed ||
           (vm->heard_us > 0 && now_us - vm->heard_us < MEM_FORGET_US);
}

uint32_t
mem_sender_count(struct mem *mem, int64_t now_us)
{
    mem_rank(mem);
    uint32_t strong = 0;
    uint32_t all = 0;
    bool is_strong = false;
    for (guint i = 0; i < mem->ranked->len; i++) {
        const struct mem_vm *vm = g_ptr_array_index(mem->ranked, i);
        if (vm != mem->self && !mem_may_send(vm, now_us)) {
            continue;
        }
        all += 1;
        strong += i < mem->strong_count ? 1 : 0;
        is_strong = is_strong || (vm == mem->self && i < mem->strong_count);
    }
    if (!mem->has_list) {
        return MAX(all, MEM_UNKNOWN_COUNT);
    }
    if (strong == all) {
        return all;
    }
    return is_strong
               ? strong + (strong + MEM_WEAK_SHARE - 2) / (MEM_WEAK_SHARE - 1)
               : (all - strong) * MEM_WEAK_SHARE;
}

const struct mem_vm *
mem_ahead(const struct mem *mem, enum mem_kind kind, int64_t own,
          int64_t ahead_us, int64_t now_us)
{
    const struct mem_vm *best = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mem_vm *vm = value;
        if (!mem_is_live(mem, vm, now_us) || vm->changes[kind] <= own ||
            vm->ahead_us[kind] == 0 ||
            now_us - vm->ahead_us[kind] < ahead_us) {
            continue;
        }
        bool is_near = g_strcmp0(vm->dc, mem->self->dc) == 0;
        bool is_best_near =
            best != NULL && g_strcmp0(best->dc, mem->self->dc) == 0;
        if (best == NULL || is_near > is_best_near ||
            (is_near == is_best_near &&
             vm->changes[kind] > best->changes[kind])) {
            best = vm;
        }
    }
    return best;
}

int64_t
mem_checked_us(struct mem *mem, enum mem_kind kind, int64_t own)
{
    int64_t checked_us = 0;
    mem_rank(mem);
    for (guint i = 0; i < mem->ranked->len; i++) {
        const struct mem_vm *vm = g_ptr_array_index(mem->ranked, i);
        if (vm == mem->self) {
            break;
        }
        if (vm->changes[kind] <= own) {
            checked_us = MAX(checked_us, vm->checked_us[kind]);
        }
    }
    return checked_us;
}

static bool
mem_is_usable(const struct mem *mem, const struct mem_vm *vm, int64_t now_us)
{
    if (mem_is_live(mem, vm, now_us)) {
        return vm->is_ready;
    }
    return vm->vouched_us > 0 && now_us - vm->vouched_us < MEM_VOUCHED_US;
}

/* Appends those of the first `count` ranked VMs that callers can use. */
static void
mem_add_addresses(const struct mem *mem, guint count, bool is_ready,
                  double random, int64_t now_us, GPtrArray *out)
{
    guint first = (guint)(random * count);
    for (guint i = 0; i < count && out->len < MEM_ADDRESSES_MAX; i++) {
        const struct mem_vm *vm =
            g_ptr_array_index(mem->ranked, (first + i) % count);
        bool is_usable =
            vm == mem->self ? is_ready : mem_is_usable(mem, vm, now_us);
        if (is_usable) {
            g_ptr_array_add(out, vm->request_address);
        }
    }
}

void
mem_addresses(struct mem *mem, bool is_ready, double random, int64_t now_us,
              GPtrArray *out)
{
    mem_rank(mem);
    mem_add_addresses(mem, mem->strong_count, is_ready, random, now_us, out);
    if (out->len >= MIN(MEM_STRONG_MIN, mem->strong_count)) {
        return;
    }
    g_ptr_array_set_size(out, 0);
    mem_add_addresses(mem, mem->ranked->len, is_ready, random, now_us, out);
}

void
mem_usable_vms(struct mem *mem, bool is_ready, int64_t now_us, GPtrArray *out)
{
    mem_rank(mem);
    for (guint i = 0; i < mem->ranked->len; i++) {
        struct mem_vm *vm = g_ptr_array_index(mem->ranked, i);
        bool is_usable =
            vm == mem->self ? is_ready : mem_is_usable(mem, vm, now_us);
        if (is_usable) {
            g_ptr_array_add(out, vm);
        }
    }
}
