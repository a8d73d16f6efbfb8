#ifndef CH_CTL_CALL_H
#define CH_CTL_CALL_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * HTTP calls to the store and to VMs, run in parallel on a loop of their own.
 * The commands of carobhatchctl are synchronous; each batch blocks until it is
 * done.
 */

/* One call. The caller sets the first four fields and zeroes the others. */
struct call {
    const char *address; /* IPV4:PORT */
    const char *method;
    const char *path;
    const char *body; /* NULL for none */

    /*
     * Result: RC_OK with a status and a reply; RC_LINK_FAILED when no byte was
     * sent; another code when the server may have processed the request.
     */
    int rc;
    int status;
    json_t *reply; /* NULL unless the body is JSON */

    /* Private to call.c. */
    struct call_batch *batch;
    struct http_client_conn *conn;
    bool is_sent;
    bool is_done;
};

/* Runs calls in parallel; returns when all have ended or timed out. */
void call_run(struct call *calls, size_t count, int64_t timeout_ms);

/* Frees the replies. */
void call_clear(struct call *calls, size_t count);

/* Whether the call ended with this HTTP status and a JSON reply. */
bool call_has_status(const struct call *call, int status);

#endif
