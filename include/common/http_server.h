#ifndef CH_COMMON_HTTP_SERVER_H
#define CH_COMMON_HTTP_SERVER_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* HTTP server on h2o. A request may be answered later, once. */

struct hsv_server;

struct hsv_request {
    const char *method; /* NUL-terminated, as are path and query */
    const char *path;
    const char *query; /* after '?', "" if there is none */
    const char *body;
    size_t body_bytes;
    /* Set by the handler to learn, within some 20 ms, that the caller closed
     * the connection or its sending side; the request must still be answered,
     * to no effect. Called at most once. */
    void (*on_gone)(struct hsv_request *request, void *ctx);
    void *ctx;
};

typedef void (*hsv_handler_cb)(struct hsv_request *request, void *ctx);

/*
 * Listens on "IPV4:PORT"; requests with a body above `max_body_bytes` get 413.
 * Returns RC_OK or RC_IO.
 */
int hsv_open(uv_loop_t *loop, const char *address, size_t max_body_bytes,
             hsv_handler_cb handler, void *ctx, struct hsv_server **out);

/* Value of a request header (lower-case name) or NULL; free with g_free. */
char *hsv_header(const struct hsv_request *request, const char *name);

/* Value of a query parameter or NULL; free with g_free. */
char *hsv_query_value(const struct hsv_request *request, const char *name);

/*
 * Answers the request and gives it up; `body` is copied. Must be called
 * exactly once for each request, also after on_gone.
 */
void hsv_respond(struct hsv_request *request, int status,
                 const char *content_type, const void *body,
                 size_t body_bytes);

/* Stops accepting connections and asks open ones to close. */
void hsv_stop(struct hsv_server *server);

/* Connections that are open now. */
uint32_t hsv_connection_count(const struct hsv_server *server);

#endif
