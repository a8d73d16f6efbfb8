#include "common/rc.h"
#include "gateway/request.h"

/* Sends an attempt of a part: on an idle link, or on a new one once it is
 * connected. */

/* A non-idempotent request is not sent on a link that was idle for at least
 * this time. */
#define PART_NON_IDEMPOTENT_IDLE_US (1000 * 1000)

/* Sends the request on the attempt's link. Returns RC_OK or an error code. */
static int
part_send(struct attempt *attempt, int64_t now_us)
{
    struct request *request = attempt->part->request;
    struct gateway *gateway = request->gateway;
    backend_acquire_link(attempt->link, attempt, now_us);
    struct attempt_send send = {
        .request = &request->params,
        .route = request->route,
        .target = attempt->part->target,
        .left_us = request->deadline_us - now_us,
    };
    int rc = gateway->callbacks->send(attempt->link, &send, gateway->ctx);
    if (rc != RC_OK) {
        return rc;
    }
    attempt_on_sent(attempt);
    request->send_count += 1;
    bool is_remote = g_strcmp0(attempt->backend->dc, gateway->dc) != 0;
    counter_add(gateway->counters, "gateway_sends",
                is_remote ? "remote" : "local");
    balancer_on_send(attempt->backend, request->is_late, gateway->vms, now_us);
    return RC_OK;
}

void
part_drop_link(struct attempt *attempt)
{
    struct backend_link *link = attempt->link;
    attempt->link = NULL;
    if (link != NULL) {
        backend_close_link(&attempt->part->request->gateway->backends, link);
    }
}

/*
 * Returns an idle link for the part, or NULL if a new one is needed. A backend
 * server may have dropped a connection that was idle for a while and reset
 * what is sent on it; a non-idempotent request could not be sent again then,
 * so it gets a new link.
 */
static struct backend_link *
part_idle_link(const struct part *part, struct backend *backend,
               int64_t now_us)
{
    struct backend_link *link = backend_idle_link(backend, now_us);
    if (link == NULL || part->request->route->is_idempotent ||
        now_us - link->state_since_us < PART_NON_IDEMPOTENT_IDLE_US) {
        return link;
    }
    backend_close_link(&part->request->gateway->backends, link);
    return NULL;
}

/*
 * Returns the slot for a new attempt. In a search it reuses the slot of an
 * earlier attempt at the same backend server that certainly has not run, so
 * that failed connections and refusals do not use up the attempts of a shard.
 */
static struct attempt *
part_new_attempt(struct part *part, struct backend *backend)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        struct attempt *attempt = part_get_attempt(part, i);
        if (part->request->route->is_gather && attempt->backend == backend &&
            attempt->link == NULL && !attempt_may_have_run(attempt)) {
            return attempt;
        }
    }
    struct attempt *attempt = part_get_attempt(part, part->attempt_count);
    *attempt = (struct attempt){.backend = backend_ref(backend)};
    part->attempt_count += 1;
    return attempt;
}

/* This VM has no room to send the request: the link stays for others. */
static void
part_on_no_room(struct attempt *attempt, int64_t now_us)
{
    struct backend_link *link = attempt->link;
    int64_t keepalive_us = link->expires_us > now_us
                               ? link->expires_us - now_us
                               : BACKEND_IDLE_MAX_US;
    backend_release_link(link, keepalive_us, now_us);
    part_on_failure(attempt, RC_NO_MEMORY, now_us);
}

void
part_start_attempt(struct part *part, struct backend *backend, int64_t now_us)
{
    struct gateway *gateway = part->request->gateway;
    struct attempt *attempt = part_new_attempt(part, backend);
    *attempt = (struct attempt){
        .part = part,
        .backend = attempt->backend,
        .started_us = now_us,
    };
    attempt->link = part_idle_link(part, backend, now_us);
    int rc = attempt->link != NULL ? part_send(attempt, now_us) : RC_OK;
    if (rc == RC_NO_MEMORY) {
        part_on_no_room(attempt, now_us);
        return;
    }
    if (rc != RC_OK) {
        part_drop_link(attempt);
    }
    if (attempt->link == NULL) {
        attempt->link =
            backend_open_link(&gateway->backends, backend, attempt, now_us);
    }
}

/* Returns RC_OK if the request may still be sent now that its connection is
 * established, or why not. */
static int
part_check_send(const struct attempt *attempt, int64_t now_us)
{
    const struct gateway *gateway = attempt->part->request->gateway;
    int rc = part_check(attempt->part, now_us);
    if (rc != RC_OK) {
        return rc;
    }
    return balancer_is_unwanted(attempt->backend,
                                gateway->bounds.leaving_use_us, now_us)
               ? RC_BACKOFF
               : RC_OK;
}

void
part_on_connected(struct attempt *attempt, int64_t now_us)
{
    int rc = part_check_send(attempt, now_us);
    if (rc != RC_OK) {
        backend_release_link(attempt->link, BACKEND_IDLE_MAX_US, now_us);
        part_on_failure(attempt, rc, now_us);
        return;
    }
    rc = part_send(attempt, now_us);
    if (rc == RC_NO_MEMORY) {
        part_on_no_room(attempt, now_us);
    }
    else if (rc != RC_OK) {
        part_drop_link(attempt);
        part_on_failure(attempt, RC_LINK_FAILED, now_us);
    }
}
