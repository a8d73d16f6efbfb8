#include <glib.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#include "agent/agent.h"
#include "common/config.h"
#include "common/log.h"
#include "common/rc.h"

#define AGENT_TICK_MS 50
#define AGENT_HTTP_BODY_MAX (2U << 20)
/* Time for the state "leaving" to spread, and for entry and relay to say
 * STOPPING when they are stopped together with the agent. */
#define AGENT_LINGER_US (INT64_C(1000) * 1000)

int64_t
agent_now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

enum msg_machine_state
agent_machine_state(struct agent *agent, int64_t now_us,
                    const struct mbr_machine *machine)
{
    int64_t heard_us = MBR_NOT_IN_CELL;
    if (lse_is_member(agent->lease, machine->name)) {
        heard_us = lse_heard_us(agent->lease, machine->name, machine->start);
    }
    return mbr_state(agent->members, now_us, machine, heard_us);
}

/* Nothing that an earlier relay process was given can still be valid. */
static bool
agent_is_relay_gone(const struct agent *agent, int64_t now_us)
{
    return sub_relay_state(agent->subscribers) == SUB_RELAY_NONE &&
           now_us - sub_relay_lost_us(agent->subscribers) >= LSE_LEASE_US;
}

/* Running hashes of what the machines are, to notice changes. */
struct agent_hashes {
    uint64_t all;
    uint64_t holders;
};

static void
agent_view_machine(struct agent *agent, int64_t now_us,
                   const struct mbr_machine *machine, struct ctr_machine *out,
                   struct agent_hashes *hashes)
{
    uint64_t state = agent_machine_state(agent, now_us, machine);
    *out = (struct ctr_machine){
        .name = machine->name,
        .start = machine->start,
        .accepted_us =
            lse_accepted_us(agent->lease, machine->name, machine->start),
        .is_in_cell = lse_is_member(agent->lease, machine->name),
        .can_hold =
            state == MSG_MACHINE_LIVE && machine->relay_address[0] != '\0',
    };
    const uint64_t facts[] = {machine->start, state,
                              (uint64_t)machine->changed_us};
    hashes->all = XXH64(facts, sizeof(facts), hashes->all);
    if (out->can_hold) {
        const uint64_t holder[] = {machine->start, out->is_in_cell};
        hashes->holders = XXH64(holder, sizeof(holder), hashes->holders);
    }
}

const struct ctr_view *
agent_view(struct agent *agent, int64_t now_us)
{
    size_t count = mbr_count(agent->members);
    struct agent_hashes hashes = {.all = count};
    g_free(agent->machines);
    agent->machines = g_new0(struct ctr_machine, count);
    for (size_t i = 0; i < count; i++) {
        agent_view_machine(agent, now_us, mbr_at(agent->members, i),
                           &agent->machines[i], &hashes);
    }
    if (hashes.all != agent->members_hash) {
        agent->members_hash = hashes.all;
        agent->is_changed = true;
    }
    if (hashes.holders != agent->holders_hash) {
        agent->holders_hash = hashes.holders;
        agent->view.stable_since_us = now_us;
    }
    agent->view.machines = agent->machines;
    agent->view.machine_count = count;
    agent->view.term = lse_term(agent->lease);
    agent->view.is_leased = lse_is_valid(agent->lease, now_us);
    agent->view.is_refused = lse_is_refused(agent->lease, now_us);
    agent->view.can_hold = !agent->is_leaving &&
                           sub_relay_state(agent->subscribers) == SUB_RELAY_UP;
    agent->view.is_relay_gone = agent_is_relay_gone(agent, now_us);
    agent->view.is_store_usable = sto_is_usable(agent->store);
    return &agent->view;
}

static void
agent_send_state(struct agent *agent, int64_t now_us)
{
    const struct ctr_view *view = agent_view(agent, now_us);
    size_t document_bytes = 0;
    const char *document = rev_document(agent->revision, &document_bytes);
    size_t count = mbr_count(agent->members);
    struct msg_machine *machines = g_new0(struct msg_machine, count);
    for (size_t i = 0; i < count; i++) {
        const struct mbr_machine *machine = mbr_at(agent->members, i);
        mbr_export(machine, &machines[i]);
        machines[i].state = agent_machine_state(agent, now_us, machine);
    }
    struct msg_holder *holders = NULL;
    struct msg_state state = {
        .machine = agent->options->machine,
        .start = agent->start,
        .revision = rev_number(agent->revision),
        .config = {.data = document, .bytes = document_bytes},
        .machines = machines,
        .machine_count = count,
        .holder_count = ctr_holders(agent->contracts, view, &holders),
        .lease_until_us = lse_until_us(agent->lease),
    };
    state.holders = holders;
    sub_send_state(agent->subscribers, now_us, &state);
    agent->is_changed = false;
    agent->published_term = lse_term(agent->lease);
    g_free(holders);
    g_free(machines);
}

void
agent_publish(struct agent *agent)
{
    int64_t now_us = agent_now_us();
    if (agent->is_stopped || !rev_is_ready(agent->revision, now_us)) {
        return;
    }
    /* A lease gained anew ends older confirmations: STATE goes first. */
    if (agent->is_changed || lse_term(agent->lease) != agent->published_term ||
        sub_is_due(agent->subscribers, now_us)) {
        agent_send_state(agent, now_us);
    }
    if (lse_until_us(agent->lease) != agent->published_until_us) {
        agent->published_until_us = lse_until_us(agent->lease);
        const struct msg_lease lease = {
            .revision = rev_number(agent->revision),
            .lease_until_us = agent->published_until_us,
        };
        sub_send_lease(agent->subscribers, now_us, &lease);
    }
}

void
agent_after_event(struct agent *agent)
{
    if (agent->is_stopped) {
        return;
    }
    int64_t now_us = agent_now_us();
    ctr_tick(agent->contracts, now_us, agent_view(agent, now_us));
    agent_publish(agent);
}

int
agent_offer_config(struct agent *agent, const char *source, uint64_t number,
                   uint64_t digest, const char *json, size_t json_bytes,
                   char **error)
{
    char *why = NULL;
    int rc =
        rev_offer(agent->revision, number, digest, json, json_bytes, &why);
    if (rc == RC_OK) {
        log_info("revision",
                 "adopted revision=%" G_GUINT64_FORMAT " source=%s", number,
                 source);
        ctr_set_config(agent->contracts, rev_cfg(agent->revision));
        agent->is_changed = true;
        /* Peers pull it when they see its number. */
        agent->is_gossip_due = true;
    }
    else if (rc != RC_STALE) {
        log_warn("revision",
                 "refused revision=%" G_GUINT64_FORMAT
                 " source=%s error=\"%s\"",
                 number, source, why != NULL ? why : rc_name(rc));
    }
    if (error != NULL) {
        *error = why;
    }
    else {
        g_free(why);
    }
    return rc;
}

static int64_t
agent_accepted_us(void *ctx, const char *machine, uint64_t start)
{
    const struct agent *agent = ctx;
    return lse_accepted_us(agent->lease, machine, start);
}

static int64_t
agent_voted_out_us(void *ctx, const char *machine, uint64_t start)
{
    const struct agent *agent = ctx;
    return lse_voted_out_us(agent->lease, machine, start);
}

static bool
agent_is_in_cell(void *ctx, const char *machine)
{
    const struct agent *agent = ctx;
    return lse_is_known(agent->lease, machine);
}

static void
agent_ask(void *ctx, const char *machine, uint64_t start)
{
    struct agent *agent = ctx;
    lse_ask(agent->lease, agent_now_us(), machine, start);
}

static void
agent_on_changed(void *ctx)
{
    struct agent *agent = ctx;
    agent->is_changed = true;
}

static uint32_t
agent_random(void *ctx, uint32_t limit)
{
    return (uint32_t)g_random_int_range(0, (gint32)limit);
}

/* The agent outlives a stopping entry: without its beats the other machines
 * would call this one dead and no longer forward orders to the entry. */
static bool
agent_is_stop_done(const struct agent *agent, int64_t now_us)
{
    int64_t age_us = now_us - agent->leaving_us;
    return age_us >= agent->options->drain_ms * 1000 ||
           (age_us >= AGENT_LINGER_US &&
            ctr_named_count(agent->contracts) == 0 &&
            !sub_is_any_stopping(agent->subscribers, now_us));
}

static void
agent_tick_self(struct agent *agent, int64_t now_us)
{
    enum msg_machine_state state =
        agent->is_leaving ? MSG_MACHINE_LEAVING : MSG_MACHINE_LIVE;
    /* Without a relay this machine is no place for a contract. */
    bool has_relay = sub_relay_state(agent->subscribers) == SUB_RELAY_UP;
    const char *relay_address = has_relay ? agent->options->relay_address : "";
    bool has_entry = sub_is_entry_ready(agent->subscribers, now_us);
    const char *entry_address = has_entry ? agent->options->entry_address : "";
    const struct mbr_machine *self = mbr_self(agent->members);
    if (self->state != state ||
        strcmp(self->relay_address, relay_address) != 0 ||
        strcmp(self->entry_address, entry_address) != 0) {
        mbr_set_self(agent->members, now_us, state, relay_address,
                     entry_address);
        agent->is_gossip_due = true;
    }
    const struct lse_announce announce = {
        .revision = rev_number(agent->revision),
        .digest = rev_digest(agent->revision),
        .state = state,
    };
    lse_announce(agent->lease, &announce);
}

static void
agent_on_timer(uv_timer_t *timer)
{
    struct agent *agent = timer->data;
    int64_t now_us = agent_now_us();
    sub_tick(agent->subscribers, now_us);
    agent_tick_self(agent, now_us);
    lse_tick(agent->lease, now_us);
    agent_gossip_tick(agent, now_us);
    agent_poll_tick(agent->poll, now_us);
    agent_cell_tick(agent->cell, now_us);
    agent_after_event(agent);
    if (agent->is_leaving && !agent->is_stopped &&
        agent_is_stop_done(agent, now_us)) {
        log_info("main", "stopped held=%zu",
                 ctr_named_count(agent->contracts));
        agent->is_stopped = true;
        uv_stop(agent->loop);
    }
}

static int
agent_send_client(void *ctx, const struct zsk_peer *client, enum msg_type type,
                  const void *body)
{
    const struct agent *agent = ctx;
    return prs_send_client(agent->peers, client, type, body);
}

static void
agent_open_modules(struct agent *agent, int64_t now_us)
{
    const struct agent_options *options = agent->options;
    const struct lse_callbacks lease = {
        .send = agent_send_to_machine,
        .ctx = agent,
    };
    const struct ctr_callbacks contracts = {
        .write = agent_write_contract,
        .read = agent_read_contract,
        .accepted_us = agent_accepted_us,
        .voted_out_us = agent_voted_out_us,
        .is_in_cell = agent_is_in_cell,
        .ask = agent_ask,
        .changed = agent_on_changed,
        .ctx = agent,
    };
    const struct msg_machine self = {
        .name = options->machine,
        .start = agent->start,
        .zone = options->zone,
        .agent_address = options->listen,
        .entry_address = "",
        .peer_address = options->peer_address,
        .relay_address = "",
        .state = MSG_MACHINE_LIVE,
        .beat = 1,
    };
    agent->lease = lse_new(options->machine, agent->start, now_us, &lease,
                           agent->counters);
    agent->contracts =
        ctr_new(options->machine, agent->start, &contracts, agent->counters);
    agent->revision = rev_new(now_us, cfg_parse, agent->counters);
    agent->members = mbr_new(&self, now_us);
    agent->gossip = gsp_new(agent_random, agent);
}

int
agent_open(struct agent *agent, uv_loop_t *loop,
           const struct agent_options *options)
{
    *agent = (struct agent){.options = options, .loop = loop};
    while (agent->start == 0) {
        if (getrandom(&agent->start, sizeof(agent->start), 0) !=
            sizeof(agent->start)) {
            return RC_IO;
        }
    }
    agent->counters = cnt_set_new();
    agent->bootstrap = g_strsplit(options->peers, ",", -1);
    agent_open_modules(agent, agent_now_us());
    if (prs_open(loop, options->listen, agent->counters, agent_on_message,
                 agent, &agent->peers) != RC_OK ||
        hsv_open(loop, options->http_listen, AGENT_HTTP_BODY_MAX,
                 agent_on_request, agent, &agent->http) != RC_OK ||
        sto_open(loop, options->store, agent->counters, &agent->store) !=
            RC_OK) {
        return RC_IO;
    }
    prs_set_drop(agent->peers, (uint32_t)options->drop_permille);
    agent->subscribers = sub_new(agent_send_client, agent, agent->counters);
    agent->cell = agent_cell_new(agent);
    agent->poll = agent_poll_new(agent);
    uv_timer_init(loop, &agent->timer);
    agent->timer.data = agent;
    uv_timer_start(&agent->timer, agent_on_timer, 0, AGENT_TICK_MS);
    return RC_OK;
}

void
agent_stop(struct agent *agent)
{
    if (!agent->is_leaving) {
        log_info("main", "stopping held=%zu",
                 ctr_named_count(agent->contracts));
        agent->is_leaving = true;
        agent->leaving_us = agent_now_us();
    }
}

void
agent_close(struct agent *agent)
{
    agent->is_stopped = true;
    uv_close((uv_handle_t *)&agent->timer, NULL);
    hsv_stop(agent->http);
    sto_close(agent->store);
    agent_poll_free(agent->poll);
    agent_cell_free(agent->cell);
    sub_free(agent->subscribers);
    prs_close(agent->peers);
    gsp_free(agent->gossip);
    mbr_free(agent->members);
    rev_free(agent->revision);
    ctr_free(agent->contracts);
    lse_free(agent->lease);
    for (size_t i = 0; i < GSP_FANOUT; i++) {
        g_free(agent->picks[i]);
    }
    g_free(agent->machines);
    g_strfreev(agent->bootstrap);
    cnt_set_free(agent->counters);
}
