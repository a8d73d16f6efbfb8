#ifndef CH_COMMON_RC_H
#define CH_COMMON_RC_H

#include <stdbool.h>

/*
 * The result codes of all modules: their numbers, and the names, HTTP statuses
 * and texts that callers and peers see. RC_OK is 0, errors are negative.
 */

/* Whether a request with some result was executed by a backend server. */
enum rc_executed {
    RC_EXECUTED_NO,
    RC_EXECUTED_UNKNOWN,
    RC_EXECUTED_YES,
};

/* X(symbol, number, name, executed, http status, text)
 *
 * Callers repeat a request after 408, 421, 429 or 503: these statuses stand
 * only beside RC_EXECUTED_NO. */
#define RC_LIST(X)                                                            \
    X(RC_OK, 0, "ok", RC_EXECUTED_YES, 200, "done")                           \
    X(RC_BAD_JSON, -1, "bad_json", RC_EXECUTED_NO, 400,                       \
      "body is not valid JSON")                                               \
    X(RC_BAD_FIELD, -2, "bad_field", RC_EXECUTED_NO, 400,                     \
      "a field is missing, unknown or has a wrong type or range")             \
    X(RC_BAD_DEADLINE, -3, "bad_deadline", RC_EXECUTED_NO, 400,               \
      "deadline is zero, negative or above the service's maximum")            \
    X(RC_TOO_LARGE, -4, "too_large", RC_EXECUTED_NO, 413,                     \
      "body is too large")                                                    \
    X(RC_NO_SERVICE, -5, "unknown_service", RC_EXECUTED_NO, 404,              \
      "no such service")                                                      \
    X(RC_NO_ROUTE, -6, "unknown_path", RC_EXECUTED_NO, 404, "no such path")   \
    X(RC_BAD_METHOD, -7, "bad_method", RC_EXECUTED_NO, 405, "wrong method")   \
    X(RC_BAD_ID, -8, "bad_id", RC_EXECUTED_NO, 400,                           \
      "request id is malformed or was never issued")                          \
    X(RC_ID_EXPIRED, -9, "id_expired", RC_EXECUTED_UNKNOWN, 410,              \
      "request id has expired; the order may have run before")                \
    X(RC_QUOTA, -10, "quota", RC_EXECUTED_NO, 429,                            \
      "caller is over its quota")                                             \
    X(RC_QUEUE_FULL, -11, "queue_full", RC_EXECUTED_NO, 503, "queue is full") \
    X(RC_TOO_LATE, -12, "too_late", RC_EXECUTED_NO, 503,                      \
      "request cannot finish before its deadline")                            \
    X(RC_DEADLINE, -13, "deadline_exceeded", RC_EXECUTED_UNKNOWN, 504,        \
      "deadline passed before all parts arrived")                             \
    X(RC_NO_SEARCHER, -15, "no_searcher", RC_EXECUTED_NO, 503,                \
      "no searcher can serve the shard at this version")                      \
    X(RC_VERSION_GONE, -16, "version_gone", RC_EXECUTED_NO, 503,              \
      "the index version is no longer served")                                \
    X(RC_SHED, -17, "shed", RC_EXECUTED_NO, 503,                              \
      "searcher refused the request without running it")                      \
    X(RC_LINK_FAILED, -18, "link_failed", RC_EXECUTED_NO, 503,                \
      "connection failed before any byte was sent")                           \
    X(RC_LINK_LOST, -19, "link_lost", RC_EXECUTED_UNKNOWN, 502,               \
      "connection was lost after sending")                                    \
    X(RC_BAD_REPLY, -20, "bad_reply", RC_EXECUTED_UNKNOWN, 502,               \
      "searcher's reply does not belong to the request or is malformed")      \
    X(RC_OUTCOME_UNKNOWN, -23, "outcome_unknown", RC_EXECUTED_UNKNOWN, 504,   \
      "the order may or may not have run; it will not be run again")          \
    X(RC_NOT_READY, -24, "not_ready", RC_EXECUTED_NO, 503,                    \
      "no configuration is in force yet")                                     \
    X(RC_STOPPING, -25, "stopping", RC_EXECUTED_NO, 503,                      \
      "process is stopping")                                                  \
    X(RC_CANCELLED, -26, "cancelled", RC_EXECUTED_UNKNOWN, 499,               \
      "request was cancelled")                                                \
    X(RC_ZONE_OUT, -27, "zone_out", RC_EXECUTED_NO, 503,                      \
      "all searchers of the shard are in a zone that is out or are leaving")  \
    X(RC_CONFLICT, -28, "conflict", RC_EXECUTED_NO, 409,                      \
      "object changed since it was read")                                     \
    X(RC_NOT_FOUND, -29, "not_found", RC_EXECUTED_NO, 404, "no such object")  \
    X(RC_STORE_DOWN, -30, "store_down", RC_EXECUTED_UNKNOWN, 502,             \
      "no usable answer from the platform's store")                           \
    X(RC_STALE, -31, "stale", RC_EXECUTED_NO, 409,                            \
      "offered revision is not newer than the one in force")                  \
    X(RC_INVALID, -32, "invalid", RC_EXECUTED_NO, 400,                        \
      "value does not pass the schema check")                                 \
    X(RC_USAGE, -33, "usage", RC_EXECUTED_NO, 400, "wrong flag or argument")  \
    X(RC_AGAIN, -34, "again", RC_EXECUTED_NO, 503, "may be sent again")       \
    X(RC_NO_MEMORY, -35, "no_memory", RC_EXECUTED_NO, 503,                    \
      "no room in the memory of this VM")                                     \
    X(RC_IO, -36, "io", RC_EXECUTED_UNKNOWN, 500, "system call failed")       \
    X(RC_RUNNING, -37, "running", RC_EXECUTED_UNKNOWN, 409,                   \
      "an order with this id is still running")                               \
    X(RC_LIMIT, -39, "limit", RC_EXECUTED_NO, 503,                            \
      "no slot or link is free within its limit")                             \
    X(RC_WRONG_BACKEND, -40, "wrong_backend", RC_EXECUTED_NO, 503,            \
      "another backend server has the address")                               \
    X(RC_BACKEND_ERROR, -41, "backend_error", RC_EXECUTED_YES, 502,           \
      "backend server answered with an error")                                \
    X(RC_BACKOFF, -42, "backoff", RC_EXECUTED_NO, 503,                        \
      "all backend servers asked to get no requests for a while")             \
    X(RC_REPLY_TOO_LARGE, -43, "reply_too_large", RC_EXECUTED_UNKNOWN, 502,   \
      "body of a reply is too large")                                         \
    X(RC_BAD_REQUEST, -44, "bad_request", RC_EXECUTED_NO, 400,                \
      "request is not valid HTTP/1.1")                                        \
    X(RC_HEAD_TOO_LARGE, -45, "head_too_large", RC_EXECUTED_NO, 431,          \
      "path and headers are too large")                                       \
    X(RC_REQUEST_TIMEOUT, -46, "request_timeout", RC_EXECUTED_NO, 408,        \
      "rest of the request did not arrive in time")                           \
    X(RC_REPLY_NO_ROOM, -47, "reply_no_room", RC_EXECUTED_UNKNOWN, 502,       \
      "no room for a reply in the memory of this VM")                         \
    X(RC_OBJECTS_NO_ROOM, -48, "objects_no_room", RC_EXECUTED_NO, 503,        \
      "no room for the objects of the store in the memory of this VM")

#define RC_ENUM(symbol, number, name, executed, http, text) symbol = (number),
enum rc { RC_LIST(RC_ENUM) };
#undef RC_ENUM

/* For RC_LIST: the symbols alone, to initialise an array of all codes. */
#define RC_SYMBOL(symbol, number, name, executed, http, text) symbol,

/* Stable lower-case name of a result code; "unknown" for other numbers. */
const char *rc_name(int rc);

/* Description of the code, part of error responses. */
const char *rc_text(int rc);

/* Whether a request that ended with this code was executed. */
enum rc_executed rc_executed(int rc);

/* "no", "unknown" or "yes". */
const char *rc_executed_name(enum rc_executed executed);

/* HTTP status of a response with this code; 500 for other numbers. */
int rc_http_status(int rc);

/* The code with this name, or 1 when there is none. */
int rc_from_name(const char *name);

#endif
