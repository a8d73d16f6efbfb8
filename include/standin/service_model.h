#ifndef CH_STANDIN_SERVICE_MODEL_H
#define CH_STANDIN_SERVICE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* How long a searcher works on a request, and how much it takes while cold. */
struct service_model {
    int64_t service_us; /* mean */
    bool is_exponential;
    int64_t straggler_permille;
    int64_t straggler_factor;
    int64_t cold_factor; /* falls linearly to 1 over cold_ms */
    int64_t cold_ms;     /* 0: never cold */
    int64_t cold_from_us;
    uint64_t random; /* state of the generator */
};

/* Empties the caches: the searcher is cold from now on. */
void service_model_cool(struct service_model *model, int64_t now_us);

bool service_model_is_cold(const struct service_model *model, int64_t now_us);

/* Slots in use above which requests are refused now. */
uint32_t service_model_slot_limit(const struct service_model *model,
                                  uint32_t slots, int64_t now_us);

/* Draws the service time of one request. */
int64_t service_model_draw_us(struct service_model *model, int64_t now_us);

/* Next number of the generator. */
uint64_t service_model_random(uint64_t *state);

#endif
