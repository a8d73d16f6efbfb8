#include <string.h>

#include "common/log.h"
#include "common/rc.h"
#include "entry/agent_link.h"

/* The agent drops an entry that it cannot reach for 1 s (SUB_UNREACHED_US);
 * after a reconnect it needs a SUBSCRIBE to reach it again. */
#define AGL_SUBSCRIBE_IVL_US (500 * 1000)

struct agl {
    struct app *app;
    struct zsk_socket *socket;
    int64_t due_us;
    uint64_t agent_start;
    uint64_t seq; /* of the newest STATE of this agent process */
};

static int
agl_send(struct agl *agent, enum msg_type type, const void *body)
{
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    int rc = msg_encode(type, body, &buffer);
    if (rc == RC_OK) {
        rc = zsk_send(agent->socket, NULL, buffer.data, buffer.size);
    }
    msgpack_sbuffer_destroy(&buffer);
    return rc;
}

/* Returns false for a STATE that was overtaken by a newer one. */
static bool
agl_is_news(struct agl *agent, const struct msg_state *state)
{
    if (state->start == agent->agent_start && state->seq < agent->seq) {
        return false;
    }
    agent->agent_start = state->start;
    agent->seq = state->seq;
    return true;
}

static void
agl_on_state(struct agl *agent, struct msg *msg)
{
    const struct msg_state *state = msg->body;
    struct app *app = agent->app;
    if (!agl_is_news(agent, state)) {
        cnt_add(app->counters, "state_dropped_total", "old_seq");
        msg_clear(msg);
        return;
    }
    if (strcmp(state->machine, app->options->machine) != 0) {
        cnt_add(app->counters, "state_dropped_total", "wrong_machine");
        log_error("agent", "state names another machine name=%s",
                  state->machine);
        msg_clear(msg);
        return;
    }
    app_adopt(app, msg);
}

static void
agl_on_lease(struct agl *agent, const struct msg_lease *lease)
{
    struct app *app = agent->app;
    app->lease_until_us = lease->lease_until_us;
    if (app->config != NULL && lease->revision > app->config->revision) {
        cnt_add(app->counters, "state_behind_total", NULL);
        agl_hurry(agent);
    }
}

static void
agl_on_message(struct zsk_socket *socket, const struct zsk_peer *peer,
               const void *data, size_t data_bytes, void *ctx)
{
    struct agl *agent = ctx;
    struct msg msg;
    if (msg_decode(data, data_bytes, &msg) != RC_OK) {
        cnt_add(agent->app->counters, "message_dropped_total", "undecodable");
        return;
    }
    switch (msg.type) {
    case MSG_STATE:
        agl_on_state(agent, &msg);
        return;
    case MSG_LEASE:
        agl_on_lease(agent, msg.body);
        break;
    default:
        cnt_add(agent->app->counters, "message_dropped_total",
                "unexpected_type");
        break;
    }
    msg_clear(&msg);
}

int
agl_open(struct app *app, struct agl **out)
{
    struct agl *agent = g_new0(struct agl, 1);
    agent->app = app;
    int rc = zsk_connect(app->zmq, app->options->agent, agl_on_message, agent,
                         &agent->socket);
    if (rc != RC_OK) {
        g_free(agent);
        return rc;
    }
    *out = agent;
    return RC_OK;
}

void
agl_close(struct agl *agent)
{
    if (agent != NULL) {
        zsk_close(agent->socket);
        g_free(agent);
    }
}

void
agl_hurry(struct agl *agent)
{
    agent->due_us = 0;
}

void
agl_tick(struct agl *agent, int64_t now_us)
{
    if (now_us < agent->due_us) {
        return;
    }
    const struct app *app = agent->app;
    const struct msg_subscribe subscribe = {
        .role = "entry",
        .start = app->start,
    };
    int rc = agl_send(agent, MSG_SUBSCRIBE, &subscribe);
    if (rc == RC_OK && app->stop_us != 0) {
        /* Repeated with each SUBSCRIBE: an agent that restarted meanwhile
         * must learn it too. */
        const struct msg_stopping stopping = {.role = "entry"};
        rc = agl_send(agent, MSG_STOPPING, &stopping);
    }
    if (rc != RC_OK) {
        /* The link is still connecting: it is tried again at the next tick. */
        return;
    }
    agent->due_us = now_us + AGL_SUBSCRIBE_IVL_US;
}
