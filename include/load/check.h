#ifndef CH_LOAD_CHECK_H
#define CH_LOAD_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/rc.h"

/* Checks answers against what the stand-in searchers must have said. */

/* X(symbol, name, what is wrong) */
#define CHK_LIST(X)                                                           \
    X(CHK_RIGHT, "right", "nothing")                                          \
    X(CHK_BAD_JSON, "bad_json", "body is not JSON")                           \
    X(CHK_BAD_FIELD, "bad_field", "a field is missing or malformed")          \
    X(CHK_COVERAGE, "coverage", "coverage does not fit the missing shards")   \
    X(CHK_COMPLETE, "complete", "complete flag does not fit the coverage")    \
    X(CHK_LAYOUT, "layout", "number of shards differs from earlier answers")  \
    X(CHK_SNAPSHOT, "mixed_snapshot", "a hit comes from another version")     \
    X(CHK_QUERY, "foreign_query", "a hit belongs to another query")           \
    X(CHK_SHARD, "foreign_shard", "a hit's shard is missing or not asked")    \
    X(CHK_SCORE, "score", "a hit has the wrong score")                        \
    X(CHK_DUPLICATE, "duplicate_hit", "a hit is there twice")                 \
    X(CHK_UNSORTED, "unsorted", "hits are not sorted by score")               \
    X(CHK_HITS, "lost_hits", "a better hit is left out")                      \
    X(CHK_REFUSAL, "bad_refusal", "refusal without a known code or run")      \
    X(CHK_STATUS, "refusal_status", "status does not fit the code")           \
    X(CHK_ORDER, "foreign_order", "answer does not name the order's id")

#define CHK_ENUM(symbol, name, text) symbol,
enum chk_kind { CHK_LIST(CHK_ENUM) CHK_KINDS };
#undef CHK_ENUM

const char *chk_name(enum chk_kind kind);

struct chk {
    GHashTable *layouts; /* "service version" -> shards, from answers */
};

struct chk_query {
    const char *service;
    const char *text;
    const char *key; /* NULL without one */
    int64_t limit;
};

struct chk_result {
    enum chk_kind wrong;
    bool is_complete;
    double coverage;
};

void chk_init(struct chk *checker);

void chk_clear(struct chk *checker);

/* Checks the body of a search's 200 answer. */
struct chk_result chk_search(struct chk *checker,
                             const struct chk_query *query, const char *body,
                             size_t body_bytes);

/* Checks the body of an order's 200 answer. */
enum chk_kind chk_order(const char *id, const char *body, size_t body_bytes);

/* What a refusal says. */
struct chk_refusal {
    int rc;
    enum rc_run run;
};

/* Checks {"code", "name", "run"} of an answer other than 200. */
enum chk_kind chk_refusal(int status, const char *body, size_t body_bytes,
                          struct chk_refusal *out);

#endif
