#ifndef CH_RELAY_SERVER_H
#define CH_RELAY_SERVER_H

#include <stdint.h>
#include <uv.h>

#include "common/counter.h"
#include "common/http_server.h"
#include "common/zsock.h"
#include "relay/options.h"
#include "relay/relay.h"

/* The relay process: sockets, timer and signals around struct rly. */
struct srv {
    uv_loop_t *loop;
    struct zsk_context *zsock;
    struct zsk_socket *entries; /* server */
    struct zsk_socket *agent;   /* client */
    struct hsv_server *operators;
    struct rly *relay;
    uint64_t request_id; /* of the last request to a searcher */
    struct cnt_set *counters;
    uv_timer_t timer;
    uint64_t timer_ms;
    uv_signal_t sigterm;
    uv_signal_t sigint;
};

/* This machine's monotonic clock, as the agent uses it. */
int64_t srv_now_us(void);

/* Runs until the planned stop is done. Returns RC_OK or RC_IO. */
int srv_run(const struct relay_options *options);

#endif
