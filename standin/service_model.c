#include <math.h>

#include "standin/service_model.h"

uint64_t
shp_random(uint64_t *state)
{
    *state += 0x9E3779B97F4A7C15ULL;
    uint64_t mixed = *state;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
}

void
shp_cool(struct shp *shape, int64_t now_us)
{
    shape->cold_from_us = now_us;
}

static int64_t
shp_cold_left_us(const struct shp *shape, int64_t now_us)
{
    return shape->cold_from_us + shape->cold_ms * 1000 - now_us;
}

bool
shp_is_cold(const struct shp *shape, int64_t now_us)
{
    return shape->cold_ms > 0 && shp_cold_left_us(shape, now_us) > 0;
}

uint32_t
shp_slot_limit(const struct shp *shape, uint32_t slots, int64_t now_us)
{
    if (!shp_is_cold(shape, now_us)) {
        return slots;
    }
    return slots > 1 ? slots / 2 : 1;
}

int64_t
shp_draw_us(struct shp *shape, int64_t now_us)
{
    double time_us = (double)shape->service_us;
    if (shape->is_exponential) {
        /* 53 random bits in (0, 1] */
        double unit =
            (double)((shp_random(&shape->random) >> 11) + 1) * 0x1p-53;
        time_us *= -log(unit);
    }
    if ((int64_t)(shp_random(&shape->random) % 1000) <
        shape->straggler_permille) {
        time_us *= (double)shape->straggler_factor;
    }
    if (shp_is_cold(shape, now_us)) {
        double left = (double)shp_cold_left_us(shape, now_us) /
                      (double)(shape->cold_ms * 1000);
        time_us *= 1.0 + (double)(shape->cold_factor - 1) * left;
    }
    return (int64_t)time_us;
}
