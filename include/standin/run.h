#ifndef CH_STANDIN_RUN_H
#define CH_STANDIN_RUN_H

#include <uv.h>

/* Allows as many open files as the system does; many searchers need them. */
void standin_raise_file_limit(void);

/* Runs the loop until SIGTERM or SIGINT. */
void standin_run(uv_loop_t *loop);

#endif
