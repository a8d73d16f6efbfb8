#ifndef CH_GATEWAY_MEMBER_H
#define CH_GATEWAY_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The VMs of the deployment. Those listed in the store may be sending to
 * backend servers, heard of or not; those heard of lately are alive.
 *
 * The strong VMs have at least half of the capacity of the strongest one;
 * callers are sent to them. A few of them, the hubs, are told of all VMs by
 * their heartbeats and follow the store for the others, so that a VM's cost
 * does not grow with the fleet.
 */

/* What VMs tell each other of a kind of objects: the newest change known. */
enum object_kind {
    OBJECT_CONFIG,
    OBJECT_BACKENDS,
    OBJECT_DRAINED_DCS,
    OBJECT_KIND_COUNT,
};

/* Heartbeat of a VM. */
struct member_heartbeat {
    const char *name;
    uint64_t start; /* random, new with each start of the process */
    const char *dc;
    const char *request_address; /* where callers connect, IPV4:PORT */
    const char *peer_address;    /* where VMs connect, IPV4:PORT */
    uint32_t capacity;           /* thousandths of a core */
    bool is_ready;
    bool is_reply; /* answers a heartbeat, is not answered itself */
    int64_t changes[OBJECT_KIND_COUNT]; /* store revisions, 0: nothing known */
    /* For how long the store may have changed without the sender's knowledge;
     * MEMBER_AGE_NONE if it has no news, or does not tell. */
    int64_t ages_us[OBJECT_KIND_COUNT];
};

#define MEMBER_AGE_NONE INT64_MAX

/* A VM that is no hub sends heartbeats to this many hubs, those of its data
 * centre first. */
#define MEMBER_PARENTS_MAX 3
/* Each VM writes its object again at this interval. */
#define MEMBER_RENEW_US (60LL * 1000 * 1000)
/* A VM that did not for this long is lost, and its object is deleted. */
#define MEMBER_LOST_US (180LL * 1000 * 1000)
/* Without a list for this long, ages of objects say nothing. */
#define MEMBER_LIST_GAP_US (30LL * 1000 * 1000)
/* Hubs name this many live VMs in each answer to a heartbeat, others each
 * time, since the VM hears of few others. */
#define MEMBER_VOUCHED_MAX 4
/* How long a VM that a hub named is taken as alive. */
#define MEMBER_VOUCHED_US (4 * 1000 * 1000)
/* Addresses that an answer to a caller may hold. */
#define MEMBER_ADDRESSES_MAX 64

struct member_vm {
    char *name;
    uint64_t start; /* 0 until heard of */
    char *dc;
    char *request_address;
    char *peer_address;
    uint32_t capacity; /* thousandths of a core */
    bool is_listed;
    int64_t revision;   /* of its object in the store */
    int64_t renewed_us; /* when that revision was seen first */
    bool is_ready;
    int64_t heard_us;   /* 0: never */
    int64_t vouched_us; /* when a hub named it as alive */
    int64_t asked_us;   /* first heartbeat sent since it was heard, 0: none */
    int64_t retry_us;   /* when one that is dead gets the next heartbeat */
    int64_t changes[OBJECT_KIND_COUNT];
    int64_t ahead_us[OBJECT_KIND_COUNT]; /* since when it knows more, 0: not */
    /* Up to when it knows all changes of the store, 0: not told. */
    int64_t checked_us[OBJECT_KIND_COUNT];
};

struct members {
    struct member_vm *self; /* not in `vms` */
    GHashTable *vms;        /* name -> struct member_vm */
    GPtrArray *ranked;      /* all, strong ones first; NULL when out of date */
    uint32_t strong_count;  /* at the begin of `ranked` */
    bool has_list;          /* a list of the store was read */
    int64_t listed_us;      /* when the last one was read */
    bool is_hub;            /* at the last heartbeat */
    guint vouched_next;     /* in `ranked`, to be named next */
};

/* VMs that are taken to be sending until the list of them was read. */
#define MEMBER_UNKNOWN_COUNT 16
/* With fewer live strong VMs callers are sent to all. */
#define MEMBER_STRONG_MIN 2

/* Heartbeats of hubs, and of the others in a large fleet. A VM that was not
 * heard of for MEMBER_DEAD_HEARTBEATS of them is taken as dead. */
#define MEMBER_HEARTBEAT_IVL_US (500 * 1000)
#define MEMBER_HEARTBEAT_LARGE_IVL_US (1000 * 1000)
#define MEMBER_LARGE_COUNT 16
#define MEMBER_DEAD_HEARTBEATS 4
/* How often a dead VM is tried again. */
#define MEMBER_RETRY_US (5 * 1000 * 1000)
/* At least and at most as many hubs. */
#define MEMBER_HUBS_MIN 3
#define MEMBER_HUBS_MAX 12
/* A VM that is neither listed nor heard of is forgotten after this time. */
#define MEMBER_FORGET_US (10 * 1000 * 1000)
/* News that a peer has for this long are asked of it by a VM that follows the
 * store itself. */
#define MEMBER_AHEAD_US (700 * 1000)

void member_init(struct members *members, const char *self, uint32_t capacity);

void member_clear(struct members *members);

/* Begins and ends a list of the store: what is not noted between is no longer
 * listed. */
void member_list_begin(struct members *members);
void member_list_note(struct members *members, const char *name,
                      const char *peer_address, const char *dc,
                      uint32_t capacity, int64_t revision);
void member_list_end(struct members *members, int64_t now_us);

/* A heartbeat arrived; `own` are the changes that this VM knows. */
void member_on_heartbeat(struct members *members,
                         const struct member_heartbeat *heartbeat,
                         const int64_t *own, int64_t now_us);

/* Time between two heartbeats to a VM. */
int64_t member_heartbeat_ivl_us(const struct members *members);

/*
 * A VM that is lost, or NULL: neither heard of nor renewed. Only the first
 * live VM in rank looks, so that one call deletes the object.
 */
const struct member_vm *member_lost(struct members *members, int64_t now_us);

/* Whether no VM before this one in rank is alive. */
bool member_is_first_live(struct members *members, int64_t now_us);

/* A hub named the VM as alive and ready. */
void member_on_vouched(struct members *members, const char *name,
                       const char *request_address, int64_t now_us);

/* Appends the VMs (struct member_vm) to be named in the next answer. */
void member_vouch(struct members *members, int64_t now_us, GPtrArray *out);

bool member_is_live(const struct members *members, const struct member_vm *vm,
                    int64_t now_us);

/* Appends the hubs (struct member_vm) that may be alive, without this VM.
 * Returns whether this VM is one. */
bool member_hubs(struct members *members, int64_t now_us, GPtrArray *out);

/* Whether this VM leaves following the store to a hub. */
bool member_is_follower(struct members *members, int64_t now_us);

/* Number of VMs before this one in rank that are no hubs while all live. */
uint32_t member_follower_index(struct members *members);

/* Appends the VMs (struct member_vm) that get a heartbeat now and notes it:
 * for a hub all hubs, else some of them. */
void member_heartbeat_targets(struct members *members, int64_t now_us,
                              GPtrArray *out);

/* Whether the heartbeat of this VM is to be answered: it gets none else. */
bool member_must_reply(struct members *members, const char *name,
                       int64_t now_us);

/*
 * Number of VMs by which this VM divides the limits that all have together,
 * so that the shares stay within them: callers come to the strong VMs, the
 * others keep a fifth for the few requests they get.
 */
uint32_t member_sender_count(struct members *members, int64_t now_us);

/* A live VM that has known newer changes of the kind for `ahead_us`, or NULL;
 * one of this data centre goes first. */
const struct member_vm *member_ahead(const struct members *members,
                                     enum object_kind kind, int64_t own,
                                     int64_t ahead_us, int64_t now_us);

/*
 * Up to when the VMs before this one in rank know all changes of the kind, 0
 * if none does; of them those that know no change after `own`. Since the rank
 * is the same for all, no VM hears its own word again from another one.
 */
int64_t member_checked_us(struct members *members, enum object_kind kind,
                          int64_t own);

/*
 * Appends the addresses (char *, not owned) that callers should use: those of
 * the live and ready strong VMs, this one included if it `is_ready`; without
 * enough of them, of all that are live and ready. Of more than
 * MEMBER_ADDRESSES_MAX `random` (0 to 1) picks a range.
 */
void member_addresses(struct members *members, bool is_ready, double random,
                      int64_t now_us, GPtrArray *out);

/* Appends all VMs (struct member_vm) that callers can use, this one included
 * if it `is_ready`. */
void member_usable_vms(struct members *members, bool is_ready, int64_t now_us,
                       GPtrArray *out);

#endif
