#include <glib.h>
#include <string.h>

#include "agent/agent.h"

/* Sends to the address that the machine gave, or the platform's list has. */
void
agent_send_to_machine(void *ctx, const char *machine, enum msg_type type,
                      const void *body)
{
    struct agent *agent = ctx;
    const struct mbr_machine *found = mbr_find(agent->members, machine);
    if (found == NULL || found->agent_address[0] == '\0') {
        cnt_add(agent->counters, "messages_not_sent_total", "no_address");
        return;
    }
    (void)prs_send(agent->peers, found->agent_address, agent_now_us(), type,
                   body);
}

static bool
tlk_is_in_cell(void *ctx, const struct mbr_machine *machine)
{
    const struct agent *agent = ctx;
    return lse_is_member(agent->lease, machine->name);
}

/* Opens the connections that the next period's gossip goes to. */
static void
tlk_pick(struct agent *agent, int64_t now_us)
{
    const struct mbr_machine *picks[GSP_FANOUT];
    size_t count = gsp_pick(agent->gossip, agent->members, tlk_is_in_cell,
                            agent, picks, GSP_FANOUT);
    for (size_t i = 0; i < GSP_FANOUT; i++) {
        g_free(agent->picks[i]);
        agent->picks[i] = NULL;
        if (i < count) {
            agent->picks[i] = g_strdup(picks[i]->agent_address);
            prs_connect(agent->peers, agent->picks[i], now_us);
        }
    }
}

/* --peers are used until another machine is known. */
static void
tlk_bootstrap(struct agent *agent, int64_t now_us,
              const struct msg_members *message)
{
    for (char **peer = agent->bootstrap; *peer != NULL; peer++) {
        if (**peer != '\0' && strcmp(*peer, agent->options->listen) != 0) {
            (void)prs_send(agent->peers, *peer, now_us, MSG_MEMBERS, message);
        }
    }
}

void
agent_gossip_tick(struct agent *agent, int64_t now_us)
{
    bool is_period = gsp_is_due(agent->gossip, now_us);
    if (is_period) {
        mbr_tick(agent->members, now_us);
        prs_tick(agent->peers, now_us);
    }
    else if (!agent->is_gossip_due) {
        return;
    }
    agent->is_gossip_due = false;
    struct msg_machine entries[GSP_ENTRIES];
    const struct msg_members message = {
        .revision = rev_number(agent->revision),
        .digest = rev_digest(agent->revision),
        .machines = entries,
        .machine_count =
            gsp_fill(agent->gossip, now_us, agent->members, entries),
    };
    for (size_t i = 0; i < lse_member_count(agent->lease); i++) {
        const char *name = lse_member(agent->lease, i);
        if (strcmp(name, agent->options->machine) != 0) {
            agent_send_to_machine(agent, name, MSG_MEMBERS, &message);
        }
    }
    for (size_t i = 0; i < GSP_FANOUT; i++) {
        if (agent->picks[i] != NULL) {
            (void)prs_send(agent->peers, agent->picks[i], now_us, MSG_MEMBERS,
                           &message);
        }
    }
    if (mbr_count(agent->members) < 2) {
        tlk_bootstrap(agent, now_us, &message);
    }
    if (is_period) {
        tlk_pick(agent, now_us);
    }
}
