#include "common/log.h"
#include "common/rc.h"
#include "gateway/request.h"

/* What becomes due while a part waits for its answer: hedges, attempts that
 * count as failed, and connections that are not established in time. */

/* Delay until a part whose hedge was refused tries to hedge again. */
#define PART_HEDGE_RETRY_US (20 * 1000)

/* Sends the part to a second replica while the first one may still answer. */
static void
part_hedge(struct part *part, int64_t now_us)
{
    struct gateway *gateway = part->request->gateway;
    struct budget *budget = gateway_budget(gateway, part->service);
    struct backend *backend = NULL;
    if (!request_is_wanted(part->request, now_us)) {
        return; /* request_advance() follows and cancels the request. */
    }
    if (part_choose(part, true, now_us, &backend) != RC_OK) {
        part->next_hedge_us = now_us + PART_HEDGE_RETRY_US;
        counter_add(gateway->counters, "gateway_hedges_refused", "no_backend");
        return;
    }
    const struct attempt *last = part_last_attempt(part);
    bool has_token = !part_was_sent(part);
    if (!has_token) {
        /* After an overdue attempt, which counts as failed, the hedge replaces
         * it and may also use the reserve of the budget. */
        has_token = last->is_overdue ? budget_spend(budget)
                                     : budget_spend_optional(budget);
    }
    if (!has_token) {
        part->next_hedge_us = now_us + PART_HEDGE_RETRY_US;
        counter_add(gateway->counters, "gateway_hedges_refused", "budget");
        return;
    }
    log_step(
        "request",
        "sending hedge id=%s service=%s backend=%s age_us=%" G_GINT64_FORMAT
        " to=%s to_usual_us=%" G_GINT64_FORMAT " extra_sends_left=%u",
        part->request->params.id, part->service->name, last->backend->id,
        now_us - last->started_us, backend->id, backend->latency_us,
        (uint32_t)(budget->millitokens / 1000));
    part_start_attempt(part, backend, now_us);
    part->request->hedge_count += 1;
    counter_add(gateway->counters, "gateway_hedges", NULL);
}

/* Returns when a hedge of the part is due, INT64_MAX for never. */
static int64_t
part_hedge_us(const struct part *part)
{
    const struct request *request = part->request;
    const struct attempt *last = part_last_attempt(part);
    if (!request->route->is_idempotent || part->service->is_unhedged ||
        last == NULL || last->link == NULL || !part_may_attempt(part)) {
        return INT64_MAX;
    }
    struct hedge *hedge =
        &gateway_route_stats(request->gateway, request->route)->hedge;
    int64_t budget_us = request->route->objective_us > 0
                            ? request->route->objective_us
                            : request->deadline_us - request->started_us;
    return MAX(last->started_us + hedge_delay_us(hedge, budget_us),
               part->next_hedge_us);
}

/* Marks attempts that are overdue, and counts each as a failure of its backend
 * server. Returns when the next one becomes overdue. */
static int64_t
part_mark_overdue(struct part *part, int64_t now_us)
{
    int64_t due_us = INT64_MAX;
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        struct attempt *attempt = part_get_attempt(part, i);
        if (attempt->link == NULL || attempt->is_overdue) {
            continue;
        }
        int64_t overdue_us =
            attempt->started_us +
            MAX(PART_OVERDUE_US, attempt->backend->latency_us * 4);
        if (now_us < overdue_us) {
            due_us = MIN(due_us, overdue_us);
            continue;
        }
        attempt->is_overdue = true;
        struct gateway *gateway = part->request->gateway;
        *counter_get(gateway->counters, "gateway_links_lost", "silent") +=
            backend_on_overdue(&gateway->backends, attempt->backend,
                               attempt->started_us, now_us);
    }
    return due_us;
}

/* Ends attempts whose connection was not established in time. */
static void
part_abort_connecting(struct part *part, int64_t now_us)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        struct attempt *attempt = part_get_attempt(part, i);
        if (attempt->link != NULL &&
            attempt->link->state == BACKEND_CONNECTING &&
            now_us - attempt->started_us >= BACKEND_CONNECT_MAX_US) {
            backend_on_connect_failure(attempt->backend, now_us);
            part_drop_link(attempt);
            part_on_failure(attempt, RC_LINK_FAILED, now_us);
        }
    }
}

int64_t
part_tick(struct part *part, int64_t now_us)
{
    if (part->state != PART_OPEN) {
        return INT64_MAX;
    }
    part_abort_connecting(part, now_us);
    if (part->state == PART_OPEN && now_us >= part_hedge_us(part)) {
        part_hedge(part, now_us);
    }
    if (part->state != PART_OPEN) {
        return INT64_MAX;
    }
    int64_t due_us = part_mark_overdue(part, now_us);
    due_us = MIN(due_us, part_hedge_us(part));
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        const struct attempt *attempt = part_get_attempt(part, i);
        if (attempt->link != NULL &&
            attempt->link->state == BACKEND_CONNECTING) {
            due_us = MIN(due_us, attempt->started_us + BACKEND_CONNECT_MAX_US);
        }
    }
    return due_us;
}
