#ifndef CH_GATEWAY_ADMIT_H
#define CH_GATEWAY_ADMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Admission control: decides whether a request is accepted, and after which
 * time a refused caller should retry. The gateway owns the state; all times
 * are microseconds of its monotonic clock, which it passes in.
 *
 * This sheds load above the capacity of the backend servers. A request that
 * would miss its latency objective is refused at once and as a whole, unless
 * capacity is left for late ones, so that the capacity of the shards goes to
 * searches that get all their parts in time.
 *
 * The limit on concurrent requests adapts to the share of them that is late:
 * pauses of single backend servers make a search over many shards late long
 * before the servers are fully used.
 */

/* Concurrency limit for one class of requests. */
struct admit_class {
    uint64_t limit_milli; /* in thousandths of a request */
    uint32_t running;
    /* Moving average of the share of requests that missed their target: the
     * objective for `in_time`, the deadline for `late`. */
    uint32_t miss_permille;
    int64_t last_decrease_us; /* when the limit was last decreased */
};

/* The requests that share a set of backend servers. */
struct admit_pool {
    struct admit_class in_time; /* can still meet their objective */
    struct admit_class late;    /* can only meet their deadline */
    /* Moving average of the share of requests refused, among those that cannot
     * be answered in time. */
    uint32_t refused_permille;
    int32_t top_priority; /* highest priority (lowest number) seen so far */
};

enum admit_decision {
    ADMIT_ACCEPT,
    ADMIT_ACCEPT_LATE, /* served with the capacity that others leave */
    ADMIT_REFUSE,
};

/* An arriving request. */
struct admit_request {
    int64_t expected_us;       /* expected time until the minimum coverage */
    int64_t objective_left_us; /* time left until the latency objective */
    int32_t priority;          /* 0 is the highest */
    bool is_retry;             /* the caller was refused before */
};

/* Admission state of one VM. Refused callers get consecutive retry times. */
struct admit {
    GHashTable *pools;          /* service name -> struct admit_pool */
    int64_t last_accept_us;     /* when a request was last accepted */
    int64_t accept_interval_us; /* average time between accepts */
    int64_t last_retry_us; /* retry time given to the last refused caller */
};

/* Shortest time after which a refused caller retries. */
#define ADMIT_RETRY_AFTER_MIN_US (100 * 1000)

/*
 * Returns the time until enough parts have arrived for the minimum coverage.
 * `part_us` holds the expected time of each part and is sorted in place.
 */
int64_t admit_coverage_us(int64_t *part_us, uint32_t part_count,
                          uint32_t coverage_min_permille);

void admit_init(struct admit *admit);

void admit_clear(struct admit *admit);

/*
 * Whether one more request of the pool may be in progress while `running` of
 * at most `running_max` are. Some room is kept for each other pool, so that
 * backend servers that do not answer leave room for those of other services.
 */
bool admit_leaves_room(const struct admit *admit,
                       const struct admit_pool *pool, uint32_t running,
                       uint32_t running_max);

/* Returns the pool of the service's backend servers; creates it if needed. */
struct admit_pool *admit_get_pool(struct admit *admit, const char *service);

/* Removes idle pools of services that are not in the set of names. */
void admit_prune(struct admit *admit, GHashTable *services);

/* Decides on an arriving request. If it is accepted and runs, admit_on_start()
 * has to follow. */
enum admit_decision admit_decide(struct admit_pool *pool,
                                 const struct admit_request *request,
                                 int64_t now_us);

/* An accepted request starts; admit_on_end() has to follow. */
void admit_on_start(struct admit_pool *pool, bool is_late);

/* A request of the class `in_time` has missed its objective and moves to the
 * class `late`. It counts as a miss only if `has_waited`, that is, if parts of
 * it were queued. */
void admit_on_late(struct admit_pool *pool, bool has_waited, int64_t now_us);

/* A request ended; `is_missed` if it missed its deadline. */
void admit_on_end(struct admit_pool *pool, bool is_late, bool is_missed,
                  int64_t now_us);

/* A request was accepted in time: updates the average time between accepts. */
void admit_on_accept(struct admit *admit, int64_t now_us);

/* Returns the delay after which a caller that is refused now, and that waits
 * for at most `wait_us`, should retry. */
int64_t admit_retry_after_us(struct admit *admit, int64_t wait_us,
                             int64_t now_us);

#endif
