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
#define SRV_BODY_MAX_BYTES (1024 * 1024)

struct srv {
    struct app *app;
    struct hsv_server *http;
    struct qta *quota;
    struct rid *ids;
    struct ord *orders;
    struct fwd_set *forwards;
    uint64_t request_count; /* ids towards backend servers */
    uint64_t unnamed_count; /* callers without a name */
};

extern const struct app_front srv_front;

/*
 * Reads flags and environment: either `*settings_path` is set, or `settings`
 * is filled. Returns RC_OK, or RC_USAGE after printing what is wrong.
 */
int srv_options_parse(int *argc, char ***argv, char **settings_path,
                      struct stg *settings);

/* The declarations in force, or NULL. */
const struct cfg *srv_declared(const struct srv *server);

/* The id of the next request to backend servers; free with g_free. */
char *srv_next_id(struct srv *server);

/* Index of the shard that holds the key. */
uint32_t srv_shard_of(const char *key, const struct cfg_service *service);

/*
 * One HTTP command. `rest` is the path after the command's prefix. Each
 * answers the request, at once or later.
 */
void cmd_search(struct srv *server, struct hsv_request *http,
                const char *rest);
void cmd_orders(struct srv *server, struct hsv_request *http,
                const char *rest);
void cmd_ids(struct srv *server, struct hsv_request *http, const char *rest);
void cmd_entries(struct srv *server, struct hsv_request *http,
                 const char *rest);
void cmd_config(struct srv *server, struct hsv_request *http,
                const char *rest);
void cmd_healthz(struct srv *server, struct hsv_request *http,
                 const char *rest);
void cmd_metrics(struct srv *server, struct hsv_request *http,
                 const char *rest);
void cmd_status(struct srv *server, struct hsv_request *http,
                const char *rest);

/* Callbacks of native/order. */
void orders_run(const struct ord_request *request, int64_t now_us, void *ctx);
void orders_on_finish(void *waiter_ctx, int rc, const void *body,
                      size_t body_bytes, void *ctx);

#endif
