#ifndef CH_GATEWAY_REQUEST_H
#define CH_GATEWAY_REQUEST_H

#include "gateway/finish.h"
#include "gateway/gateway.h"

/* What the files of the request path share; others use gateway/gateway.h. */

#define PRT_ATTEMPTS_MAX CHS_TRIED_MAX

/* A request on its way to one backend server. */
struct att {
    struct prt *part;
    struct bke *backend;
    struct bke_link *link; /* NULL once settled */
    int64_t started_us;
    int64_t shed_us; /* when the backend server refused it, 0: it did not */
    bool is_sent;
    bool is_overdue; /* counted as a failure of the backend server */
    bool has_not_run;
};

enum prt_state {
    PRT_OPEN,
    PRT_DONE,
    PRT_FAILED,
};

/* One service that a request must ask: a shard, or the only service. */
struct prt {
    struct ask *ask;
    uint32_t target; /* index in the route */
    const struct gcf_service *service;
    enum prt_state state;
    int rc; /* why it failed, or the reason of the last attempt */
    struct att attempts[PRT_ATTEMPTS_MAX];
    uint32_t attempt_count;
    struct que_item waiting; /* for a backend server */
    int64_t hedge_again_us;  /* no hedge before, after one was refused */
    char *stamp;
};

struct ask {
    struct gtw *gtw;
    struct ask_request request;
    uint64_t serial;
    struct gcf *config;
    const struct gcf_route *route;
    int64_t started_us;
    int64_t spent_us; /* by the caller before the request arrived */
    int64_t deadline_us;
    struct prt *parts;
    uint32_t part_count;
    uint32_t done_count;
    uint32_t failed_count;
    uint32_t send_count;
    uint32_t hedge_count;
    uint32_t retry_count;
    GByteArray *records; /* of a gathering route */
    int64_t due_us;
    GList link;            /* in gtw->asks */
    struct adm_pool *pool; /* that it runs in */
    bool is_late;          /* cannot be answered in time */
    bool has_waited;       /* a part had to */
    bool is_closed;        /* answered or abandoned; freed by its holder */
    bool is_held;          /* in use up the call stack */
};

/* Sends the first attempt of the part. */
void prt_start(struct prt *part, int64_t now_us);

/* A part that waits may have its turn. Returns whether it no longer waits. */
bool prt_serve(struct prt *part, int64_t now_us);

/* Hedges and gives up what is due; returns when to call again. */
int64_t prt_tick(struct prt *part, int64_t now_us);

/* The attempt's link is up. */
void prt_on_connected(struct att *att, int64_t now_us);

/*
 * The attempt ended without a usable answer; its link is already given back or
 * closed. May send another one.
 */
void prt_on_failure(struct att *att, int rc, int64_t now_us);

/* The part has its answer; other attempts are abandoned. */
void prt_on_success(struct att *att, const struct att_answer *answer,
                    int64_t now_us);

/* No attempt is waited for any more. `keep_us` is how long a link stays that
 * is not answered. */
void prt_abandon(struct prt *part, int64_t keep_us, int64_t now_us);

/* The attempt that began last, or NULL; of two at the same time the one that
 * is open. */
const struct att *prt_last_attempt(const struct prt *part);

/* Whether any request of the part may have run. */
bool prt_may_have_run(const struct prt *part);

/* A part was settled: answers, fails or goes on. */
void ask_settle(struct ask *ask, int64_t now_us);

/* Ends the request with the answer of one backend server. */
void ask_answer_single(struct ask *ask, const struct att_answer *answer,
                       int64_t now_us);

/* Ends the request with an answer of the gateway's own. */
void ask_refuse(struct ask *ask, int rc, int64_t now_us);

/* Does what is due. */
void ask_tick(struct ask *ask, int64_t now_us);

/* Keeps the memory of a closed request until ask_release(). */
void ask_hold(struct ask *ask);

/* Frees the request if it was closed meanwhile. */
void ask_release(struct ask *ask);

/* Abandons all parts and ends the request without an answer. */
void ask_close(struct ask *ask, int64_t keep_us, int64_t now_us);

#endif
