#ifndef CH_STANDIN_HTTP_CONN_H
#define CH_STANDIN_HTTP_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/*
 * HTTP/1.1 server that detects a closed connection also while a request is
 * pending: the gateway cancels a request by closing its connection, and
 * common/http_server.h looks at it at intervals only. The
 * server owns its connections; a connection carries one request at a time.
 */

struct http_conn_server;

struct http_conn;

struct http_conn_request {
    const char *method;
    const char *path;  /* without the query string */
    const char *query; /* after '?', "" if there is none */
    const char *body;  /* valid until the response */
    size_t body_bytes;
};

struct http_conn_handlers {
    /* Returns the value of http_conn_data(); NULL closes the connection. */
    void *(*open)(struct http_conn *conn, void *ctx);
    /* The handler responds exactly once with one of the http_conn_respond
     * functions, now or later; the next request of the connection waits. */
    void (*request)(struct http_conn *conn,
                    const struct http_conn_request *request, void *ctx);
    /* The connection has closed; `conn` must not be used afterwards. */
    void (*closed)(struct http_conn *conn, void *ctx);
};

/*
 * Listens on `host`, an IPv4 address, and `port`. Returns RC_OK, RC_INVALID
 * for a malformed address, or RC_IO when binding or listening fails.
 */
int http_conn_listen(uv_loop_t *loop, const char *host, uint32_t port,
                     const struct http_conn_handlers *handlers, void *ctx,
                     struct http_conn_server **out);

/* Stops listening and closes all connections. */
void http_conn_server_close(struct http_conn_server *server);

/* Calls `each` for each open connection; `each` may close it. */
void http_conn_each(struct http_conn_server *server,
                    void (*each)(struct http_conn *conn, void *ctx),
                    void *ctx);

/* Number of open connections. */
uint32_t http_conn_count(const struct http_conn_server *server);

/* What the `open` handler returned. */
void *http_conn_data(const struct http_conn *conn);

/* Responds to the pending request with JSON. */
void http_conn_respond(struct http_conn *conn, int status, const char *body,
                       size_t body_bytes);

/* Sends the whole response twice, to test that the client detects it. */
void http_conn_respond_twice(struct http_conn *conn, int status,
                             const char *body, size_t body_bytes);

/*
 * Sends a Content-Length for the whole body, then half of it, and closes the
 * connection.
 */
void http_conn_respond_truncated(struct http_conn *conn, int status,
                                 const char *body, size_t body_bytes);

void http_conn_close(struct http_conn *conn);

#endif
