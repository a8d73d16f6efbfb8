#ifndef CH_GATEWAY_ROSTER_H
#define CH_GATEWAY_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/position.h"

/*
 * Decides when to read and write the roster, a copy of the entries of all
 * backend servers that is kept in the store for VMs that start after an
 * outage of the store. In an outage the entries expire; the backend servers
 * write them again within two seconds after it. A running VM keeps expired
 * entries for that time, but a VM that starts then has none to keep.
 *
 * Only the first live VM by rank writes the roster, since it is the same for
 * all VMs. gateway/roster_io owns the state. Times are in microseconds of the
 * monotonic clock, 0 for never. The module does no I/O.
 */

/* Input of the decision. */
struct roster_state {
    bool is_first_live;     /* this VM is the first live one by rank */
    bool has_list;          /* backend servers and configuration were read */
    bool is_failing;        /* the store fails */
    int64_t age_us;         /* of what this VM knows of the backend servers */
    int64_t recovered_us;   /* when the store first answered after an outage */
    struct position change; /* newest change of the backend servers */
    bool lacks_backends;    /* some configured service has no backend server */
};

struct roster {
    int64_t first_listed_us; /* when `has_list` was first set */
    int64_t written_us;
    struct position written_change; /* newest in the roster written last */
    bool is_read;                   /* or the store has none */
};

enum roster_call {
    ROSTER_NONE,
    ROSTER_READ,
    ROSTER_WRITE,
};

/* For this long after the first list, expired entries may not yet have been
 * written again, and the roster is of use. */
#define ROSTER_READ_WINDOW_US (2000 * 1000)
/* How long entries that only the roster has are used. */
#define ROSTER_HOLD_US (2000 * 1000)
/* Shortest time between two writes. */
#define ROSTER_WRITE_INTERVAL_US (5000 * 1000)
/* No write for this long after the first list and after an outage, while
 * entries may be missing. */
#define ROSTER_SETTLE_US (5000 * 1000)
/* A VM that knows only an older state, since it was paused or cut off, does
 * not replace the roster. */
#define ROSTER_AGE_MAX_US (3000 * 1000)
/* A larger roster is not written: the store accepts up to a megabyte. */
#define ROSTER_BODY_MAX_BYTES (1000 * 1000)

/* Whether the roster was not read and may still be of use. */
bool roster_may_read(const struct roster *roster, int64_t now_us);

/* The call to make now. */
enum roster_call roster_due(struct roster *roster,
                            const struct roster_state *state, int64_t now_us);

/* The roster was read, or the store has none. */
void roster_on_read(struct roster *roster);

/* A roster as of this change was written, or is too large to write. */
void roster_on_write(struct roster *roster, struct position change,
                     int64_t now_us);

#endif
