#ifndef CH_COMMON_HTTP_SERVER_H
#define CH_COMMON_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "common/buffer.h"
#include "common/http_field.h"

/*
 * HTTP/1.1 server on a libuv loop. The handler gets each whole request and
 * answers it exactly once, immediately or later. The server owns its
 * connections, and each request until it is answered. Times are in ms on the
 * loop's clock.
 *
 * What clients send and do not read is bounded: heads and bodies by the
 * limits, all of them together by the share of the process's account, and each
 * wait for a client by a timeout on its progress. What is refused gets 400,
 * 408, 413, 431 or 503 and was not passed to the handler.
 */

struct http_server;

struct http_request {
    const char *method; /* NUL-terminated, as are target, path and query */
    const char *target; /* path and query as they were sent */
    const char *path;
    const char *query; /* after '?', "" if there is none */
    const char *body;  /* `body_bytes` bytes, followed by a NUL */
    size_t body_bytes;
    /* Holds the body; a reference keeps it beyond the request. */
    struct buffer *body_buffer;
    /* Set by a handler that wants to know when the client closes the
     * connection or its sending side. Called at most once, within the interval
     * of http_server_set_disconnect_check(). The request must still be
     * answered, although the client does not get the answer. */
    void (*on_disconnect)(struct http_request *request, void *ctx);
    void *ctx; /* passed to `on_disconnect` */
};

typedef void (*http_server_handler_cb)(struct http_request *request,
                                       void *ctx);

/* A request was refused with this result code before it reached the handler;
 * `ctx` is that of the handler. */
typedef void (*http_server_refused_cb)(int rc, void *ctx);

/* What a client may send and how long it may take. */
struct http_server_limits {
    size_t head_max_bytes; /* of target and fields; above: 431 */
    size_t body_max_bytes; /* above: 413 */
    /* From the first byte of a request to the end of its head; above: 408. */
    uint64_t head_timeout_ms;
    /* Without a request, or without progress in a body or in reading an
     * answer. */
    uint64_t idle_timeout_ms;
};

/*
 * Listens on "IPV4:PORT"; requests with a body above `body_max_bytes` get 413.
 * Returns RC_OK, RC_INVALID for a malformed address, or RC_IO, which is
 * logged.
 */
int http_server_open(uv_loop_t *loop, const char *address,
                     size_t body_max_bytes, http_server_handler_cb handler,
                     void *ctx, struct http_server **out);

/* Whether the client has closed the connection or its sending side. Asks the
 * kernel, so that an end of stream that was not read yet counts. */
bool http_server_has_left(const struct http_request *request);

/* Value of a request header (lower-case name) or NULL; free with g_free. */
char *http_server_header(const struct http_request *request, const char *name);

/* Receives one header; valid during the call. */
typedef void (*http_server_field_cb)(const struct http_field *field,
                                     void *ctx);

/*
 * Calls `visit` for each header of the request except Host and those that
 * frame the body.
 */
void http_server_each_field(const struct http_request *request,
                            http_server_field_cb visit, void *ctx);

/* The request's Host, "" if there is none; free with g_free. */
char *http_server_host(const struct http_request *request);

/* Unescaped value of a query parameter or NULL; free with g_free. */
char *http_server_query_value(const struct http_request *request,
                              const char *name);

/*
 * Answers the request, which is invalid afterwards; `body` is copied. Must be
 * called exactly once for each request, also after on_disconnect.
 */
void http_server_respond(struct http_request *request, int status,
                         const char *content_type, const void *body,
                         size_t body_bytes);

/*
 * As http_server_respond() with these headers, which are copied. The server
 * adds Content-Length.
 */
void http_server_respond_fields(struct http_request *request, int status,
                                const struct http_field *fields,
                                size_t field_count, const void *body,
                                size_t body_bytes);

/* As http_server_respond_fields() with a body that is shared, not copied. */
void http_server_respond_buffer(struct http_request *request, int status,
                                const struct http_field *fields,
                                size_t field_count, struct buffer *body);

/*
 * Sets the shares of the process's account that the server draws on: `share`
 * for its connections, their requests and copied answers. While `answer_share`
 * is short of memory, clients that do not read their answers are closed. Call
 * before the loop runs; without it nothing is counted.
 */
void http_server_set_shares(struct http_server *server,
                            struct resource_share *share,
                            struct resource_share *answer_share);

/* Replaces the limits: 64 KiB for heads, 10 s for a head and 60 s of idle time
 * until others are set. */
void http_server_set_limits(struct http_server *server,
                            const struct http_server_limits *limits);

void http_server_set_idle_timeout(struct http_server *server,
                                  uint64_t timeout_ms);

/* Reports refused requests, for counters. */
void http_server_set_refused_cb(struct http_server *server,
                                http_server_refused_cb refused);

/*
 * Sets how often the connections of unanswered requests are checked for a
 * client that has closed them (20 ms).
 */
void http_server_set_disconnect_check(struct http_server *server,
                                      uint64_t interval_ms);

/*
 * Closes each open connection after its next answer, with "Connection: close".
 * New connections are still accepted.
 */
void http_server_drain(struct http_server *server);

/* Stops accepting connections and drains the open ones. */
void http_server_stop(struct http_server *server);

/* Whether a client is owed something: a request was read in part, waits for
 * its answer, or has an answer that is not written yet. */
bool http_server_is_owing(const struct http_server *server);

/* Connections that are open now. */
uint32_t http_server_connection_count(const struct http_server *server);

#endif
