#ifndef CH_LOAD_CHECK_H
#define CH_LOAD_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/rc.h"

/* Checks answers against what the stand-in searchers must have said. */

/* X(symbol, name, what is verdict) */
#define CHECK_LIST(X)                                                         \
    X(CHECK_OK, "right", "nothing")                                           \
    X(CHECK_BAD_JSON, "bad_json", "body is not JSON")                         \
    X(CHECK_BAD_FIELD, "bad_field", "a field is missing or malformed")        \
    X(CHECK_COVERAGE, "coverage", "coverage does not fit the missing shards") \
    X(CHECK_COMPLETE, "complete", "complete flag does not fit the coverage")  \
    X(CHECK_LAYOUT, "layout",                                                 \
      "number of shards differs from earlier answers")                        \
    X(CHECK_SNAPSHOT, "mixed_snapshot", "a hit comes from another version")   \
    X(CHECK_QUERY, "foreign_query", "a hit belongs to another query")         \
    X(CHECK_SHARD, "foreign_shard", "a hit's shard is missing or not asked")  \
    X(CHECK_SCORE, "score", "a hit has the wrong score")                      \
    X(CHECK_DUPLICATE, "duplicate_hit", "a hit is there twice")               \
    X(CHECK_UNSORTED, "unsorted", "hits are not sorted by score")             \
    X(CHECK_HITS, "lost_hits", "a better hit is left out")                    \
    X(CHECK_REFUSAL, "bad_refusal", "refusal without a known code or run")    \
    X(CHECK_STATUS, "refusal_status", "status does not fit the code")         \
    X(CHECK_ORDER, "foreign_order", "answer does not name the order's id")

#define CHECK_ENUM(symbol, name, text) symbol,
enum check_verdict { CHECK_LIST(CHECK_ENUM) CHECK_VERDICTS };
#undef CHECK_ENUM

const char *check_name(enum check_verdict verdict);

struct checker {
    GHashTable *layouts; /* "service version" -> shards, from answers */
};

struct check_query {
    const char *service;
    const char *text;
    const char *key; /* NULL without one */
    int64_t limit;
};

struct check_result {
    enum check_verdict verdict;
    bool is_complete;
    double coverage;
};

void check_init(struct checker *checker);

void check_clear(struct checker *checker);

/* Checks the body of a search's 200 answer. */
struct check_result check_search(struct checker *checker,
                                 const struct check_query *query,
                                 const char *body, size_t body_bytes);

/* Checks the body of an order's 200 answer. */
enum check_verdict check_order(const char *id, const char *body,
                               size_t body_bytes);

/* What a refusal says. */
struct check_refusal {
    int rc;
    enum rc_run run;
};

/* Checks {"code", "name", "run"} of an answer other than 200. */
enum check_verdict check_refusal(int status, const char *body,
                                 size_t body_bytes, struct check_refusal *out);

#endif
