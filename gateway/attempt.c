#include "common/invariant.h"
#include "gateway/attempt.h"

#include <stddef.h>

void
attempt_on_sent(struct attempt *attempt)
{
    CH_INVARIANT(attempt->run == ATTEMPT_UNSENT);
    attempt->run = ATTEMPT_SENT;
}

void
attempt_on_rejected(struct attempt *attempt)
{
    CH_INVARIANT(attempt->run == ATTEMPT_SENT);
    attempt->run = ATTEMPT_REJECTED;
}

bool
attempt_was_sent(const struct attempt *attempt)
{
    return attempt->run != ATTEMPT_UNSENT;
}

bool
attempt_may_have_run(const struct attempt *attempt)
{
    return attempt->run == ATTEMPT_SENT;
}

bool
attempt_counts(const struct attempt *attempt)
{
    return attempt_may_have_run(attempt) ||
           (attempt->run == ATTEMPT_UNSENT && attempt->link != NULL);
}
