#ifndef CH_LOAD_ENTRIES_H
#define CH_LOAD_ENTRIES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The gateway addresses (entries) that one caller knows: the configured seeds
 * until the first response to GET /v1/entries, then that list until it
 * expires. Picks an address for each request, round-robin, and avoids those
 * that failed recently. Times are CLOCK_MONOTONIC in microseconds, passed
 * in with each call.
 */

#define ENTRIES_ADDRESSES_MAX 16
/* An address is avoided for this long after a failure if there are others. */
#define ENTRIES_AVOID_US 1000000
/* Delay before the list is requested again after a failure. */
#define ENTRIES_RETRY_US 200000

struct entries_address {
    const char *address; /* interned: equal addresses are one pointer */
    int64_t failed_us;   /* last failure, or far in the past */
};

struct entries_list {
    struct entries_address items[ENTRIES_ADDRESSES_MAX];
    uint32_t count;
};

struct entries {
    struct entries_list seeds;
    struct entries_list current;
    int64_t refresh_us;  /* when the list expires or is requested again */
    uint32_t next_index; /* of the round-robin */
    bool is_refreshing;  /* a request for the list is in flight */
};

/* Parses the seeds "IPV4:PORT,...". Returns RC_OK or RC_INVALID. */
int entries_init(struct entries *entries, const char *seeds);

/*
 * Picks the address for the next request, round-robin. Avoids `avoid`
 * (interned, may be NULL) and addresses that failed within ENTRIES_AVOID_US;
 * falls back to the seeds, and if those have failed too, to any address of the
 * list.
 */
const char *entries_pick(struct entries *entries, const char *avoid,
                         int64_t now_us);

/* Records that the address did not respond. */
void entries_mark_failed(struct entries *entries, const char *address,
                         int64_t now_us);

/*
 * Whether the list must be requested now. If so, it has to be requested from
 * `*address`, and the result reported with entries_apply_refresh() or
 * entries_refresh_failed(). The address is a seed when the known entries have
 * failed.
 */
bool entries_is_due(struct entries *entries, int64_t now_us,
                    const char **address);

/*
 * Replaces the list by the response {"entries": [...], "ttl_ms"}; an entry is
 * an address or an object with the field "address". Returns RC_OK, or
 * RC_BAD_REPLY and keeps the old list.
 */
int entries_apply_refresh(struct entries *entries, const char *body,
                          int64_t body_bytes, int64_t now_us);

/* Records that `address` did not return a list. */
void entries_refresh_failed(struct entries *entries, const char *address,
                            int64_t now_us);

#endif
