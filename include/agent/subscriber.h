#ifndef CH_AGENT_SUBSCRIBER_H
#define CH_AGENT_SUBSCRIBER_H

#include <stdbool.h>
#include <stdint.h>

#include "agent/peer.h"
#include "common/counter.h"
#include "common/msg.h"

/* The local entry and relay: what they were told and whether they live. */

/* A subscriber whose connection is open but that says nothing hangs. */
#define SUB_SILENCE_US (INT64_C(6) * 1000 * 1000)
/* A subscriber that cannot be reached for this long has exited. One that
 * reconnects says SUBSCRIBE within 600 ms: it connects again after 50 ms and
 * repeats SUBSCRIBE each 500 ms. */
#define SUB_UNREACHED_US (INT64_C(1000) * 1000)
#define SUB_STATE_US (INT64_C(1000) * 1000)
/* A new entry needs two HELLO intervals to know which relay holds what. */
#define SUB_ENTRY_READY_US (INT64_C(1000) * 1000)
/* A stopping subscriber without a connection for this long has exited. */
#define SUB_GONE_US (INT64_C(200) * 1000)

struct sub;

enum sub_relay {
    SUB_RELAY_NONE,     /* no relay is subscribed */
    SUB_RELAY_STOPPING, /* it said STOPPING */
    SUB_RELAY_UP,
};

/* Sends to a subscriber. Returns RC_AGAIN when it has no connection. */
typedef int (*sub_send_cb)(void *ctx, const struct zsk_peer *client,
                           enum msg_type type, const void *body);

struct sub *sub_new(sub_send_cb send, void *ctx, struct cnt_set *counters);

void sub_free(struct sub *subscribers);

/*
 * Notes a SUBSCRIBE. Returns true when a relay process took the place of an
 * earlier one, so that nothing of the earlier one runs any more.
 */
bool sub_on_subscribe(struct sub *subscribers, int64_t now_us,
                      const struct prs_from *from,
                      const struct msg_subscribe *message);

void sub_on_stopping(struct sub *subscribers, const struct prs_from *from,
                     const struct msg_stopping *message);

/* Drops subscribers that are silent or cannot be reached. */
void sub_tick(struct sub *subscribers, int64_t now_us);

enum sub_relay sub_relay_state(const struct sub *subscribers);

/* Whether the entry can be given to callers: it is not stopping and has had a
 * configuration for SUB_ENTRY_READY_US. */
bool sub_is_entry_ready(const struct sub *subscribers, int64_t now_us);

/*
 * Since when nothing was sent to the last relay that was dropped, INT64_MIN /
 * 2 when there was none.
 */
int64_t sub_relay_lost_us(const struct sub *subscribers);

/* True while a subscriber that said STOPPING has not exited. */
bool sub_is_any_stopping(const struct sub *subscribers, int64_t now_us);

/* True when some subscriber has not had a STATE yet or is due for one. */
bool sub_is_due(const struct sub *subscribers, int64_t now_us);

/*
 * Sends STATE to all. `state->config` holds the document; it is left out for
 * those who had this revision in this subscription.
 */
void sub_send_state(struct sub *subscribers, int64_t now_us,
                    struct msg_state *state);

/*
 * Sends LEASE to those that have the newest STATE: a relay that missed one
 * could go on with a contract that is no longer its own.
 */
void sub_send_lease(struct sub *subscribers, int64_t now_us,
                    const struct msg_lease *lease);

#endif
