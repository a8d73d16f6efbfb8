#ifndef CH_RELAY_ORDER_H
#define CH_RELAY_ORDER_H

#include <stdint.h>

#include "common/msg.h"
#include "relay/query.h"

/* One EXEC. */
struct ord {
    struct qry_key key; /* must be first */
    struct rly *rly;
    char *id;
    void *body;
    int64_t deadline_us;
    struct job job;
};

void ord_start(struct rly *rly, const struct zsk_peer *peer,
               const struct msg_exec *exec, int64_t now_us);

/* Ends the order: "not run" while it waits, else "outcome unknown". */
void ord_expire(struct ord *order, int64_t now_us);

/* Takes an order back that was not sent; one that was sent goes on. */
void ord_cancel(struct ord *order, int64_t now_us);

#endif
