#ifndef CH_GATEWAY_ADMIT_H
#define CH_GATEWAY_ADMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Whether a request is taken, and when a caller that is refused returns.
 *
 * Answers the load beyond what the backend servers bear. A request that would
 * wait beyond its objective is refused at once, whole, so that what the shards
 * can do is spent on searches that get all their parts in time. How many run
 * at a time follows from how many of them are late: pauses of single servers
 * leave a search of many shards late long before the servers are used up.
 */

/* How many requests of one class may run at a time. */
struct admit_class {
    uint64_t limit_milli; /* thousandths of a request */
    uint32_t running;
    uint32_t miss_permille; /* moving average of those that missed their aim */
    int64_t last_decrease_us; /* when the limit shrank last */
};

/* Requests that share backend servers. */
struct admit_pool {
    struct admit_class in_time; /* can still meet their objective */
    struct admit_class late;    /* can only meet their deadline */
    uint32_t refused_permille;  /* moving average, of those not in time */
    int32_t top_priority;       /* the highest one that came */
};

enum admit_decision {
    ADMIT_ACCEPT,
    ADMIT_ACCEPT_LATE, /* with what the others leave */
    ADMIT_REFUSE,
};

/* A request that arrives. */
struct admit_request {
    int64_t expected_us;       /* until it has enough parts */
    int64_t objective_left_us; /* until its answer is to be given */
    int32_t priority;          /* 0 is the highest */
    bool is_retry;             /* its caller was refused before */
};

/* When callers return; the refused ones get one turn after the other. */
struct admit {
    GHashTable *pools;      /* name -> struct admit_pool */
    int64_t last_accept_us; /* when a request was taken last */
    int64_t accept_ivl_us;  /* moving average between two that were taken */
    int64_t last_retry_us;  /* turn of the caller that was refused last */
};

/* The earliest time after which a caller returns. */
#define ADMIT_RETRY_AFTER_MIN_US (100 * 1000)

/* The time until enough parts are there for the least coverage; sorts the
 * times of the parts. */
int64_t admit_coverage_us(int64_t *part_us, uint32_t part_count,
                          uint32_t coverage_min_permille);

void admit_init(struct admit *admit);

void admit_clear(struct admit *admit);

/* The pool of requests to the backend servers of a service. */
struct admit_pool *admit_get_pool(struct admit *admit, const char *service);

/* Forgets idle pools of services that are not in the set of names. */
void admit_prune(struct admit *admit, GHashTable *services);

enum admit_decision admit_decide(struct admit_pool *pool,
                                 const struct admit_request *request,
                                 int64_t now_us);

/* One that was taken runs; admit_on_end() follows. */
void admit_on_start(struct admit_pool *pool, bool is_late);

/* One that ran in time can now only be late; `is_loaded` if parts of it had to
 * wait. */
void admit_on_late(struct admit_pool *pool, bool is_loaded, int64_t now_us);

/* It ended; a late one may have missed its deadline. */
void admit_on_end(struct admit_pool *pool, bool is_late, bool is_missed,
                  int64_t now_us);

/* Notes a request that was taken while others wait. */
void admit_on_accept(struct admit *admit, int64_t now_us);

/* When a caller that is refused now and waits no longer than `wait_us` should
 * return, from now on. */
int64_t admit_retry_after_us(struct admit *admit, int64_t wait_us,
                             int64_t now_us);

#endif
