#ifndef CH_STANDIN_RUNS_H
#define CH_STANDIN_RUNS_H

#include <stdint.h>

/* How often each order ran; a searcher does not deduplicate. */
struct runs;

struct runs *runs_new(void);

/* Notes one more run of the order. */
void runs_add(struct runs *runs, const char *id);

/* Runs of the order so far. */
uint32_t runs_count(const struct runs *runs, const char *id);

/* Number of different orders. */
uint32_t runs_ids(const struct runs *runs);

/* Runs of the order that ran most often. */
uint32_t runs_max(const struct runs *runs);

#endif
