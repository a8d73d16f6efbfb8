#include "gateway/roster.h"

bool
roster_may_read(const struct roster *roster, int64_t now_us)
{
    return !roster->is_read &&
           (roster->first_listed_us == 0 ||
            now_us - roster->first_listed_us < ROSTER_READ_WINDOW_US);
}

static bool
roster_is_write_due(const struct roster *roster,
                    const struct roster_state *state, int64_t now_us)
{
    int64_t settled_us = state->recovered_us > roster->first_listed_us
                             ? state->recovered_us
                             : roster->first_listed_us;
    return state->is_first_live && !state->is_failing &&
           state->age_us < ROSTER_AGE_MAX_US &&
           position_compare(state->change, roster->written_change) != 0 &&
           now_us - settled_us >= ROSTER_SETTLE_US &&
           now_us - roster->written_us >= ROSTER_WRITE_INTERVAL_US;
}

enum roster_call
roster_due(struct roster *roster, const struct roster_state *state,
           int64_t now_us)
{
    if (!state->has_list) {
        return ROSTER_NONE;
    }
    if (roster->first_listed_us == 0) {
        roster->first_listed_us = now_us;
    }
    if (state->lacks_backends && roster_may_read(roster, now_us)) {
        return ROSTER_READ;
    }
    return roster_is_write_due(roster, state, now_us) ? ROSTER_WRITE
                                                      : ROSTER_NONE;
}

void
roster_on_read(struct roster *roster)
{
    roster->is_read = true;
}

void
roster_on_write(struct roster *roster, struct position change, int64_t now_us)
{
    roster->written_us = now_us;
    roster->written_change = change;
}
