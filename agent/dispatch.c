#include <glib.h>
#include <string.h>

#include "agent/agent.h"
#include "common/log.h"
#include "common/rc.h"

typedef void (*dsp_handler)(struct agent *agent, const struct prs_from *from,
                            const void *body, int64_t now_us);

/* Asks the sender for its configuration if that is newer. */
static void
dsp_note_revision(struct agent *agent, const struct prs_from *from,
                  uint64_t number, int64_t now_us)
{
    rev_on_peer(agent->revision, number);
    if (rev_should_pull(agent->revision, now_us, number)) {
        const struct msg_pull pull = {.revision = rev_number(agent->revision)};
        cnt_add(agent->counters, "config_pulls_total", NULL);
        (void)prs_reply(agent->peers, from, MSG_PULL, &pull);
    }
}

/* Asks the sender for its version of the cell if that is newer. */
static void
dsp_note_cell(struct agent *agent, const struct prs_from *from,
              uint64_t version)
{
    if (lse_should_pull_cell(agent->lease, version)) {
        const struct msg_cell_pull pull = {
            .cell = agent->options->cell,
            .version = lse_cell_version(agent->lease),
        };
        cnt_add(agent->counters, "cell_pulls_total", NULL);
        (void)prs_reply(agent->peers, from, MSG_CELL_PULL, &pull);
    }
}

static void
dsp_on_beat(struct agent *agent, const struct prs_from *from, const void *body,
            int64_t now_us)
{
    const struct msg_beat *beat = body;
    struct msg_beat_ack ack;
    if (lse_on_beat(agent->lease, now_us, beat, &ack)) {
        (void)prs_reply(agent->peers, from, MSG_BEAT_ACK, &ack);
    }
    if (beat->state == MSG_MACHINE_LEAVING) {
        mbr_on_leaving(agent->members, now_us, beat->machine, beat->start);
    }
    dsp_note_cell(agent, from, beat->cell_version);
    dsp_note_revision(agent, from, beat->revision, now_us);
}

static void
dsp_on_ack(struct agent *agent, const struct prs_from *from, const void *body,
           int64_t now_us)
{
    const struct msg_beat_ack *ack = body;
    (void)lse_on_ack(agent->lease, now_us, ack);
    dsp_note_cell(agent, from, ack->cell_version);
    dsp_note_revision(agent, from, ack->revision, now_us);
}

static void
dsp_on_ask(struct agent *agent, const struct prs_from *from, const void *body,
           int64_t now_us)
{
    struct msg_vote vote;
    if (lse_on_ask(agent->lease, now_us, body, &vote)) {
        (void)prs_reply(agent->peers, from, MSG_VOTE, &vote);
    }
}

static void
dsp_on_vote(struct agent *agent, const struct prs_from *from, const void *body,
            int64_t now_us)
{
    lse_on_vote(agent->lease, now_us, body);
}

static void
dsp_on_pull(struct agent *agent, const struct prs_from *from, const void *body,
            int64_t now_us)
{
    const struct msg_pull *pull = body;
    if (pull->revision >= rev_number(agent->revision)) {
        return;
    }
    size_t bytes = 0;
    const char *document = rev_document(agent->revision, &bytes);
    const struct msg_config config = {
        .revision = rev_number(agent->revision),
        .digest = rev_digest(agent->revision),
        .document = {.data = document, .bytes = bytes},
    };
    (void)prs_reply(agent->peers, from, MSG_CONFIG, &config);
}

static void
dsp_on_config(struct agent *agent, const struct prs_from *from,
              const void *body, int64_t now_us)
{
    const struct msg_config *config = body;
    (void)agent_offer_config(agent, "peer", config->revision, config->digest,
                             config->document.data, config->document.bytes,
                             NULL);
}

static void
dsp_on_cell_pull(struct agent *agent, const struct prs_from *from,
                 const void *body, int64_t now_us)
{
    const struct msg_cell_pull *pull = body;
    if (strcmp(pull->cell, agent->options->cell) != 0 ||
        pull->version >= lse_cell_version(agent->lease)) {
        return;
    }
    struct msg_member members[LSE_CELL_MAX];
    struct msg_cell cell;
    agent_cell_describe(agent, members, &cell);
    (void)prs_reply(agent->peers, from, MSG_CELL, &cell);
}

static void
dsp_on_cell(struct agent *agent, const struct prs_from *from, const void *body,
            int64_t now_us)
{
    agent_cell_on_peer(agent->cell, now_us, body);
}

static void
dsp_on_members(struct agent *agent, const struct prs_from *from,
               const void *body, int64_t now_us)
{
    const struct msg_members *message = body;
    struct msg_machine entries[GSP_ENTRIES];
    size_t count = 0;
    if (gsp_on_members(agent->gossip, now_us, agent->members, message, entries,
                       &count)) {
        const struct msg_members answer = {
            .revision = rev_number(agent->revision),
            .digest = rev_digest(agent->revision),
            .machines = entries,
            .machine_count = count,
        };
        (void)prs_reply(agent->peers, from, MSG_MEMBERS, &answer);
    }
    dsp_note_revision(agent, from, message->revision, now_us);
}

static void
dsp_on_subscribe(struct agent *agent, const struct prs_from *from,
                 const void *body, int64_t now_us)
{
    if (sub_on_subscribe(agent->subscribers, now_us, from, body)) {
        ctr_on_relay_replaced(agent->contracts, now_us);
    }
}

static void
dsp_on_released(struct agent *agent, const struct prs_from *from,
                const void *body, int64_t now_us)
{
    ctr_on_released(agent->contracts, now_us, body);
    agent_after_event(agent);
}

static void
dsp_on_stopping(struct agent *agent, const struct prs_from *from,
                const void *body, int64_t now_us)
{
    sub_on_stopping(agent->subscribers, from, body);
}

static const dsp_handler dsp_handlers[MSG_TYPE_COUNT] = {
    [MSG_BEAT] = dsp_on_beat,
    [MSG_BEAT_ACK] = dsp_on_ack,
    [MSG_ASK] = dsp_on_ask,
    [MSG_VOTE] = dsp_on_vote,
    [MSG_PULL] = dsp_on_pull,
    [MSG_CONFIG] = dsp_on_config,
    [MSG_MEMBERS] = dsp_on_members,
    [MSG_SUBSCRIBE] = dsp_on_subscribe,
    [MSG_RELEASED] = dsp_on_released,
    [MSG_STOPPING] = dsp_on_stopping,
    [MSG_CELL_PULL] = dsp_on_cell_pull,
    [MSG_CELL] = dsp_on_cell,
};

void
agent_on_message(void *ctx, const struct prs_from *from, const struct msg *msg)
{
    struct agent *agent = ctx;
    if (agent->is_stopped) {
        return;
    }
    if (dsp_handlers[msg->type] == NULL) {
        cnt_add(agent->counters, "messages_dropped_total", "type");
        return;
    }
    dsp_handlers[msg->type](agent, from, msg->body, agent_now_us());
    agent_publish(agent);
}
