#include <math.h>

#include "standin/service_model.h"

uint64_t
service_model_random(uint64_t *state)
{
    *state += 0x9E3779B97F4A7C15ULL;
    uint64_t mixed = *state;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
}

void
service_model_set_cold(struct service_model *model, int64_t now_us)
{
    model->cold_since_us = now_us;
}

static int64_t
service_model_cold_left_us(const struct service_model *model, int64_t now_us)
{
    return model->cold_since_us + model->cold_ms * 1000 - now_us;
}

bool
service_model_is_cold(const struct service_model *model, int64_t now_us)
{
    return model->cold_ms > 0 && service_model_cold_left_us(model, now_us) > 0;
}

uint32_t
service_model_slot_limit(const struct service_model *model, uint32_t slots,
                         int64_t now_us)
{
    if (!service_model_is_cold(model, now_us)) {
        return slots;
    }
    return slots > 1 ? slots / 2 : 1;
}

int64_t
service_model_draw_us(struct service_model *model, int64_t now_us)
{
    double time_us = (double)model->service_us;
    if (model->is_exponential) {
        /* 53 random bits in (0, 1] */
        double unit =
            (double)((service_model_random(&model->random) >> 11) + 1) *
            0x1p-53;
        time_us *= -log(unit);
    }
    if ((int64_t)(service_model_random(&model->random) % 1000) <
        model->straggler_permille) {
        time_us *= (double)model->straggler_factor;
    }
    if (service_model_is_cold(model, now_us)) {
        double left = (double)service_model_cold_left_us(model, now_us) /
                      (double)(model->cold_ms * 1000);
        time_us *= 1.0 + (double)(model->cold_factor - 1) * left;
    }
    return (int64_t)time_us;
}
