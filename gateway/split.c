#include "gateway/split.h"

/* State of one target of a route. */
struct split_target {
    uint32_t weight; /* that the state belongs to */
    int64_t current;
};

GHashTable *
split_table_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                 (GDestroyNotify)g_array_unref);
}

static uint32_t
split_weight(const struct route *route, guint target)
{
    return g_array_index(route->targets, struct route_target, target).weight;
}

/* Whether the state was made for the weights that the route has. */
static bool
split_is_current(const GArray *split, const struct route *route)
{
    if (split->len != route->targets->len) {
        return false;
    }
    for (guint i = 0; i < split->len; i++) {
        if (g_array_index(split, struct split_target, i).weight !=
            split_weight(route, i)) {
            return false;
        }
    }
    return true;
}

static GArray *
split_new(const struct route *route)
{
    GArray *split = g_array_new(FALSE, FALSE, sizeof(struct split_target));
    for (guint i = 0; i < route->targets->len; i++) {
        struct split_target target = {.weight = split_weight(route, i)};
        g_array_append_val(split, target);
    }
    return split;
}

static uint32_t
split_next(GArray *split)
{
    struct split_target *targets = (struct split_target *)split->data;
    int64_t total = 0;
    guint best = 0;
    for (guint i = 0; i < split->len; i++) {
        targets[i].current += targets[i].weight;
        total += targets[i].weight;
        if (targets[i].current > targets[best].current) {
            best = i;
        }
    }
    targets[best].current -= total;
    return best;
}

uint32_t
split_pick(GHashTable *splits, const struct route *route)
{
    if (route->targets->len == 1) {
        return 0;
    }
    GArray *split = g_hash_table_lookup(splits, route->name);
    if (split == NULL || !split_is_current(split, route)) {
        split = split_new(route);
        g_hash_table_replace(splits, g_strdup(route->name), split);
    }
    return split_next(split);
}
