#ifndef CH_RELAY_BACKEND_H
#define CH_RELAY_BACKEND_H

#include <stdint.h>
#include <uv.h>

#include "relay/relay.h"

/* HTTP links to searchers. The functions have the types of struct rly_calls;
 * `ctx` must be a struct srv. */

int bkd_connect(struct lnk *link, void *ctx);
int bkd_probe(struct lnk *link, void *ctx);
int bkd_shut_down(struct lnk *link, void *ctx);
void bkd_close(struct lnk *link, void *ctx);
int bkd_search(struct lnk *link, const struct job *job, int64_t budget_us,
               void *ctx);
int bkd_execute(struct lnk *link, const struct job *job, int64_t budget_us,
                void *ctx);

#endif
