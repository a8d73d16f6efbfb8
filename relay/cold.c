#include "relay/cold.h"
#include "common/invariant.h"

#define COLD_FULL 1000U
/* Weight of a new sample in the norm. */
#define COLD_NORM_WEIGHT 16
/* Slow samples move the norm less, and only while the searcher is cold, so
 * that a lasting change becomes the norm and a cold start does not. */
#define COLD_SLOW_WEIGHT 64

void
cold_init(struct cold *cold, uint32_t share_permille, int64_t ramp_us,
          uint32_t slots)
{
    *cold = (struct cold){.since_us = 0};
    cold_configure(cold, share_permille, ramp_us, slots);
}

void
cold_configure(struct cold *cold, uint32_t share_permille, int64_t ramp_us,
               uint32_t slots)
{
    uint32_t share = share_permille > COLD_FULL ? COLD_FULL : share_permille;
    cold->share_permille = share == 0 ? 1 : share;
    cold->ramp_us = ramp_us < 0 ? 0 : ramp_us;
    cold->slots = slots == 0 ? 1 : slots;
}

void
cold_restart(struct cold *cold, int64_t now_us)
{
    cold->is_cold = true;
    cold->is_expected = false;
    cold->since_us = now_us;
    cold->slow_run = 0;
    cold->shed_us = 0;
    /* Idle time that is still owed stays owed. */
    if (cold->next_start_us < now_us) {
        cold->next_start_us = now_us;
    }
}

void
cold_expect_warm(struct cold *cold, uint64_t start)
{
    CH_INVARIANT(!cold->has_start);
    cold->is_expected = true;
    cold->expected = start;
}

bool
cold_is_warm(const struct cold *cold, int64_t now_us)
{
    return cold->has_start && cold_share_permille(cold, now_us) == COLD_FULL;
}

bool
cold_note_start(struct cold *cold, uint64_t start, int64_t now_us)
{
    if (cold->has_start && cold->start == start) {
        return false;
    }
    bool is_warm =
        !cold->has_start && cold->is_expected && cold->expected == start;
    cold->has_start = true;
    cold->start = start;
    if (is_warm) {
        cold->is_cold = false;
        cold->is_expected = false;
        return false;
    }
    cold_restart(cold, now_us);
    return true;
}

bool
cold_is_slow(const struct cold *cold, int64_t latency_us)
{
    return cold->norm_samples >= COLD_NORM_SAMPLES &&
           latency_us > cold->norm_us * COLD_SLOW_FACTOR;
}

bool
cold_note_slow(struct cold *cold, int64_t started_us, int64_t now_us)
{
    if (cold->slow_run > 0 && started_us < cold->slow_us) {
        return false;
    }
    cold->slow_run += 1;
    cold->slow_us = now_us;
    if (cold->slow_run < COLD_SLOW_RUN) {
        return false;
    }
    cold_restart(cold, now_us);
    return true;
}

bool
cold_note_shed(struct cold *cold, int64_t started_us, int64_t now_us)
{
    if (cold->shed_us == 0 || now_us - cold->shed_us > COLD_SHED_WINDOW_US) {
        cold->shed_us = now_us;
        return cold_note_slow(cold, started_us, now_us);
    }
    cold_restart(cold, now_us);
    return true;
}

bool
cold_note_latency(struct cold *cold, int64_t latency_us, int64_t now_us)
{
    if (cold_is_slow(cold, latency_us)) {
        if (cold_share_permille(cold, now_us) < COLD_FULL) {
            int64_t most = cold->norm_us * COLD_SLOW_FACTOR;
            cold->norm_us += (most - cold->norm_us) / COLD_SLOW_WEIGHT;
        }
        return cold_note_slow(cold, now_us - latency_us, now_us);
    }
    cold->slow_run = 0;
    if (cold->norm_samples < COLD_NORM_SAMPLES) {
        cold->norm_samples += 1;
        cold->norm_us += (latency_us - cold->norm_us) / cold->norm_samples;
    }
    else {
        cold->norm_us += (latency_us - cold->norm_us) / COLD_NORM_WEIGHT;
    }
    return false;
}

uint32_t
cold_share_permille(const struct cold *cold, int64_t now_us)
{
    int64_t elapsed_us = now_us - cold->since_us;
    if (!cold->is_cold || elapsed_us >= cold->ramp_us) {
        return COLD_FULL;
    }
    int64_t rest = COLD_FULL - cold->share_permille;
    return cold->share_permille +
           (uint32_t)(rest * elapsed_us / cold->ramp_us);
}

uint32_t
cold_limit(const struct cold *cold, int64_t now_us)
{
    uint32_t limit =
        cold_share_permille(cold, now_us) * cold->slots / COLD_FULL;
    return limit == 0 ? 1 : limit;
}

bool
cold_may_start(const struct cold *cold, uint32_t in_flight, int64_t now_us)
{
    if (in_flight >= cold_limit(cold, now_us)) {
        return false;
    }
    uint32_t offered = cold_share_permille(cold, now_us) * cold->slots;
    return offered >= COLD_FULL || now_us >= cold->next_start_us;
}

void
cold_on_start(struct cold *cold, uint32_t in_flight, int64_t now_us)
{
    CH_INVARIANT(cold_may_start(cold, in_flight, now_us));
}

void
cold_on_finish(struct cold *cold, int64_t started_us, int64_t now_us)
{
    /* The share at the start is the least one until the next start, so that
     * the work stays below the area under the curve. */
    int64_t from_us =
        started_us > cold->since_us ? started_us : cold->since_us;
    uint32_t offered = cold_share_permille(cold, from_us) * cold->slots;
    if (offered >= COLD_FULL) {
        return;
    }
    /* Each busy microsecond owes so much idle time that the busy share of the
     * one slot stays at share * slots. */
    int64_t busy_us = now_us - started_us;
    int64_t idle_us = busy_us * (int64_t)(COLD_FULL - offered) / offered;
    if (cold->next_start_us < now_us) {
        cold->next_start_us = now_us;
    }
    cold->next_start_us += idle_us;
    int64_t end_us = cold->since_us + cold->ramp_us;
    if (cold->next_start_us > end_us) {
        cold->next_start_us = end_us;
    }
}
