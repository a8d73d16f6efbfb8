#include <stdlib.h>
#include <string.h>

#include "relay/backend.h"
#include "relay/server.h"
#include "relay/body.h"
#include "common/http_client.h"
#include "common/rc.h"

/* Limit of a searcher's response body. */
#define BKD_BODY_BYTES (1U << 20)

static void
bkd_on_connected(struct hcl_conn *conn, int rc, void *ctx)
{
    rly_on_connected(ctx, rc, srv_now_us());
}

static void
bkd_on_lost(struct hcl_conn *conn, void *ctx)
{
    rly_on_lost(ctx, RC_LINK_LOST, srv_now_us());
}

int
bkd_connect(struct lnk *link, void *ctx)
{
    const struct srv *server = ctx;
    const struct sch *sch = link->pool->owner;
    struct hcl_conn *conn = NULL;
    int rc = hcl_connect(server->loop, sch->address, BKD_BODY_BYTES,
                         bkd_on_connected, bkd_on_lost, link, &conn);
    link->io = conn;
    return rc;
}

int
bkd_shut_down(struct lnk *link, void *ctx)
{
    return hcl_shut_down(link->io);
}

void
bkd_close(struct lnk *link, void *ctx)
{
    hcl_close(link->io);
    link->io = NULL;
}

static void
bkd_on_status(struct hcl_conn *conn, const struct hcl_response *response,
              void *ctx)
{
    if (response->rc != RC_OK) {
        rly_on_lost(ctx, response->rc, srv_now_us());
        return;
    }
    struct sch_status status;
    int rc = bdy_read_status(response->status, response->body,
                             response->body_bytes, &status);
    rly_on_status(ctx, rc == RC_OK ? &status : NULL, response->is_keepalive,
                  srv_now_us());
}

int
bkd_probe(struct lnk *link, void *ctx)
{
    return hcl_request(link->io, "GET", "/status", NULL, NULL, 0,
                       bkd_on_status, link);
}

typedef void (*bkd_read_cb)(int http_status, const char *body,
                            size_t body_bytes, uint64_t request_id,
                            struct bdy_answer *out);

static void
bkd_on_response(struct lnk *link, const struct hcl_response *response,
                bkd_read_cb read)
{
    if (response->rc != RC_OK) {
        rly_on_lost(link, response->rc, srv_now_us());
        return;
    }
    struct bdy_answer answer;
    read(response->status, response->body, response->body_bytes,
         link->request_id, &answer);
    answer.answer.is_reusable = response->is_keepalive;
    rly_on_answer(link, &answer.answer, srv_now_us());
    bdy_answer_clear(&answer);
}

static void
bkd_on_search(struct hcl_conn *conn, const struct hcl_response *response,
              void *ctx)
{
    bkd_on_response(ctx, response, bdy_read_search);
}

static void
bkd_on_executed(struct hcl_conn *conn, const struct hcl_response *response,
                void *ctx)
{
    bkd_on_response(ctx, response, bdy_read_execute);
}

/* Ids start at 1 for each relay process; a link belongs to one process. */
static uint64_t
bkd_next_id(struct lnk *link, struct srv *server)
{
    server->request_id += 1;
    link->request_id = server->request_id;
    return link->request_id;
}

static int
bkd_send(const struct srv *server, struct lnk *link, const char *path,
         char *body, hcl_response_cb on_response)
{
    if (body == NULL) {
        return RC_LINK_FAILED;
    }
    /* The process may have been paused since the caller looked at the clock.
     */
    if (!rly_has_lease(server->relay, srv_now_us())) {
        free(body);
        return RC_NOT_HOLDER;
    }
    int rc = hcl_request(link->io, "POST", path, NULL, body, strlen(body),
                         on_response, link);
    free(body);
    /* Whatever the reason, no byte was handed over. */
    return rc == RC_OK ? RC_OK : RC_LINK_FAILED;
}

int
bkd_search(struct lnk *link, const struct job *job, int64_t budget_us,
           void *ctx)
{
    uint64_t request_id = bkd_next_id(link, ctx);
    return bkd_send(ctx, link, "/search",
                    bdy_search_body(job, request_id, budget_us),
                    bkd_on_search);
}

int
bkd_execute(struct lnk *link, const struct job *job, int64_t budget_us,
            void *ctx)
{
    uint64_t request_id = bkd_next_id(link, ctx);
    return bkd_send(ctx, link, "/execute",
                    bdy_execute_body(job, request_id, budget_us),
                    bkd_on_executed);
}
