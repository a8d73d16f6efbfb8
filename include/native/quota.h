#ifndef CH_NATIVE_QUOTA_H
#define CH_NATIVE_QUOTA_H

#include <stdint.h>

#include "common/config.h"
#include "common/counter.h"

/*
 * Rate limits and priorities of client accounts, one token bucket per declared
 * account. Accounts that are not declared share the bucket of the account
 * "default"; if that is not declared either, they are not limited. Each
 * process has its own buckets and admits the whole quota. Times are on the
 * monotonic clock, in microseconds.
 */

struct quota;

struct quota *quota_new(struct counter_set *counters);

void quota_free(struct quota *quota);

/* Replaces the declared accounts by those of the configuration. An account
 * that was declared before keeps the fill level of its bucket; the bucket of a
 * new one starts full. */
void quota_configure(struct quota *quota, const struct config *config,
                     int64_t now_us);

/* Takes the tokens of one request from the account's bucket. Returns RC_OK, or
 * RC_QUOTA if there are not enough, which is counted as refused_total. A
 * request without an account (NULL) is treated as one of an undeclared
 * account. */
int quota_consume(struct quota *quota, const char *account, int64_t now_us);

/* Priority of the account's requests, 0 is served first; 0 for an account
 * that is not limited. */
int32_t quota_priority(const struct quota *quota, const char *account);

#endif
