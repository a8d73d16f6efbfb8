#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <xxhash.h>

#include "native/address.h"

struct address_rank {
    const struct member_vm *vm;
    bool is_near;
    uint64_t weight;
};

static bool
address_is_before(const struct address_rank *a, const struct address_rank *b)
{
    if (a->is_near != b->is_near) {
        return a->is_near;
    }
    if (a->weight != b->weight) {
        return a->weight > b->weight;
    }
    return strcmp(a->vm->name, b->vm->name) < 0;
}

/* Inserts into the sorted best ranks. Returns the new count. */
static size_t
address_insert(struct address_rank *best, size_t count,
               struct address_rank rank)
{
    size_t at = count;
    while (at > 0 && address_is_before(&rank, &best[at - 1])) {
        at -= 1;
    }
    if (at == ADDRESS_MAX) {
        return count;
    }
    size_t last = count < ADDRESS_MAX ? count : ADDRESS_MAX - 1;
    memmove(&best[at + 1], &best[at], (last - at) * sizeof(*best));
    best[at] = rank;
    return last + 1;
}

size_t
address_pick(const GPtrArray *vms, const char *dc, const char *account,
             const struct member_vm *out[ADDRESS_MAX])
{
    struct address_rank best[ADDRESS_MAX];
    size_t count = 0;
    uint64_t seed = XXH64(account, strlen(account), 0);
    for (guint i = 0; i < vms->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(vms, i);
        struct address_rank rank = {
            .vm = vm,
            .is_near = g_strcmp0(vm->dc, dc) == 0,
            .weight = XXH64(vm->name, strlen(vm->name), seed),
        };
        count = address_insert(best, count, rank);
    }
    for (size_t i = 0; i < count; i++) {
        out[i] = best[i].vm;
    }
    return count;
}
