#include <string.h>

#include "gateway/member_rank.h"

/* Which VMs are hubs, and who exchanges heartbeats with whom. */

static uint32_t
member_hub_count(const struct members *members)
{
    return CLAMP(members->strong_count, MEMBER_HUBS_MIN, MEMBER_HUBS_MAX);
}

bool
member_hubs(struct members *members, int64_t now_us, GPtrArray *out)
{
    member_update_ranking(members);
    uint32_t count = 0;
    bool is_hub = false;
    for (guint i = 0;
         i < members->ranked->len && count < member_hub_count(members); i++) {
        struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        if (vm == members->self) {
            is_hub = true;
            count += 1;
        }
        else if (!member_is_dead(members, vm, now_us)) {
            g_ptr_array_add(out, vm);
            count += 1;
        }
    }
    return is_hub;
}

bool
member_is_follower(struct members *members, int64_t now_us)
{
    GPtrArray *hubs = g_ptr_array_new();
    bool is_hub = member_hubs(members, now_us, hubs);
    bool is_follower = !is_hub && hubs->len > 0;
    g_ptr_array_free(hubs, TRUE);
    return is_follower;
}

uint32_t
member_follower_index(struct members *members)
{
    member_update_ranking(members);
    guint index = 0;
    (void)g_ptr_array_find(members->ranked, members->self, &index);
    return index - MIN(index, member_hub_count(members));
}

/* Moves the VMs of this VM's data centre to the front. */
static void
member_move_own_dc_first(const struct members *members, GPtrArray *vms)
{
    guint front = 0;
    for (guint i = 0; i < vms->len; i++) {
        struct member_vm *vm = g_ptr_array_index(vms, i);
        if (g_strcmp0(vm->dc, members->self->dc) == 0) {
            vms->pdata[i] = vms->pdata[front];
            vms->pdata[front] = vm;
            front += 1;
        }
    }
}

void
member_heartbeat_targets(struct members *members, int64_t now_us,
                         GPtrArray *out)
{
    members->is_hub = member_hubs(members, now_us, out);
    if (!members->is_hub) {
        member_move_own_dc_first(members, out);
        g_ptr_array_set_size(out,
                             (gint)MIN(out->len, MEMBER_HEARTBEAT_HUBS_MAX));
    }
    /* Probe dead strong VMs, which may have come back. */
    for (guint i = 0; i < MIN(members->strong_count, MEMBER_HUBS_MAX); i++) {
        struct member_vm *vm = g_ptr_array_index(members->ranked, i);
        if (vm != members->self && member_is_dead(members, vm, now_us) &&
            now_us >= vm->next_probe_us) {
            vm->next_probe_us = now_us + MEMBER_PROBE_INTERVAL_US;
            g_ptr_array_add(out, vm);
        }
    }
    for (guint i = 0; i < out->len; i++) {
        struct member_vm *vm = g_ptr_array_index(out, i);
        if (vm->unanswered_since_us == 0) {
            vm->unanswered_since_us = now_us;
        }
    }
}

bool
member_must_reply(struct members *members, const char *name, int64_t now_us)
{
    GPtrArray *hubs = g_ptr_array_new();
    (void)member_hubs(members, now_us, hubs);
    bool is_target = false;
    for (guint i = 0; i < hubs->len; i++) {
        const struct member_vm *vm = g_ptr_array_index(hubs, i);
        is_target = is_target || strcmp(vm->name, name) == 0;
    }
    g_ptr_array_free(hubs, TRUE);
    return !is_target;
}

void
member_pick_relayed(struct members *members, int64_t now_us, GPtrArray *out)
{
    member_update_ranking(members);
    for (guint i = 0;
         i < members->strong_count && out->len < MEMBER_RELAYED_MAX; i++) {
        members->relay_last =
            (members->relay_last + 1) % members->strong_count;
        struct member_vm *vm =
            g_ptr_array_index(members->ranked, members->relay_last);
        if (vm != members->self && vm->is_ready &&
            member_is_live(members, vm, now_us)) {
            g_ptr_array_add(out, vm);
        }
    }
}
