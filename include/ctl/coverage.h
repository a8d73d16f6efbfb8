#ifndef CH_CTL_COVERAGE_H
#define CH_CTL_COVERAGE_H

#include <jansson.h>

#include "ctl/ctl.h"

/*
 * Warns of each instance of a valid document whose searchers are all leaving
 * or in a zone that is out: its shards are missing from every answer.
 */
void coverage_warn(struct ctl *ctl, const json_t *document);

#endif
