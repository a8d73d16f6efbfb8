#include <glib.h>
#include <string.h>

#include "agent/gossip.h"

struct gsp {
    gsp_random_cb random;
    void *ctx;
    int64_t sent_us;
    size_t next; /* where the turn of unchanged entries goes on */
};

struct gsp *
gsp_new(gsp_random_cb random, void *ctx)
{
    struct gsp *gossip = g_new0(struct gsp, 1);
    gossip->random = random;
    gossip->ctx = ctx;
    gossip->sent_us = INT64_MIN / 2;
    return gossip;
}

void
gsp_free(struct gsp *gossip)
{
    g_free(gossip);
}

bool
gsp_is_due(struct gsp *gossip, int64_t now_us)
{
    if (now_us - gossip->sent_us < GSP_PERIOD_US) {
        return false;
    }
    gossip->sent_us = now_us;
    return true;
}

size_t
gsp_pick(struct gsp *gossip, const struct mbr *members, gsp_skip_cb skip,
         void *ctx, const struct mbr_machine **out, size_t max)
{
    /* Reservoir sampling: each candidate has the same chance. */
    size_t seen = 0;
    const struct mbr_machine *self = mbr_self(members);
    for (size_t i = 0; i < mbr_count(members); i++) {
        const struct mbr_machine *machine = mbr_at(members, i);
        if (machine == self || machine->agent_address[0] == '\0' ||
            skip(ctx, machine)) {
            continue;
        }
        size_t at = seen;
        if (seen >= max) {
            at = gossip->random(gossip->ctx, (uint32_t)seen + 1);
        }
        if (at < max) {
            out[at] = machine;
        }
        seen += 1;
    }
    return MIN(seen, max);
}

static bool
gsp_has(const struct msg_machine *entries, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(entries[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

static size_t
gsp_add(const struct mbr_machine *machine, struct msg_machine *out,
        size_t count)
{
    if (machine->start == 0 || gsp_has(out, count, machine->name)) {
        return count;
    }
    mbr_export(machine, &out[count]);
    return count + 1;
}

size_t
gsp_fill(struct gsp *gossip, int64_t now_us, const struct mbr *members,
         struct msg_machine *out)
{
    size_t total = mbr_count(members);
    size_t count = gsp_add(mbr_self(members), out, 0);
    for (size_t i = 0; i < total && count < GSP_ENTRIES / 2; i++) {
        const struct mbr_machine *machine = mbr_at(members, i);
        if (now_us - machine->changed_us < GSP_RECENT_US) {
            count = gsp_add(machine, out, count);
        }
    }
    for (size_t i = 0; i < total && count < GSP_ENTRIES; i++) {
        gossip->next = (gossip->next + 1) % total;
        count = gsp_add(mbr_at(members, gossip->next), out, count);
    }
    return count;
}

bool
gsp_on_members(struct gsp *gossip, int64_t now_us, struct mbr *members,
               const struct msg_members *message, struct msg_machine *out,
               size_t *out_count)
{
    *out_count = 0;
    const char *stale[GSP_ENTRIES];
    size_t stale_count = 0;
    for (size_t i = 0; i < message->machine_count; i++) {
        const struct msg_machine *entry = &message->machines[i];
        if (mbr_merge(members, now_us, entry) < 0 &&
            stale_count < GSP_ENTRIES) {
            stale[stale_count] = entry->name;
            stale_count += 1;
        }
    }
    /* Only the entries that the sender lacks go back. */
    for (size_t i = 0; i < stale_count; i++) {
        const struct mbr_machine *machine = mbr_find(members, stale[i]);
        if (machine != NULL) {
            *out_count = gsp_add(machine, out, *out_count);
        }
    }
    return *out_count > 0;
}
