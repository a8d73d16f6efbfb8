#ifndef CH_LOAD_LOAD_H
#define CH_LOAD_LOAD_H

#include "load/options.h"

/* Runs the load. Returns the exit status: 0, 1 (wrong answers) or 2. */
int load_run(const struct load_options *options);

#endif
