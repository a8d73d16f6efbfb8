#ifndef CH_NATIVE_SERVER_H
#define CH_NATIVE_SERVER_H

#include "gateway/app.h"
#include "native/forward.h"
#include "native/order.h"
#include "native/quota.h"
#include "native/request_id.h"

/* The product's own interface: searches, orders, addresses and what operators
 * ask, on one HTTP server. */

/* Bodies above this are refused by the HTTP library; up to here the answer
 * is an error with a result code. */
#define SERVER_BODY_MAX_BYTES (1024 * 1024)

struct server {
    struct app *app;
    struct http_server *http;
    struct quota *quota;
    struct request_ids *ids;
    struct orders *orders;
    struct forward_set *forwards;
    uint64_t request_count; /* ids towards backend servers */
    uint64_t unnamed_count; /* callers without a name */
};

extern const struct app_front server_front;

/*
 * Reads flags and environment: either `*settings_path` is set, or `settings`
 * is filled. Returns RC_OK, or RC_USAGE after printing what is wrong.
 */
int server_options_parse(int *argc, char ***argv, char **settings_path,
                         struct settings *settings);

/* The declarations in force, or NULL. */
const struct config *server_declared(const struct server *server);

/* The id of the next request to backend servers; free with g_free. */
char *server_next_id(struct server *server);

/* Index of the shard that holds the key. */
uint32_t server_shard_of(const char *key,
                         const struct config_service *service);

/*
 * One HTTP command. `rest` is the path after the command's prefix. Each
 * answers the request, at once or later.
 */
void command_search(struct server *server, struct http_request *http,
                    const char *rest);
void command_orders(struct server *server, struct http_request *http,
                    const char *rest);
void command_ids(struct server *server, struct http_request *http,
                 const char *rest);
void command_entries(struct server *server, struct http_request *http,
                     const char *rest);
void command_config(struct server *server, struct http_request *http,
                    const char *rest);
void command_healthz(struct server *server, struct http_request *http,
                     const char *rest);
void command_metrics(struct server *server, struct http_request *http,
                     const char *rest);
void command_status(struct server *server, struct http_request *http,
                    const char *rest);

/* Callbacks of native/order. */
void orders_run(const struct order_request *request, int64_t now_us,
                void *ctx);
void orders_on_finish(void *waiter_ctx, int rc, const void *body,
                      size_t body_bytes, void *ctx);

#endif
