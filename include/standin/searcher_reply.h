#ifndef CH_STANDIN_SEARCHER_REPLY_H
#define CH_STANDIN_SEARCHER_REPLY_H

#include "standin/searcher.h"

/* Sends the JSON document and releases it. */
void searcher_reply_json(struct http_conn *conn, int status, json_t *body);

/*
 * Sends the answer of a finished search or execute and releases it; cut short,
 * doubled or padded if the test asked for that.
 */
void searcher_reply_result(struct searcher *searcher, struct http_conn *conn,
                           json_t *body);

/* Answer of a search with at most `limit` hits. */
json_t *searcher_reply_search(const struct searcher *searcher, int64_t version,
                              uint32_t shard, const char *query,
                              int64_t limit);

/* Sends {start, draining, load, versions}, as old as the lag allows. */
void searcher_reply_status(struct searcher *searcher, struct http_conn *conn,
                           int64_t now_us);

#endif
