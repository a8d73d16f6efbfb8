#ifndef CH_GATEWAY_FINISH_H
#define CH_GATEWAY_FINISH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides when a request over many shards is answered. An answer loses most of
 * its value at the latency objective and little with a missing part, so the
 * request waits for all parts until just before the objective, and from then
 * on only for the minimum coverage, the share of parts that an answer must
 * have. The module keeps no state; times are microseconds of the gateway's
 * monotonic clock.
 */

enum finish_decision {
    FINISH_WAIT,
    FINISH_ANSWER,
    FINISH_FAIL, /* minimum coverage out of reach, or no time is left */
};

/* Progress of a request. */
struct finish_state {
    int64_t objective_us; /* when the caller should have the answer, 0: none */
    int64_t deadline_us;  /* the caller waits no longer */
    uint32_t parts;
    uint32_t done;
    uint32_t failed; /* parts that cannot be answered any more */
    uint32_t coverage_min_permille;
};

/* Reserved before the objective and the deadline for merging the parts and for
 * the way to the caller and back. */
#define FINISH_MARGIN_US (12 * 1000)

enum finish_decision finish_decide(const struct finish_state *state,
                                   int64_t now_us);

/* Whether an answer sent now misses the objective, or the deadline if there is
 * no objective before it. */
bool finish_is_late(const struct finish_state *state, int64_t now_us);

/* Returns when the decision may change without another part. */
int64_t finish_due_us(const struct finish_state *state, int64_t now_us);

#endif
