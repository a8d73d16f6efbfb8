#ifndef CH_NATIVE_FORWARD_H
#define CH_NATIVE_FORWARD_H

#include <stdint.h>
#include <uv.h>

/*
 * Forwards orders over HTTP to the VM that issued their id, one connection for
 * each. A set owns the calls in flight. Deadlines are on the monotonic clock,
 * in microseconds.
 */

struct forward_set;
struct forward;

/* Called with the HTTP status and body of the other VM's response; `status` is
 * 0 if none arrived: the connection failed or was lost, or the deadline
 * passed. The call is freed afterwards. */
typedef void (*forward_done_cb)(int status, const char *body,
                                size_t body_bytes, void *ctx);

/* The strings are copied. */
struct forward_request {
    const char *address; /* IPV4:PORT */
    const char *path;
    const char *body;
    int64_t deadline_us;
    forward_done_cb done;
    void *ctx;
};

/* Header that marks a forwarded order; the receiver never forwards it again.
 */
#define FORWARD_HEADER "x-forwarded-order"

/* The calls take their connections from `share`. */
struct forward_set *forward_set_new(uv_loop_t *loop,
                                    struct resource_share *share);

/* Cancels all calls in flight without calling `done`. */
void forward_set_free(struct forward_set *set);

/* Starts a call; `done` is called after the return. */
struct forward *forward_start(struct forward_set *set,
                              const struct forward_request *request);

/* Closes the connection and frees the call; `done` is not called. */
void forward_cancel(struct forward *forward);

/* Ends calls whose deadline has passed, with status 0. */
void forward_tick(struct forward_set *set, int64_t now_us);

/* Number of calls in flight. */
uint32_t forward_count(const struct forward_set *set);

#endif
