#include <glib.h>
#include <string.h>

#include "agent/agent.h"
#include "agent/object.h"
#include "common/log.h"
#include "common/rc.h"

#define CEL_READ_US (INT64_C(10) * 1000 * 1000)
#define CEL_RETRY_US (INT64_C(500) * 1000)
/* A newer version was seen in a beat: read it at once, but not in a loop. */
#define CEL_HINT_US (INT64_C(100) * 1000)
/* A machine that rejoins after a reboot keeps its place. */
#define CEL_REMOVE_US (INT64_C(30) * 1000 * 1000)
/* A larger platform list belongs to several cells; then machines join. */
#define CEL_CREATE_MAX 9

struct agent_cell {
    struct agent *agent;
    bool is_busy; /* a call is under way */
    bool is_missing;
    int64_t read_us;
    int64_t write_us;
    int64_t started_us;
};

struct agent_cell *
agent_cell_new(struct agent *agent)
{
    struct agent_cell *cell = g_new0(struct agent_cell, 1);
    cell->agent = agent;
    cell->started_us = agent_now_us();
    cell->read_us = INT64_MIN / 2;
    cell->write_us = INT64_MIN / 2;
    return cell;
}

void
agent_cell_free(struct agent_cell *cell)
{
    g_free(cell);
}

static void
cel_adopt(struct agent_cell *cell, const json_t *object)
{
    struct agent *agent = cell->agent;
    uint64_t version = 0;
    GPtrArray *names = obj_read_cell(object, &version);
    if (names == NULL) {
        cnt_add(agent->counters, "store_objects_malformed_total", "cell");
        return;
    }
    int rc = lse_set_cell(agent->lease, agent_now_us(), version,
                          (const char *const *)names->pdata, names->len);
    if (rc == RC_OK) {
        log_info("cell", "adopted version=%lu members=%u",
                 (unsigned long)version, names->len);
    }
    else if (rc != RC_STALE) {
        cnt_add(agent->counters, "cell_refused_total", rc_name(rc));
    }
    g_ptr_array_free(names, TRUE);
}

void
agent_cell_describe(const struct agent *agent,
                    struct msg_member members[LSE_CELL_MAX],
                    struct msg_cell *out)
{
    *out = (struct msg_cell){
        .cell = agent->options->cell,
        .machine = agent->options->machine,
        .version = lse_cell_version(agent->lease),
        .members = members,
        .member_count = lse_member_count(agent->lease),
    };
    for (size_t i = 0; i < out->member_count; i++) {
        members[i].machine = lse_member(agent->lease, i);
    }
}

void
agent_cell_on_peer(struct agent_cell *cell, int64_t now_us,
                   const struct msg_cell *message)
{
    const struct agent *agent = cell->agent;
    if (strcmp(message->cell, agent->options->cell) != 0) {
        cnt_add(agent->counters, "cell_refused_total", "other_cell");
        return;
    }
    int rc = lse_on_cell(agent->lease, now_us, message);
    if (rc == RC_OK) {
        log_info("cell", "adopted version=%lu members=%zu source=peer",
                 (unsigned long)message->version, message->member_count);
    }
    else if (rc == RC_INVALID) {
        cnt_add(agent->counters, "cell_refused_total", rc_name(rc));
    }
}

/*
 * Tells the members of a version that this machine wrote. Its beats make them
 * refuse older versions, so the content goes before the first beat: they
 * could not read it if the store failed now.
 */
static void
cel_announce(const struct agent_cell *cell)
{
    struct agent *agent = cell->agent;
    struct msg_member members[LSE_CELL_MAX];
    struct msg_cell message;
    agent_cell_describe(agent, members, &message);
    for (size_t i = 0; i < message.member_count; i++) {
        if (strcmp(members[i].machine, agent->options->machine) != 0) {
            agent_send_to_machine(agent, members[i].machine, MSG_CELL,
                                  &message);
        }
    }
}

static void
cel_on_write(void *ctx, const struct sto_reply *reply)
{
    struct agent_cell *cell = ctx;
    cell->is_busy = false;
    if (reply->rc == RC_OK || reply->rc == RC_CONFLICT) {
        cell->is_missing = false;
        cel_adopt(cell, reply->body);
        if (reply->rc == RC_OK) {
            cel_announce(cell);
        }
    }
    else {
        cell->read_us = INT64_MIN / 2;
    }
    if (reply->rc != RC_OK) {
        cnt_add(cell->agent->counters, "cell_write_failed_total",
                rc_name(reply->rc));
    }
    agent_after_event(cell->agent);
}

static void
cel_put(struct agent_cell *cell, uint64_t version, json_t *members,
        const char *reason)
{
    struct agent *agent = cell->agent;
    cell->is_busy = true;
    cell->write_us = agent_now_us();
    log_info("cell", "writing reason=%s version=%lu", reason,
             (unsigned long)version);
    cnt_add(agent->counters, "cell_writes_total", reason);
    sto_put(agent->store, "cell", agent->options->cell, version,
            json_pack("{s:o}", "members", members), cel_on_write, cell);
}

static void
cel_on_read(void *ctx, const struct sto_reply *reply)
{
    struct agent_cell *cell = ctx;
    cell->is_busy = false;
    cell->is_missing = reply->rc == RC_NOT_FOUND;
    if (reply->rc == RC_OK) {
        cel_adopt(cell, reply->body);
    }
    else if (reply->rc != RC_NOT_FOUND) {
        /* Again after CEL_RETRY_US. */
        cell->read_us = agent_now_us() - CEL_READ_US + CEL_RETRY_US;
    }
    agent_after_event(cell->agent);
}

static void
cel_read(struct agent_cell *cell, int64_t now_us)
{
    cell->is_busy = true;
    cell->read_us = now_us;
    sto_get(cell->agent->store, "cell", cell->agent->options->cell,
            cel_on_read, cell);
}

/* The live machines of the platform's list, or only this one. */
static void
cel_create(struct agent_cell *cell)
{
    struct agent *agent = cell->agent;
    json_t *members = json_array();
    const struct mbr_machine *self = mbr_self(agent->members);
    json_array_append_new(members, json_string(self->name));
    for (size_t i = 0; i < mbr_count(agent->members); i++) {
        const struct mbr_machine *machine = mbr_at(agent->members, i);
        if (machine != self && machine->is_listed &&
            !machine->is_listed_leaving) {
            json_array_append_new(members, json_string(machine->name));
        }
    }
    while (json_array_size(members) > CEL_CREATE_MAX) {
        /* More machines than one cell has: the others join or differ. */
        json_array_remove(members, json_array_size(members) - 1);
    }
    cel_put(cell, 0, members, "create");
}

static json_t *
cel_members_without(const struct lse *lease, const char *skip)
{
    json_t *members = json_array();
    for (size_t i = 0; i < lse_member_count(lease); i++) {
        if (skip == NULL || strcmp(lse_member(lease, i), skip) != 0) {
            json_array_append_new(members, json_string(lse_member(lease, i)));
        }
    }
    return members;
}

static bool
cel_is_gone(const struct agent_cell *cell, const char *name, int64_t now_us)
{
    struct agent *agent = cell->agent;
    const struct mbr_machine *machine = mbr_find(agent->members, name);
    if (machine == NULL) {
        return now_us - cell->started_us > CEL_REMOVE_US &&
               !ctr_names_machine(agent->contracts, name);
    }
    int64_t heard_us = MAX(cell->started_us,
                           lse_heard_us(agent->lease, name, machine->start));
    return !machine->is_listed && now_us - heard_us > CEL_REMOVE_US &&
           !ctr_names_machine(agent->contracts, name);
}

/* True when this machine is the first live one of the member list. */
static bool
cel_is_proposer(const struct agent *agent, int64_t now_us)
{
    const char *first = agent->options->machine;
    for (size_t i = 0; i < lse_member_count(agent->lease); i++) {
        const char *name = lse_member(agent->lease, i);
        const struct mbr_machine *machine = mbr_find(agent->members, name);
        if (machine != NULL && strcmp(name, first) < 0 &&
            now_us - lse_heard_us(agent->lease, name, machine->start) <
                CTR_LIVE_US) {
            first = name;
        }
    }
    return strcmp(first, agent->options->machine) == 0;
}

static void
cel_change(struct agent_cell *cell, int64_t now_us)
{
    struct agent *agent = cell->agent;
    const struct lse *lease = agent->lease;
    if (!lse_cell_may_change(lease, now_us)) {
        return;
    }
    if (!lse_is_member(lease, agent->options->machine)) {
        if (!agent->is_leaving && lse_member_count(lease) < LSE_CELL_MAX) {
            json_t *members = cel_members_without(lease, NULL);
            json_array_append_new(members,
                                  json_string(agent->options->machine));
            cel_put(cell, lse_cell_version(lease), members, "join");
        }
        return;
    }
    if (!lse_is_valid(lease, now_us) || !agent_poll_has_vms(agent->poll) ||
        !cel_is_proposer(agent, now_us)) {
        return;
    }
    for (size_t i = 0; i < lse_member_count(lease); i++) {
        const char *name = lse_member(lease, i);
        if (strcmp(name, agent->options->machine) != 0 &&
            cel_is_gone(cell, name, now_us)) {
            log_info("cell", "removing member=%s", name);
            cel_put(cell, lse_cell_version(lease),
                    cel_members_without(lease, name), "remove");
            return;
        }
    }
}

void
agent_cell_tick(struct agent_cell *cell, int64_t now_us)
{
    struct agent *agent = cell->agent;
    if (cell->is_busy || !sto_is_usable(agent->store)) {
        return;
    }
    uint64_t version = lse_cell_version(agent->lease);
    int64_t age_us = now_us - cell->read_us;
    bool is_behind = lse_cell_version_seen(agent->lease) > version;
    if (age_us >= CEL_READ_US || (version == 0 && age_us >= CEL_RETRY_US) ||
        (is_behind && age_us >= CEL_HINT_US)) {
        cel_read(cell, now_us);
        return;
    }
    if (now_us - cell->write_us < CEL_RETRY_US) {
        return;
    }
    if (cell->is_missing && version == 0 && !agent->is_leaving &&
        agent_poll_has_vms(agent->poll)) {
        cel_create(cell);
    }
    else if (version > 0) {
        cel_change(cell, now_us);
    }
}
