#ifndef CH_STANDIN_SEARCHER_REPLY_H
#define CH_STANDIN_SEARCHER_REPLY_H

#include "standin/searcher.h"

/* Responses of a searcher, with the faults that a test asked for. */

/* Responds with the JSON document and releases it. */
void searcher_reply_json(struct http_conn *conn, int status, json_t *body);

/*
 * Responds with the result of a search or execute and releases it. Truncates,
 * duplicates or pads the response while the searcher's counter for that fault
 * is above 0.
 */
void searcher_reply_result(struct searcher *searcher, struct http_conn *conn,
                           json_t *body);

/* Result of a search with at most `limit` hits. */
json_t *searcher_reply_search(const struct searcher *searcher, int64_t version,
                              uint32_t shard, const char *query,
                              int64_t limit);

/*
 * Responds with {start, draining, load, versions}, from the cache if that is
 * younger than status_lag_ms.
 */
void searcher_reply_status(struct searcher *searcher, struct http_conn *conn,
                           int64_t now_us);

#endif
