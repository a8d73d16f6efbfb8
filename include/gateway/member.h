#ifndef CH_GATEWAY_MEMBER_H
#define CH_GATEWAY_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "gateway/position.h"
#include "gateway/share.h"

/*
 * Membership of the deployment: which VMs exist, which are alive, which of
 * them send requests to backend servers, and to whom this VM sends
 * heartbeats. A VM that is listed in the store counts as a sender whether it
 * is live or not; it is live while its heartbeats arrive.
 *
 * The strong VMs have at least half of the capacity of the strongest one;
 * callers are directed to them. The first VMs by rank that are not dead are
 * hubs: they exchange heartbeats with each other, receive those of the other
 * VMs, and watch the store. The other VMs are followers, which learn of
 * changes from the hubs, so that the cost of a VM does not grow with the size
 * of the fleet.
 *
 * The process (struct app) owns the state. Times are in microseconds of the
 * monotonic clock. The module does no I/O.
 */

/* Kinds of objects that VMs watch in the store and report to each other. */
enum object_kind {
    OBJECT_CONFIG,
    OBJECT_BACKENDS,
    OBJECT_DRAINED_DCS,
    OBJECT_KIND_COUNT,
};

/* Heartbeat of a VM. */
struct member_heartbeat {
    const char *name;
    uint64_t start; /* start id of its process, random */
    const char *dc;
    const char *request_address; /* where callers connect, IPV4:PORT */
    const char *peer_address;    /* where VMs connect, IPV4:PORT */
    uint32_t capacity;           /* thousandths of a core */
    bool is_ready;
    bool is_reply; /* a reply to a heartbeat, which gets no reply itself */
    /* The newest change that the sender knows of each kind, revision 0: it
     * knows nothing of the kind. */
    struct position changes[OBJECT_KIND_COUNT];
    int64_t config_version; /* in force at the sender, 0: none */
    /* Time since the sender last knew all changes of the kind;
     * MEMBER_AGE_NONE if it has not read the kind or does not report it. */
    int64_t ages_us[OBJECT_KIND_COUNT];
    /* For how much longer the sender holds something of the kind that the
     * store has lost in a return, 0: it holds nothing. */
    int64_t holds_us[OBJECT_KIND_COUNT];
};

#define MEMBER_AGE_NONE INT64_MAX

/* Most VMs that are known at a time; further names are ignored. Names come in
 * datagrams, whose sender is not known. */
#define MEMBER_VMS_MAX 8192

/* A VM that is not a hub sends heartbeats to this many hubs, those of its data
 * centre first. */
#define MEMBER_HEARTBEAT_HUBS_MAX 3
/* Each VM writes its object in the store again at this interval. */
#define MEMBER_RENEWAL_INTERVAL_US (60LL * 1000 * 1000)
/* The object of a VM that neither renews it nor sends heartbeats for this long
 * has expired and is deleted. */
#define MEMBER_EXPIRY_US (180LL * 1000 * 1000)
/* After a return followers ask hubs for the whole state this far apart on
 * average. */
#define MEMBER_RETURN_APART_US (2 * 1000)
/* A VM is asked again for what it holds since a return after this time, since
 * it may hold more later; at once if its hold lasts longer than before by the
 * second value, which is more than the delay of heartbeats varies. */
#define MEMBER_HELD_INTERVAL_US (3LL * 1000 * 1000)
#define MEMBER_HELD_LATER_US (500LL * 1000)
/* The same for a VM that has not answered. */
#define MEMBER_HELD_RETRY_US (500LL * 1000)
/* VMs that were listed before the store returned to an older copy count as
 * listed for this long: by then each has written its object again. */
#define MEMBER_RETURN_HOLD_US MEMBER_RENEWAL_INTERVAL_US
/* After this long without a list of the store, renewals may have gone
 * unnoticed: the expiry time of all objects starts again. */
#define MEMBER_LIST_GAP_US (30LL * 1000 * 1000)
/* A hub relays the liveness of this many VMs in each reply to a heartbeat,
 * other VMs each time, since the receiver gets heartbeats of a few VMs only.
 */
#define MEMBER_RELAYED_MAX 4
/* How long a VM counts as alive after a hub named it. */
#define MEMBER_RELAYED_EXPIRY_US (4 * 1000 * 1000)
/* Addresses in one answer to a caller. */
#define MEMBER_ADDRESSES_MAX 64

/* The last request to a VM for what it holds of a kind since a return. */
struct member_held_request {
    int64_t sent_us; /* 0: none was sent */
    int64_t era;
    int64_t hold_until_us; /* that the VM had reported before */
    int64_t lost_us; /* when it was found to be unanswered, 0: it is not */
};

struct member_vm {
    char *name;
    uint64_t start; /* 0 until its first heartbeat */
    char *dc;
    char *request_address;
    char *peer_address;
    uint32_t capacity;        /* thousandths of a core */
    bool is_listed;           /* in the last list of the store */
    bool was_listed;          /* in the one before */
    struct position position; /* of its object in the store */
    int64_t renewed_us;       /* when that position was first seen */
    bool is_ready;
    int64_t last_heartbeat_us; /* 0: never */
    int64_t relayed_us;        /* when a hub last named it as alive */
    /* First heartbeat sent to it since its last one arrived, 0: none. */
    int64_t unanswered_since_us;
    int64_t next_probe_us; /* when it gets a heartbeat again while dead */
    /* The next two are as in its last heartbeat. */
    struct position changes[OBJECT_KIND_COUNT];
    int64_t config_version;
    /* Until when it holds something since a return, 0: it does not. */
    int64_t hold_until_us[OBJECT_KIND_COUNT];
    struct member_held_request held_requests[OBJECT_KIND_COUNT];
    /* Since when it reports newer changes than this VM knows, 0: it does not.
     */
    int64_t newer_since_us[OBJECT_KIND_COUNT];
    /* Time as of which it knew all changes of the store, 0: not reported. */
    int64_t synced_us[OBJECT_KIND_COUNT];
};

struct members {
    struct member_vm *self; /* not in `vms` */
    GHashTable *vms;        /* name -> struct member_vm */
    GPtrArray *ranked;      /* all, strong ones first; NULL when out of date */
    uint32_t strong_count;  /* VMs at the start of `ranked` */
    bool has_list;          /* a list of the store was read */
    int64_t listed_us;      /* when the last one was read */
    /* Until then VMs that the list lacks still count as listed. */
    int64_t keep_listed_until_us;
    bool is_hub;      /* as of the last heartbeat sent */
    guint relay_last; /* index in `ranked` of the last VM relayed */
};

/* Number of senders that is assumed until the list of VMs has been read. */
#define MEMBER_ASSUMED_COUNT 16
/* With fewer live strong VMs callers are directed to all VMs. */
#define MEMBER_STRONG_MIN 2

/* Heartbeat interval of hubs and of all VMs of a small fleet, and that of the
 * others in a fleet with at least MEMBER_LARGE_FLEET_COUNT other VMs. A VM is
 * dead when none of its heartbeats arrived for
 * MEMBER_DEAD_MISSED_HEARTBEATS intervals. */
#define MEMBER_HEARTBEAT_INTERVAL_US (500 * 1000)
#define MEMBER_HEARTBEAT_LARGE_INTERVAL_US (1000 * 1000)
#define MEMBER_LARGE_FLEET_COUNT 16
#define MEMBER_DEAD_MISSED_HEARTBEATS 4
/* A VM that starts together with others gets its state from the first of them
 * that has it, if that one knows of it: for some seconds it sends heartbeats
 * at this interval until it is ready. */
#define MEMBER_HEARTBEAT_STARTING_INTERVAL_US (200 * 1000)
#define MEMBER_STARTING_US (3000 * 1000)
/* How often a dead VM is sent a heartbeat. */
#define MEMBER_PROBE_INTERVAL_US (5 * 1000 * 1000)
/* Number of hubs: that of the strong VMs, within these limits. */
#define MEMBER_HUBS_MIN 3
#define MEMBER_HUBS_MAX 12
/* A VM that is not listed and sent no heartbeat for this long is removed. */
#define MEMBER_FORGET_US (10 * 1000 * 1000)
/* A VM that watches the store itself fetches newer changes from a peer once
 * the peer has had them for this long. */
#define MEMBER_PEER_FETCH_DELAY_US (700 * 1000)

void member_init(struct members *members, const char *self, uint32_t capacity);

void member_clear(struct members *members);

/* Changes the capacity of this VM. */
void member_set_own_capacity(struct members *members, uint32_t capacity);

/* Start and end of a list of the store. VMs that are not added in between are
 * no longer listed. */
void member_list_start(struct members *members);
void member_list_add(struct members *members, const char *name,
                     const char *peer_address, const char *dc,
                     uint32_t capacity, struct position position);
void member_list_end(struct members *members, int64_t now_us);

/* The store has returned to an older copy, from which objects may be missing
 * until their VMs write them again. That is no sign that a VM has ended, and
 * the limits that all VMs share are still divided among all of them. */
void member_on_return(struct members *members, int64_t now_us);

/* Handles a received heartbeat; `own` are the newest changes, one per kind,
 * that this VM knows. */
void member_on_heartbeat(struct members *members,
                         const struct member_heartbeat *heartbeat,
                         const struct position *own, int64_t now_us);

/* Time between two heartbeats to a VM. */
int64_t member_heartbeat_interval_us(const struct members *members);

/* The time after which this VM sends its next heartbeat: shorter while it has
 * just started and is not ready. */
int64_t member_next_heartbeat_us(const struct members *members, bool is_ready,
                                 int64_t uptime_us);

/*
 * Returns a listed VM whose object has expired, or NULL. Always NULL unless
 * this VM is the first live one by rank, so that only one VM deletes the
 * object.
 */
const struct member_vm *member_find_expired(struct members *members,
                                            int64_t now_us);

/* Whether no VM that ranks before this one is live. */
bool member_is_first_live(struct members *members, int64_t now_us);

/* A hub named the VM as alive and ready in a reply to a heartbeat. */
void member_on_relayed(struct members *members, const char *name,
                       const char *request_address, int64_t now_us);

/* Appends the VMs (struct member_vm) to name in the next reply to a heartbeat,
 * in turn. */
void member_pick_relayed(struct members *members, int64_t now_us,
                         GPtrArray *out);

/* Whether a heartbeat of the VM arrived recently enough. */
bool member_is_live(const struct members *members, const struct member_vm *vm,
                    int64_t now_us);

/* Appends the hubs (struct member_vm) that are not known to be dead, without
 * this VM. Returns whether this VM is a hub. */
bool member_hubs(struct members *members, int64_t now_us, GPtrArray *out);

/* Whether this VM is a follower. */
bool member_is_follower(struct members *members, int64_t now_us);

/* Number of followers ranked before this one when all VMs are live. */
uint32_t member_follower_index(struct members *members);

/* Appends the VMs (struct member_vm) to send a heartbeat now and records that
 * it is sent: a hub sends to all hubs, another VM to some of them, and both to
 * dead strong VMs that are due a probe. */
void member_heartbeat_targets(struct members *members, int64_t now_us,
                              GPtrArray *out);

/* Whether to reply to the heartbeat of this VM: it gets no other heartbeat
 * from this one. */
bool member_must_reply(struct members *members, const char *name,
                       int64_t now_us);

/*
 * Number of VMs by which this VM divides the limits that all VMs share, so
 * that the shares add up to no more than the limits: callers use the strong
 * VMs, and the others together keep a fifth for the few requests they get.
 */
uint32_t member_sender_count(struct members *members, int64_t now_us);

/* Returns the place of this VM among the strong ones that count as senders; no
 * place if it is not one of them. */
struct share_place member_strong_place(struct members *members,
                                       int64_t now_us);

/* Returns a live VM that has reported newer changes of the kind than `own` for
 * at least `min_newer_us`, or changes of a later era for `return_delay_us`, or
 * NULL; prefers VMs of this data centre, then the newest change. */
const struct member_vm *
member_find_newer(const struct members *members, enum object_kind kind,
                  struct position own, int64_t min_newer_us,
                  int64_t return_delay_us, int64_t now_us);

/* How long this VM waits for its turn, as a follower, to ask a hub for the
 * state of a later era. */
int64_t member_return_delay_us(const struct members *members);

/* Returns a live VM of this era that holds something of the kind since a
 * return and is due to be asked for it, or NULL. */
struct member_vm *member_find_holder(const struct members *members,
                                     enum object_kind kind, int64_t era,
                                     int64_t now_us);

/* The VM with this name has not answered that. */
void member_on_held_lost(struct members *members, const char *name,
                         enum object_kind kind, int64_t now_us);

/* The VM is asked for what it holds of the kind. */
void member_on_held_request(struct member_vm *vm, enum object_kind kind,
                            int64_t now_us);

/* Returns a live VM of the era of `own` that has a later version of the
 * configuration in force than this VM, though it knows no newer change of the
 * store, or NULL. */
const struct member_vm *member_find_newer_config(const struct members *members,
                                                 struct position own,
                                                 int64_t now_us);

/*
 * Latest time as of which a VM that ranks before this one knew all changes of
 * the kind, 0 if none did; counts only VMs of the era of `own` that know no
 * change after it, or, if it is NULL, all.
 * Since all VMs use the same rank, no VM gets back information that it sent
 * itself.
 */
int64_t member_synced_us(struct members *members, enum object_kind kind,
                         const struct position *own);

/*
 * Appends the addresses (char *, not owned) for callers to use: those of the
 * live and ready strong VMs, of this one if `is_ready`, or, when there are
 * fewer than MEMBER_STRONG_MIN, of all live and ready VMs. At most
 * MEMBER_ADDRESSES_MAX; `random` (0 to 1) is where in the rank to start.
 */
void member_addresses(struct members *members, bool is_ready, double random,
                      int64_t now_us, GPtrArray *out);

/* Appends all VMs (struct member_vm) that callers can use, this one included
 * if it `is_ready`. */
void member_usable_vms(struct members *members, bool is_ready, int64_t now_us,
                       GPtrArray *out);

#endif
