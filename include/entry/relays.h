#ifndef CH_ENTRY_RELAYS_H
#define CH_ENTRY_RELAYS_H

#include <stdint.h>

#include "entry/app.h"

/* ZeroMQ clients to the relays of all machines. */

struct rly *rly_open(struct app *app);

void rly_close(struct rly *relays);

/* Connects to new machines and forgets those that are gone. */
void rly_update(struct rly *relays, int64_t now_us);

/* Sends HELLO when due and drops the offers of silent relays. */
void rly_tick(struct rly *relays, int64_t now_us);

/* Callbacks of gather and order; `ctx` is the app. */
int rly_send_query(void *ctx, uint32_t relay, const struct msg_query *query);
void rly_send_cancel(void *ctx, uint32_t relay, uint64_t qid);
int rly_send_exec(void *ctx, uint32_t relay, const struct msg_exec *exec);

#endif
