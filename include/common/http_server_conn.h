#ifndef CH_COMMON_HTTP_SERVER_CONN_H
#define CH_COMMON_HTTP_SERVER_CONN_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <uv.h>

#include "common/buffer.h"
#include "common/http_field_list.h"
#include "common/http_server.h"
#include "common/http_wait.h"

/*
 * Connections of struct http_server: reads one request at a time, passes it to
 * the handler and writes its answer. Only http_server.c, http_server_conn.c
 * and http_exchange.c include this file. Times are ms on the loop's clock.
 */

struct http_server {
    uv_tcp_t listener;
    uv_timer_t sweep_timer;
    uv_timer_t disconnect_timer;
    GQueue unanswered;  /* of struct http_exchange */
    GQueue connections; /* of struct http_server_conn */
    struct http_server_limits limits;
    struct resource_share *share;        /* connections and requests */
    struct resource_share *answer_share; /* answers of other connections */
    http_server_handler_cb handler;
    http_server_refused_cb refused;
    void *ctx;
    uint64_t disconnect_check_ms;
    uint64_t disconnect_round; /* checks so far */
    bool is_draining;
    bool is_stopping;
};

struct http_exchange;

/* Starts checking whether clients of unanswered requests have left. */
void http_server_watch_disconnects(struct http_server *server);

struct http_server_conn {
    uv_tcp_t tcp;
    struct http_server *server;
    GList link; /* in server->connections */
    http_parser parser;
    struct http_wait wait;
    struct buffer *target;
    struct http_field_list fields;
    struct buffer *body;    /* NULL: the request has none so far */
    struct buffer *pending; /* bytes behind the request, not parsed yet */
    bool has_head;
    bool is_complete;
    bool is_last; /* closed after the answer */
    bool is_closing;
    int refusal;                    /* found by the parser, or RC_OK */
    struct http_exchange *exchange; /* the handler's request, or NULL */
    uv_write_t write;
    struct buffer *answer_head; /* being written, or NULL */
    struct buffer *answer_body;
    size_t unwritten_bytes; /* at the last sweep */
};

/* Serves a connection that was accepted into `conn->tcp`. */
void http_server_conn_open(struct http_server_conn *conn, uint64_t now_ms);

/* Closes the connection; its request, if any, gets no answer. */
void http_server_conn_close(struct http_server_conn *conn);

/* Ends a wait for the client: answers a request that was read in part with
 * 408, else closes. */
void http_server_conn_time_out(struct http_server_conn *conn, uint64_t now_ms);

/* Notes what the client has read since the last call. */
void http_server_conn_measure(struct http_server_conn *conn, uint64_t now_ms);

/* Whether the connection holds memory of a share, beyond its own. */
bool http_server_conn_holds_bytes(const struct http_server_conn *conn);

/* Writes an answer, whose references pass to the callee. `body` may be NULL.
 */
void http_server_conn_write(struct http_server_conn *conn, struct buffer *head,
                            struct buffer *body, uint64_t now_ms);

/* Passes the request that was read to the handler (http_exchange.c). Returns
 * RC_OK, or why it is refused. */
int http_exchange_start(struct http_server_conn *conn);

/* The client has left: the exchange gets no connection any more. */
void http_exchange_detach(struct http_exchange *exchange);

/* Calls the request's on_disconnect callback, at most once. The connection
 * serves no further request. */
void http_exchange_notify_disconnect(struct http_exchange *exchange);

/* Whether the client of an unanswered request has closed its connection; false
 * if that was looked at in this round already. */
bool http_exchange_is_disconnected(struct http_exchange *exchange,
                                   uint64_t round);

/* Answers a request that was not passed to the handler and closes the
 * connection. */
void http_exchange_refuse(struct http_server_conn *conn, int rc,
                          uint64_t now_ms);

#endif
