#ifndef CH_AGENT_STORE_H
#define CH_AGENT_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/counter.h"

/*
 * Client of the platform's object store. Calls never fail at once: each one
 * is answered through its callback, also after sto_close().
 */

struct sto;

struct sto_reply {
    /*
     * RC_OK; RC_CONFLICT with the current object; RC_NOT_FOUND; RC_INVALID
     * when the store refused the call; RC_STORE_DOWN when there was no usable
     * reply, so that an update may have taken effect or may do so later.
     */
    int rc;
    json_t *body; /* belongs to the store client; NULL unless it has one */
};

typedef void (*sto_reply_cb)(void *ctx, const struct sto_reply *reply);

int sto_open(uv_loop_t *loop, const char *address, struct cnt_set *counters,
             struct sto **out);

void sto_close(struct sto *store);

/* GET /v1/KIND/NAME; without a name the list of the kind. */
void sto_get(struct sto *store, const char *kind, const char *name,
             sto_reply_cb reply, void *ctx);

/* Conditional update; `version` 0 creates. Takes over `value`. */
void sto_put(struct sto *store, const char *kind, const char *name,
             uint64_t version, json_t *value, sto_reply_cb reply, void *ctx);

/*
 * Watches a kind for ever. The callback gets each reply that has a newer
 * version; it is a hint only, since a watch can miss what happens while it
 * reconnects.
 */
void sto_watch(struct sto *store, const char *kind, sto_reply_cb reply,
               void *ctx);

/* False while calls are held back after failures. */
bool sto_is_usable(const struct sto *store);

#endif
