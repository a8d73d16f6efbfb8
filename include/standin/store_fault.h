#ifndef CH_STANDIN_STORE_FAULT_H
#define CH_STANDIN_STORE_FAULT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Faults that the store shows on request. */
struct store_fault {
    bool is_down;       /* calls are not answered */
    bool is_refusing;   /* with is_down: calls are answered with 503 */
    int64_t delay_ms;   /* from the effect of a call to its answer */
    int64_t lose_count; /* successful writes that still get no answer */
    int64_t fail_permille;
    /* Down once the next config write was answered, and no watch was. */
    bool is_down_after_answer;
    /* Down once the watches of the next config write were answered. */
    bool is_down_after_watch;
    uint32_t random; /* state of the generator, not 0 */
};

/*
 * Applies {"down", "refuse", "delay_ms", "lose_replies", "fail_permille",
 * "down_after_answer", "down_after_watch"}. Returns RC_OK, or RC_BAD_FIELD
 * with no change.
 */
int store_fault_apply(struct store_fault *fault, const json_t *switches);

/* Whether this call is to fail with 503 without an effect. */
bool store_fault_fails(struct store_fault *fault);

/* Whether the answer of this successful write is to be lost. */
bool store_fault_loses_reply(struct store_fault *fault);

#endif
