#ifndef CH_NATIVE_SERVER_H
#define CH_NATIVE_SERVER_H

#include "gateway/app.h"
#include "native/forward.h"
#include "native/order.h"
#include "native/quota.h"
#include "native/request_id.h"

/*
 * HTTP server of the native interface: searches, orders, addresses of VMs, and
 * configuration, status and metrics for operators. The server owns the quotas,
 * ids, orders and forwarded calls of the process. Times are on the monotonic
 * clock, in microseconds.
 */

/* The HTTP library refuses larger bodies with a bare 413; smaller ones above
 * BODY_MAX_BYTES get an error body with a result code. */
#define SERVER_BODY_MAX_BYTES (1024 * 1024)

struct server {
    struct app *app;
    struct http_server *http;
    struct quota *quota;
    struct request_ids *ids;
    struct orders *orders;
    struct forward_set *forwards;
    /* Last id of a request to backend servers. */
    uint64_t backend_request_count;
    /* Requests for addresses that named no account. */
    uint64_t anonymous_request_count;
};

extern const struct app_front server_front;

/*
 * Reads flags and environment variables: sets `*settings_path` if a settings
 * file is given, else fills `settings`. Returns RC_OK, or RC_USAGE after
 * printing what is wrong to stderr.
 */
int server_options_parse(int *argc, char ***argv, char **settings_path,
                         struct settings *settings);

/* The configuration in force, or NULL before the first one. */
const struct config *server_config(const struct server *server);

/* The id of the next request to backend servers; free with g_free. */
char *server_next_request_id(struct server *server);

/* Index of the shard that the key hashes to. */
uint32_t server_shard_of(const char *key,
                         const struct config_service *service);

/*
 * Handlers of the HTTP endpoints. `rest` is the path after the endpoint's
 * prefix. Each responds to the request, at once or later.
 */
void handle_search(struct server *server, struct http_request *http,
                   const char *rest);
void handle_orders(struct server *server, struct http_request *http,
                   const char *rest);
void handle_ids(struct server *server, struct http_request *http,
                const char *rest);
void handle_entries(struct server *server, struct http_request *http,
                    const char *rest);
void handle_config(struct server *server, struct http_request *http,
                   const char *rest);
void handle_healthz(struct server *server, struct http_request *http,
                    const char *rest);
void handle_metrics(struct server *server, struct http_request *http,
                    const char *rest);
void handle_status(struct server *server, struct http_request *http,
                   const char *rest);

/* Callbacks for native/order, see struct order_callbacks. */
void orders_run(const struct order_request *request, int64_t now_us,
                void *ctx);
void orders_on_outcome(void *waiter_ctx, int rc, const void *body,
                       size_t body_bytes, void *ctx);

#endif
