#ifndef CH_COMMON_HTTP_WAIT_H
#define CH_COMMON_HTTP_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides how long a server waits for its client, and which connection to
 * close if there is no room for others. A client that sends or reads a little
 * now and then counts as making progress only when HTTP_WAIT_PROGRESS_BYTES
 * have moved. Times are in ms of one monotonic clock.
 */

/* What a connection waits for. */
enum http_wait_kind {
    HTTP_WAIT_REQUEST, /* the first byte of a request */
    HTTP_WAIT_HEAD,    /* the rest of its head */
    HTTP_WAIT_BODY,    /* the rest of its body */
    HTTP_WAIT_HANDLER, /* the answer of this process: not for the client */
    HTTP_WAIT_READER,  /* the client to read the answer */
    HTTP_WAIT_CLOSE,   /* the client to close, after the last answer */
};

/* Longest waits for a client. */
struct http_wait_limits {
    uint64_t idle_ms;     /* between requests */
    uint64_t head_ms;     /* from the first byte of a request to its body */
    uint64_t progress_ms; /* until HTTP_WAIT_PROGRESS_BYTES have moved */
};

struct http_wait {
    enum http_wait_kind kind;
    uint64_t since_ms;    /* when it began or last made progress */
    uint64_t moved_bytes; /* since then */
    bool has_served;      /* an earlier request was answered */
};

/* Bytes of a body or of an answer that count as progress. */
#define HTTP_WAIT_PROGRESS_BYTES 4096
/* A connection without progress for this time may be closed to make room:
 * callers give up a connection that has not read their request for a second.
 */
#define HTTP_WAIT_STALLED_MS 1000
/* Wait for the client to close its side. */
#define HTTP_WAIT_CLOSE_MS 1000

/* Begins a wait. */
void http_wait_start(struct http_wait *wait, enum http_wait_kind kind,
                     uint64_t now_ms);

/* The client has sent or read this many bytes. */
void http_wait_move(struct http_wait *wait, uint64_t bytes, uint64_t now_ms);

/* Whether the wait has taken too long and the connection must be closed. */
bool http_wait_is_over(const struct http_wait *wait,
                       const struct http_wait_limits *limits, uint64_t now_ms);

/* Whether the connection may be closed to make room for others. */
bool http_wait_is_stalled(const struct http_wait *wait, uint64_t now_ms);

/*
 * Whether `a` is closed before `b` to make room: connections in the middle of
 * something go before idle ones that served requests before; then the longest
 * wait goes first.
 */
bool http_wait_goes_before(const struct http_wait *a,
                           const struct http_wait *b);

#endif
