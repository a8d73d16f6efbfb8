#include "common/log.h"
#include "common/rc.h"
#include "gateway/record.h"
#include "gateway/request.h"
#include "gateway/share.h"

/* Events of links to backend servers: connected, answered, lost. What an
 * answer says of its backend server is noted, the link is kept or closed, and
 * the attempt that waited is completed. */

/* Closes idle links to the backend server: all if there are more VMs than it
 * has connections, and those beyond this VM's part of a limit that was
 * lowered. */
static void
gateway_close_surplus_links(struct gateway *gateway, struct backend *backend)
{
    const struct service *service =
        gateway_find_service(gateway, backend->service);
    if (service == NULL) {
        return;
    }
    uint32_t max = service->connections_max;
    if (!share_has_connection(max, gateway->vms)) {
        backend_close_idle_links(&gateway->backends, backend);
    }
    backend_close_surplus_links(&gateway->backends, backend,
                                share_connections_max(max, gateway->vms));
}

void
gateway_on_connected(struct gateway *gateway, struct backend_link *link,
                     int rc, int64_t now_us)
{
    struct attempt *attempt = link->attempt;
    if (rc != RC_OK) {
        backend_on_connect_failure(link->backend, now_us);
        gateway_on_lost(gateway, link, rc, now_us);
        return;
    }
    backend_on_connected(link->backend);
    if (attempt == NULL) {
        struct backend *backend = backend_ref(link->backend);
        backend_release_link(link, BACKEND_IDLE_MAX_US, now_us);
        gateway_dispatch(gateway, backend->service, now_us);
        gateway_close_surplus_links(gateway, backend);
        backend_unref(backend);
        return;
    }
    struct request *request = attempt->part->request;
    request_hold(request);
    part_on_connected(attempt, now_us);
    gateway_advance(request, now_us);
    request_release(request);
}

/* Keeps the link of an answered request for reuse, or closes it. */
static void
gateway_release_link(struct gateway *gateway, struct backend_link *link,
                     const struct backend_answer *answer, int64_t now_us)
{
    struct backend *backend = link->backend;
    bool is_usable =
        answer->is_reusable && !backend->is_draining && !backend->is_removed;
    if (is_usable) {
        backend_release_link(link, answer->keepalive_us, now_us);
    }
    else {
        backend_close_link(&gateway->backends, link);
    }
}

/* Notes that the backend server is leaving. If another one answered at its
 * address, it is that one that is leaving. */
static void
gateway_on_leaving(struct gateway *gateway, const struct backend *backend,
                   const struct backend_answer *answer, int64_t now_us)
{
    const struct backend *leaving =
        answer->rc == RC_WRONG_BACKEND
            ? backend_find_at_same_address(&gateway->backends, backend)
            : backend;
    if (leaving == NULL ||
        !backend_on_leaving(&gateway->backends, leaving->id,
                            leaving->started_unix_ms, now_us)) {
        return;
    }
    counter_add(gateway->counters, "gateway_leaving", "answer");
    log_info("backend", "backend server says it is leaving id=%s service=%s",
             leaving->id, leaving->service);
}

/*
 * Obeys the Retry-After of a rejection. With 503 the backend server wants no
 * requests at all. 429 concerns the rate of requests: others are preferred
 * meanwhile, but a request that only this one can serve may still be accepted.
 */
static void
gateway_on_retry_after(struct gateway *gateway, struct backend *backend,
                       const struct backend_answer *answer, int64_t now_us)
{
    if (answer->status == 429) {
        backend_prefer_others(backend, answer->retry_after_us, now_us);
        counter_add(gateway->counters, "gateway_backoffs", "429");
        return;
    }
    if (answer->status != 503) {
        return;
    }
    counter_add(gateway->counters, "gateway_backoffs", "503");
    if (notice_on_backoff(&backend->notice, answer->retry_after_us, now_us)) {
        log_info("backend",
                 "backend server wants no requests id=%s service=%s "
                 "for_ms=%" G_GINT64_FORMAT,
                 backend->id, backend->service, answer->retry_after_us / 1000);
    }
}

/* Updates the state of the backend server from its answer. */
static void
gateway_update_backend(struct gateway *gateway, struct backend_link *link,
                       const struct backend_answer *answer, int64_t now_us)
{
    struct backend *backend = link->backend;
    if (answer->start != 0) {
        backend_record_start(backend, answer->start,
                             gateway_warmup_us(gateway, backend->service),
                             now_us);
    }
    if (answer->warmup_us >= 0) {
        backend->cold_until_us = now_us + answer->warmup_us;
    }
    if (answer->is_leaving) {
        gateway_on_leaving(gateway, backend, answer, now_us);
    }
    if (answer->retry_after_us > 0) {
        gateway_on_retry_after(gateway, backend, answer, now_us);
    }
    if (answer->rc == RC_OK) {
        backend_on_answer(backend, now_us - link->state_since_us);
    }
}

/* Adds the body of a part to the answer of its request. Returns RC_OK, or
 * RC_REPLY_NO_ROOM without adding anything. */
static int
gateway_merge_part(struct request *request,
                   const struct backend_answer *answer)
{
    int rc = request->route->has_records
                 ? record_add(request->records, answer->body,
                              answer->body_bytes, request->route->record_limit)
                 : buffer_append(request->records, answer->body,
                                 answer->body_bytes);
    return rc == RC_OK ? RC_OK : RC_REPLY_NO_ROOM;
}

/* Completes the attempt with its answer; advances or ends its request. */
static void
gateway_handle_answer(struct gateway *gateway, struct attempt *attempt,
                      const struct backend_answer *answer, int64_t now_us)
{
    struct part *part = attempt->part;
    struct request *request = part->request;
    request_hold(request);
    if (answer->says_not_run) {
        attempt_on_rejected(attempt);
    }
    int rc = answer->rc;
    if (rc == RC_OK && request->route->is_gather && part->state == PART_OPEN) {
        rc = gateway_merge_part(request, answer);
    }
    if (rc != RC_OK) {
        part_on_failure(attempt, rc, now_us);
        if (part->state == PART_FAILED && answer->rc == RC_BACKEND_ERROR &&
            !request->route->is_gather) {
            request_answer_single(request, answer, now_us);
            request_release(request);
            return;
        }
    }
    else {
        part_on_success(attempt, answer, now_us);
        if (!request->route->is_gather) {
            request_answer_single(request, answer, now_us);
            request_release(request);
            return;
        }
    }
    gateway_advance(request, now_us);
    request_release(request);
}

void
gateway_on_answer(struct gateway *gateway, struct backend_link *link,
                  const struct backend_answer *answer, int64_t now_us)
{
    struct attempt *attempt = link->attempt;
    struct backend *backend = backend_ref(link->backend);
    gateway_update_backend(gateway, link, answer, now_us);
    gateway_release_link(gateway, link, answer, now_us);
    if (attempt != NULL) {
        gateway_handle_answer(gateway, attempt, answer, now_us);
    }
    gateway_dispatch(gateway, backend->service, now_us);
    gateway_close_surplus_links(gateway, backend);
    backend_unref(backend);
}

void
gateway_on_lost(struct gateway *gateway, struct backend_link *link, int rc,
                int64_t now_us)
{
    struct attempt *attempt = link->attempt;
    struct backend *backend = backend_ref(link->backend);
    backend_close_link(&gateway->backends, link);
    if (attempt != NULL) {
        counter_add(gateway->counters, "gateway_links_lost", rc_name(rc));
        struct request *request = attempt->part->request;
        request_hold(request);
        part_on_failure(attempt, rc, now_us);
        gateway_advance(request, now_us);
        request_release(request);
    }
    gateway_dispatch(gateway, backend->service, now_us);
    backend_unref(backend);
}

void
gateway_on_peer_leaving(struct gateway *gateway, const char *id,
                        int64_t started_unix_ms, int64_t now_us)
{
    if (!backend_on_leaving(&gateway->backends, id, started_unix_ms, now_us)) {
        return;
    }
    counter_add(gateway->counters, "gateway_leaving", "peer");
    log_info("backend",
             "another VM says that the backend server is leaving "
             "id=%s",
             id);
}
