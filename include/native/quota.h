#ifndef CH_NATIVE_QUOTA_H
#define CH_NATIVE_QUOTA_H

#include <stdint.h>

#include "common/config.h"
#include "common/counter.h"

/*
 * Quotas and priorities of callers, one token bucket per declared caller.
 * Callers that are not declared share the bucket of the caller "default";
 * without such a declaration they are not limited. The quota holds per
 * process.
 */

struct quota;

struct quota *quota_new(struct counter_set *counters);

void quota_free(struct quota *quota);

/* Takes over the declared callers; those known before keep their level. */
void quota_configure(struct quota *quota, const struct config *config,
                     int64_t now_us);

/* Takes one request from the caller's quota. Returns RC_OK or RC_QUOTA. */
int quota_take(struct quota *quota, const char *caller, int64_t now_us);

/* Priority of the caller's requests, 0 is served first. */
int32_t quota_priority(const struct quota *quota, const char *caller);

#endif
