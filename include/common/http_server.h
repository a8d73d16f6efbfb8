#ifndef CH_COMMON_HTTP_SERVER_H
#define CH_COMMON_HTTP_SERVER_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "common/http_field.h"

/* HTTP server on h2o. A request may be answered later, once. */

struct http_server;

struct http_request {
    const char *method; /* NUL-terminated, as are target, path and query */
    const char *target; /* path and query as they were sent */
    const char *path;
    const char *query; /* after '?', "" if there is none */
    const char *body;
    size_t body_bytes;
    /* Set by the handler to learn, within the server's gone check interval,
     * that the caller closed the connection or its sending side; the request
     * must still be answered, to no effect. Called at most once. */
    void (*on_gone)(struct http_request *request, void *ctx);
    void *ctx;
};

typedef void (*http_server_handler_cb)(struct http_request *request,
                                       void *ctx);

/*
 * Listens on "IPV4:PORT"; requests with a body above `max_body_bytes` get 413.
 * Returns RC_OK or RC_IO.
 */
int http_server_open(uv_loop_t *loop, const char *address,
                     size_t max_body_bytes, http_server_handler_cb handler,
                     void *ctx, struct http_server **out);

/* Value of a request header (lower-case name) or NULL; free with g_free. */
char *http_server_header(const struct http_request *request, const char *name);

/* Called for each header of the request but Host and those of its framing. */
typedef void (*http_server_field_cb)(const struct http_field *field,
                                     void *ctx);
void http_server_each_field(const struct http_request *request,
                            http_server_field_cb visit, void *ctx);

/* The request's Host, "" if there is none; free with g_free. */
char *http_server_host(const struct http_request *request);

/* Value of a query parameter or NULL; free with g_free. */
char *http_server_query_value(const struct http_request *request,
                              const char *name);

/*
 * Answers the request and gives it up; `body` is copied. Must be called
 * exactly once for each request, also after on_gone.
 */
void http_server_respond(struct http_request *request, int status,
                         const char *content_type, const void *body,
                         size_t body_bytes);

/* As http_server_respond() with these headers; the framing is added. */
void http_server_respond_fields(struct http_request *request, int status,
                                const struct http_field *fields,
                                size_t field_count, const void *body,
                                size_t body_bytes);

/* How long a connection may stay without a request before it is closed. */
void http_server_set_idle_timeout(struct http_server *server,
                                  uint64_t timeout_ms);

/* How often waiting requests are checked for a caller that left (20 ms). */
void http_server_set_gone_check(struct http_server *server,
                                uint64_t interval_ms);

/* Asks open connections to close after their next answer; goes on accepting.
 */
void http_server_drain(struct http_server *server);

/* Stops accepting connections and asks open ones to close. */
void http_server_stop(struct http_server *server);

/* Connections that are open now. */
uint32_t http_server_connection_count(const struct http_server *server);

#endif
