#ifndef CH_GATEWAY_BALANCER_CHECK_H
#define CH_GATEWAY_BALANCER_CHECK_H

#include "gateway/balancer.h"

/*
 * Which backend servers may get a request now, within this VM's share of their
 * limits. Internal to the balancer: only balancer.c and balancer_check.c
 * include it; other files use gateway/balancer.h.
 */

/* Whether the backend server was tried for this part. */
bool balancer_is_tried(const struct balancer_request *request,
                       const struct backend *backend);

/* Returns how many requests this VM may have in flight at the backend server.
 */
uint32_t balancer_request_limit(const struct balancer_request *request,
                                const struct backend *backend);

/* Returns RC_OK if the backend server may get the request now, or why not, as
 * balancer_choose() does. */
int balancer_check(const struct backend_set *set,
                   const struct balancer_request *request,
                   const struct backend *backend, int64_t now_us);

#endif
