#include <glib.h>
#include <string.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "native/quota.h"

#define QUOTA_DEFAULT_ACCOUNT "default"
/* Tokens that one request takes; a rate of 1/s earns one token per us. */
#define QUOTA_TOKENS_PER_REQUEST 1000000LL
/* Longest time that one refill accounts for, so that the product of time and
 * rate doesn't overflow. */
#define QUOTA_ELAPSED_MAX_US (3600LL * 1000 * 1000)

struct quota_bucket {
    int64_t rate_per_s;
    int64_t max_tokens;
    int64_t tokens;
    int64_t refilled_us;
    int32_t priority;
};

struct quota {
    struct counter_set *counters;
    GHashTable *buckets; /* account name -> struct quota_bucket */
};

struct quota *
quota_new(struct counter_set *counters)
{
    struct quota *quota = g_new0(struct quota, 1);
    quota->counters = counters;
    quota->buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return quota;
}

void
quota_free(struct quota *quota)
{
    if (quota == NULL) {
        return;
    }
    g_hash_table_destroy(quota->buckets);
    g_free(quota);
}

static void
quota_refill(struct quota_bucket *bucket, int64_t now_us)
{
    int64_t elapsed_us =
        CLAMP(now_us - bucket->refilled_us, 0, QUOTA_ELAPSED_MAX_US);
    int64_t missing_tokens = bucket->max_tokens - bucket->tokens;
    if (bucket->rate_per_s > 0 &&
        elapsed_us > missing_tokens / bucket->rate_per_s) {
        bucket->tokens = bucket->max_tokens;
    }
    else {
        bucket->tokens += elapsed_us * bucket->rate_per_s;
    }
    bucket->refilled_us = MAX(bucket->refilled_us, now_us);
    CH_INVARIANT(bucket->tokens >= 0 && bucket->tokens <= bucket->max_tokens);
}

void
quota_configure(struct quota *quota, const struct config *config,
                int64_t now_us)
{
    GHashTable *buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (size_t i = 0; i < config->caller_count; i++) {
        const struct config_caller *caller = &config->callers[i];
        struct quota_bucket *bucket = g_new0(struct quota_bucket, 1);
        bucket->rate_per_s = MAX(caller->quota_per_s, 0);
        /* A positive rate with a burst of 0 would never admit anything. */
        int64_t burst = MAX(caller->burst, bucket->rate_per_s > 0 ? 1 : 0);
        bucket->max_tokens = MIN(burst, INT64_MAX / QUOTA_TOKENS_PER_REQUEST) *
                             QUOTA_TOKENS_PER_REQUEST;
        bucket->tokens = bucket->max_tokens;
        bucket->refilled_us = now_us;
        bucket->priority = (int32_t)caller->priority;
        struct quota_bucket *old =
            g_hash_table_lookup(quota->buckets, caller->name);
        if (old != NULL) {
            quota_refill(old, now_us);
            bucket->tokens = MIN(old->tokens, bucket->max_tokens);
        }
        g_hash_table_insert(buckets, g_strdup(caller->name), bucket);
    }
    g_hash_table_destroy(quota->buckets);
    quota->buckets = buckets;
}

/* The bucket of the account, or NULL if it is not limited. */
static struct quota_bucket *
quota_find_bucket(const struct quota *quota, const char *account)
{
    struct quota_bucket *bucket = NULL;
    if (account != NULL) {
        bucket = g_hash_table_lookup(quota->buckets, account);
    }
    return bucket != NULL
               ? bucket
               : g_hash_table_lookup(quota->buckets, QUOTA_DEFAULT_ACCOUNT);
}

int32_t
quota_priority(const struct quota *quota, const char *account)
{
    const struct quota_bucket *bucket = quota_find_bucket(quota, account);
    return bucket != NULL ? bucket->priority : 0;
}

int
quota_consume(struct quota *quota, const char *account, int64_t now_us)
{
    struct quota_bucket *bucket = quota_find_bucket(quota, account);
    if (bucket == NULL) {
        return RC_OK;
    }
    quota_refill(bucket, now_us);
    if (bucket->tokens < QUOTA_TOKENS_PER_REQUEST) {
        counter_add(quota->counters, "refused_total", rc_name(RC_QUOTA));
        return RC_QUOTA;
    }
    bucket->tokens -= QUOTA_TOKENS_PER_REQUEST;
    return RC_OK;
}
