#ifndef CH_COMMON_HTTP_CLIENT_H
#define CH_COMMON_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "common/http_field.h"

/*
 * One HTTP/1.1 connection that the caller owns and chooses. It carries one
 * request at a time.
 */

struct http_client_conn;

struct http_response {
    int rc;     /* RC_OK, or why there is no whole response */
    int status; /* HTTP status when rc is RC_OK */
    const char *body;
    size_t body_bytes;
    const struct http_field *fields;
    size_t field_count;
    bool is_keepalive; /* the connection may carry another request */
};

/* The header with this name, or NULL. */
const struct http_field *
http_client_field(const struct http_response *response, const char *name);

/* Called once when the connection is up (RC_OK) or failed (RC_LINK_FAILED). */
typedef void (*http_client_connected_cb)(struct http_client_conn *conn, int rc,
                                         void *ctx);

/*
 * Called once for each request. `response` is valid during the call. After an
 * rc other than RC_OK the connection is unusable and must be closed.
 * RC_LINK_FAILED: no byte was handed to the kernel; RC_LINK_LOST: the
 * connection ended later; RC_BAD_REPLY: malformed; RC_TOO_LARGE: the body is
 * above the limit.
 */
typedef void (*http_client_response_cb)(struct http_client_conn *conn,
                                        const struct http_response *response,
                                        void *ctx);

/* Called when an idle connection ends by itself; it must be closed. */
typedef void (*http_client_lost_cb)(struct http_client_conn *conn, void *ctx);

/* Starts connecting to "IPV4:PORT". Returns RC_OK or RC_INVALID. */
int http_client_connect(uv_loop_t *loop, const char *address,
                        size_t max_body_bytes,
                        http_client_connected_cb connected,
                        http_client_lost_cb lost, void *ctx,
                        struct http_client_conn **out);

/*
 * Sends a request. `body` may be NULL. Returns RC_OK, or RC_RUNNING when a
 * request is in flight, or RC_LINK_FAILED when the connection is not up.
 */
int http_client_request(struct http_client_conn *conn, const char *method,
                        const char *path, const char *extra_headers,
                        const void *body, size_t body_bytes,
                        http_client_response_cb response, void *ctx);

/*
 * As http_client_request() with the bytes of a whole request, which the call
 * takes over. `is_head` tells that the response has no body.
 */
int http_client_send(struct http_client_conn *conn, GString *request,
                     bool is_head, http_client_response_cb response,
                     void *ctx);

/*
 * Ends the sending side; the response of the current request is discarded and
 * its callback not called. `lost` is called when the peer closes its side, or
 * the connection fails. Returns RC_OK, or RC_LINK_LOST when the connection is
 * not up.
 */
int http_client_shut_down(struct http_client_conn *conn);

/*
 * Closes the connection; a request in flight is cancelled and its callback is
 * not called.
 */
void http_client_close(struct http_client_conn *conn);

#endif
