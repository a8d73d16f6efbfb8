#ifndef CH_ENTRY_PEERS_H
#define CH_ENTRY_PEERS_H

#include "entry/app.h"

/* ZeroMQ server for, and clients to, the entries of other machines. */

/* Listens for ORDER. Returns RC_OK or RC_IO. */
int prs_open(struct app *app, struct prs **out);

void prs_close(struct prs *peers);

/*
 * Notes the addresses in a STATE. They are kept for as long as an id is valid
 * after a machine was last named: its agent may stop before its entry.
 */
void prs_learn(struct prs *peers, const struct msg_state *state,
               int64_t now_us);

/* Whether an address of the machine's entry is known. */
bool prs_knows(const struct prs *peers, const char *machine);

/* Callback of forward; `ctx` is the app. Connects when necessary. */
int prs_send_order(void *ctx, const char *machine,
                   const struct msg_order *order);

#endif
