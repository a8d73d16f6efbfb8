#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <xxhash.h>

#include "native/address.h"

struct address_rank {
    const struct member_vm *vm;
    bool is_same_dc;
    uint64_t weight; /* rendezvous hash of account and VM */
};

static bool
address_ranks_before(const struct address_rank *a,
                     const struct address_rank *b)
{
    if (a->is_same_dc != b->is_same_dc) {
        return a->is_same_dc;
    }
    if (a->weight != b->weight) {
        return a->weight > b->weight;
    }
    return strcmp(a->vm->name, b->vm->name) < 0;
}

/* Inserts into the sorted array of the best VMs, of which the last one may
 * drop out. Returns the new count. */
static size_t
address_insert(struct address_rank *best, size_t count,
               struct address_rank rank)
{
    size_t pos = count;
    while (pos > 0 && address_ranks_before(&rank, &best[pos - 1])) {
        pos -= 1;
    }
    if (pos == ADDRESS_PICK_MAX) {
        return count;
    }
    size_t last = count < ADDRESS_PICK_MAX ? count : ADDRESS_PICK_MAX - 1;
    memmove(&best[pos + 1], &best[pos], (last - pos) * sizeof(*best));
    best[pos] = rank;
    return last + 1;
}

size_t
address_pick(const GPtrArray *vms, const char *dc, const char *account,
             const struct member_vm *out[ADDRESS_PICK_MAX])
{
    struct address_rank best[ADDRESS_PICK_MAX];
    size_t count = 0;
    uint64_t seed = XXH64(account, strlen(account), 0);
    for (guint i = 0; i < vms->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(vms, i);
        struct address_rank rank = {
            .vm = vm,
            .is_same_dc = g_strcmp0(vm->dc, dc) == 0,
            .weight = XXH64(vm->name, strlen(vm->name), seed),
        };
        count = address_insert(best, count, rank);
    }
    for (size_t i = 0; i < count; i++) {
        out[i] = best[i].vm;
    }
    return count;
}
