#ifndef CH_ENTRY_APP_H
#define CH_ENTRY_APP_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/config.h"
#include "common/counter.h"
#include "common/http_server.h"
#include "common/msg.h"
#include "common/zsock.h"
#include "entry/forward.h"
#include "entry/gather.h"
#include "entry/options.h"
#include "entry/order.h"
#include "entry/plan.h"
#include "entry/admit.h"
#include "entry/quota.h"
#include "entry/reqid.h"

struct agl;
struct rly;
struct prs;

/* One entry process. */
struct app {
    const struct entry_options *options;
    uv_loop_t *loop;
    uint64_t start; /* start id of this process */
    uint64_t last_qid;
    struct cnt_set *counters;
    struct zsk_context *zmq;
    struct hsv_server *http;

    struct cfg *config;     /* NULL until the first STATE */
    struct msg state;       /* newest STATE, for its machines */
    int64_t lease_until_us; /* shown on the status page only */
    uint64_t unnamed_count; /* requests for addresses without X-Caller */

    struct pln *plan;
    struct gth *gather;
    struct rid *ids;
    struct ord *orders;
    struct fwd *forwards;
    struct qta *quota;
    struct adm *admit;

    struct agl *agent;
    struct rly *relays;
    struct prs *peers;

    uint64_t generation; /* of the map that was handled last */
    int64_t stop_us;     /* when to stop accepting, 0 while not draining */
    bool is_stopped;     /* the HTTP server accepts no more */
    int64_t idle_us;     /* since when nothing runs after the stop */
    uv_timer_t due_timer;
    uv_timer_t pulse_timer;
    uv_signal_t sigterm;
    uv_signal_t sigint;
};

/* Monotonic clock of this machine in microseconds. */
int64_t app_now_us(void);

/* Sets up everything. Returns RC_OK, RC_IO or RC_NO_MEMORY. */
int app_open(struct app *app, uv_loop_t *loop,
             const struct entry_options *options);

/* Frees everything; the loop must have ended. */
void app_close(struct app *app);

/* To be called after each event that may change what is due next. */
void app_wake(struct app *app);

/* A number that is used once in this process. `ctx` is the app. */
uint64_t app_next_qid(void *ctx);

/* The machines of the newest STATE, NULL before the first. */
const struct msg_state *app_state(const struct app *app);

/* The machine with this name, or NULL. */
const struct msg_machine *app_machine(const struct app *app, const char *name);

/* Whether the machine takes part: live or leaving. */
bool app_machine_is_up(const struct msg_machine *machine);

/* Takes over a STATE; `state` is owned by the app afterwards. */
void app_adopt(struct app *app, struct msg *state);

#endif
