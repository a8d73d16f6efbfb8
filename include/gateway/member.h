#ifndef CH_GATEWAY_MEMBER_H
#define CH_GATEWAY_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The VMs of the deployment. Those listed in the store may be sending to
 * backend servers, heard of or not; those heard of lately are alive.
 */

/* What VMs tell each other of a kind of objects: the newest change known. */
enum mem_kind {
    MEM_CONFIG,
    MEM_BACKENDS,
    MEM_DRAINED_DCS,
    MEM_KIND_COUNT,
};

/* Heartbeat of a VM. */
struct mem_beat {
    const char *name;
    uint64_t start; /* random, new with each start of the process */
    const char *dc;
    const char *request_address; /* where callers connect, IPV4:PORT */
    const char *peer_address;    /* where VMs connect, IPV4:PORT */
    bool is_ready;
    int64_t changes[MEM_KIND_COUNT]; /* store revisions, 0: nothing known */
};

struct mem_vm {
    char *name;
    uint64_t start; /* 0 until heard of */
    char *dc;
    char *request_address;
    char *peer_address;
    bool is_listed;
    bool is_ready;
    int64_t heard_us; /* 0: never */
    int64_t changes[MEM_KIND_COUNT];
    int64_t ahead_us[MEM_KIND_COUNT]; /* since when it knows more, 0: not */
};

struct mem {
    char *self;
    GHashTable *vms; /* name -> struct mem_vm, without this VM */
    bool has_list;   /* a list of the store was read */
};

/* VMs that are taken to be sending until the list of them was read. */
#define MEM_UNKNOWN_COUNT 16

/* A VM that was not heard of for this long is taken as dead: four heartbeats.
 */
#define MEM_DEAD_US (2 * 1000 * 1000)
#define MEM_BEAT_IVL_US (500 * 1000)
/* A VM that is neither listed nor heard of is forgotten after this time. */
#define MEM_FORGET_US (10 * 1000 * 1000)
/* News that a peer has for this long are asked of it. */
#define MEM_AHEAD_US (700 * 1000)

void mem_init(struct mem *mem, const char *self);

void mem_clear(struct mem *mem);

/* Begins and ends a list of the store: what is not noted between is no longer
 * listed. */
void mem_list_begin(struct mem *mem);
void mem_list_note(struct mem *mem, const char *name,
                   const char *peer_address);
void mem_list_end(struct mem *mem, int64_t now_us);

/* A heartbeat arrived; `own` are the changes that this VM knows. */
void mem_on_beat(struct mem *mem, const struct mem_beat *beat,
                 const int64_t *own, int64_t now_us);

bool mem_is_live(const struct mem_vm *vm, int64_t now_us);

/* VMs that may be sending, this one included. */
uint32_t mem_sender_count(const struct mem *mem, int64_t now_us);

/* A live VM that has known newer changes of the kind for a while, or NULL. */
const struct mem_vm *mem_ahead(const struct mem *mem, enum mem_kind kind,
                               int64_t own, int64_t now_us);

/* Appends the addresses (char *, not owned) of the live and ready VMs. */
void mem_addresses(const struct mem *mem, int64_t now_us, GPtrArray *out);

#endif
