#ifndef CH_RELAY_ORDER_H
#define CH_RELAY_ORDER_H

#include <stdint.h>

#include "common/msg.h"
#include "relay/query.h"

/* One EXEC. */
struct exe {
    struct qry_key key; /* must be first */
    struct rly *rly;
    char *id;
    void *body;
    int64_t deadline_us;
    struct job job;
};

void exe_start(struct rly *rly, const struct zsk_peer *peer,
               const struct msg_exec *exec, int64_t now_us);

/* Ends the order: "not run" while it waits, else "outcome unknown". */
void exe_expire(struct exe *order, int64_t now_us);

/* Takes an order back that was not sent; one that was sent goes on. */
void exe_cancel(struct exe *order, int64_t now_us);

#endif
