#ifndef CH_STANDIN_HTTP_CONN_H
#define CH_STANDIN_HTTP_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/*
 * HTTP/1.1 server that reports the end of a connection also while a request
 * is pending. h2o stops reading then, but a searcher's caller cancels a
 * request by closing the connection.
 */

struct http_conn_server;

struct http_conn;

struct http_conn_request {
    const char *method;
    const char *path; /* without the query */
    const char *query;
    const char *body; /* valid until the answer */
    size_t body_bytes;
};

struct http_conn_handlers {
    /* Returns what http_conn_data gives later; NULL refuses the connection. */
    void *(*open)(struct http_conn *conn, void *ctx);
    /* One at a time on a connection; answered by http_conn_respond, once. */
    void (*request)(struct http_conn *conn,
                    const struct http_conn_request *request, void *ctx);
    /* The connection has ended; it must not be used afterwards. */
    void (*closed)(struct http_conn *conn, void *ctx);
};

/* Listens on the address. Returns RC_OK, RC_INVALID or RC_IO. */
int http_conn_listen(uv_loop_t *loop, const char *host, uint32_t port,
                     const struct http_conn_handlers *handlers, void *ctx,
                     struct http_conn_server **out);

/* Stops listening and closes all connections. */
void http_conn_server_close(struct http_conn_server *server);

/* Calls `each` for each open connection; it may close that connection. */
void http_conn_each(struct http_conn_server *server,
                    void (*each)(struct http_conn *conn, void *ctx),
                    void *ctx);

uint32_t http_conn_count(const struct http_conn_server *server);

void *http_conn_data(const struct http_conn *conn);

/* Answers the pending request with JSON. */
void http_conn_respond(struct http_conn *conn, int status, const char *body,
                       size_t body_bytes);

/* Sends the answer's bytes a second time, for a caller that must notice. */
void http_conn_respond_twice(struct http_conn *conn, int status,
                             const char *body, size_t body_bytes);

/* Announces the whole body, sends half of it and closes the connection. */
void http_conn_respond_truncated(struct http_conn *conn, int status,
                                 const char *body, size_t body_bytes);

void http_conn_close(struct http_conn *conn);

#endif
