#ifndef CH_GATEWAY_COLD_H
#define CH_GATEWAY_COLD_H

#include <stdint.h>

/*
 * Counts the requests to a cold backend server in the second before a moment.
 * The limit on them holds for every span of a second, so that it is not enough
 * to count in seconds that follow one another. Times are microseconds of the
 * gateway's monotonic clock.
 */

/* Most requests in a second that can be counted. */
#define COLD_COUNT_MAX 64

struct cold_sends {
    int64_t sent_us[COLD_COUNT_MAX]; /* of the latest ones, 0: none */
    uint32_t next;                   /* index of the next one */
};

void cold_on_send(struct cold_sends *sends, int64_t now_us);

/* Returns how many requests were sent in the second that ends now, at most
 * COLD_COUNT_MAX. */
uint32_t cold_count(const struct cold_sends *sends, int64_t now_us);

#endif
