#ifndef CH_STANDIN_SEARCHER_REPLY_H
#define CH_STANDIN_SEARCHER_REPLY_H

#include "standin/searcher.h"

/* Sends the JSON document and releases it. */
void sre_json(struct wir_conn *conn, int status, json_t *body);

/*
 * Sends the answer of a finished search or execute and releases it; cut short,
 * doubled or padded if the test asked for that.
 */
void sre_result(struct sea *searcher, struct wir_conn *conn, json_t *body);

/* Answer of a search with at most `limit` hits. */
json_t *sre_search(const struct sea *searcher, int64_t version, uint32_t shard,
                   const char *query, int64_t limit);

/* Sends {start, draining, load, versions}, as old as the lag allows. */
void sre_status(struct sea *searcher, struct wir_conn *conn, int64_t now_us);

#endif
