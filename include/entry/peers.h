#ifndef CH_ENTRY_PEERS_H
#define CH_ENTRY_PEERS_H

#include "entry/app.h"

/* ZeroMQ server for, and clients to, the entries of other machines. */

/* Listens for ORDER. Returns RC_OK or RC_IO. */
int prs_open(struct app *app, struct prs **out);

void prs_close(struct prs *peers);

/* Callback of forward; `ctx` is the app. Connects when necessary. */
int prs_send_order(void *ctx, const char *machine,
                   const struct msg_order *order);

#endif
