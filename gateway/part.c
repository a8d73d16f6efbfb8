#include "common/log.h"
#include "common/rc.h"
#include "gateway/request.h"

/* An attempt unanswered for this long counts as a failure of the backend
 * server: longer than its usual pauses. */
#define PRT_OVERDUE_US (250 * 1000)
/* A link of a request that has its answer is kept this long for reuse. */
#define PRT_KEEP_US (1000 * 1000)
/* A request that cannot be repeated is not sent on a link that was idle for
 * longer. */
#define PRT_ONCE_IDLE_US (1000 * 1000)
/* A backend server that refused the connection may be asked again after this
 * time, earlier if there is no other one. */
#define PRT_REFUSED_US (20 * 1000)
/* A search asks a backend server that was full again after this time, about
 * that of two requests, unless another one can take the part. */
#define PRT_FULL_US (20 * 1000)
/* After a refusal a part asks again for a hedge. */
#define PRT_HEDGE_AGAIN_US (20 * 1000)

static struct att *
prt_attempt_of(struct prt *part, uint32_t i)
{
    return &part->attempts[i];
}

static bool
prt_is_waiting(const struct prt *part)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        if (part->attempts[i].link != NULL) {
            return true;
        }
    }
    return false;
}

const struct att *
prt_last_attempt(const struct prt *part)
{
    const struct att *last = NULL;
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        const struct att *att = &part->attempts[i];
        if (last == NULL || att->started_us > last->started_us ||
            (att->started_us == last->started_us && att->link != NULL)) {
            last = att;
        }
    }
    return last;
}

/* Attempts that ran or may have run. */
static uint32_t
prt_run_count(const struct prt *part)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        const struct att *att = &part->attempts[i];
        count += (att->is_sent || att->link != NULL) && !att->has_not_run;
    }
    return count;
}

bool
prt_may_have_run(const struct prt *part)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        const struct att *att = &part->attempts[i];
        if (att->is_sent && !att->has_not_run) {
            return true;
        }
    }
    return false;
}

static bool
prt_was_sent(const struct prt *part)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        if (part->attempts[i].is_sent) {
            return true;
        }
    }
    return false;
}

/* Whether another attempt is within the limits of the route. */
static bool
prt_may_try(const struct prt *part)
{
    const struct gcf_route *route = part->ask->route;
    if (part->attempt_count >= PRT_ATTEMPTS_MAX) {
        return false;
    }
    if (!route->is_idempotent) {
        return prt_run_count(part) == 0;
    }
    return prt_run_count(part) < MAX(route->attempts_max, 1);
}

static int
prt_choose(struct prt *part, bool is_hedge, int64_t now_us, struct bke **out)
{
    struct gtw *gtw = part->ask->gtw;
    bool is_idempotent = part->ask->route->is_idempotent;
    struct chs_request request =
        gtw_choice(gtw, part->service, part->ask->route);
    request.is_hedge = is_hedge;
    request.is_late = part->ask->is_late;
    request.is_strict = is_hedge || !is_idempotent;
    request.may_probe = is_idempotent && part->attempt_count == 0;
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        const struct att *att = &part->attempts[i];
        /* Its connection may be silent while the backend server is well. */
        bool is_silent = is_hedge && att->is_overdue && att->link != NULL &&
                         part->ask->deadline_us - now_us > PRT_OVERDUE_US;
        if (!is_silent) {
            request.tried[request.tried_count] = att->backend;
            request.is_refused[request.tried_count] =
                att->link == NULL && !att->is_sent &&
                now_us - att->started_us < PRT_REFUSED_US;
            request.is_full[request.tried_count] =
                part->ask->route->is_gather && att->shed_us > 0 &&
                now_us - att->shed_us < PRT_FULL_US;
            request.tried_count += 1;
        }
    }
    return chs_choose(&gtw->backends, &request, now_us, out);
}

/* Hands the request to the attempt's link. Returns RC_OK or why not. */
static int
prt_send(struct att *att, int64_t now_us)
{
    struct ask *ask = att->part->ask;
    struct gtw *gtw = ask->gtw;
    bke_take_link(att->link, att, now_us);
    struct att_send send = {
        .request = &ask->request,
        .route = ask->route,
        .target = att->part->target,
        .left_us = ask->deadline_us - now_us,
    };
    int rc = gtw->calls->send(att->link, &send, gtw->ctx);
    if (rc != RC_OK) {
        return rc;
    }
    att->is_sent = true;
    ask->send_count += 1;
    bool is_remote = g_strcmp0(att->backend->dc, gtw->dc) != 0;
    cnt_add(gtw->counters, "gateway_sends", is_remote ? "remote" : "local");
    chs_on_send(att->backend, ask->is_late, gtw->vms, now_us);
    return RC_OK;
}

static void
prt_drop_link(struct att *att)
{
    struct bke_link *link = att->link;
    att->link = NULL;
    if (link != NULL) {
        bke_drop_link(&att->part->ask->gtw->backends, link);
    }
}

/*
 * An idle link for the part, or NULL. A backend server may have forgotten a
 * link that was idle for a while and resets what is sent on it; a request that
 * cannot be repeated gets a new one instead.
 */
static struct bke_link *
prt_idle_link(const struct prt *part, struct bke *backend, int64_t now_us)
{
    struct bke_link *link = bke_idle_link(backend, now_us);
    if (link == NULL || part->ask->route->is_idempotent ||
        now_us - link->since_us < PRT_ONCE_IDLE_US) {
        return link;
    }
    bke_drop_link(&part->ask->gtw->backends, link);
    return NULL;
}

/*
 * The record of an attempt that begins. For a part of a search it takes the
 * place of an earlier one of the same backend server that certainly has not
 * run: neither a failed connection nor a refusal uses up the attempts of a
 * shard.
 */
static struct att *
prt_new_attempt(struct prt *part, struct bke *backend)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        struct att *att = prt_attempt_of(part, i);
        if (part->ask->route->is_gather && att->backend == backend &&
            att->link == NULL && (!att->is_sent || att->has_not_run)) {
            return att;
        }
    }
    struct att *att = prt_attempt_of(part, part->attempt_count);
    *att = (struct att){.backend = bke_ref(backend)};
    part->attempt_count += 1;
    return att;
}

static bool
prt_attempt(struct prt *part, struct bke *backend, int64_t now_us)
{
    struct gtw *gtw = part->ask->gtw;
    struct att *att = prt_new_attempt(part, backend);
    *att = (struct att){
        .part = part,
        .backend = att->backend,
        .started_us = now_us,
    };
    att->link = prt_idle_link(part, backend, now_us);
    if (att->link == NULL) {
        att->link = bke_open_link(&gtw->backends, backend, att, now_us);
        return att->link != NULL;
    }
    if (prt_send(att, now_us) != RC_OK) {
        prt_drop_link(att);
        return false;
    }
    return true;
}

static void
prt_fail(struct prt *part, int rc)
{
    part->state = PRT_FAILED;
    part->rc = rc;
    part->ask->failed_count += 1;
}

static void
prt_wait(struct prt *part)
{
    part->rc = RC_LIMIT;
    part->ask->has_waited = true;
    if (part->waiting.line == NULL) {
        que_push(&part->ask->gtw->queue, part->service->name, &part->waiting);
    }
}

/* Tries backend servers until one takes the request; waits while those that
 * could are at a limit. */
static void
prt_try(struct prt *part, int64_t now_us)
{
    struct que *queue = &part->ask->gtw->queue;
    while (prt_may_try(part)) {
        struct bke *backend = NULL;
        int rc = prt_choose(part, false, now_us, &backend);
        if (rc == RC_LIMIT) {
            prt_wait(part);
            return;
        }
        if (rc != RC_OK) {
            /* Why the last attempt failed says more. */
            part->rc = part->attempt_count > 0 ? part->rc : rc;
            break;
        }
        if (prt_attempt(part, backend, now_us)) {
            que_remove(queue, &part->waiting);
            return;
        }
        bke_on_failure(backend, now_us);
        part->rc = RC_LINK_FAILED;
    }
    que_remove(queue, &part->waiting);
    if (!prt_is_waiting(part)) {
        prt_fail(part, part->rc);
    }
}

void
prt_start(struct prt *part, int64_t now_us)
{
    struct gtw *gtw = part->ask->gtw;
    bgt_earn(gtw_budget(gtw, part->service));
    if (que_is_behind(&gtw->queue, part->service->name, &part->waiting)) {
        prt_wait(part);
    }
    else {
        prt_try(part, now_us);
    }
}

bool
prt_serve(struct prt *part, int64_t now_us)
{
    prt_try(part, now_us);
    return part->waiting.line == NULL;
}

/* Sends to a second replica while the first one may still answer. */
static void
prt_hedge(struct prt *part, int64_t now_us)
{
    struct gtw *gtw = part->ask->gtw;
    struct bgt *budget = gtw_budget(gtw, part->service);
    struct bke *backend = NULL;
    if (prt_choose(part, true, now_us, &backend) != RC_OK) {
        part->hedge_again_us = now_us + PRT_HEDGE_AGAIN_US;
        cnt_add(gtw->counters, "gateway_hedges_refused", "no_backend");
        return;
    }
    const struct att *first = prt_last_attempt(part);
    bool has_token = !prt_was_sent(part);
    if (!has_token) {
        /* An overdue attempt has failed, and this one is in its place. */
        has_token =
            first->is_overdue ? bgt_spend(budget) : bgt_spend_spare(budget);
    }
    if (!has_token) {
        part->hedge_again_us = now_us + PRT_HEDGE_AGAIN_US;
        cnt_add(gtw->counters, "gateway_hedges_refused", "budget");
        return;
    }
    log_step("request",
             "hedged id=%s service=%s backend=%s age_us=%" G_GINT64_FORMAT
             " to=%s to_usual_us=%" G_GINT64_FORMAT " extra_sends_left=%u",
             part->ask->request.id, part->service->name, first->backend->id,
             now_us - first->started_us, backend->id, backend->latency_us,
             (uint32_t)(budget->millitokens / 1000));
    if (prt_attempt(part, backend, now_us)) {
        part->ask->hedge_count += 1;
        cnt_add(gtw->counters, "gateway_hedges", NULL);
    }
    else {
        bke_on_failure(backend, now_us);
    }
}

/* When the part is hedged, INT64_MAX for never. */
static int64_t
prt_hedge_us(const struct prt *part)
{
    const struct ask *ask = part->ask;
    const struct att *last = prt_last_attempt(part);
    if (!ask->route->is_idempotent || part->service->is_unhedged ||
        last == NULL || last->link == NULL || !prt_may_try(part)) {
        return INT64_MAX;
    }
    struct hdg *hedge = &gtw_route(ask->gtw, ask->route)->hedge;
    int64_t budget_us = ask->route->objective_us > 0
                            ? ask->route->objective_us
                            : ask->deadline_us - ask->started_us;
    return MAX(last->started_us + hdg_delay_us(hedge, budget_us),
               part->hedge_again_us);
}

/* Notes attempts without an answer; returns when the next one is due. */
static int64_t
prt_note_overdue(struct prt *part, int64_t now_us)
{
    int64_t due_us = INT64_MAX;
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        struct att *att = prt_attempt_of(part, i);
        if (att->link == NULL || att->is_overdue) {
            continue;
        }
        int64_t overdue_us = att->started_us +
                             MAX(PRT_OVERDUE_US, att->backend->latency_us * 4);
        if (now_us < overdue_us) {
            due_us = MIN(due_us, overdue_us);
            continue;
        }
        att->is_overdue = true;
        struct gtw *gtw = part->ask->gtw;
        *cnt_get(gtw->counters, "gateway_links_lost", "silent") +=
            bke_on_overdue(&gtw->backends, att->backend, att->started_us,
                           now_us);
    }
    return due_us;
}

/* Connections that are not up in time are given up. */
static void
prt_end_connecting(struct prt *part, int64_t now_us)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        struct att *att = prt_attempt_of(part, i);
        if (att->link != NULL && att->link->state == BKE_CONNECTING &&
            now_us - att->started_us >= BKE_CONNECT_MAX_US) {
            prt_drop_link(att);
            prt_on_failure(att, RC_LINK_FAILED, now_us);
        }
    }
}

int64_t
prt_tick(struct prt *part, int64_t now_us)
{
    if (part->state != PRT_OPEN) {
        return INT64_MAX;
    }
    prt_end_connecting(part, now_us);
    if (part->state == PRT_OPEN && now_us >= prt_hedge_us(part)) {
        prt_hedge(part, now_us);
    }
    if (part->state != PRT_OPEN) {
        return INT64_MAX;
    }
    int64_t due_us = prt_note_overdue(part, now_us);
    due_us = MIN(due_us, prt_hedge_us(part));
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        const struct att *att = prt_attempt_of(part, i);
        if (att->link != NULL && att->link->state == BKE_CONNECTING) {
            due_us = MIN(due_us, att->started_us + BKE_CONNECT_MAX_US);
        }
    }
    return due_us;
}

void
prt_on_connected(struct att *att, int64_t now_us)
{
    if (prt_send(att, now_us) != RC_OK) {
        prt_drop_link(att);
        prt_on_failure(att, RC_LINK_FAILED, now_us);
    }
}

/* Whether a request that failed may be sent to another backend server now. */
static bool
prt_may_retry(struct prt *part, const struct att *att)
{
    struct gtw *gtw = part->ask->gtw;
    if (!prt_may_try(part)) {
        return false;
    }
    /* What never arrived costs no extra send. */
    if (!att->is_sent) {
        return true;
    }
    if (!bgt_spend(gtw_budget(gtw, part->service))) {
        cnt_add(gtw->counters, "gateway_retries_refused", "budget");
        return false;
    }
    part->ask->retry_count += 1;
    return true;
}

void
prt_on_failure(struct att *att, int rc, int64_t now_us)
{
    struct prt *part = att->part;
    struct gtw *gtw = part->ask->gtw;
    att->link = NULL;
    att->has_not_run = att->is_sent && rc_run(rc) == RC_RUN_NO;
    part->rc = rc;
    if (rc == RC_SHED) {
        att->shed_us = now_us;
        bke_on_shed(att->backend, now_us);
    }
    else if (rc == RC_WRONG_BACKEND) {
        bke_on_wrong_id(att->backend, now_us);
    }
    else {
        bke_on_failure(att->backend, now_us);
    }
    if (part->state != PRT_OPEN || prt_is_waiting(part)) {
        return;
    }
    if (prt_may_retry(part, att)) {
        cnt_add(gtw->counters, "gateway_retries", rc_name(rc));
        log_step("request",
                 "retried id=%s service=%s backend=%s rc=%s "
                 "age_us=%" G_GINT64_FORMAT " failures=%u",
                 part->ask->request.id, part->service->name, att->backend->id,
                 rc_name(rc), now_us - att->started_us,
                 att->backend->fail_run);
        prt_try(part, now_us);
    }
    else {
        prt_fail(part, rc);
    }
}

void
prt_on_success(struct att *att, const struct att_answer *answer,
               int64_t now_us)
{
    struct prt *part = att->part;
    struct ask *ask = part->ask;
    att->link = NULL;
    part->state = PRT_DONE;
    part->stamp = g_strdup(answer->stamp);
    ask->done_count += 1;
    gtw_note_part(gtw_route(ask->gtw, ask->route),
                  now_us - part->attempts[0].started_us);
    prt_abandon(part, PRT_KEEP_US, now_us);
}

void
prt_abandon(struct prt *part, int64_t keep_us, int64_t now_us)
{
    for (uint32_t i = 0; i < part->attempt_count; i++) {
        struct att *att = prt_attempt_of(part, i);
        struct bke_link *link = att->link;
        att->link = NULL;
        if (link == NULL) {
            continue;
        }
        if (link->backend->is_removed) {
            bke_drop_link(&part->ask->gtw->backends, link);
            continue;
        }
        /* A new connection that nothing was sent on is kept for later. */
        bke_abandon_link(link, now_us + keep_us);
    }
    que_remove(&part->ask->gtw->queue, &part->waiting);
}
