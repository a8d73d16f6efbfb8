#ifndef CH_ENTRY_AGENT_LINK_H
#define CH_ENTRY_AGENT_LINK_H

#include <stdint.h>

#include "entry/app.h"

/* Subscription to the local agent. */

/* Returns RC_OK or RC_IO. */
int agl_open(struct app *app, struct agl **out);

void agl_close(struct agl *agent);

/* Sends SUBSCRIBE, and STOPPING while draining, when they are due. */
void agl_tick(struct agl *agent, int64_t now_us);

/* Makes agl_tick() send at once. */
void agl_hurry(struct agl *agent);

#endif
