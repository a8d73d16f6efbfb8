#ifndef CH_AGENT_GOSSIP_H
#define CH_AGENT_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agent/member.h"
#include "common/msg.h"

/* Whom to talk to and what to say. */

#define GSP_PERIOD_US (INT64_C(1000) * 1000)
/* Random machines outside the cell that get a message each period. */
#define GSP_FANOUT 3
/*
 * Entries of one message. With 9 messages a second of at most 12 entries of
 * about 120 bytes the traffic stays below 13 KB/s for any size of the fleet.
 */
#define GSP_ENTRIES 12
/* An entry that changed this recently goes before the others. */
#define GSP_RECENT_US (INT64_C(20) * 1000 * 1000)

struct gsp;

/* Returns a number in 0..limit-1. */
typedef uint32_t (*gsp_random_cb)(void *ctx, uint32_t limit);

/* True for machines that are not to be picked, such as those of the cell. */
typedef bool (*gsp_skip_cb)(void *ctx, const struct mbr_machine *machine);

struct gsp *gsp_new(gsp_random_cb random, void *ctx);

void gsp_free(struct gsp *gossip);

/* True once per period. */
bool gsp_is_due(struct gsp *gossip, int64_t now_us);

/* Picks up to `max` different machines. Returns how many. */
size_t gsp_pick(struct gsp *gossip, const struct mbr *members,
                gsp_skip_cb skip, void *ctx, const struct mbr_machine **out,
                size_t max);

/*
 * Fills up to GSP_ENTRIES entries: this machine, those that changed lately
 * and, in turn, the others. Strings belong to `members`.
 */
size_t gsp_fill(struct gsp *gossip, int64_t now_us, const struct mbr *members,
                struct msg_machine *out);

/*
 * Merges a message. Returns true when this agent knows something newer and
 * is to answer with its own entries; these go to `out`.
 */
bool gsp_on_members(struct gsp *gossip, int64_t now_us, struct mbr *members,
                    const struct msg_members *message, struct msg_machine *out,
                    size_t *out_count);

#endif
