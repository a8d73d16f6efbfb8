#include "gateway/cold.h"

#define COLD_SECOND_US (1000 * 1000)

void
cold_on_send(struct cold_sends *sends, int64_t now_us)
{
    sends->sent_us[sends->next] = now_us;
    sends->next = (sends->next + 1) % COLD_COUNT_MAX;
}

uint32_t
cold_count(const struct cold_sends *sends, int64_t now_us)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < COLD_COUNT_MAX; i++) {
        int64_t sent_us = sends->sent_us[i];
        count += sent_us > 0 && now_us - sent_us < COLD_SECOND_US;
    }
    return count;
}
