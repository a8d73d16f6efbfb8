#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "standin/hits.h"
#include "standin/searcher_reply.h"

/* Above any limit that a gateway may have for the response of one shard. */
#define SEARCHER_REPLY_OVERSIZE_BYTES ((size_t)8 * 1024 * 1024)

void
searcher_reply_json(struct http_conn *conn, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    http_conn_respond(conn, status, text, strlen(text));
    free(text);
    json_decref(body);
}

static void
searcher_reply_oversized(struct http_conn *conn, const char *text)
{
    GString *padded = g_string_new(text);
    size_t text_bytes = padded->len;
    g_string_set_size(padded, SEARCHER_REPLY_OVERSIZE_BYTES);
    memset(padded->str + text_bytes, ' ',
           SEARCHER_REPLY_OVERSIZE_BYTES - text_bytes);
    http_conn_respond(conn, 200, padded->str, padded->len);
    g_string_free(padded, TRUE);
}

/* Uses one of the responses left with a fault; false if there are none. */
static bool
searcher_reply_consume(int64_t *left)
{
    if (*left <= 0) {
        return false;
    }
    *left -= 1;
    return true;
}

void
searcher_reply_result(struct searcher *searcher, struct http_conn *conn,
                      json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    if (searcher_reply_consume(&searcher->truncate_next)) {
        http_conn_respond_truncated(conn, 200, text, strlen(text));
    }
    else if (searcher_reply_consume(&searcher->duplicate_next)) {
        http_conn_respond_twice(conn, 200, text, strlen(text));
    }
    else if (searcher_reply_consume(&searcher->oversize_next)) {
        searcher_reply_oversized(conn, text);
    }
    else {
        http_conn_respond(conn, 200, text, strlen(text));
    }
    free(text);
    json_decref(body);
}

json_t *
searcher_reply_search(const struct searcher *searcher, int64_t version,
                      uint32_t shard, const char *query, int64_t limit)
{
    struct standin_hit hits[STANDIN_HIT_PER_SHARD];
    standin_hit_shard(version, shard, query, hits);
    json_t *list = json_array();
    for (uint32_t i = 0; i < STANDIN_HIT_PER_SHARD && i < limit; i++) {
        json_array_append_new(
            list, json_pack("[I, s]", (json_int_t)hits[i].score, hits[i].id));
    }
    standin_hit_clear(hits, STANDIN_HIT_PER_SHARD);
    return json_pack("{s:I, s:i, s:I, s:o}", "version", (json_int_t)version,
                     "shard", (int)shard, "start",
                     (json_int_t)searcher->start_id, "hits", list);
}

static char *
searcher_reply_status_text(const struct searcher *searcher)
{
    int64_t load = searcher->reported_load_permille;
    if (load < 0) {
        load = searcher->in_use * 1000 / searcher->slots;
    }
    json_t *body = json_pack("{s:I, s:b, s:I, s:o}", "start",
                             (json_int_t)searcher->start_id, "draining",
                             searcher->is_draining, "load", (json_int_t)load,
                             "versions", searcher_version_list(searcher));
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

void
searcher_reply_status(struct searcher *searcher, struct http_conn *conn,
                      int64_t now_us)
{
    int64_t age_us = now_us - searcher->status_cached_us;
    if (searcher->cached_status == NULL ||
        age_us >= searcher->status_lag_ms * 1000) {
        free(searcher->cached_status);
        searcher->cached_status = searcher_reply_status_text(searcher);
        searcher->status_cached_us = now_us;
    }
    http_conn_respond(conn, 200, searcher->cached_status,
                      strlen(searcher->cached_status));
}
