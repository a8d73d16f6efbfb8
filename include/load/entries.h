#ifndef CH_LOAD_ENTRIES_H
#define CH_LOAD_ENTRIES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The entry addresses that one caller knows: its seeds until the first answer
 * of GET /v1/entries, then that answer for its time to live.
 */

#define ENTRIES_ADDRESSES_MAX 16
/* An address that failed is passed over for this long if there are others. */
#define ENTRIES_AVOID_US 1000000
/* Wait before the list is asked for again after a failure. */
#define ENTRIES_RETRY_US 200000

struct entries_address {
    const char *address; /* interned: equal addresses are one pointer */
    int64_t failed_us;   /* last failure, or a time long past */
};

struct entries_list {
    struct entries_address items[ENTRIES_ADDRESSES_MAX];
    uint32_t count;
};

struct entries {
    struct entries_list seeds;
    struct entries_list current;
    int64_t refresh_us; /* when the list is to be asked for next */
    uint32_t next;
    bool is_refreshing;
};

/* Reads "IPV4:PORT,...". Returns RC_OK or RC_INVALID. */
int entries_init(struct entries *entries, const char *seeds);

/*
 * Takes the address for the next request, in turn. Addresses that failed
 * lately and `avoid` (interned, may be NULL) are passed over; the seeds are
 * used when none is left, and any address when those have failed, too.
 */
const char *entries_pick(struct entries *entries, const char *avoid,
                         int64_t now_us);

/* Notes that no answer came from the address. */
void entries_mark_failed(struct entries *entries, const char *address,
                         int64_t now_us);

/*
 * Whether the list is due to be asked for; the caller then asks `*address` and
 * reports with entries_apply_refresh or entries_refresh_failed. Seeds are
 * asked when the known entries have failed.
 */
bool entries_is_due(struct entries *entries, int64_t now_us,
                    const char **address);

/*
 * Takes the answer {"entries": [...], "ttl_ms"}; an entry is an address or an
 * object with one. Returns RC_OK or RC_BAD_REPLY, after which the old list
 * stays in use.
 */
int entries_apply_refresh(struct entries *entries, const char *body,
                          int64_t body_bytes, int64_t now_us);

void entries_refresh_failed(struct entries *entries, const char *address,
                            int64_t now_us);

#endif
