#ifndef CH_GATEWAY_PREWARM_H
#define CH_GATEWAY_PREWARM_H

#include <glib.h>
#include <stdint.h>

#include "gateway/backend.h"
#include "gateway/config.h"

/*
 * Opens one link to each shard that a configuration newly names, before the
 * first search asks for it. A search that has to connect to all of its shards
 * at once gets many of their parts after its objective: after a start of this
 * VM and after an index was partitioned anew. The gateway owns the state;
 * links belong to the backend set.
 */

struct prewarm {
    GHashTable *services; /* set of names that wait for a link */
};

/* What limits the links of this VM. */
struct prewarm_bounds {
    const char *dc;          /* data centre of this VM, preferred */
    GHashTable *drained_dcs; /* set of names */
    uint32_t vms;            /* VMs that share the connections */
};

/* Links opened in one tick, so that requests are not delayed. */
#define PREWARM_LINKS_PER_TICK 64
/* No links are opened while this share of the links of the process is open. */
#define PREWARM_LINK_MAX_DIVISOR 2

void prewarm_init(struct prewarm *prewarm);

void prewarm_clear(struct prewarm *prewarm);

/* A configuration replaces the one before, which may be NULL: the services of
 * its gathering routes that are new wait for a link. */
void prewarm_on_config(struct prewarm *prewarm,
                       const struct gateway_config *before,
                       const struct gateway_config *after);

/* Opens links for services that wait and whose backend servers are known. */
void prewarm_tick(struct prewarm *prewarm, struct backend_set *set,
                  const struct prewarm_bounds *bounds,
                  const struct gateway_config *config, int64_t now_us);

#endif
