#ifndef CH_COMMON_HTTP_SERVER_H
#define CH_COMMON_HTTP_SERVER_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "common/http_field.h"

/*
 * HTTP server on h2o and a libuv loop. The handler gets each request and
 * answers it exactly once, immediately or later. The server owns its
 * connections, and each request until it is answered. Times are in ms on the
 * loop's clock.
 */

struct http_server;

struct http_request {
    const char *method; /* NUL-terminated, as are target, path and query */
    const char *target; /* path and query as they were sent */
    const char *path;
    const char *query; /* after '?', "" if there is none */
    const char *body;  /* `body_bytes` bytes, followed by a NUL */
    size_t body_bytes;
    /* Set by a handler that wants to know when the client closes the
     * connection or its sending side. Called at most once, within the interval
     * of http_server_set_disconnect_check(). The request must still be
     * answered, although the client does not get the answer. */
    void (*on_disconnect)(struct http_request *request, void *ctx);
    void *ctx; /* passed to `on_disconnect` */
};

typedef void (*http_server_handler_cb)(struct http_request *request,
                                       void *ctx);

/*
 * Listens on "IPV4:PORT"; requests with a body above `body_max_bytes` get 413.
 * Returns RC_OK, RC_INVALID for a malformed address, or RC_IO, which is
 * logged.
 */
int http_server_open(uv_loop_t *loop, const char *address,
                     size_t body_max_bytes, http_server_handler_cb handler,
                     void *ctx, struct http_server **out);

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

/* Sets how long a connection may be idle before it is closed (60 s). */
void http_server_set_idle_timeout(struct http_server *server,
                                  uint64_t timeout_ms);

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
