#include <glib.h>
#include <string.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "native/quota.h"

#define QUOTA_DEFAULT "default"
/* One request costs this many units; a rate of 1/s earns one unit per us. */
#define QUOTA_REQUEST_UNITS 1000000LL
/* Longest time that is credited at once; keeps the product in range. */
#define QUOTA_MAX_GAP_US (3600LL * 1000 * 1000)

struct quota_bucket {
    int64_t rate_per_s;
    int64_t max_units;
    int64_t units;
    int64_t filled_us;
    int32_t priority;
};

struct quota {
    struct counter_set *counters;
    GHashTable *buckets; /* caller -> struct quota_bucket */
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
quota_fill(struct quota_bucket *bucket, int64_t now_us)
{
    int64_t gap_us = CLAMP(now_us - bucket->filled_us, 0, QUOTA_MAX_GAP_US);
    int64_t room = bucket->max_units - bucket->units;
    if (bucket->rate_per_s > 0 && gap_us > room / bucket->rate_per_s) {
        bucket->units = bucket->max_units;
    }
    else {
        bucket->units += gap_us * bucket->rate_per_s;
    }
    bucket->filled_us = MAX(bucket->filled_us, now_us);
    CH_INVARIANT(bucket->units >= 0 && bucket->units <= bucket->max_units);
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
        bucket->max_units =
            MIN(burst, INT64_MAX / QUOTA_REQUEST_UNITS) * QUOTA_REQUEST_UNITS;
        bucket->units = bucket->max_units;
        bucket->filled_us = now_us;
        bucket->priority = (int32_t)caller->priority;
        struct quota_bucket *old =
            g_hash_table_lookup(quota->buckets, caller->name);
        if (old != NULL) {
            quota_fill(old, now_us);
            bucket->units = MIN(old->units, bucket->max_units);
        }
        g_hash_table_insert(buckets, g_strdup(caller->name), bucket);
    }
    g_hash_table_destroy(quota->buckets);
    quota->buckets = buckets;
}

/* The bucket that the caller takes from, NULL when it is not limited. */
static struct quota_bucket *
quota_bucket(const struct quota *quota, const char *caller)
{
    struct quota_bucket *bucket = NULL;
    if (caller != NULL) {
        bucket = g_hash_table_lookup(quota->buckets, caller);
    }
    return bucket != NULL ? bucket
                          : g_hash_table_lookup(quota->buckets, QUOTA_DEFAULT);
}

int32_t
quota_priority(const struct quota *quota, const char *caller)
{
    const struct quota_bucket *bucket = quota_bucket(quota, caller);
    return bucket != NULL ? bucket->priority : 0;
}

int
quota_take(struct quota *quota, const char *caller, int64_t now_us)
{
    struct quota_bucket *bucket = quota_bucket(quota, caller);
    if (bucket == NULL) {
        return RC_OK;
    }
    quota_fill(bucket, now_us);
    if (bucket->units < QUOTA_REQUEST_UNITS) {
        counter_add(quota->counters, "refused_total", rc_name(RC_QUOTA));
        return RC_QUOTA;
    }
    bucket->units -= QUOTA_REQUEST_UNITS;
    return RC_OK;
}
