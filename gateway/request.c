#include "common/log.h"
#include "common/rc.h"
#include "gateway/request.h"
#include "gateway/record.h"

/* Links of a request whose caller has left are closed after this time, so
 * that backend servers stop work on it. */
#define ASK_GONE_KEEP_US (300 * 1000)
/* Links of parts that came too late for an answer. */
#define ASK_LATE_KEEP_US (1000 * 1000)
/* A request that may not be cut off keeps its link until it is answered. */
#define ASK_ONCE_KEEP_US (10LL * 1000 * 1000)

void
ask_hold(struct ask *ask)
{
    ask->is_held = true;
}

static void
ask_free(struct ask *ask)
{
    for (uint32_t i = 0; i < ask->part_count; i++) {
        struct prt *part = &ask->parts[i];
        for (uint32_t j = 0; j < part->attempt_count; j++) {
            bke_unref(part->attempts[j].backend);
        }
        g_free(part->stamp);
    }
    g_free(ask->parts);
    if (ask->records != NULL) {
        g_byte_array_free(ask->records, TRUE);
    }
    gcf_unref(ask->config);
    g_free(ask);
}

void
ask_release(struct ask *ask)
{
    ask->is_held = false;
    if (ask->is_closed) {
        ask_free(ask);
    }
}

void
ask_close(struct ask *ask, int64_t keep_us, int64_t now_us)
{
    for (uint32_t i = 0; i < ask->part_count; i++) {
        prt_abandon(&ask->parts[i], keep_us, now_us);
    }
    adm_on_end(ask->pool, ask->is_late,
               now_us >= ask->deadline_us - FIN_RETURN_US, now_us);
    g_queue_unlink(&ask->gtw->asks, &ask->link);
    ask->is_closed = true;
    if (!ask->is_held) {
        ask_free(ask);
    }
}

static void
ask_log_missing(const struct prt *part, int64_t now_us)
{
    const struct att *last = prt_last_attempt(part);
    log_sample("request",
               "part missing id=%s service=%s rc=%s attempts=%u "
               "backend=%s sent=%d age_ms=%" G_GINT64_FORMAT,
               part->ask->request.id, part->service->name,
               part->state == PRT_OPEN ? "open" : rc_name(part->rc),
               part->attempt_count, last != NULL ? last->backend->id : "none",
               last != NULL ? last->is_sent : 0,
               last != NULL ? (now_us - last->started_us) / 1000 : 0);
}

/* Lines for a request that failed, was late or misses parts. */
static void
ask_log(const struct ask *ask, const struct ask_answer *answer, int64_t now_us)
{
    int64_t took_us = now_us - ask->started_us;
    bool is_late =
        ask->route->objective_us > 0 && took_us > ask->route->objective_us;
    if (answer->rc == RC_OK && !is_late && answer->missing_parts == 0) {
        return;
    }
    log_sample("request",
               "ended id=%s rc=%s route=%s config=%" G_GINT64_FORMAT
               " took_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
               " parts=%u done=%u failed=%u sends=%u hedges=%u retries=%u"
               " vms=%u news_age_ms=%" G_GINT64_FORMAT,
               ask->request.id, rc_name(answer->rc), ask->route->name,
               ask->config->version, took_us / 1000,
               (ask->deadline_us - now_us) / 1000, ask->part_count,
               ask->done_count, ask->failed_count, ask->send_count,
               ask->hedge_count, ask->retry_count, ask->gtw->vms,
               (now_us - ask->gtw->news_us) / 1000);
    for (uint32_t i = 0; i < ask->part_count; i++) {
        if (ask->parts[i].state != PRT_DONE) {
            ask_log_missing(&ask->parts[i], now_us);
        }
    }
}

static void
ask_finish(struct ask *ask, const struct ask_answer *answer, int64_t now_us)
{
    struct gtw *gtw = ask->gtw;
    cnt_add(gtw->counters, "gateway_answers", rc_name(answer->rc));
    ask_log(ask, answer, now_us);
    ask->request.on_answer(answer, ask->request.ctx);
    ask_close(ask,
              ask->route->is_idempotent ? ASK_LATE_KEEP_US : ASK_ONCE_KEEP_US,
              now_us);
}

void
ask_answer_single(struct ask *ask, const struct att_answer *answer,
                  int64_t now_us)
{
    struct ask_answer out = {
        .rc = answer->rc,
        .route = ask->route,
        .status = answer->status,
        .fields = answer->fields,
        .body = answer->body,
        .body_bytes = answer->body_bytes,
    };
    ask_finish(ask, &out, now_us);
}

void
ask_refuse(struct ask *ask, int rc, int64_t now_us)
{
    struct ask_answer out = {
        .rc = rc,
        .route = ask->route,
        .retry_after_us = GTW_NO_BACKEND_RETRY_US,
    };
    ask_finish(ask, &out, now_us);
}

/* Why a part that is not there is missing. */
static int
prt_missing_rc(const struct prt *part)
{
    return part->rc != RC_OK ? part->rc : RC_DEADLINE;
}

static void
ask_answer_gathered(struct ask *ask, int64_t now_us)
{
    struct ask_part *parts = g_new(struct ask_part, ask->part_count);
    for (uint32_t i = 0; i < ask->part_count; i++) {
        const struct prt *part = &ask->parts[i];
        parts[i] = (struct ask_part){
            .target = part->target,
            .rc = part->state == PRT_DONE ? RC_OK : prt_missing_rc(part),
            .stamp = part->stamp,
        };
    }
    if (ask->route->has_records) {
        rec_finish(ask->records, ask->route->record_limit);
    }
    struct ask_answer out = {
        .rc = RC_OK,
        .route = ask->route,
        .body = ask->records->data,
        .body_bytes = ask->records->len,
        .parts = parts,
        .part_count = ask->part_count,
        .missing_parts = ask->part_count - ask->done_count,
    };
    ask_finish(ask, &out, now_us);
    g_free(parts);
}

/* Why a request that cannot be answered failed: "not run" must be true. */
static int
ask_failure(const struct ask *ask, int64_t now_us)
{
    int rc = RC_NO_SEARCHER;
    bool may_have_run = false;
    for (uint32_t i = 0; i < ask->part_count; i++) {
        const struct prt *part = &ask->parts[i];
        may_have_run = may_have_run || prt_may_have_run(part);
        rc = part->state != PRT_DONE && part->rc != RC_OK ? part->rc : rc;
    }
    if (!may_have_run) {
        return rc_run(rc) == RC_RUN_NO ? rc : RC_TOO_LATE;
    }
    if (now_us >= ask->deadline_us - FIN_RETURN_US) {
        return RC_DEADLINE;
    }
    return rc_run(rc) == RC_RUN_NO ? RC_OUTCOME_UNKNOWN : rc;
}

static struct fin_state
ask_state(const struct ask *ask)
{
    int64_t objective_us = ask->route->objective_us;
    return (struct fin_state){
        .objective_us = objective_us > 0
                            ? ask->started_us - ask->spent_us + objective_us
                            : 0,
        .deadline_us = ask->deadline_us,
        .parts = ask->part_count,
        .done = ask->done_count,
        .failed = ask->failed_count,
        .coverage_min_permille =
            ask->route->is_gather ? ask->route->coverage_min_permille : 1000,
    };
}

/* From now on others go first. */
static void
ask_set_late(struct ask *ask, int64_t now_us)
{
    adm_on_late(ask->pool, ask->has_waited, now_us);
    ask->is_late = true;
    for (uint32_t i = 0; i < ask->part_count; i++) {
        que_set_late(&ask->gtw->queue, &ask->parts[i].waiting);
    }
}

void
ask_settle(struct ask *ask, int64_t now_us)
{
    struct fin_state state = ask_state(ask);
    switch (fin_judge(&state, now_us)) {
    case FIN_ANSWER:
        ask_answer_gathered(ask, now_us);
        break;
    case FIN_FAIL:
        ask_refuse(ask, ask_failure(ask, now_us), now_us);
        break;
    case FIN_WAIT:
        if (!ask->is_late && fin_is_late(&state, now_us)) {
            ask_set_late(ask, now_us);
        }
        ask->due_us = MIN(ask->due_us, fin_due_us(&state, now_us));
        break;
    }
}

void
ask_tick(struct ask *ask, int64_t now_us)
{
    ask_hold(ask);
    int64_t due_us = INT64_MAX;
    for (uint32_t i = 0; i < ask->part_count; i++) {
        due_us = MIN(due_us, prt_tick(&ask->parts[i], now_us));
    }
    ask->due_us = due_us;
    ask_settle(ask, now_us);
    ask_release(ask);
}

void
gtw_abandon(struct gtw *gtw, struct ask *ask, int64_t now_us)
{
    cnt_add(gtw->counters, "gateway_answers", "caller_gone");
    log_sample("request",
               "caller left id=%s route=%s took_ms=%" G_GINT64_FORMAT
               " parts=%u done=%u",
               ask->request.id, ask->route->name,
               (now_us - ask->started_us) / 1000, ask->part_count,
               ask->done_count);
    ask_close(ask,
              ask->route->is_idempotent ? ASK_GONE_KEEP_US : ASK_ONCE_KEEP_US,
              now_us);
}
