#include "gateway/member.h"

#include "common/log.h"

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

void
mem_init(struct mem *mem, const char *self)
{
    mem->self = g_strdup(self);
    mem->has_list = false;
    mem->vms =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, mem_vm_free);
}

void
mem_clear(struct mem *mem)
{
    g_hash_table_destroy(mem->vms);
    g_free(mem->self);
}

static struct mem_vm *
mem_vm_of(struct mem *mem, const char *name)
{
    struct mem_vm *vm = g_hash_table_lookup(mem->vms, name);
    if (vm == NULL) {
        vm = g_new0(struct mem_vm, 1);
        vm->name = g_strdup(name);
        g_hash_table_insert(mem->vms, vm->name, vm);
    }
    return vm;
}

static void
mem_replace(char **field, const char *value)
{
    if (g_strcmp0(*field, value) != 0) {
        g_free(*field);
        *field = g_strdup(value);
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
mem_list_note(struct mem *mem, const char *name, const char *peer_address)
{
    if (g_strcmp0(name, mem->self) == 0) {
        return;
    }
    struct mem_vm *vm = mem_vm_of(mem, name);
    vm->is_listed = true;
    if (vm->heard_us == 0) {
        mem_replace(&vm->peer_address, peer_address);
    }
}

void
mem_list_end(struct mem *mem, int64_t now_us)
{
    mem->has_list = true;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mem_vm *vm = value;
        if (!vm->is_listed && now_us - vm->heard_us >= MEM_FORGET_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
mem_on_beat(struct mem *mem, const struct mem_beat *beat, const int64_t *own,
            int64_t now_us)
{
    if (g_strcmp0(beat->name, mem->self) == 0) {
        return;
    }
    struct mem_vm *vm = mem_vm_of(mem, beat->name);
    if (!mem_is_live(vm, now_us) || vm->start != beat->start) {
        log_info("member",
                 "heard of vm=%s dc=%s start=%016" G_GINT64_MODIFIER
                 "x ready=%d",
                 beat->name, beat->dc, beat->start, beat->is_ready);
    }
    vm->start = beat->start;
    vm->is_ready = beat->is_ready;
    vm->heard_us = now_us;
    mem_replace(&vm->dc, beat->dc);
    mem_replace(&vm->request_address, beat->request_address);
    mem_replace(&vm->peer_address, beat->peer_address);
    for (int i = 0; i < MEM_KIND_COUNT; i++) {
        vm->changes[i] = beat->changes[i];
        if (beat->changes[i] <= own[i]) {
            vm->ahead_us[i] = 0;
        }
        else if (vm->ahead_us[i] == 0) {
            vm->ahead_us[i] = now_us;
        }
    }
}

bool
mem_is_live(const struct mem_vm *vm, int64_t now_us)
{
    return vm->heard_us > 0 && now_us - vm->heard_us < MEM_DEAD_US;
}

uint32_t
mem_sender_count(const struct mem *mem, int64_t now_us)
{
    uint32_t count = 1;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mem_vm *vm = value;
        bool is_recent =
            vm->heard_us > 0 && now_us - vm->heard_us < MEM_FORGET_US;
        count += vm->is_listed || is_recent ? 1 : 0;
    }
    return mem->has_list ? count : MAX(count, MEM_UNKNOWN_COUNT);
}

const struct mem_vm *
mem_ahead(const struct mem *mem, enum mem_kind kind, int64_t own,
          int64_t now_us)
{
    const struct mem_vm *best = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mem_vm *vm = value;
        if (!mem_is_live(vm, now_us) || vm->changes[kind] <= own ||
            vm->ahead_us[kind] == 0 ||
            now_us - vm->ahead_us[kind] < MEM_AHEAD_US) {
            continue;
        }
        if (best == NULL || vm->changes[kind] > best->changes[kind]) {
            best = vm;
        }
    }
    return best;
}

void
mem_addresses(const struct mem *mem, int64_t now_us, GPtrArray *out)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mem_vm *vm = value;
        if (mem_is_live(vm, now_us) && vm->is_ready) {
            g_ptr_array_add(out, vm->request_address);
        }
    }
}
