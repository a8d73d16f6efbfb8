#ifndef CH_RELAY_DISPATCH_H
#define CH_RELAY_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "common/msg.h"
#include "relay/instance.h"
#include "relay/pick.h"

struct job;

/* One request on a link. */
struct att {
    struct job *job;
    struct sch *sch;
    struct lnk *link;
    int64_t started_us;
    bool is_hedge;
    bool is_hedge_done;    /* a hedge of it was sent */
    bool is_hedge_refused; /* counted as refused by the budget */
};

/* What a searcher answered to a search or an order. */
struct dsp_answer {
    int rc; /* RC_OK, or why there is no result */
    bool is_reusable;
    bool has_start;
    uint64_t start;
    uint64_t version;
    uint64_t shard;
    const struct msg_hit *hits;
    size_t hit_count;
    const void *result; /* of an order */
    size_t result_bytes;
};

/* Called once when the job is settled. `answer` is NULL unless rc is RC_OK. */
typedef void (*job_settled_cb)(struct job *job, int rc,
                               const struct dsp_answer *answer,
                               int64_t now_us);

/* One part of a query, or one order. */
struct job {
    struct que_item item; /* must be first */
    struct ins *ins;      /* NULL if there is no such instance */
    uint64_t version;
    uint64_t shard;
    bool is_order;
    bool is_settled;
    bool may_have_run;
    int last_rc; /* why it may have run without an answer */
    uint32_t attempt_count;
    const struct sch *tried[PCK_AVOID_MAX];
    uint32_t tried_count;
    struct att *attempts[2];
    int64_t budget_us;
    const char *text; /* query, or id of an order */
    uint64_t limit;
    struct msg_bin body; /* of an order */
    job_settled_cb settled;
    void *ctx;
};

/* First attempt, hedge and retries together. */
#define DSP_ATTEMPTS_MAX PCK_AVOID_MAX

/* Queues a job or settles it with a refusal. */
void dsp_submit(struct job *job, int64_t now_us);

/* Starts what may start; refuses what cannot finish or is not ours. */
void dsp_pump(struct ins *ins, int64_t now_us);

/* Hedges slow attempts and gives up silent ones. */
void dsp_tick(struct ins *ins, int64_t now_us);

/* An answer on a busy link. */
void dsp_on_answer(struct lnk *link, const struct dsp_answer *answer,
                   int64_t now_us);

/* A busy link ended without an answer; RC_LINK_FAILED: no byte was sent. */
void dsp_on_lost(struct lnk *link, int rc, int64_t now_us);

/* Ends a job at its deadline: RC_DEADLINE while it runs (an order: the
 * outcome is unknown), RC_TOO_LATE while it waits. */
void dsp_expire(struct job *job, int64_t now_us);

/* Ends a job that is still open with `rc`; running requests are closed. */
void dsp_abort(struct job *job, int rc, int64_t now_us);

#endif
