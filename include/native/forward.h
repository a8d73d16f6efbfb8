#ifndef CH_NATIVE_FORWARD_H
#define CH_NATIVE_FORWARD_H

#include <stdint.h>
#include <uv.h>

/* Calls to the VM that issued an order's id. */

struct forward_set;
struct forward;

/* What the other VM answered: the status is 0 when it did not. */
typedef void (*forward_done_cb)(int status, const char *body,
                                size_t body_bytes, void *ctx);

struct forward_request {
    const char *address; /* IPV4:PORT */
    const char *path;
    const char *body;
    int64_t deadline_us;
    forward_done_cb done;
    void *ctx;
};

/* Header of a forwarded order: it is not forwarded again. */
#define FORWARD_FIELD "x-forwarded-order"

struct forward_set *forward_set_new(uv_loop_t *loop);

/* Open calls get no answer. */
void forward_set_free(struct forward_set *set);

/* Sends the order on. Returns NULL if `done` has run already. */
struct forward *forward_start(struct forward_set *set,
                              const struct forward_request *request);

/* Nobody waits any more; `done` is not called. */
void forward_abandon(struct forward *forward);

/* Ends calls at their deadline. */
void forward_tick(struct forward_set *set, int64_t now_us);

/* Calls that are open. */
uint32_t forward_count(const struct forward_set *set);

#endif
