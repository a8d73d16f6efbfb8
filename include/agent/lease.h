#ifndef CH_AGENT_LEASE_H
#define CH_AGENT_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/counter.h"
#include "common/msg.h"

/*
 * Lease rules of one cell member: holder, voter and successor (section 6 of
 * the design page). All times are this machine's monotonic microseconds.
 */

#define LSE_BEAT_US (INT64_C(200) * 1000)
/* How long a beat that a majority acknowledged lets its sender go on. */
#define LSE_BOUND_US (INT64_C(1200) * 1000)
/* How long a voter must hear nothing before it says so. */
#define LSE_LEASE_US (INT64_C(2000) * 1000)
/*
 * Votes older than this are not counted: a voter that restarted has forgotten
 * its vote and may acknowledge beats again one LEASE later.
 */
#define LSE_ROUND_US (INT64_C(600) * 1000)
/*
 * A member counts as one that adopted the cell's version while it acknowledges
 * beats that are at most this old: a member that restarted may have forgotten
 * the version.
 */
#define LSE_ADOPTED_US (INT64_C(1000) * 1000)
/* Larger cells would send too many beats. */
#define LSE_CELL_MAX 15

struct lse;

struct lse_callbacks {
    /* Sends BEAT or ASK to a machine of the cell; loss is allowed. */
    void (*send)(void *ctx, const char *machine, enum msg_type type,
                 const void *body);
    void *ctx;
};

/* What beats and acknowledgements say about this machine. */
struct lse_announce {
    uint64_t revision;
    uint64_t digest;
    uint64_t state; /* enum msg_machine_state */
};

struct lse *lse_new(const char *machine, uint64_t start, int64_t now_us,
                    const struct lse_callbacks *callbacks,
                    struct cnt_set *counters);

void lse_free(struct lse *lease);

void lse_announce(struct lse *lease, const struct lse_announce *announce);

/*
 * Adopts a version of the cell object. Returns RC_OK, RC_STALE for one that
 * is not newer, or RC_INVALID for an empty or oversized list.
 */
int lse_set_cell(struct lse *lease, int64_t now_us, uint64_t version,
                 const char *const *members, size_t member_count);

/*
 * Takes a version that a peer adopted. An agent that has adopted none waits
 * until a majority of the members, itself not counted, have stated the same
 * version: it may have adopted a newer one before it restarted, on which the
 * others rely. Returns RC_OK when the version was adopted, RC_AGAIN when more
 * statements are needed, RC_STALE, or RC_INVALID for a list that cannot be.
 */
int lse_on_cell(struct lse *lease, int64_t now_us,
                const struct msg_cell *message);

/* True when the sender of a message that names `version` is to be asked. */
bool lse_should_pull_cell(const struct lse *lease, uint64_t version);

/* Sends a beat when one is due. Call it at least every 50 ms. */
void lse_tick(struct lse *lease, int64_t now_us);

/* Returns true and fills `ack` when the beat is to be answered. */
bool lse_on_beat(struct lse *lease, int64_t now_us,
                 const struct msg_beat *beat, struct msg_beat_ack *ack);

/* Returns true when the lease was extended. */
bool lse_on_ack(struct lse *lease, int64_t now_us,
                const struct msg_beat_ack *ack);

/* Returns true and fills `vote` when the question is to be answered. */
bool lse_on_ask(struct lse *lease, int64_t now_us, const struct msg_ask *ask,
                struct msg_vote *vote);

void lse_on_vote(struct lse *lease, int64_t now_us,
                 const struct msg_vote *vote);

/* Asks the cell whether (holder, start) is gone; call it on each tick. */
void lse_ask(struct lse *lease, int64_t now_us, const char *holder,
             uint64_t start);

/*
 * When the last question that a majority answered with "not heard" was asked;
 * -1 when there is none.
 */
int64_t lse_voted_out_us(const struct lse *lease, const char *holder,
                         uint64_t start);

/* End of the lease, 0 when there was none. */
int64_t lse_until_us(const struct lse *lease);

bool lse_is_valid(const struct lse *lease, int64_t now_us);

/*
 * Grows each time a lease is gained after none was valid. What the store
 * confirmed in an earlier term does not count.
 */
uint64_t lse_term(const struct lse *lease);

/* True when this is a member whose beats some voter refuses. */
bool lse_is_refused(const struct lse *lease, int64_t now_us);

/* When the last beat of (machine, start) arrived, -1 for never. */
int64_t lse_heard_us(const struct lse *lease, const char *machine,
                     uint64_t start);

/*
 * When the last beat was acknowledged as accepted, -1 for never. A machine
 * that is heard but refused cannot gain a lease.
 */
int64_t lse_accepted_us(const struct lse *lease, const char *machine,
                        uint64_t start);

bool lse_is_member(const struct lse *lease, const char *machine);

/* True for present members and for those of earlier versions. */
bool lse_is_known(const struct lse *lease, const char *machine);

uint64_t lse_cell_version(const struct lse *lease);

/* The highest version that any beat or acknowledgement named. */
uint64_t lse_cell_version_seen(const struct lse *lease);

size_t lse_member_count(const struct lse *lease);

const char *lse_member(const struct lse *lease, size_t i);

/*
 * True when a majority of the current members adopted the current version at
 * least one LEASE ago and have not restarted since, so that no lease of the
 * version before can be valid or become valid.
 */
bool lse_cell_may_change(const struct lse *lease, int64_t now_us);

#endif
