#include "relay/dispatch.h"
#include "relay/relay.h"
#include "common/invariant.h"
#include "common/rc.h"

/* Parts behind this many that wait for a busy searcher are not looked at. */
#define DSP_LOOK_AHEAD 64
/* A search without an answer for a second and this many times its usual time
 * is given up; its link is taken for silent. */
#define DSP_SILENT_FACTOR 8

static void
dsp_count(const struct job *job, const char *name, int rc)
{
    cnt_add(job->ins->rly->counters, name, rc_name(rc));
}

static bool
job_is_running(const struct job *job)
{
    return job->attempts[0] != NULL || job->attempts[1] != NULL;
}

static void
job_settle(struct job *job, int rc, const struct dsp_answer *answer,
           int64_t now_us)
{
    CH_INVARIANT(!job->is_settled);
    CH_INVARIANT(!job_is_running(job));
    CH_INVARIANT(job->item.iter == NULL);
    job->is_settled = true;
    /* Frees the job with its query or order. */
    job->settled(job, rc, answer, now_us);
}

/* Settles a job that does not run. "Not run" is only said when it is true. */
static void
job_refuse(struct job *job, int rc, int64_t now_us)
{
    que_remove(&job->item);
    job_settle(job, job->may_have_run ? job->last_rc : rc, NULL, now_us);
}

static struct pck_request
dsp_request(const struct job *job, bool is_strict)
{
    struct pck_request request = {
        .version = job->version,
        .shard = job->shard,
        .avoid_count = job->tried_count,
        .is_strict = is_strict,
        .is_order = job->is_order,
    };
    for (uint32_t i = 0; i < job->tried_count; i++) {
        request.avoid[i] = job->tried[i];
    }
    return request;
}

static int
dsp_pick(const struct job *job, bool is_strict, int64_t now_us,
         struct sch **out)
{
    struct pck_request request = dsp_request(job, is_strict);
    return pck_choose(job->ins->searchers, &request, now_us, out);
}

/* RC_OK if some searcher can serve the job, now or later. */
static int
dsp_check_served(const struct job *job, int64_t now_us)
{
    struct sch *unused = NULL;
    int rc = dsp_pick(job, false, now_us, &unused);
    return rc == RC_LIMIT ? RC_OK : rc;
}

void
dsp_submit(struct job *job, int64_t now_us)
{
    struct ins *ins = job->ins;
    if (ins == NULL || !ins_is_active(ins, now_us)) {
        job_refuse(job, RC_NOT_HOLDER, now_us);
        return;
    }
    int rc = dsp_check_served(job, now_us);
    if (rc == RC_OK && ins->usable_at_us >= job->item.deadline_us) {
        rc = RC_TOO_LATE;
    }
    if (rc == RC_OK) {
        struct que_pace pace = ins_pace(ins, now_us);
        rc = que_add(&ins->queue, &job->item, &pace, now_us);
    }
    if (rc != RC_OK) {
        job_refuse(job, rc, now_us);
    }
}

static void
att_end(struct att *att, enum sch_end end, int64_t now_us)
{
    struct job *job = att->job;
    struct ins *ins = job->ins;
    sch_on_end(att->sch, end, att->started_us, now_us);
    if (!att->is_hedge && !job->is_order &&
        (end == SCH_ANSWERED || end == SCH_CANCELLED)) {
        hdg_note(&ins->hedge, now_us - att->started_us);
    }
    CH_INVARIANT(g_ptr_array_remove(ins->running, att));
    for (size_t i = 0; i < G_N_ELEMENTS(job->attempts); i++) {
        if (job->attempts[i] == att) {
            job->attempts[i] = NULL;
        }
    }
    g_free(att);
}

/* Closes what still runs for the job. */
static void
job_cancel_attempts(struct job *job, int64_t now_us)
{
    for (size_t i = 0; i < G_N_ELEMENTS(job->attempts); i++) {
        struct att *att = job->attempts[i];
        if (att != NULL) {
            struct lnk *link = att->link;
            att_end(att, SCH_CANCELLED, now_us);
            lnk_cancel(link, rc_name(RC_CANCELLED), now_us);
        }
    }
}

/* Why a job whose last attempt failed is not tried again, or RC_OK. */
static int
dsp_check_retry(struct job *job, int rc, int64_t now_us)
{
    if (job->is_order && job->may_have_run) {
        return RC_OUTCOME_UNKNOWN;
    }
    if (rc == RC_NOT_HOLDER || !ins_is_active(job->ins, now_us)) {
        return RC_NOT_HOLDER;
    }
    if (job->attempt_count >= DSP_ATTEMPTS_MAX) {
        return rc;
    }
    int served = dsp_check_served(job, now_us);
    if (served != RC_OK) {
        return served;
    }
    /* What cost the searcher nothing is not extra load. */
    bool is_free = rc == RC_LINK_FAILED || rc == RC_VERSION_GONE;
    if (!is_free && !bgt_spend(&job->ins->retry)) {
        dsp_count(job, "retries_refused_total", RC_BUDGET);
        return rc;
    }
    return RC_OK;
}

/* An attempt failed: waits for the other one, queues the job again, or
 * settles it. */
static void
job_attempt_failed(struct job *job, int rc, int64_t now_us)
{
    /* Once it may have run, a later "not run" says nothing about the whole. */
    bool is_not_run = rc == RC_LINK_FAILED || rc == RC_SHED ||
                      rc == RC_NOT_HOLDER ||
                      (rc == RC_VERSION_GONE && !job->is_order);
    if (!is_not_run) {
        CH_INVARIANT(rc_run(rc) != RC_RUN_NO);
        job->may_have_run = true;
        job->last_rc = rc;
    }
    if (job_is_running(job)) {
        return;
    }
    int refused = dsp_check_retry(job, rc, now_us);
    if (refused == RC_OUTCOME_UNKNOWN) {
        job_settle(job, refused, NULL, now_us);
        return;
    }
    if (refused != RC_OK) {
        job_refuse(job, refused, now_us);
        return;
    }
    dsp_count(job, "retries_total", rc);
    que_readd(&job->ins->queue, &job->item);
}

static void
dsp_note_start(struct job *job, struct att *att)
{
    job->attempts[job->attempts[0] == NULL ? 0 : 1] = att;
    job->tried[job->tried_count] = att->sch;
    job->tried_count += 1;
    job->attempt_count += 1;
    g_ptr_array_add(job->ins->running, att);
    if (job->attempt_count == 1) {
        hdg_on_start(&job->ins->hedge);
        bgt_earn(&job->ins->retry);
    }
}

/* Sends the job to the searcher. */
static void
dsp_start(struct job *job, struct sch *sch, bool is_hedge, int64_t now_us)
{
    struct ins *ins = job->ins;
    const struct rly *rly = ins->rly;
    struct lnk *link = job->is_order ? lnk_idle_proven(&sch->pool, now_us)
                                     : lnk_idle(&sch->pool);
    CH_INVARIANT(link != NULL);
    CH_INVARIANT(ins_is_active(ins, now_us));
    CH_INVARIANT(now_us >= ins->usable_at_us);
    CH_INVARIANT(job->attempt_count < DSP_ATTEMPTS_MAX);
    CH_INVARIANT(job->attempts[0] == NULL || job->attempts[1] == NULL);
    if (job->is_order) {
        CH_INVARIANT(!is_hedge && !job->may_have_run && !job_is_running(job));
        CH_INVARIANT(now_us - link->proven_us <= LNK_ORDER_PROOF_US);
    }
    struct att *att = g_new0(struct att, 1);
    att->job = job;
    att->sch = sch;
    att->link = link;
    att->started_us = now_us;
    att->is_hedge = is_hedge;
    sch_on_start(sch, now_us);
    lnk_take(link, att, now_us);
    dsp_note_start(job, att);
    int64_t budget_us = job->item.deadline_us - now_us;
    int rc = job->is_order
                 ? rly->calls->execute(link, job, budget_us, rly->ctx)
                 : rly->calls->search(link, job, budget_us, rly->ctx);
    if (rc == RC_OK) {
        return;
    }
    att_end(att, SCH_UNSENT, now_us);
    if (rc == RC_NOT_HOLDER) {
        lnk_untake(link, now_us);
    }
    else {
        lnk_on_lost(link, rc_name(rc), now_us);
    }
    job_attempt_failed(job, rc, now_us);
}

static bool
dsp_has_free_searcher(const struct ins *ins, int64_t now_us)
{
    for (guint i = 0; i < ins->searchers->len; i++) {
        struct sch *sch = g_ptr_array_index(ins->searchers, i);
        if (sch_may_start(sch, now_us) == RC_OK &&
            lnk_idle(&sch->pool) != NULL) {
            return true;
        }
    }
    return false;
}

/* No free link is proven for the order: probes one on each free replica. */
static void
dsp_probe_for_order(const struct job *job, int64_t now_us)
{
    const GPtrArray *searchers = job->ins->searchers;
    for (guint i = 0; i < searchers->len; i++) {
        struct sch *sch = g_ptr_array_index(searchers, i);
        if (sch_serves(sch, job->version, job->shard) &&
            sch_may_start(sch, now_us) == RC_OK) {
            lnk_probe_for_order(&sch->pool, now_us);
        }
    }
}

static void
dsp_try(struct job *job, int64_t now_us)
{
    struct sch *sch = NULL;
    int rc = dsp_pick(job, false, now_us, &sch);
    if (rc == RC_OK) {
        que_remove(&job->item);
        dsp_start(job, sch, false, now_us);
    }
    else if (rc != RC_LIMIT) {
        job_refuse(job, rc, now_us);
    }
    else if (job->is_order) {
        dsp_probe_for_order(job, now_us);
    }
}

static void
dsp_refuse_queued(struct ins *ins, int rc, int64_t now_us)
{
    struct que_item *item = que_first(&ins->queue);
    while (item != NULL) {
        job_refuse((struct job *)item, rc, now_us);
        item = que_first(&ins->queue);
    }
}

void
dsp_pump(struct ins *ins, int64_t now_us)
{
    if (!ins_is_active(ins, now_us)) {
        dsp_refuse_queued(ins, RC_NOT_HOLDER, now_us);
        return;
    }
    bool is_usable = now_us >= ins->usable_at_us;
    struct que_pace pace = ins_pace(ins, now_us);
    struct que_item *item = que_first(&ins->queue);
    for (int i = 0; item != NULL && i < DSP_LOOK_AHEAD; i++) {
        struct que_item *next = que_next(item);
        if (!que_can_finish(&ins->queue, item, &pace, now_us)) {
            job_refuse((struct job *)item, RC_TOO_LATE, now_us);
        }
        else if (is_usable && dsp_has_free_searcher(ins, now_us)) {
            dsp_try((struct job *)item, now_us);
        }
        else {
            break;
        }
        item = next;
    }
}

/* RC_OK if the answer belongs to the job. */
static int
dsp_check_answer(const struct job *job, const struct dsp_answer *answer)
{
    if (answer->rc != RC_OK || job->is_order) {
        return answer->rc;
    }
    bool is_same =
        answer->version == job->version && answer->shard == job->shard;
    return is_same ? RC_OK : RC_BAD_REPLY;
}

static enum sch_end
dsp_end_of(int rc)
{
    if (rc == RC_OK) {
        return SCH_ANSWERED;
    }
    if (rc == RC_SHED) {
        return SCH_SHED;
    }
    /* A cold searcher also fails under load, so errors count as slow parts;
     * a version that went does not. */
    return rc == RC_VERSION_GONE ? SCH_DECLINED : SCH_ERROR;
}

void
dsp_on_answer(struct lnk *link, const struct dsp_answer *answer,
              int64_t now_us)
{
    struct att *att = link->request;
    struct job *job = att->job;
    struct sch *sch = att->sch;
    struct ins *ins = job->ins;
    bool is_hedge = att->is_hedge;
    int rc = dsp_check_answer(job, answer);
    att_end(att, dsp_end_of(rc), now_us);
    if (answer->has_start) {
        sch_note_start(sch, answer->start, now_us);
    }
    if (rc == RC_VERSION_GONE && !job->is_order) {
        sch_forget_version(sch, job->version, job->shard);
    }
    /* A link that delivered another request's answer may do so again. */
    lnk_on_answer(link, answer->is_reusable && rc != RC_BAD_REPLY, now_us);
    if (rc == RC_OK) {
        if (is_hedge) {
            cnt_add(ins->rly->counters, "hedges_won_total", NULL);
        }
        job_cancel_attempts(job, now_us);
        job_settle(job, RC_OK, answer, now_us);
    }
    else {
        job_attempt_failed(job, rc, now_us);
    }
    dsp_pump(ins, now_us);
}

void
dsp_on_lost(struct lnk *link, int rc, int64_t now_us)
{
    struct att *att = link->request;
    struct job *job = att->job;
    struct ins *ins = job->ins;
    bool is_unsent = rc == RC_LINK_FAILED;
    att_end(att, is_unsent ? SCH_UNSENT : SCH_FAILED, now_us);
    lnk_on_lost(link, rc_name(rc), now_us);
    /* Codes such as RC_TOO_LARGE say "not run" of a request, not of one whose
     * answer had this fault. */
    bool has_run = !is_unsent && rc_run(rc) == RC_RUN_NO;
    job_attempt_failed(job, has_run ? RC_BAD_REPLY : rc, now_us);
    dsp_pump(ins, now_us);
}

void
dsp_abort(struct job *job, int rc, int64_t now_us)
{
    if (job->is_settled) {
        return;
    }
    que_remove(&job->item);
    job_cancel_attempts(job, now_us);
    job_settle(job, rc, NULL, now_us);
}

void
dsp_expire(struct job *job, int64_t now_us)
{
    if (!job_is_running(job)) {
        job_refuse(job, RC_TOO_LATE, now_us);
        return;
    }
    dsp_abort(job, job->is_order ? RC_OUTCOME_UNKNOWN : RC_DEADLINE, now_us);
}

static bool
att_is_silent(const struct att *att, int64_t now_us)
{
    int64_t usual_us = sch_service_us(att->sch) * DSP_SILENT_FACTOR;
    /* An order may take long, and could not be sent again anyway. */
    return !att->job->is_order &&
           now_us - att->started_us >= MAX(LNK_SILENT_US, usual_us);
}

static void
dsp_give_up(struct lnk *link, int64_t now_us)
{
    struct att *att = link->request;
    struct job *job = att->job;
    struct ins *ins = job->ins;
    att_end(att, SCH_FAILED, now_us);
    lnk_cancel(link, "silent", now_us);
    job_attempt_failed(job, RC_LINK_LOST, now_us);
    dsp_pump(ins, now_us);
}

static void
dsp_close_silent(struct ins *ins, int64_t now_us)
{
    guint i = 0;
    while (i < ins->running->len) {
        const struct att *att = g_ptr_array_index(ins->running, i);
        if (att_is_silent(att, now_us)) {
            /* This may end and start others: look again from the oldest. */
            dsp_give_up(att->link, now_us);
            i = 0;
        }
        else {
            i += 1;
        }
    }
}

static bool
att_wants_hedge(const struct att *att, const struct ins *ins, int64_t now_us)
{
    const struct job *job = att->job;
    int64_t delay_us = hdg_delay_us(&ins->hedge, job->budget_us);
    return !job->is_order && !att->is_hedge && !att->is_hedge_done &&
           job->attempt_count < DSP_ATTEMPTS_MAX &&
           now_us - att->started_us >= delay_us &&
           now_us + ins_service_us(ins) < job->item.deadline_us;
}

static void
dsp_hedge(struct ins *ins, int64_t now_us)
{
    if (!ins_is_active(ins, now_us) || now_us < ins->usable_at_us) {
        return;
    }
    /* Hedges are added at the end and need not be looked at. */
    guint count = ins->running->len;
    for (guint i = 0; i < count && i < ins->running->len; i++) {
        struct att *att = g_ptr_array_index(ins->running, i);
        struct sch *sch = NULL;
        if (!att_wants_hedge(att, ins, now_us) ||
            dsp_pick(att->job, true, now_us, &sch) != RC_OK) {
            continue;
        }
        if (hdg_spend(&ins->hedge)) {
            att->is_hedge_done = true;
            cnt_add(ins->rly->counters, "hedges_total", NULL);
            dsp_start(att->job, sch, true, now_us);
        }
        else if (!att->is_hedge_refused) {
            /* Asks again at each tick: the oldest gets the next token. */
            att->is_hedge_refused = true;
            dsp_count(att->job, "hedges_refused_total", RC_BUDGET);
        }
    }
}

void
dsp_tick(struct ins *ins, int64_t now_us)
{
    dsp_close_silent(ins, now_us);
    dsp_hedge(ins, now_us);
    dsp_pump(ins, now_us);
}
