#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <xxhash.h>

#include "entry/address.h"

struct adr_rank {
    const struct msg_machine *machine;
    bool is_near;
    uint64_t weight;
};

static bool
adr_is_usable(const struct msg_machine *machine, const char *excluded)
{
    return machine->state == MSG_MACHINE_LIVE &&
           machine->entry_address[0] != '\0' &&
           (excluded == NULL || strcmp(machine->name, excluded) != 0);
}

static bool
adr_is_before(const struct adr_rank *a, const struct adr_rank *b)
{
    if (a->is_near != b->is_near) {
        return a->is_near;
    }
    if (a->weight != b->weight) {
        return a->weight > b->weight;
    }
    return strcmp(a->machine->name, b->machine->name) < 0;
}

/* Inserts into the sorted best ranks. Returns the new count. */
static size_t
adr_insert(struct adr_rank *best, size_t count, struct adr_rank rank)
{
    size_t at = count;
    while (at > 0 && adr_is_before(&rank, &best[at - 1])) {
        at -= 1;
    }
    if (at == ADR_MAX_ENTRIES) {
        return count;
    }
    size_t last = count < ADR_MAX_ENTRIES ? count : ADR_MAX_ENTRIES - 1;
    memmove(&best[at + 1], &best[at], (last - at) * sizeof(*best));
    best[at] = rank;
    return last + 1;
}

size_t
adr_pick(const struct msg_machine *machines, size_t machine_count,
         const char *zone, const char *caller, const char *excluded,
         const struct msg_machine *out[ADR_MAX_ENTRIES])
{
    struct adr_rank best[ADR_MAX_ENTRIES];
    size_t count = 0;
    uint64_t seed = XXH64(caller, strlen(caller), 0);
    for (size_t i = 0; i < machine_count; i++) {
        const struct msg_machine *machine = &machines[i];
        if (!adr_is_usable(machine, excluded)) {
            continue;
        }
        struct adr_rank rank = {
            .machine = machine,
            .is_near = zone != NULL && strcmp(machine->zone, zone) == 0,
            .weight = XXH64(machine->name, strlen(machine->name), seed),
        };
        count = adr_insert(best, count, rank);
    }
    for (size_t i = 0; i < count; i++) {
        out[i] = best[i].machine;
    }
    return count;
}
