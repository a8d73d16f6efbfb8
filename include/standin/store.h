#ifndef CH_STANDIN_STORE_H
#define CH_STANDIN_STORE_H

#include <stdint.h>
#include <uv.h>

/*
 * Stand-in for the platform's object store: HTTP interface, long polls and
 * faults on request. Objects are in memory only (standin/store_object.h).
 */

struct store_options {
    char *listen; /* IPV4:PORT */
    char *log_level;
};

/* Returns RC_OK, or RC_USAGE after printing what is wrong to stderr. */
int store_options_parse(struct store_options *options, int argc, char **argv);

struct store;

/* Starts the store's server. Returns RC_OK, RC_INVALID or RC_IO. */
int store_open(uv_loop_t *loop, const struct store_options *options,
               struct store **out);

#endif
