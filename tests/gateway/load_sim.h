#ifndef CH_TESTS_GATEWAY_LOAD_SIM_H
#define CH_TESTS_GATEWAY_LOAD_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Simulates a load on several VMs that share backend servers, in virtual time.
 * Backend servers have slots, a bounded queue that sheds load, and pauses.
 * After a refusal callers retry once, after the delay that it names, but at
 * most a third of their remaining wait. Times are microseconds.
 */

/* A kind of request: it asks all shards. */
struct sim_kind {
    const char *path;
    int64_t work_us; /* mean time of a part in a slot */
    int64_t objective_us;
    int64_t wait_us; /* timeout of its callers */
    uint32_t weight; /* share of the requests */
    int32_t priority;
    uint32_t coverage_min_permille;
};

struct sim_load {
    uint32_t vms;
    uint32_t shards;
    uint32_t replicas;
    uint32_t slots;
    uint32_t single_count; /* shards with one replica only */
    uint32_t slow_count;   /* shards whose requests take 5 times as long */
    double per_s;          /* requests a second, all kinds together */
    int64_t length_us;
    const struct sim_kind *kinds;
    uint32_t kind_count;
};

/* Results for the callers of one kind; `asked` counts callers, not attempts.
 */
struct sim_result {
    uint32_t asked;
    uint32_t in_time;
    uint32_t in_time_retry; /* after a refusal, from the second attempt on */
    uint32_t late;          /* answered after the objective */
    uint32_t unserved;      /* no answer within the wait, or an error */
    uint32_t refused_twice;
    uint32_t kept_waiting;  /* unserved after more than half of the wait */
    uint64_t missing_parts; /* of the answers in time */
};

/* Runs the load to its end and fills one result for each kind. */
void sim_run_load(const struct sim_load *load, struct sim_result *results);

#endif
