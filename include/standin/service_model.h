#ifndef CH_STANDIN_SERVICE_MODEL_H
#define CH_STANDIN_SERVICE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* How long a searcher works on a request, and how much it takes while cold. */
struct shp {
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
void shp_cool(struct shp *shape, int64_t now_us);

bool shp_is_cold(const struct shp *shape, int64_t now_us);

/* Slots in use above which requests are refused now. */
uint32_t shp_slot_limit(const struct shp *shape, uint32_t slots,
                        int64_t now_us);

/* Draws the service time of one request. */
int64_t shp_draw_us(struct shp *shape, int64_t now_us);

/* Next number of the generator. */
uint64_t shp_random(uint64_t *state);

#endif
