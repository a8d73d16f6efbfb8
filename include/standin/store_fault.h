#ifndef CH_STANDIN_STORE_FAULT_H
#define CH_STANDIN_STORE_FAULT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Faults of the stand-in store, set by its admin call. standin-store(1) says
 * what each one does.
 */
struct store_fault {
    bool is_down;          /* calls get no response */
    bool is_refusing;      /* with is_down: calls get 503 */
    int64_t delay_ms;      /* from the effect of a call to its response */
    int64_t lose_count;    /* next successful writes that get no response */
    int64_t fail_permille; /* share of calls that get 503 without an effect */
    /* Goes down after it has responded to the next write of the configuration,
     * before it notifies the watches. */
    bool is_down_after_answer;
    /* Goes down after it has notified the watches of the next write of the
     * configuration, before it responds to the write. */
    bool is_down_after_watch;
    uint32_t random; /* xorshift state, not 0 */
};

/*
 * Applies {"down", "refuse", "delay_ms", "lose_replies", "fail_permille",
 * "down_after_answer", "down_after_watch"}. Returns RC_OK, or RC_BAD_FIELD
 * and changes nothing.
 */
int store_fault_apply(struct store_fault *fault, const json_t *fields);

/* Draws whether this call fails with 503 without an effect. */
bool store_fault_fails(struct store_fault *fault);

/* Whether to drop the response to this write; counts lose_count down. */
bool store_fault_loses_reply(struct store_fault *fault);

#endif
