#ifndef CH_STANDIN_SERVICE_MODEL_H
#define CH_STANDIN_SERVICE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Random service times of a searcher, and its lower capacity while its caches
 * are cold. Times are CLOCK_MONOTONIC in microseconds.
 */
struct service_model {
    int64_t service_us; /* mean */
    bool is_exponential;
    int64_t straggler_permille; /* share of slow requests */
    int64_t straggler_factor;   /* on the service time of these */
    int64_t cold_factor;        /* falls linearly to 1 over cold_ms */
    int64_t cold_ms;            /* 0: never cold */
    int64_t cold_since_us;
    uint64_t random; /* generator state */
};

/* Simulates empty caches: the searcher is cold for cold_ms from now on. */
void service_model_set_cold(struct service_model *model, int64_t now_us);

bool service_model_is_cold(const struct service_model *model, int64_t now_us);

/* Number of usable slots: `slots`, half of them (at least 1) while cold. */
uint32_t service_model_slot_limit(const struct service_model *model,
                                  uint32_t slots, int64_t now_us);

/* Draws the service time of one request. */
int64_t service_model_draw_us(struct service_model *model, int64_t now_us);

/* Next number of the SplitMix64 generator; `state` may have any value. */
uint64_t service_model_random(uint64_t *state);

#endif
