#ifndef CH_GATEWAY_FINISH_H
#define CH_GATEWAY_FINISH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * When a request over many shards is answered. An answer loses most of its
 * worth at the latency objective and little with a missing part, so it waits
 * for all parts until just before the objective, and from then on only for the
 * least coverage.
 */

enum finish_decision {
    FINISH_WAIT,
    FINISH_ANSWER,
    FINISH_FAIL, /* the least coverage is out of reach, or it is too late */
};

struct finish_state {
    int64_t objective_us; /* when the answer must reach the caller, 0: none */
    int64_t deadline_us;  /* the caller waits no longer */
    uint32_t parts;
    uint32_t done;
    uint32_t failed; /* parts that will not come */
    uint32_t coverage_min_permille;
};

/* Kept for the way to the caller and back, and the merge. */
#define FINISH_MARGIN_US (12 * 1000)

enum finish_decision finish_decide(const struct finish_state *state,
                                   int64_t now_us);

/* Whether an answer no longer meets the objective. */
bool finish_is_late(const struct finish_state *state, int64_t now_us);

/* When the decision may change without another part. */
int64_t finish_due_us(const struct finish_state *state, int64_t now_us);

#endif
