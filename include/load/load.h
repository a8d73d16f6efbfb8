#ifndef CH_LOAD_LOAD_H
#define CH_LOAD_LOAD_H

#include "load/options.h"

/*
 * Runs the load as configured and prints the results. Returns the exit status:
 * 0, 1 if a response was wrong, or 2 if the run or its output failed.
 */
int load_run(const struct load_options *options);

#endif
