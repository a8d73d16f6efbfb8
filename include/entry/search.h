#ifndef CH_ENTRY_SEARCH_H
#define CH_ENTRY_SEARCH_H

#include "entry/gather.h"

/* Callback of gather: answers the caller of a search. */
void search_on_finish(void *ctx, void *request_ctx,
                      const struct gth_answer *answer);

#endif
