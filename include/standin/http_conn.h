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

struct wir_server;

struct wir_conn;

struct wir_request {
    const char *method;
    const char *path; /* without the query */
    const char *query;
    const char *body; /* valid until the answer */
    size_t body_bytes;
};

struct wir_handlers {
    /* Returns what wir_data gives later; NULL refuses the connection. */
    void *(*open)(struct wir_conn *conn, void *ctx);
    /* One at a time on a connection; answered by wir_respond, once. */
    void (*request)(struct wir_conn *conn, const struct wir_request *request,
                    void *ctx);
    /* The connection has ended; it must not be used afterwards. */
    void (*closed)(struct wir_conn *conn, void *ctx);
};

/* Listens on the address. Returns RC_OK, RC_INVALID or RC_IO. */
int wir_listen(uv_loop_t *loop, const char *host, uint32_t port,
               const struct wir_handlers *handlers, void *ctx,
               struct wir_server **out);

/* Stops listening and closes all connections. */
void wir_server_close(struct wir_server *server);

/* Calls `each` for each open connection; it may close that connection. */
void wir_each(struct wir_server *server,
              void (*each)(struct wir_conn *conn, void *ctx), void *ctx);

uint32_t wir_count(const struct wir_server *server);

void *wir_data(const struct wir_conn *conn);

/* Answers the pending request with JSON. */
void wir_respond(struct wir_conn *conn, int status, const char *body,
                 size_t body_bytes);

/* Sends the answer's bytes a second time, for a caller that must notice. */
void wir_respond_twice(struct wir_conn *conn, int status, const char *body,
                       size_t body_bytes);

/* Announces the whole body, sends half of it and closes the connection. */
void wir_respond_truncated(struct wir_conn *conn, int status, const char *body,
                           size_t body_bytes);

void wir_close(struct wir_conn *conn);

#endif
