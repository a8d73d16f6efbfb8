#ifndef CH_AGENT_PEER_H
#define CH_AGENT_PEER_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "common/counter.h"
#include "common/msg.h"
#include "common/zsock.h"

/* Connections to other agents and the server that they and ours use. */

struct prs;

/* Where a message came from; valid during the call. */
struct prs_from {
    struct zsk_socket *socket;
    const struct zsk_peer *peer;
};

typedef void (*prs_receive_cb)(void *ctx, const struct prs_from *from,
                               const struct msg *msg);

/* Returns RC_OK or RC_IO. */
int prs_open(uv_loop_t *loop, const char *listen, struct cnt_set *counters,
             prs_receive_cb receive, void *ctx, struct prs **out);

void prs_close(struct prs *peers);

/*
 * For tests: drops this share of the messages received from other agents at
 * random. Messages of the local entry and relay are not affected.
 */
void prs_set_drop(struct prs *peers, uint32_t permille);

/* Makes sure that there is a connection to the address, without sending. */
void prs_connect(struct prs *peers, const char *address, int64_t now_us);

/*
 * Sends to an agent, connecting first when needed. Returns RC_OK or
 * RC_AGAIN; a message that meets no connection is dropped.
 */
int prs_send(struct prs *peers, const char *address, int64_t now_us,
             enum msg_type type, const void *body);

/* Answers on the connection that a message came from. */
int prs_reply(struct prs *peers, const struct prs_from *from,
              enum msg_type type, const void *body);

/* Sends to a client of the server, such as a subscriber. */
int prs_send_client(struct prs *peers, const struct zsk_peer *client,
                    enum msg_type type, const void *body);

/* Closes connections that were not used for 10 s. */
void prs_tick(struct prs *peers, int64_t now_us);

/* Connections to other agents that are open. */
size_t prs_count(const struct prs *peers);

#endif
