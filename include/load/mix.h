#ifndef CH_LOAD_MIX_H
#define CH_LOAD_MIX_H

#include <stdbool.h>
#include <stdint.h>

/* Draws what each request is: service, caller, search or order, key. */

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
    uint64_t random;
    uint64_t next_number;
};

struct mix_item {
    const char *service;
    uint32_t caller;
    bool is_order;
    bool has_key;    /* an order always has one */
    uint64_t number; /* makes queries and keys unique within the run */
};

/*
 * Reads services as "NAME=WEIGHT,..."; a missing weight is 1. Returns RC_OK or
 * RC_USAGE.
 */
int mix_init(struct mix *mix, const char *services, uint64_t seed);

void mix_clear(struct mix *mix);

struct mix_item mix_draw(struct mix *mix);

#endif
