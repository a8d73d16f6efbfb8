#ifndef CH_COMMON_MSG_H
#define CH_COMMON_MSG_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Messages between carobhatch processes: one msgpack array `[type, fields...]`
 * per message. Strings are never NULL after decoding. Each `*_count` belongs
 * to the pointer before it. Times that end in `_us` are durations unless a
 * comment says otherwise: clocks of different machines are never compared.
 */

enum msg_type {
    MSG_HELLO = 1,
    MSG_OFFER,
    MSG_QUERY,
    MSG_REPLY,
    MSG_CANCEL,
    MSG_EXEC,
    MSG_EXEC_REPLY,
    MSG_ORDER,
    MSG_ORDER_REPLY,
    MSG_SUBSCRIBE,
    MSG_STATE,
    MSG_RELEASED,
    MSG_STOPPING,
    MSG_BEAT,
    MSG_BEAT_ACK,
    MSG_ASK,
    MSG_VOTE,
    MSG_PULL,
    MSG_CONFIG,
    MSG_MEMBERS,
    MSG_LEASE,
    MSG_CELL_PULL,
    MSG_CELL,
    MSG_CONFIRM_OFFER,
    MSG_VM_BEAT,
    MSG_TYPE_COUNT,
};

struct msg_bin {
    const void *data;
    uint64_t bytes;
};

/* The offer that the entry has; 0 and 0 for none. */
struct msg_hello {
    uint64_t relay_start;
    uint64_t offer_seq;
};

/* Answers a HELLO whose offer is the relay's newest one. */
struct msg_confirm_offer {
    uint64_t relay_start;
    uint64_t offer_seq;
};

struct msg_version {
    uint64_t version;
    uint64_t shard;
    uint64_t shards; /* shards of the version's layout */
};

struct msg_offer_instance {
    const char *service;
    const char *instance;
    uint64_t epoch; /* of the contract; the higher one is right */
    struct msg_version *versions;
    size_t version_count;
};

struct msg_offer {
    const char *machine;
    uint64_t start;
    uint64_t seq;
    struct msg_offer_instance *instances;
    size_t instance_count;
};

struct msg_part {
    const char *instance;
    uint64_t shard;
};

struct msg_query {
    uint64_t qid;
    const char *service;
    uint64_t version;
    int64_t budget_us;
    uint64_t limit; /* hits wanted */
    const char *query;
    struct msg_part *parts;
    size_t part_count;
};

struct msg_shard {
    uint64_t shard;
};

struct msg_missing {
    uint64_t shard;
    int64_t rc;
};

struct msg_hit {
    int64_t score;
    const char *id;
};

struct msg_reply {
    uint64_t qid;
    uint64_t version;
    struct msg_shard *done;
    size_t done_count;
    struct msg_missing *missing;
    size_t missing_count;
    struct msg_hit *hits; /* highest score first */
    size_t hit_count;
    uint64_t relay_start; /* these two name the relay's newest offer */
    uint64_t offer_seq;
};

struct msg_cancel {
    uint64_t qid;
};

struct msg_exec {
    uint64_t qid;
    const char *id;
    const char *service;
    const char *instance;
    uint64_t shard;
    uint64_t version;
    int64_t budget_us;
    struct msg_bin body;
};

struct msg_exec_reply {
    uint64_t qid;
    int64_t rc;
    struct msg_bin body;
    uint64_t relay_start; /* as in struct msg_reply */
    uint64_t offer_seq;
};

struct msg_order {
    uint64_t qid;
    const char *id;
    const char *service;
    const char *key;
    int64_t budget_us;
    struct msg_bin body;
};

struct msg_order_reply {
    uint64_t qid;
    int64_t rc;
    struct msg_bin body;
};

struct msg_subscribe {
    const char *role; /* "entry" or "relay" */
    uint64_t start;
};

/* A machine as its peers know it. */
struct msg_machine {
    const char *name;
    uint64_t start;
    const char *zone;
    const char *agent_address;
    const char *entry_address; /* HTTP, for callers */
    const char *peer_address;  /* ZeroMQ, for other entries */
    const char *relay_address;
    uint64_t state; /* enum msg_machine_state */
    uint64_t beat;  /* grows while the machine lives */
};

enum msg_machine_state {
    MSG_MACHINE_LIVE = 1,
    MSG_MACHINE_LEAVING,
    MSG_MACHINE_DEAD,
};

/* A searcher that was warm when its contract was released. */
struct msg_warm {
    const char *address;
    uint64_t start; /* of the searcher */
};

/* Who holds an instance's contract. */
struct msg_holder {
    const char *service;
    const char *instance;
    const char *machine;
    uint64_t start;
    uint64_t epoch;
    uint64_t orderly; /* 1 if the holder before released it, else 0 */
    /* As the holder before released it; empty unless orderly. */
    struct msg_warm *warm;
    size_t warm_count;
};

struct msg_state {
    uint64_t seq;
    const char *machine;
    uint64_t start;
    uint64_t revision;
    struct msg_bin config; /* empty when the revision is the last one sent */
    struct msg_machine *machines;
    size_t machine_count;
    struct msg_holder *holders;
    size_t holder_count;
    /*
     * When this machine's contracts end, on this machine's monotonic clock
     * (uv_hrtime() / 1000). The agent and its subscribers share that clock.
     */
    int64_t lease_until_us;
};

struct msg_released {
    const char *service;
    const char *instance;
    uint64_t epoch;
    struct msg_warm *warm;
    size_t warm_count;
};

struct msg_stopping {
    const char *role;
};

struct msg_beat {
    const char *machine;
    uint64_t start;
    uint64_t seq;
    uint64_t cell_version;
    uint64_t revision;
    uint64_t digest;
    uint64_t state; /* enum msg_machine_state */
};

struct msg_beat_ack {
    const char *machine; /* who acknowledges */
    uint64_t start;
    uint64_t seq;
    uint64_t cell_version;
    uint64_t revision;
    uint64_t accepted; /* 1 or 0 */
};

struct msg_ask {
    const char *asker;
    const char *holder;
    uint64_t holder_start;
    uint64_t cell_version;
    uint64_t nonce;
};

struct msg_vote {
    const char *voter;
    uint64_t voter_start;
    const char *holder;
    uint64_t holder_start;
    uint64_t cell_version;
    uint64_t nonce;
    uint64_t not_heard; /* 1 or 0 */
};

struct msg_pull {
    uint64_t revision; /* the one in force at the sender */
};

struct msg_config {
    uint64_t revision;
    uint64_t digest;
    struct msg_bin document;
};

struct msg_members {
    uint64_t revision;
    uint64_t digest;
    struct msg_machine *machines;
    size_t machine_count;
};

/* Sent by the agent to its subscribers after each acknowledged beat. */
struct msg_lease {
    uint64_t revision;
    int64_t lease_until_us; /* as in struct msg_state */
};

struct msg_cell_pull {
    const char *cell;
    uint64_t version; /* the one that the sender adopted, 0 for none */
};

struct msg_member {
    const char *machine;
};

/* The version of the cell object that the sender adopted. */
struct msg_cell {
    const char *cell;
    const char *machine; /* the sender */
    uint64_t version;
    struct msg_member *members;
    size_t member_count;
};

/* A VM that the sender of a heartbeat knows to be alive and ready. */
struct msg_vouched {
    const char *name;
    const char *request_address;
};

/* Heartbeat of a gateway to the other VMs. */
struct msg_vm_beat {
    const char *name;
    uint64_t start;
    const char *dc;
    const char *request_address;
    const char *peer_address;
    uint64_t capacity; /* thousandths of a core */
    uint64_t is_ready;
    uint64_t is_reply;
    int64_t config_change; /* store revisions of the newest changes known */
    int64_t backend_change;
    int64_t drain_change;
    struct msg_vouched *vouched; /* some of the VMs, others each time */
    size_t vouched_count;
};

/* A decoded message; `body` points to the struct of `type`. */
struct msg {
    enum msg_type type;
    const void *body;
    msgpack_zone zone;
};

/* Appends the message to `out`. Returns RC_OK or RC_INVALID. */
int msg_encode(enum msg_type type, const void *body, msgpack_sbuffer *out);

/*
 * Decodes one message; everything it points to lives until msg_clear().
 * Returns RC_OK, or RC_INVALID and leaves nothing to clear.
 */
int msg_decode(const void *data, size_t data_bytes, struct msg *out);

void msg_clear(struct msg *msg);

#endif
