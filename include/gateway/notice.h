#ifndef CH_GATEWAY_NOTICE_H
#define CH_GATEWAY_NOTICE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * What a backend server said of itself in its answers: that it is leaving, or
 * that it wants no requests from this VM for a while. A notice belongs to one
 * process of the backend server, known by its id and start time. It outlives
 * the entry of the backend server, which may expire in an outage of the store
 * and come back, or come back from an older roster or peer. Times are
 * microseconds of the gateway's monotonic clock; the module does no I/O.
 */

struct notice {
    int64_t leaving_us; /* when it first said that it is leaving, 0: not yet */
    int64_t backoff_until_us; /* it gets no requests before */
};

/* Notices told to other VMs at a time; of more, the latest ones. */
#define NOTICE_TOLD_MAX 8
/* How long each is told: long enough to reach hubs, and followers through
 * them, in spite of a lost heartbeat. */
#define NOTICE_TELL_US (3 * 1000 * 1000)

/* A process of a backend server that said that it is leaving. */
struct notice_leaving {
    char *id;
    int64_t started_unix_ms;
    int64_t learned_us; /* when this VM learned of it, 0: unused */
};

struct notice_table {
    /* Of removed backend servers: id -> struct notice_kept. */
    GHashTable *by_id;
    /* To be told to other VMs, a ring that starts at `told_next`. */
    struct notice_leaving told[NOTICE_TOLD_MAX];
    uint32_t told_next;
};

/* Longest time that a backend server can ask for. */
#define NOTICE_BACKOFF_MAX_US (3600LL * 1000 * 1000)
/* How long the notice of a removed backend server is kept: a leaving one may
 * go on serving for many seconds after its entry was deleted. */
#define NOTICE_KEEP_US (600LL * 1000 * 1000)

/* The backend server said that it is leaving. Returns whether this is new. */
bool notice_on_leaving(struct notice *notice, int64_t now_us);

/* It wants no requests for `delay_us`, cut to NOTICE_BACKOFF_MAX_US. An
 * earlier, longer delay stays. Returns whether no delay was running. */
bool notice_on_backoff(struct notice *notice, int64_t delay_us,
                       int64_t now_us);

bool notice_is_leaving(const struct notice *notice);

bool notice_is_backing_off(const struct notice *notice, int64_t now_us);

void notice_table_init(struct notice_table *table);

void notice_table_clear(struct notice_table *table);

/* Keeps the notice of a backend server that is removed, if it says anything.
 */
void notice_keep(struct notice_table *table, const char *id,
                 int64_t started_unix_ms, const struct notice *notice,
                 int64_t now_us);

/* Returns the notice kept for this process of the backend server and drops it
 * from the table; an empty one if there is none or it is of another process.
 */
struct notice notice_take(struct notice_table *table, const char *id,
                          int64_t started_unix_ms, int64_t now_us);

/* Tells other VMs for a while that the backend server is leaving. */
void notice_tell(struct notice_table *table, const char *id,
                 int64_t started_unix_ms, int64_t now_us);

/* Sets `out` to the notices to tell now, which stay valid until the next call
 * of notice_tell(). Returns how many. */
uint32_t notice_to_tell(const struct notice_table *table, int64_t now_us,
                        const struct notice_leaving *out[NOTICE_TOLD_MAX]);

/* Drops notices that were kept for NOTICE_KEEP_US. */
void notice_prune(struct notice_table *table, int64_t now_us);

#endif
