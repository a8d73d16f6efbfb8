#include "relay/link.h"
#include "common/invariant.h"
#include "common/rc.h"

#define LNK_BACKOFF_MIN_US 50000
#define LNK_BACKOFF_MAX_US 1000000
#define LNK_SPARE 2
/* An order waits this long for a probe before another link is probed. */
#define LNK_ORDER_PROBE_US 20000

void
lnk_pool_configure(struct lnk_pool *pool, uint32_t connections, uint32_t slots)
{
    pool->max = connections;
    /* Enough for a request on each slot and two cancelled at once. */
    pool->idle_target = MIN(slots + LNK_SPARE, connections);
}

void
lnk_pool_init(struct lnk_pool *pool, uint32_t connections, uint32_t slots,
              const struct lnk_calls *calls, void *ctx, void *owner,
              struct cnt_set *counters)
{
    *pool = (struct lnk_pool){
        .links = g_ptr_array_new_with_free_func(g_free),
        .calls = calls,
        .ctx = ctx,
        .owner = owner,
        .counters = counters,
    };
    lnk_pool_configure(pool, connections, slots);
}

void
lnk_pool_clear(struct lnk_pool *pool)
{
    pool->is_stopped = true;
    while (pool->links->len > 0) {
        lnk_drop(g_ptr_array_index(pool->links, 0), "stopped", 0);
    }
    g_ptr_array_free(pool->links, TRUE);
    pool->links = NULL;
}

uint32_t
lnk_count(const struct lnk_pool *pool, enum lnk_state state)
{
    uint32_t count = 0;
    for (guint i = 0; i < pool->links->len; i++) {
        const struct lnk *link = g_ptr_array_index(pool->links, i);
        count += link->state == state;
    }
    return count;
}

uint32_t
lnk_up_count(const struct lnk_pool *pool)
{
    return pool->links->len - lnk_count(pool, LNK_CONNECTING);
}

static void
lnk_set(struct lnk *link, enum lnk_state state, int64_t now_us)
{
    link->state = state;
    link->since_us = now_us;
}

void
lnk_drop(struct lnk *link, const char *reason, int64_t now_us)
{
    struct lnk_pool *pool = link->pool;
    if (link->state == LNK_CLOSING) {
        pool->closing -= 1;
    }
    else {
        cnt_add(pool->counters, "links_closed_total", reason);
    }
    pool->calls->close(link, pool->ctx);
    CH_INVARIANT(g_ptr_array_remove_fast(pool->links, link));
}

static void
lnk_back_off(struct lnk_pool *pool, int64_t now_us)
{
    /* Links that fail together count once. */
    if (now_us < pool->retry_at_us) {
        return;
    }
    pool->backoff_us =
        CLAMP(pool->backoff_us * 2, LNK_BACKOFF_MIN_US, LNK_BACKOFF_MAX_US);
    pool->retry_at_us = now_us + pool->backoff_us;
}

void
lnk_on_lost(struct lnk *link, const char *reason, int64_t now_us)
{
    /* A searcher that accepts connections but answers none is not worth a
     * new one at each tick. */
    if (link->proven_us == 0 && link->state != LNK_CLOSING) {
        lnk_back_off(link->pool, now_us);
    }
    lnk_drop(link, reason, now_us);
}

static bool
lnk_open(struct lnk_pool *pool, int64_t now_us)
{
    struct lnk *link = g_new0(struct lnk, 1);
    link->pool = pool;
    lnk_set(link, LNK_CONNECTING, now_us);
    g_ptr_array_add(pool->links, link);
    CH_INVARIANT(pool->links->len <= pool->max);
    if (pool->calls->connect(link, pool->ctx) == RC_OK) {
        return true;
    }
    lnk_on_lost(link, rc_name(RC_LINK_FAILED), now_us);
    return false;
}

static void
lnk_open_missing(struct lnk_pool *pool, int64_t now_us)
{
    if (now_us < pool->retry_at_us) {
        return;
    }
    uint32_t ahead =
        pool->links->len - lnk_count(pool, LNK_BUSY) - pool->closing;
    /* A searcher that refused the last attempt is tried with one link. */
    uint32_t target = pool->backoff_us > 0 && lnk_up_count(pool) == 0
                          ? 1
                          : pool->idle_target;
    while (ahead < target && pool->links->len < pool->max &&
           lnk_open(pool, now_us)) {
        ahead += 1;
    }
}

static bool
lnk_probe(struct lnk *link, int64_t now_us)
{
    struct lnk_pool *pool = link->pool;
    lnk_set(link, LNK_PROBING, now_us);
    pool->polled_us = now_us;
    if (pool->calls->probe(link, pool->ctx) == RC_OK) {
        return true;
    }
    lnk_on_lost(link, rc_name(RC_LINK_FAILED), now_us);
    return false;
}

/* How long the link may stay in its state. */
static int64_t
lnk_patience_us(const struct lnk *link)
{
    switch (link->state) {
    case LNK_CONNECTING:
    case LNK_PROBING:
        return LNK_SILENT_US;
    case LNK_CLOSING:
        return LNK_CLOSING_MAX_US;
    default:
        return INT64_MAX;
    }
}

static void
lnk_close_silent(struct lnk_pool *pool, int64_t now_us)
{
    guint i = 0;
    while (i < pool->links->len) {
        struct lnk *link = g_ptr_array_index(pool->links, i);
        if (now_us - link->since_us < lnk_patience_us(link)) {
            i += 1;
            continue;
        }
        if (link->state == LNK_CLOSING) {
            cnt_add(pool->counters, "cancels_unconfirmed_total", NULL);
        }
        lnk_on_lost(link, "silent", now_us);
    }
}

static struct lnk *
lnk_oldest_idle(const struct lnk_pool *pool)
{
    struct lnk *oldest = NULL;
    for (guint i = 0; i < pool->links->len; i++) {
        struct lnk *link = g_ptr_array_index(pool->links, i);
        if (link->state == LNK_IDLE &&
            (oldest == NULL || link->proven_us < oldest->proven_us)) {
            oldest = link;
        }
    }
    return oldest;
}

static void
lnk_probe_idle(struct lnk_pool *pool, int64_t now_us)
{
    struct lnk *link = lnk_oldest_idle(pool);
    while (link != NULL) {
        int64_t age_us = now_us - link->proven_us;
        bool is_alone = lnk_count(pool, LNK_PROBING) == 0;
        bool is_due = age_us >= LNK_PROBE_MUST_US ||
                      (age_us >= LNK_PROBE_MAY_US && is_alone) ||
                      now_us - pool->polled_us >= LNK_POLL_US;
        if (!is_due) {
            return;
        }
        lnk_probe(link, now_us);
        link = lnk_oldest_idle(pool);
    }
}

void
lnk_close_idle(struct lnk_pool *pool, uint32_t keep, int64_t now_us)
{
    guint i = 0;
    while (i < pool->links->len && pool->links->len > keep) {
        struct lnk *link = g_ptr_array_index(pool->links, i);
        if (link->state == LNK_BUSY || link->state == LNK_CLOSING) {
            i += 1;
        }
        else {
            lnk_drop(link, "surplus", now_us);
        }
    }
}

void
lnk_tick(struct lnk_pool *pool, int64_t now_us)
{
    lnk_close_silent(pool, now_us);
    if (pool->is_stopped) {
        return;
    }
    lnk_close_idle(pool, pool->max, now_us);
    lnk_probe_idle(pool, now_us);
    lnk_open_missing(pool, now_us);
}

struct lnk *
lnk_idle(const struct lnk_pool *pool)
{
    struct lnk *newest = NULL;
    for (guint i = 0; i < pool->links->len; i++) {
        struct lnk *link = g_ptr_array_index(pool->links, i);
        if (link->state == LNK_IDLE &&
            (newest == NULL || link->proven_us > newest->proven_us)) {
            newest = link;
        }
    }
    return newest;
}

struct lnk *
lnk_idle_proven(const struct lnk_pool *pool, int64_t now_us)
{
    struct lnk *link = lnk_idle(pool);
    if (link == NULL || link->proven_us == 0 ||
        now_us - link->proven_us > LNK_ORDER_PROOF_US) {
        return NULL;
    }
    return link;
}

void
lnk_probe_for_order(struct lnk_pool *pool, int64_t now_us)
{
    for (guint i = 0; i < pool->links->len; i++) {
        const struct lnk *link = g_ptr_array_index(pool->links, i);
        if (link->state == LNK_PROBING &&
            now_us - link->since_us < LNK_ORDER_PROBE_US) {
            return;
        }
    }
    struct lnk *link = lnk_idle(pool);
    while (link != NULL && !lnk_probe(link, now_us)) {
        link = lnk_idle(pool);
    }
}

void
lnk_take(struct lnk *link, void *request, int64_t now_us)
{
    CH_INVARIANT(link->state == LNK_IDLE);
    link->request = request;
    lnk_set(link, LNK_BUSY, now_us);
}

void
lnk_untake(struct lnk *link, int64_t now_us)
{
    CH_INVARIANT(link->state == LNK_BUSY);
    link->request = NULL;
    lnk_set(link, LNK_IDLE, now_us);
}

void
lnk_cancel(struct lnk *link, const char *reason, int64_t now_us)
{
    struct lnk_pool *pool = link->pool;
    CH_INVARIANT(link->state == LNK_BUSY);
    link->request = NULL;
    if (pool->calls->shut_down(link, pool->ctx) != RC_OK) {
        lnk_drop(link, reason, now_us);
        return;
    }
    cnt_add(pool->counters, "links_closed_total", reason);
    lnk_set(link, LNK_CLOSING, now_us);
    pool->closing += 1;
}

void
lnk_on_connected(struct lnk *link, int rc, int64_t now_us)
{
    CH_INVARIANT(link->state == LNK_CONNECTING);
    if (rc != RC_OK) {
        lnk_on_lost(link, rc_name(rc), now_us);
        return;
    }
    /* The first probe proves the link and reads the status. */
    lnk_set(link, LNK_IDLE, now_us);
    lnk_probe(link, now_us);
}

void
lnk_on_answer(struct lnk *link, bool is_reusable, int64_t now_us)
{
    link->request = NULL;
    link->proven_us = now_us;
    link->pool->backoff_us = 0;
    if (!is_reusable) {
        lnk_drop(link, "not_reusable", now_us);
        return;
    }
    lnk_set(link, LNK_IDLE, now_us);
}
