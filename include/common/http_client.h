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

struct hcl_conn;

struct hcl_response {
    int rc;     /* RC_OK, or why there is no whole response */
    int status; /* HTTP status when rc is RC_OK */
    const char *body;
    size_t body_bytes;
    const struct http_field *fields;
    size_t field_count;
    bool is_keepalive; /* the connection may carry another request */
};

/* The header with this name, or NULL. */
const struct http_field *hcl_field(const struct hcl_response *response,
                                   const char *name);

/* Called once when the connection is up (RC_OK) or failed (RC_LINK_FAILED). */
typedef void (*hcl_connected_cb)(struct hcl_conn *conn, int rc, void *ctx);

/*
 * Called once for each request. `response` is valid during the call. After an
 * rc other than RC_OK the connection is unusable and must be closed.
 * RC_LINK_FAILED: no byte was handed to the kernel; RC_LINK_LOST: the
 * connection ended later; RC_BAD_REPLY: malformed; RC_TOO_LARGE: the body is
 * above the limit.
 */
typedef void (*hcl_response_cb)(struct hcl_conn *conn,
                                const struct hcl_response *response,
                                void *ctx);

/* Called when an idle connection ends by itself; it must be closed. */
typedef void (*hcl_lost_cb)(struct hcl_conn *conn, void *ctx);

/* Starts connecting to "IPV4:PORT". Returns RC_OK or RC_INVALID. */
int hcl_connect(uv_loop_t *loop, const char *address, size_t max_body_bytes,
                hcl_connected_cb connected, hcl_lost_cb lost, void *ctx,
                struct hcl_conn **out);

/*
 * Sends a request. `body` may be NULL. Returns RC_OK, or RC_RUNNING when a
 * request is in flight, or RC_LINK_FAILED when the connection is not up.
 */
int hcl_request(struct hcl_conn *conn, const char *method, const char *path,
                const char *extra_headers, const void *body, size_t body_bytes,
                hcl_response_cb response, void *ctx);

/*
 * As hcl_request() with the bytes of a whole request, which the call takes
 * over. `is_head` tells that the response has no body.
 */
int hcl_send(struct hcl_conn *conn, GString *request, bool is_head,
             hcl_response_cb response, void *ctx);

/*
 * Ends the sending side; the response of the current request is discarded and
 * its callback not called. `lost` is called when the peer closes its side, or
 * the connection fails. Returns RC_OK, or RC_LINK_LOST when the connection is
 * not up.
 */
int hcl_shut_down(struct hcl_conn *conn);

/*
 * Closes the connection; a request in flight is cancelled and its callback is
 * not called.
 */
void hcl_close(struct hcl_conn *conn);

#endif
