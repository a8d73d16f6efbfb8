#ifndef CH_ENTRY_ADMIT_H
#define CH_ENTRY_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"

/*
 * Admission of whole searches. When relays refuse parts because of load, each
 * refuses parts of other queries, and nearly every answer misses some shard.
 * The entry therefore bounds the searches of a service that run at a time: the
 * bound grows by one for as many complete answers as it allows, if they took
 * less than half of their budget, and shrinks when parts are refused all over
 * the layout. A search above the bound is refused at once and has not run.
 */

struct adm;

/* How a search ended. */
struct adm_result {
    uint64_t shards_needed;
    bool is_complete;
    int64_t latency_us;
    int64_t budget_us; /* from the start of the search to its deadline */
    /* Shards that relays refused because of load. */
    const uint64_t *refused;
    size_t refused_count;
};

struct adm *adm_new(struct cnt_set *counters);

void adm_free(struct adm *admit);

/*
 * Takes a place for a search of a caller with this priority (0 is served
 * first; each level may use a tenth of the bound less, down to a half).
 * Returns RC_OK or RC_QUEUE_FULL. After RC_OK adm_done() must follow.
 */
int adm_take(struct adm *admit, const char *service, int64_t priority);

/* Gives the place back. `result` is NULL for an abandoned search. */
void adm_done(struct adm *admit, const char *service,
              const struct adm_result *result, int64_t now_us);

/* Searches of the service that may run at a time now. */
uint64_t adm_limit(const struct adm *admit, const char *service);

uint64_t adm_running(const struct adm *admit, const char *service);

#endif
