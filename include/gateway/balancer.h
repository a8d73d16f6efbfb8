#ifndef CH_GATEWAY_BALANCER_H
#define CH_GATEWAY_BALANCER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "gateway/backend.h"
#include "gateway/config.h"
#include "gateway/share.h"

/*
 * Load balancing: chooses the replica (backend server) of a service that gets
 * a request, by its expected time and within this VM's share of its limits.
 * The state is kept in the backend set, which belongs to the gateway. Times
 * are microseconds of the gateway's monotonic clock.
 */

/* Most attempts of one part that a request to the balancer lists. */
#define BALANCER_TRIED_MAX 6

struct balancer_bounds {
    uint32_t vms;             /* VMs that may be sending, this one included */
    struct share_place place; /* of this VM among them */
    double warmup_overshoot;
    uint32_t warmup_slack;
    int64_t leaving_use_us; /* as in gateway_bounds */
};

struct balancer_request {
    const struct service *service;
    const char *dc;          /* data centre of this VM */
    GHashTable *drained_dcs; /* set of data centres that get no requests */
    struct balancer_bounds bounds;
    /* Backend servers that were tried for this part, with a flag each. */
    const struct backend *tried[BALANCER_TRIED_MAX];
    /* It refused the request as full a moment ago; the part waits for it. */
    bool was_full[BALANCER_TRIED_MAX];
    uint32_t tried_count;
    /* Usual time of a part on this route without load, 0: unknown. */
    int64_t baseline_us;
    /* The request may wait until then for a backend server. */
    int64_t wait_until_us;
    bool is_hedge;      /* not sent to a loaded backend server */
    bool is_late;       /* spaced, so that late requests of all VMs fit */
    bool exclude_tried; /* never a backend server that was tried */
    /* May go to a backend server that was slow, to measure it again. */
    bool may_probe;
    double random; /* 0 to 1, chooses among equally good replicas */
};

/*
 * Chooses the replica with about the shortest expected time among those that
 * may get a request now. A leaving one is chosen only if no other one can be.
 * Returns RC_OK and sets `*out`; RC_LIMIT if those that could serve it are at
 * a limit of this VM; RC_BACKOFF if they want no requests for longer than this
 * one may wait; RC_LINK_FAILED if no connection to them can be established;
 * RC_ZONE_OUT if all are draining; RC_NO_SEARCHER if there is none.
 */
int balancer_choose(const struct backend_set *set,
                    const struct balancer_request *request, int64_t now_us,
                    struct backend **out);

/* Capacity of a service's backend servers for this VM. */
struct balancer_capacity {
    double per_s;       /* requests a second, 0: none can be used */
    int64_t latency_us; /* of the fastest, INT64_MAX: none can be used */
};

struct balancer_capacity
balancer_capacity(const struct backend_set *set,
                  const struct balancer_request *request, int64_t now_us);

/* Returns the time until a backend server of the service wants requests: 0 for
 * now, even if a limit of this VM delays them; INT64_MAX if there is none. */
int64_t balancer_usable_in_us(const struct backend_set *set,
                              const char *service, GHashTable *drained_dcs,
                              int64_t leaving_use_us, int64_t now_us);

/* Whether the backend server wants no requests now. */
bool balancer_is_unwanted(const struct backend *backend,
                          int64_t leaving_use_us, int64_t now_us);

/* A request is sent to the backend server: counts it against the rate limit
 * of a cold one, and spaces late requests. */
void balancer_on_send(struct backend *backend, bool is_late, uint32_t vms,
                      int64_t now_us);

#endif
