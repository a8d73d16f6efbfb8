#include "gateway/finish.h"

static bool
finish_has_coverage(const struct finish_state *state, uint32_t parts)
{
    return parts > 0 &&
           (uint64_t)parts * 1000 >=
               (uint64_t)state->parts * state->coverage_min_permille;
}

/* Returns when a partial answer becomes acceptable: from then on the minimum
 * coverage is enough. */
static int64_t
finish_partial_from_us(const struct finish_state *state)
{
    bool has_objective =
        state->objective_us > 0 && state->objective_us < state->deadline_us;
    return (has_objective ? state->objective_us : state->deadline_us) -
           FINISH_MARGIN_US;
}

bool
finish_is_late(const struct finish_state *state, int64_t now_us)
{
    return now_us >= finish_partial_from_us(state);
}

enum finish_decision
finish_decide(const struct finish_state *state, int64_t now_us)
{
    bool is_settled = state->done + state->failed == state->parts;
    if (finish_has_coverage(state, state->done) &&
        (is_settled || finish_is_late(state, now_us))) {
        return FINISH_ANSWER;
    }
    if (!finish_has_coverage(state, state->parts - state->failed) ||
        now_us >= state->deadline_us - FINISH_MARGIN_US) {
        return FINISH_FAIL;
    }
    return FINISH_WAIT;
}

int64_t
finish_due_us(const struct finish_state *state, int64_t now_us)
{
    int64_t partial_from_us = finish_partial_from_us(state);
    return now_us < partial_from_us ? partial_from_us
                                    : state->deadline_us - FINISH_MARGIN_US;
}
