#ifndef CH_CTL_CALL_H
#define CH_CTL_CALL_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One HTTP call; zero-initialise the rest. */
struct call {
    const char *address; /* IPV4:PORT */
    const char *method;
    const char *path;
    const char *body; /* NULL for none */

    /*
     * RC_OK with a status and a reply; RC_LINK_FAILED when no byte was sent;
     * another code when the server may have run the call.
     */
    int rc;
    int status;
    json_t *reply; /* NULL unless the body is JSON */

    struct call_batch *batch; /* private, as is the rest */
    struct http_client_conn *conn;
    bool is_sent;
    bool is_done;
};

/* Runs calls side by side; returns when all have ended or timed out. */
void call_run(struct call *calls, size_t count, int64_t timeout_ms);

/* Frees what call_run() left in the calls. */
void call_clear(struct call *calls, size_t count);

/* Whether the call ended with this HTTP status and a JSON reply. */
bool call_is_status(const struct call *call, int status);

#endif
