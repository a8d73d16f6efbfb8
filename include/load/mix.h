#ifndef CH_LOAD_MIX_H
#define CH_LOAD_MIX_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Draws the properties of each request at random: service, caller, search or
 * order, with or without a key.
 */

#define MIX_SERVICES_MAX 32

struct mix_service {
    char *name;
    int64_t weight;
};

struct mix {
    struct mix_service services[MIX_SERVICES_MAX];
    uint32_t service_count;
    int64_t weight_total;
    int64_t key_permille;
    int64_t order_permille;
    uint32_t caller_count;
    uint64_t random; /* generator state, see service_model_random() */
    uint64_t next_number;
};

struct mix_item {
    const char *service;
    uint32_t caller;
    bool is_order;
    bool has_key;    /* always for an order */
    uint64_t number; /* makes queries and keys unique within the run */
};

/*
 * Parses services as "NAME=WEIGHT,..."; the default weight is 1. Returns RC_OK
 * or RC_USAGE. The shares and the number of callers are set afterwards.
 */
int mix_init(struct mix *mix, const char *services, uint64_t seed);

void mix_clear(struct mix *mix);

struct mix_item mix_draw(struct mix *mix);

#endif
