#ifndef CH_STANDIN_RUNS_H
#define CH_STANDIN_RUNS_H

#include <stdint.h>

/*
 * Counts how often each order was executed, by its id, over all searchers of
 * the process. A searcher executes a repeated id again, so that a test finds
 * orders that ran twice.
 */
struct runs;

struct runs *runs_new(void);

/* Counts one more execution of the order. */
void runs_add(struct runs *runs, const char *id);

/* Executions of the order so far. */
uint32_t runs_count(const struct runs *runs, const char *id);

/* Number of distinct order ids. */
uint32_t runs_ids(const struct runs *runs);

/* Highest number of executions of any one order. */
uint32_t runs_max(const struct runs *runs);

#endif
