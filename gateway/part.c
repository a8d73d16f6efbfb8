#include "common/log.h"
#include "common/rc.h"
#include "gateway/request.h"

/* Links of other attempts are kept for this time after the part got its
 * answer: a late answer makes them reusable. */
#define PART_KEEP_US (1000 * 1000)
/* Delay until a search tries a full backend server again if no other one can
 * serve the part: about the time of two requests. */
#define PART_FULL_RETRY_US (20 * 1000)

struct attempt *
part_get_attempt(struct part *part, uint32_t i)
{
    return &part->attempts[i];
}

static bool
part_is_in_flight(const struct part *part)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        if (part->attempts[i].link != NULL) {
            return true;
        }
    }
    return false;
}

bool
part_is_worked_on(const struct part *part)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        const struct attempt *attempt = &part->attempts[i];
        if (attempt->link != NULL || attempt->is_abandoned) {
            return true;
        }
    }
    return false;
}

const struct attempt *
part_last_attempt(const struct part *part)
{
    const struct attempt *last = NULL;
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        const struct attempt *attempt = &part->attempts[i];
        if (last == NULL || attempt->started_us > last->started_us ||
            (attempt->started_us == last->started_us &&
             attempt->link != NULL)) {
            last = attempt;
        }
    }
    return last;
}

/* Returns how many attempts count against the limit: those that ran, may have
 * run, or are in flight. */
static uint32_t
part_run_count(const struct part *part)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        count += attempt_counts(&part->attempts[i]);
    }
    return count;
}

bool
part_may_have_run(const struct part *part)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        if (attempt_may_have_run(&part->attempts[i])) {
            return true;
        }
    }
    return false;
}

bool
part_was_sent(const struct part *part)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        if (attempt_was_sent(&part->attempts[i])) {
            return true;
        }
    }
    return false;
}

bool
part_may_attempt(const struct part *part)
{
    const struct route *route = part->request->route;
    if (part->attempt_count >= PART_ATTEMPTS_MAX) {
        return false;
    }
    if (!route->is_idempotent) {
        return part_run_count(part) == 0;
    }
    return part_run_count(part) < MAX(route->attempts_max, 1);
}

/* Returns until when the part may wait for a backend server: the objective of
 * its request, or the deadline if it has none or has missed it. */
static int64_t
part_wait_until_us(const struct part *part)
{
    const struct request *request = part->request;
    if (request->route->objective_us <= 0 || request->is_late) {
        return request->deadline_us;
    }
    int64_t objective_us = request->started_us - request->spent_us +
                           request->route->objective_us - FINISH_MARGIN_US;
    return MIN(objective_us, request->deadline_us);
}

int
part_choose(struct part *part, bool is_hedge, int64_t now_us,
            struct backend **out)
{
    struct gateway *gateway = part->request->gateway;
    bool is_idempotent = part->request->route->is_idempotent;
    struct balancer_request request =
        gateway_balancer_request(gateway, part->service, part->request->route);
    request.is_hedge = is_hedge;
    request.is_late = part->request->is_late;
    request.exclude_tried = is_hedge || !is_idempotent;
    request.may_probe = is_idempotent && part->attempt_count == 0;
    request.wait_until_us = part_wait_until_us(part);
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        const struct attempt *attempt = &part->attempts[i];
        /* The connection may have gone silent while the backend server works:
         * a hedge may go to the same one, on another connection. */
        bool is_silent = is_hedge && attempt->is_overdue &&
                         attempt->link != NULL &&
                         part->request->deadline_us - now_us > PART_OVERDUE_US;
        if (!is_silent) {
            request.tried[request.tried_count] = attempt->backend;
            request.was_full[request.tried_count] =
                part->request->route->is_gather && attempt->shed_us > 0 &&
                now_us - attempt->shed_us < PART_FULL_RETRY_US;
            request.tried_count += 1;
        }
    }
    return balancer_choose(&gateway->backends, &request, now_us, out);
}

static void
part_fail(struct part *part, int rc)
{
    part->state = PART_FAILED;
    part->rc = rc;
    part->request->failed_count += 1;
}

static void
part_enqueue(struct part *part)
{
    part->rc = RC_LIMIT;
    part->request->has_waited = true;
    if (part->queue_item.line == NULL) {
        queue_push(&part->request->gateway->queue, part->service->name,
                   &part->queue_item);
    }
}

/* Whether the deadline has passed: the process was paused, or events came
 * late. The caller no longer waits, and nothing is sent for it. */
static bool
part_is_expired(const struct part *part, int64_t now_us)
{
    return now_us >= part->request->deadline_us;
}

int
part_check(const struct part *part, int64_t now_us)
{
    if (part_is_expired(part, now_us)) {
        return RC_TOO_LATE;
    }
    if (!request_is_wanted(part->request, now_us)) {
        return RC_CANCELLED;
    }
    return request_may_start(part->request, now_us) ? RC_OK : RC_STOPPING;
}

/* Returns why the part fails after part_choose() returned `rc`, RC_OK if it
 * was not called. */
static int
part_end_rc(const struct part *part, int rc, int64_t now_us)
{
    int check_rc = part_check(part, now_us);
    if (check_rc != RC_OK) {
        return check_rc;
    }
    /* The reason of the last failed attempt is more specific. */
    return rc != RC_OK && part->attempt_count == 0 ? rc : part->rc;
}

/* Starts one attempt: its request is sent, or its link is connecting. Queues
 * the part if the usable backend servers are at a limit; fails it if none can
 * be used. */
static void
part_dispatch(struct part *part, int64_t now_us)
{
    struct backend *backend = NULL;
    int rc = RC_OK;
    if (part_may_attempt(part) && part_check(part, now_us) == RC_OK) {
        rc = part_choose(part, false, now_us, &backend);
    }
    if (rc == RC_LIMIT) {
        part_enqueue(part);
        return;
    }
    queue_remove(&part->request->gateway->queue, &part->queue_item);
    if (backend != NULL) {
        part_start_attempt(part, backend, now_us);
    }
    else if (!part_is_in_flight(part)) {
        part_fail(part, part_end_rc(part, rc, now_us));
    }
}

void
part_start(struct part *part, int64_t now_us)
{
    struct gateway *gateway = part->request->gateway;
    budget_earn(gateway_budget(gateway, part->service));
    if (queue_must_wait(&gateway->queue, part->service->name,
                        &part->queue_item)) {
        part_enqueue(part);
    }
    else {
        part_dispatch(part, now_us);
    }
}

bool
part_dispatch_waiting(struct part *part, int64_t now_us)
{
    part_dispatch(part, now_us);
    return part->queue_item.line == NULL;
}

/* Whether the part may be sent again after this failed attempt. Spends a token
 * of the retry budget if the attempt had been sent. */
static bool
part_may_retry(struct part *part, const struct attempt *attempt)
{
    struct gateway *gateway = part->request->gateway;
    if (!part_may_attempt(part)) {
        return false;
    }
    /* A request that was never sent put no load on a backend server. */
    if (!attempt_was_sent(attempt)) {
        return true;
    }
    if (!budget_spend(gateway_budget(gateway, part->service))) {
        counter_add(gateway->counters, "gateway_retries_refused", "budget");
        return false;
    }
    part->request->retry_count += 1;
    return true;
}

/* Whether the attempt failed for want of room in this VM. */
static bool
part_lacks_room(int rc)
{
    return rc == RC_NO_MEMORY || rc == RC_REPLY_NO_ROOM;
}

void
part_on_failure(struct attempt *attempt, int rc, int64_t now_us)
{
    struct part *part = attempt->part;
    struct gateway *gateway = part->request->gateway;
    attempt->link = NULL;
    part->rc = rc;
    if (rc == RC_SHED) {
        attempt->shed_us = now_us;
        backend_on_shed(attempt->backend, now_us);
    }
    else if (rc == RC_WRONG_BACKEND) {
        backend_on_wrong_id(attempt->backend, now_us);
    }
    else if (rc != RC_BACKOFF && rc != RC_TOO_LATE && rc != RC_CANCELLED &&
             rc != RC_STOPPING && !part_lacks_room(rc)) {
        backend_on_failure(attempt->backend, now_us);
    }
    if (part->state != PART_OPEN || part_is_in_flight(part)) {
        return;
    }
    /* With another backend server there would be no room either. */
    if (!part_lacks_room(rc) && part_may_retry(part, attempt)) {
        counter_add(gateway->counters, "gateway_retries", rc_name(rc));
        log_step("request",
                 "sending retry id=%s service=%s backend=%s rc=%s "
                 "age_us=%" G_GINT64_FORMAT " failures=%u",
                 part->request->params.id, part->service->name,
                 attempt->backend->id, rc_name(rc),
                 now_us - attempt->started_us,
                 attempt->backend->consecutive_failures);
        part_dispatch(part, now_us);
    }
    else {
        part_fail(part, rc);
    }
}

void
part_on_success(struct attempt *attempt, const struct backend_answer *answer,
                int64_t now_us)
{
    struct part *part = attempt->part;
    struct request *request = part->request;
    attempt->link = NULL;
    part->state = PART_DONE;
    part->stamp = g_strdup(answer->stamp);
    request->done_count += 1;
    gateway_add_sample(gateway_route_stats(request->gateway, request->route),
                       now_us - part->attempts[0].started_us);
    part_abandon(part, PART_KEEP_US, now_us);
}

/* Closes the attempt's link, or leaves it open for a late answer. */
static void
part_abandon_attempt(struct attempt *attempt, int64_t until_us)
{
    struct request *request = attempt->part->request;
    struct backend_link *link = attempt->link;
    if (link->backend->is_removed) {
        part_drop_link(attempt);
        return;
    }
    /* A link that is still connecting, or that gets a late answer, can be
     * reused. */
    attempt->link = NULL;
    attempt->is_abandoned = true;
    backend_abandon_link(link, request->serial, until_us);
}

void
part_abandon(struct part *part, int64_t keep_us, int64_t now_us)
{
    int64_t until_us = now_us + keep_us;
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        struct attempt *attempt = part_get_attempt(part, i);
        if (attempt->link != NULL) {
            part_abandon_attempt(attempt, until_us);
        }
        else if (attempt->is_abandoned) {
            backend_hasten_abandoned(attempt->backend, part->request->serial,
                                     until_us);
        }
    }
    queue_remove(&part->request->gateway->queue, &part->queue_item);
}
