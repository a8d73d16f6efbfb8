#include <string.h>
#include <xxhash.h>

#include "common/invariant.h"
#include "entry/snapshot.h"

/* Whether `a` is the better pin. Coverage is compared without division. */
static bool
snp_is_better(const struct pln_layout *a, const struct pln_layout *b)
{
    uint64_t coverage_a = a->covered * b->shards;
    uint64_t coverage_b = b->covered * a->shards;
    if (coverage_a != coverage_b) {
        return coverage_a > coverage_b;
    }
    if (a->version != b->version) {
        return a->version > b->version;
    }
    return a->shards > b->shards;
}

const struct pln_layout *
snp_pick(const GPtrArray *layouts, uint64_t excluded)
{
    const struct pln_layout *best = NULL;
    for (guint i = 0; layouts != NULL && i < layouts->len; i++) {
        const struct pln_layout *layout = g_ptr_array_index(layouts, i);
        CH_INVARIANT(layout->covered <= layout->shards);
        if (excluded != 0 && layout->version == excluded) {
            continue;
        }
        if (best == NULL || snp_is_better(layout, best)) {
            best = layout;
        }
    }
    return best;
}

uint64_t
snp_key_shard(const char *key, uint64_t shards)
{
    CH_INVARIANT(shards > 0);
    return XXH64(key, strlen(key), 0) % shards;
}
