#ifndef CH_STANDIN_RUN_H
#define CH_STANDIN_RUN_H

#include <uv.h>

/* Raises the soft limit of open files to the hard limit, for many sockets. */
void standin_raise_file_limit(void);

/* Runs the loop until SIGTERM or SIGINT. */
void standin_run(uv_loop_t *loop);

#endif
