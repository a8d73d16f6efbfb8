#ifndef CH_STANDIN_SEARCHER_VERSION_H
#define CH_STANDIN_SEARCHER_VERSION_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* The index versions that a searcher holds, with one shard of each. */

struct searcher;

#define SEARCHER_VERSIONS_MAX 16

/* The index versions that a searcher holds. */
struct searcher_versions {
    int64_t items[SEARCHER_VERSIONS_MAX];
    uint32_t count;
};

/* Number of shards of an index version that differs from the default. */
struct searcher_layout {
    int64_t version;
    uint32_t shards;
};

/* Number of shards of the version. */
uint32_t searcher_shards_of(const struct searcher *searcher, int64_t version);

/* Whether the searcher holds its shard of the version. */
bool searcher_serves(const struct searcher *searcher, int64_t version);

/* [{version, shard, shards}] of all versions that the searcher serves. */
json_t *searcher_version_list(const struct searcher *searcher);

/* Parses "7" or "6,7". Returns RC_OK, or RC_BAD_FIELD and leaves `out`. */
int searcher_versions_parse(const char *text, struct searcher_versions *out);

#endif
