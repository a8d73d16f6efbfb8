#ifndef CH_AGENT_MEMBER_H
#define CH_AGENT_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/msg.h"

/*
 * The machines that this agent knows: the platform's lagging list of VMs and
 * what the machines say of themselves. The entry of a machine is written by
 * that machine only; of two entries the one with the higher `beat` is newer.
 */

/* A machine of the cell is live while its beats are at most this old. */
#define MBR_LIVE_US (INT64_C(3) * 1000 * 1000)
/* Other machines are judged by gossip, which takes seconds to spread. */
#define MBR_GOSSIP_LIVE_US (INT64_C(30) * 1000 * 1000)
/* A dead machine that the platform no longer lists is forgotten after this. */
#define MBR_FORGET_US (INT64_C(60) * 1000 * 1000)

struct mbr_machine {
    char *name;
    uint64_t start; /* 0 until the machine itself was heard of */
    char *zone;
    char *agent_address;
    char *entry_address;
    char *peer_address;
    char *relay_address; /* "" while no relay can hold contracts there */
    uint64_t state;      /* as the machine says */
    uint64_t beat;
    int64_t advanced_us; /* when `beat` last grew */
    int64_t changed_us;  /* when anything but `beat` last changed */
    bool is_listed;      /* by the platform */
    bool is_listed_leaving;
};

struct mbr;

/* One entry of the platform's list. */
struct mbr_vm {
    const char *name;
    const char *zone;
    const char *address;
    bool is_leaving;
};

/* `self` is copied; its start id is this process's. */
struct mbr *mbr_new(const struct msg_machine *self, int64_t now_us);

void mbr_free(struct mbr *members);

/* Changes what this machine says of itself. */
void mbr_set_self(struct mbr *members, int64_t now_us, uint64_t state,
                  const char *relay_address, const char *entry_address);

/* Grows the beat of this machine; call it once a second. */
void mbr_tick(struct mbr *members, int64_t now_us);

/*
 * Takes over an entry that a peer sent. Returns 1 if it was newer, 0 if it is
 * the same, -1 if this agent knows something newer.
 */
int mbr_merge(struct mbr *members, int64_t now_us,
              const struct msg_machine *entry);

/* Notes that a machine said in a beat that it is leaving; it never returns. */
void mbr_on_leaving(struct mbr *members, int64_t now_us, const char *name,
                    uint64_t start);

/* Takes over the whole list of the platform. */
void mbr_set_vms(struct mbr *members, int64_t now_us, const struct mbr_vm *vms,
                 size_t vm_count);

const struct mbr_machine *mbr_find(const struct mbr *members,
                                   const char *name);

const struct mbr_machine *mbr_self(const struct mbr *members);

/* Machines in name order; valid until the next call that changes them. */
size_t mbr_count(const struct mbr *members);
const struct mbr_machine *mbr_at(const struct mbr *members, size_t i);

/*
 * The state others may rely on. `heard_us` is the time of the last beat from
 * a machine of the own cell, -1 when it never sent one, or MBR_NOT_IN_CELL.
 */
#define MBR_NOT_IN_CELL INT64_MIN
enum msg_machine_state mbr_state(const struct mbr *members, int64_t now_us,
                                 const struct mbr_machine *machine,
                                 int64_t heard_us);

/* The entry as messages carry it; strings belong to the machine. */
void mbr_export(const struct mbr_machine *machine, struct msg_machine *out);

#endif
