#ifndef CH_GATEWAY_BALANCER_H
#define CH_GATEWAY_BALANCER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "gateway/backend.h"
#include "gateway/config.h"

/* Which replica gets a request. */

#define BALANCER_TRIED_MAX 6

struct balancer_bounds {
    uint32_t vms; /* that may be sending, this one included */
    double warmup_overshoot;
    uint32_t warmup_slack;
};

struct balancer_request {
    const struct service *service;
    const char *dc;          /* of this VM */
    GHashTable *drained_dcs; /* set of data centres that get nothing */
    struct balancer_bounds bounds;
    const struct backend *tried[BALANCER_TRIED_MAX];
    bool connect_failed[BALANCER_TRIED_MAX]; /* its connection failed just now
                                              */
    bool was_full[BALANCER_TRIED_MAX]; /* it was full just now, and is waited
                                         for */
    uint32_t tried_count;
    /* Usual time of a request on this route without load, 0: not known. */
    int64_t baseline_us;
    bool is_hedge;      /* is not sent to one that is loaded */
    bool is_late;       /* takes turns with the late ones of the other VMs */
    bool exclude_tried; /* never one that was tried */
    bool may_probe; /* may go to one that was slow, to see whether it still is
                     */
    double random;  /* 0 to 1, chooses among replicas that are as good */
};

/*
 * The replica with the shortest expected time that may get a request now.
 * Returns RC_OK and sets `*out`; RC_LIMIT when those that could serve it are
 * at a limit of this VM; RC_ZONE_OUT when all are draining; RC_NO_SEARCHER
 * when there is none.
 */
int balancer_choose(const struct backend_set *set,
                    const struct balancer_request *request, int64_t now_us,
                    struct backend **out);

/* What the backend servers of a service do for this VM. */
struct balancer_capacity {
    double per_s;       /* requests, 0: none can be used */
    int64_t latency_us; /* of the fastest, INT64_MAX: none can be used */
};

struct balancer_capacity
balancer_capacity(const struct backend_set *set,
                  const struct balancer_request *request, int64_t now_us);

/* Whether any backend server of the service may get requests, now or as soon
 * as this VM's limits allow. */
bool balancer_can_serve(const struct backend_set *set, const char *service,
                        GHashTable *drained_dcs);

/* Notes that a request is sent; a cold backend server's rate counts it. */
void balancer_on_send(struct backend *backend, bool is_late, uint32_t vms,
                      int64_t now_us);

#endif
