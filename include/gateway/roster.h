#ifndef CH_GATEWAY_ROSTER_H
#define CH_GATEWAY_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The backend servers as the VMs knew them last, kept in the store for VMs
 * that start after an outage. The entries of backend servers lapse while the
 * store is away and are back within two seconds; VMs that run keep them that
 * long, and those that start have nothing to keep.
 *
 * The first live VM writes the roster, since it is the same for all.
 */

/* What decides; times are of the steady clock, 0 for never. */
struct roster_state {
    bool is_first;        /* of the live VMs */
    bool has_list;        /* of the backend servers */
    bool is_failing;      /* the store does */
    int64_t recovered_us; /* when the store answered again after an outage */
    int64_t change;       /* newest change of the backend servers */
    bool lacks_backends;  /* some configured service has none */
};

struct roster {
    int64_t listed_us; /* when the first list was seen */
    int64_t written_us;
    int64_t written_change;
    bool is_read; /* or need not be */
};

enum roster_call {
    ROSTER_NONE,
    ROSTER_READ,
    ROSTER_WRITE,
};

/* After the first list lapsed entries may still come back for this long. */
#define ROSTER_READ_MAX_US (2000 * 1000)
/* Entries that are only in the roster are used for as long. */
#define ROSTER_HOLD_US (2000 * 1000)
/* A roster is written at most this often. */
#define ROSTER_WRITE_IVL_US (5000 * 1000)
/* After an outage entries are missing for a while. */
#define ROSTER_SETTLE_US (5000 * 1000)
/* A longer roster is not written: the store takes a megabyte. */
#define ROSTER_BODY_MAX_BYTES (1000 * 1000)

/* Whether the roster may still be of use. */
bool roster_may_read(const struct roster *roster, int64_t now_us);

/* The call that is due. */
enum roster_call roster_due(struct roster *roster,
                            const struct roster_state *state, int64_t now_us);

/* The roster was read, or there is none. */
void roster_on_read(struct roster *roster);

/* A roster with this change was sent to the store. */
void roster_on_write(struct roster *roster, int64_t change, int64_t now_us);

#endif
