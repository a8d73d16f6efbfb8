#include <string.h>

#include "agent/member.h"

struct mbr {
    GPtrArray *machines; /* struct mbr_machine, in name order */
    char *self;
    uint64_t start;
};

static void
mbr_machine_free(void *data)
{
    struct mbr_machine *machine = data;
    g_free(machine->name);
    g_free(machine->zone);
    g_free(machine->agent_address);
    g_free(machine->entry_address);
    g_free(machine->peer_address);
    g_free(machine->relay_address);
    g_free(machine);
}

/* Index of the name, or where it is to be inserted. */
static guint
mbr_index(const struct mbr *members, const char *name, bool *is_found)
{
    guint low = 0;
    guint high = members->machines->len;
    *is_found = false;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        const struct mbr_machine *machine =
            g_ptr_array_index(members->machines, middle);
        int order = strcmp(machine->name, name);
        if (order == 0) {
            *is_found = true;
            return middle;
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static struct mbr_machine *
mbr_get(struct mbr *members, int64_t now_us, const char *name)
{
    bool is_found = false;
    guint i = mbr_index(members, name, &is_found);
    if (!is_found) {
        struct mbr_machine *machine = g_new0(struct mbr_machine, 1);
        machine->name = g_strdup(name);
        machine->zone = g_strdup("");
        machine->agent_address = g_strdup("");
        machine->entry_address = g_strdup("");
        machine->peer_address = g_strdup("");
        machine->relay_address = g_strdup("");
        machine->state = MSG_MACHINE_LIVE;
        machine->advanced_us = now_us;
        machine->changed_us = now_us;
        g_ptr_array_insert(members->machines, (int)i, machine);
    }
    return g_ptr_array_index(members->machines, i);
}

static bool
mbr_set_text(char **target, const char *text)
{
    if (strcmp(*target, text) == 0) {
        return false;
    }
    g_free(*target);
    *target = g_strdup(text);
    return true;
}

static void
mbr_take(struct mbr_machine *machine, int64_t now_us,
         const struct msg_machine *entry)
{
    bool changed = machine->start != entry->start;
    changed |= machine->state != entry->state;
    changed |= mbr_set_text(&machine->zone, entry->zone);
    changed |= mbr_set_text(&machine->agent_address, entry->agent_address);
    changed |= mbr_set_text(&machine->entry_address, entry->entry_address);
    changed |= mbr_set_text(&machine->peer_address, entry->peer_address);
    changed |= mbr_set_text(&machine->relay_address, entry->relay_address);
    machine->start = entry->start;
    machine->state = entry->state;
    machine->beat = entry->beat;
    machine->advanced_us = now_us;
    if (changed) {
        machine->changed_us = now_us;
    }
}

struct mbr *
mbr_new(const struct msg_machine *self, int64_t now_us)
{
    struct mbr *members = g_new0(struct mbr, 1);
    members->machines = g_ptr_array_new_with_free_func(mbr_machine_free);
    members->self = g_strdup(self->name);
    members->start = self->start;
    mbr_take(mbr_get(members, now_us, self->name), now_us, self);
    return members;
}

void
mbr_free(struct mbr *members)
{
    if (members == NULL) {
        return;
    }
    g_ptr_array_free(members->machines, TRUE);
    g_free(members->self);
    g_free(members);
}

void
mbr_set_self(struct mbr *members, int64_t now_us, uint64_t state,
             const char *relay_address, const char *entry_address)
{
    struct mbr_machine *self = mbr_get(members, now_us, members->self);
    bool changed = mbr_set_text(&self->relay_address, relay_address);
    changed |= mbr_set_text(&self->entry_address, entry_address);
    if (changed || self->state != state) {
        self->state = state;
        self->beat += 1;
        self->advanced_us = now_us;
        self->changed_us = now_us;
    }
}

void
mbr_tick(struct mbr *members, int64_t now_us)
{
    struct mbr_machine *self = mbr_get(members, now_us, members->self);
    self->beat += 1;
    self->advanced_us = now_us;
    for (guint i = members->machines->len; i > 0; i--) {
        const struct mbr_machine *machine =
            g_ptr_array_index(members->machines, i - 1);
        if (machine != self && !machine->is_listed &&
            now_us - machine->advanced_us > MBR_FORGET_US) {
            g_ptr_array_remove_index(members->machines, i - 1);
        }
    }
}

int
mbr_merge(struct mbr *members, int64_t now_us, const struct msg_machine *entry)
{
    if (entry->start == 0 || entry->name[0] == '\0' ||
        (entry->state != MSG_MACHINE_LIVE &&
         entry->state != MSG_MACHINE_LEAVING)) {
        return 0;
    }
    bool is_self = strcmp(entry->name, members->self) == 0;
    struct mbr_machine *machine = mbr_get(members, now_us, entry->name);
    if (is_self && entry->start != members->start) {
        /* An earlier process of this machine: outgrow what it said. */
        if (entry->beat >= machine->beat) {
            machine->beat = entry->beat + 1;
            machine->changed_us = now_us;
        }
        return -1;
    }
    if (entry->beat < machine->beat) {
        return -1;
    }
    if (entry->beat == machine->beat && entry->start == machine->start) {
        return 0;
    }
    if (entry->beat == machine->beat && entry->start < machine->start) {
        return -1;
    }
    if (!is_self) {
        mbr_take(machine, now_us, entry);
        return 1;
    }
    return 0;
}

void
mbr_on_leaving(struct mbr *members, int64_t now_us, const char *name,
               uint64_t start)
{
    bool is_found = false;
    guint i = mbr_index(members, name, &is_found);
    if (!is_found) {
        return;
    }
    struct mbr_machine *machine = g_ptr_array_index(members->machines, i);
    if (machine->start == start && machine->state != MSG_MACHINE_LEAVING) {
        machine->state = MSG_MACHINE_LEAVING;
        machine->changed_us = now_us;
    }
}

void
mbr_set_vms(struct mbr *members, int64_t now_us, const struct mbr_vm *vms,
            size_t vm_count)
{
    for (guint i = 0; i < members->machines->len; i++) {
        struct mbr_machine *machine = g_ptr_array_index(members->machines, i);
        machine->is_listed = false;
        machine->is_listed_leaving = false;
    }
    for (size_t i = 0; i < vm_count; i++) {
        struct mbr_machine *machine = mbr_get(members, now_us, vms[i].name);
        machine->is_listed = true;
        machine->is_listed_leaving = vms[i].is_leaving;
        if (machine->start == 0) {
            (void)mbr_set_text(&machine->zone, vms[i].zone);
            (void)mbr_set_text(&machine->agent_address, vms[i].address);
        }
    }
}

const struct mbr_machine *
mbr_find(const struct mbr *members, const char *name)
{
    bool is_found = false;
    guint i = mbr_index(members, name, &is_found);
    return is_found ? g_ptr_array_index(members->machines, i) : NULL;
}

const struct mbr_machine *
mbr_self(const struct mbr *members)
{
    return mbr_find(members, members->self);
}

size_t
mbr_count(const struct mbr *members)
{
    return members->machines->len;
}

const struct mbr_machine *
mbr_at(const struct mbr *members, size_t i)
{
    return g_ptr_array_index(members->machines, i);
}

enum msg_machine_state
mbr_state(const struct mbr *members, int64_t now_us,
          const struct mbr_machine *machine, int64_t heard_us)
{
    if (machine->start == 0) {
        return MSG_MACHINE_DEAD;
    }
    bool is_self = strcmp(machine->name, members->self) == 0;
    bool is_live = is_self;
    if (heard_us != MBR_NOT_IN_CELL) {
        is_live =
            is_live || (heard_us >= 0 && now_us - heard_us < MBR_LIVE_US);
    }
    else {
        is_live =
            is_live || now_us - machine->advanced_us < MBR_GOSSIP_LIVE_US;
    }
    if (!is_live) {
        return MSG_MACHINE_DEAD;
    }
    if (machine->state == MSG_MACHINE_LEAVING || machine->is_listed_leaving) {
        return MSG_MACHINE_LEAVING;
    }
    return MSG_MACHINE_LIVE;
}

void
mbr_export(const struct mbr_machine *machine, struct msg_machine *out)
{
    *out = (struct msg_machine){
        .name = machine->name,
        .start = machine->start,
        .zone = machine->zone,
        .agent_address = machine->agent_address,
        .entry_address = machine->entry_address,
        .peer_address = machine->peer_address,
        .relay_address = machine->relay_address,
        .state = machine->state,
        .beat = machine->beat,
    };
}
