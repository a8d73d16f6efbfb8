#include <glib.h>
#include <string.h>

#include "common/rc.h"
#include "load/mix.h"
#include "standin/service_model.h"

static int
mix_add(struct mix *mix, const char *text)
{
    const char *equals = strchr(text, '=');
    char *end = NULL;
    int64_t weight = 1;
    if (equals != NULL) {
        weight = g_ascii_strtoll(equals + 1, &end, 10);
        if (end == equals + 1 || *end != '\0') {
            return RC_USAGE;
        }
    }
    if (equals == text || text[0] == '\0' || weight <= 0 ||
        mix->service_count == MIX_SERVICES_MAX) {
        return RC_USAGE;
    }
    mix->services[mix->service_count++] = (struct mix_service){
        .name = equals == NULL ? g_strdup(text)
                               : g_strndup(text, (gsize)(equals - text)),
        .weight = weight,
    };
    mix->weight_total += weight;
    return RC_OK;
}

int
mix_init(struct mix *mix, const char *services, uint64_t seed)
{
    *mix = (struct mix){.caller_count = 1, .random = seed};
    char **items = g_strsplit(services, ",", -1);
    int rc = items[0] == NULL ? RC_USAGE : RC_OK;
    for (char **item = items; rc == RC_OK && *item != NULL; item++) {
        rc = mix_add(mix, *item);
    }
    g_strfreev(items);
    return rc;
}

void
mix_clear(struct mix *mix)
{
    for (uint32_t i = 0; i < mix->service_count; i++) {
        g_free(mix->services[i].name);
    }
    mix->service_count = 0;
}

static const char *
mix_draw_service(struct mix *mix)
{
    int64_t left = (int64_t)(service_model_random(&mix->random) %
                             (uint64_t)mix->weight_total);
    uint32_t i = 0;
    while (left >= mix->services[i].weight) {
        left -= mix->services[i].weight;
        i += 1;
    }
    return mix->services[i].name;
}

/* Returns true with the given probability. */
static bool
mix_draw_bool(struct mix *mix, int64_t permille)
{
    return (int64_t)(service_model_random(&mix->random) % 1000) < permille;
}

struct mix_item
mix_draw(struct mix *mix)
{
    struct mix_item item = {
        .service = mix_draw_service(mix),
        .caller =
            (uint32_t)(service_model_random(&mix->random) % mix->caller_count),
        .is_order = mix_draw_bool(mix, mix->order_permille),
        .has_key = mix_draw_bool(mix, mix->key_permille),
        .number = mix->next_number++,
    };
    item.has_key = item.has_key || item.is_order;
    return item;
}
