#ifndef CH_LOAD_CHECK_H
#define CH_LOAD_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/rc.h"

/*
 * Checks responses of the gateway against the results that the stand-in
 * backend servers must have returned (standin/hits.h). The checker keeps the
 * number of shards of each index version from earlier responses.
 */

/* X(symbol, name in the report, what is wrong) */
#define CHECK_LIST(X)                                                         \
    X(CHECK_OK, "right", "nothing")                                           \
    X(CHECK_BAD_JSON, "bad_json", "body is not JSON")                         \
    X(CHECK_BAD_FIELD, "bad_field", "a field is missing or malformed")        \
    X(CHECK_COVERAGE, "coverage",                                             \
      "coverage does not match the missing shards")                           \
    X(CHECK_COMPLETE, "complete",                                             \
      "complete flag does not match the coverage")                            \
    X(CHECK_LAYOUT, "layout",                                                 \
      "number of shards differs from earlier responses")                      \
    X(CHECK_SNAPSHOT, "mixed_snapshot", "a hit comes from another version")   \
    X(CHECK_QUERY, "foreign_query", "a hit belongs to another query")         \
    X(CHECK_SHARD, "foreign_shard",                                           \
      "a hit is of a shard that is missing or not queried")                   \
    X(CHECK_SCORE, "score", "a hit has the wrong score")                      \
    X(CHECK_DUPLICATE, "duplicate_hit", "a hit occurs twice")                 \
    X(CHECK_UNSORTED, "unsorted", "hits are not sorted by score")             \
    X(CHECK_HITS, "lost_hits", "a hit with a better score is left out")       \
    X(CHECK_REFUSAL, "bad_refusal",                                           \
      "refusal without a known code or \"run\"")                              \
    X(CHECK_STATUS, "refusal_status", "HTTP status does not match the code")  \
    X(CHECK_ORDER, "foreign_order", "response does not contain the order's id")

#define CHECK_ENUM(symbol, name, text) symbol,
enum check_verdict { CHECK_LIST(CHECK_ENUM) CHECK_VERDICTS };
#undef CHECK_ENUM

/* The verdict's name in the report. */
const char *check_name(enum check_verdict verdict);

struct checker {
    GHashTable *layouts; /* "service version" -> number of shards */
};

/* The search that a response belongs to. */
struct check_query {
    const char *service;
    const char *text;
    const char *key; /* NULL: all shards are queried */
    int64_t limit;   /* hits */
};

struct check_result {
    enum check_verdict verdict;
    bool is_complete;
    double coverage;
};

void check_init(struct checker *checker);

void check_clear(struct checker *checker);

/* Checks the body of a search's response with status 200. */
struct check_result check_search(struct checker *checker,
                                 const struct check_query *query,
                                 const char *body, size_t body_bytes);

/* Checks the body of an order's response with status 200. */
enum check_verdict check_order(const char *id, const char *body,
                               size_t body_bytes);

/* Result code and execution state that a refusal reports. */
struct check_refusal {
    int rc; /* 1: no known code */
    enum rc_executed run;
};

/* Checks {"code", "name", "run"} of a response with another status. */
enum check_verdict check_refusal(int status, const char *body,
                                 size_t body_bytes, struct check_refusal *out);

#endif
