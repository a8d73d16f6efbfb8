#ifndef CH_STANDIN_STORE_H
#define CH_STANDIN_STORE_H

#include <stdint.h>
#include <uv.h>

struct store_options {
    char *listen;
    char *log_level;
};

int store_options_parse(struct store_options *options, int argc, char **argv);

struct store;

/* Starts the store's server. Returns RC_OK, RC_INVALID or RC_IO. */
int store_open(uv_loop_t *loop, const struct store_options *options,
               struct store **out);

#endif
