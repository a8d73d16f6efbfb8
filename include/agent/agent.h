#ifndef CH_AGENT_AGENT_H
#define CH_AGENT_AGENT_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "agent/contract.h"
#include "agent/gossip.h"
#include "agent/lease.h"
#include "agent/member.h"
#include "agent/options.h"
#include "agent/peer.h"
#include "agent/revision.h"
#include "agent/store.h"
#include "agent/subscriber.h"
#include "common/http_server.h"

struct agent_cell;
struct agent_poll;

/* The control process: decision modules and the I/O around them. */
struct agent {
    const struct agent_options *options;
    uv_loop_t *loop;
    uint64_t start;
    struct cnt_set *counters;
    struct lse *lease;
    struct ctr *contracts;
    struct rev *revision;
    struct mbr *members;
    struct gsp *gossip;
    struct prs *peers;
    struct sub *subscribers;
    struct sto *store;
    struct hsv_server *http;
    struct agent_cell *cell;
    struct agent_poll *poll;
    uv_timer_t timer;
    char **bootstrap; /* addresses of --peers */
    /* Random machines whose connections open before their gossip is sent. */
    char *picks[GSP_FANOUT];
    bool is_gossip_due; /* before the period ends */
    bool is_leaving;
    int64_t leaving_us;
    uint64_t self_beat; /* when the last gossip was sent */
    bool is_stopped;
    /* STATE is to be sent before anything else goes to subscribers. */
    bool is_changed;
    uint64_t published_term;
    int64_t published_until_us;
    uint64_t members_hash; /* what STATE says of the machines */
    uint64_t holders_hash; /* which machines can hold contracts */
    struct ctr_machine *machines;
    struct ctr_view view;
};

/* The monotonic clock that the agent shares with its subscribers. */
int64_t agent_now_us(void);

/* Starts all parts. Returns RC_OK or RC_IO. */
int agent_open(struct agent *agent, uv_loop_t *loop,
               const struct agent_options *options);

/* Begins a planned stop; the loop ends when it is done. */
void agent_stop(struct agent *agent);

void agent_close(struct agent *agent);

/* Builds what contract decisions depend on; valid until the next call. */
const struct ctr_view *agent_view(struct agent *agent, int64_t now_us);

/* Decides about contracts, then publishes; call after store replies. */
void agent_after_event(struct agent *agent);

/* Sends STATE and LEASE to entry and relay when they changed. */
void agent_publish(struct agent *agent);

/*
 * Offers a configuration from any source. Returns the code of rev_offer();
 * `*error` may be NULL.
 */
int agent_offer_config(struct agent *agent, const char *source,
                       uint64_t number, uint64_t digest, const char *json,
                       size_t json_bytes, char **error);

enum msg_machine_state agent_machine_state(struct agent *agent, int64_t now_us,
                                           const struct mbr_machine *machine);

/* agent/dispatch.c: a message from a peer, entry or relay. */
void agent_on_message(void *ctx, const struct prs_from *from,
                      const struct msg *msg);

/* agent/talk.c: beats and gossip to other agents. */
void agent_send_to_machine(void *ctx, const char *machine, enum msg_type type,
                           const void *body);
void agent_gossip_tick(struct agent *agent, int64_t now_us);

/* agent/cell.c: the cell object. */
struct agent_cell *agent_cell_new(struct agent *agent);
void agent_cell_free(struct agent_cell *cell);
void agent_cell_tick(struct agent_cell *cell, int64_t now_us);
/* Takes a version that a peer adopted. */
void agent_cell_on_peer(struct agent_cell *cell, int64_t now_us,
                        const struct msg_cell *message);
/* Fills the message with the adopted version; `members` is its storage. */
void agent_cell_describe(const struct agent *agent,
                         struct msg_member members[LSE_CELL_MAX],
                         struct msg_cell *out);

/* agent/poll.c: lists on timers, watches as hints. */
struct agent_poll *agent_poll_new(struct agent *agent);
void agent_poll_free(struct agent_poll *poll);
void agent_poll_tick(struct agent_poll *poll, int64_t now_us);
/* True once the platform's list of VMs was read. */
bool agent_poll_has_vms(const struct agent_poll *poll);

/* agent/write.c: contract updates. */
void agent_write_contract(void *ctx, uint64_t version,
                          const struct msg_holder *value);
void agent_read_contract(void *ctx, const char *service, const char *instance);

/* agent/operator.c: HTTP for operators. */
void agent_on_request(struct hsv_request *request, void *ctx);

#endif
