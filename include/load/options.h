#ifndef CH_LOAD_OPTIONS_H
#define CH_LOAD_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

/* Command line of carobhatch-load; NULL for a text that is not set. */
struct load_options {
    char *entries;
    char *services;
    char *zone;
    char *caller_prefix;
    int64_t rate; /* requests per second */
    int64_t seconds;
    int64_t deadline_ms;
    int64_t limit;
    int64_t key_permille;
    int64_t order_permille;
    int64_t callers;
    int64_t connections; /* limit per gateway address */
    int64_t seed;
    char *arrivals; /* "poisson" or "even" */
    char *json;     /* output files */
    char *timeline;
    char *order_log;
};

/* Returns RC_OK, or RC_USAGE after printing what is wrong to stderr. */
int load_options_parse(struct load_options *options, int argc, char **argv);

#endif
