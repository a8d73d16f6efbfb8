#ifndef CH_RELAY_COLD_H
#define CH_RELAY_COLD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Cold-start curve of one searcher. A searcher is cold after its first
 * contact, after a new start id, after several slow parts in a row and after
 * two refusals. Its share of the slots then rises linearly from
 * `share_permille` to 1000. Only an orderly handover that names its start id
 * makes it warm at first contact.
 */
struct cold {
    uint32_t share_permille;
    int64_t ramp_us;
    uint32_t slots;
    bool is_cold;
    int64_t since_us;
    bool has_start;
    uint64_t start;
    bool is_expected; /* warm at first contact with `expected` */
    uint64_t expected;
    int64_t norm_us;       /* usual latency while warm, 0 if unknown */
    uint32_t norm_samples; /* up to COLD_NORM_SAMPLES */
    uint32_t slow_run;     /* slow parts in a row */
    int64_t slow_us;       /* when the last of them ended */
    int64_t shed_us;       /* when a request was shed, 0 for none */
    int64_t next_start_us; /* pacing while the share is below one slot */
};

/* The norm counts from this many parts on. */
#define COLD_NORM_SAMPLES 16
/* One straggler in 100 makes four in a row a chance of 1 in 10^8. */
#define COLD_SLOW_RUN 4
#define COLD_SLOW_FACTOR 4
/* A searcher that sheds twice in this time, although we keep to its slots,
 * says itself that it can bear less. */
#define COLD_SHED_WINDOW_US 1000000

void cold_init(struct cold *cold, uint32_t share_permille, int64_t ramp_us,
               uint32_t slots);

/* Takes over changed declarations; the position on the curve stays. */
void cold_configure(struct cold *cold, uint32_t share_permille,
                    int64_t ramp_us, uint32_t slots);

/* Starts the curve again. */
void cold_restart(struct cold *cold, int64_t now_us);

/*
 * First contact after an orderly handover: a searcher that still has the start
 * id `start` is warm then. Has no effect once the curve starts again.
 */
void cold_expect_warm(struct cold *cold, uint64_t start);

/* Whether the full share of the slots is in use. */
bool cold_is_warm(const struct cold *cold, int64_t now_us);

/* Notes a start id. Returns true when it is new and the searcher cold. */
bool cold_note_start(struct cold *cold, uint64_t start, int64_t now_us);

/* Notes the latency of an answered part. Returns true when it turned cold. */
bool cold_note_latency(struct cold *cold, int64_t latency_us, int64_t now_us);

/*
 * Notes a part without an answer that counts as a slow one. A part that was
 * under way when the last slow one ended is not counted: one pause of a
 * process or machine makes all parts under way slow at once.
 */
bool cold_note_slow(struct cold *cold, int64_t started_us, int64_t now_us);

/* Notes a request that was shed. Returns true when it turned cold. */
bool cold_note_shed(struct cold *cold, int64_t started_us, int64_t now_us);

/* True for a latency that counts as slow. */
bool cold_is_slow(const struct cold *cold, int64_t latency_us);

/* Share of the slots in use at this time, 1000 when warm. */
uint32_t cold_share_permille(const struct cold *cold, int64_t now_us);

/* Requests allowed in flight, at least 1. */
uint32_t cold_limit(const struct cold *cold, int64_t now_us);

/* Whether one more request may start beside `in_flight` others. */
bool cold_may_start(const struct cold *cold, uint32_t in_flight,
                    int64_t now_us);

/* Notes a start; asserts that cold_may_start() allowed it. */
void cold_on_start(struct cold *cold, uint32_t in_flight, int64_t now_us);

/* Notes the end of a request that started at `started_us`. */
void cold_on_finish(struct cold *cold, int64_t started_us, int64_t now_us);

#endif
