#ifndef CH_RELAY_INSTANCE_H
#define CH_RELAY_INSTANCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/budget.h"
#include "common/config.h"
#include "common/msg.h"
#include "common/hedge.h"
#include "relay/queue.h"
#include "relay/searcher.h"

struct rly;

enum ins_state {
    INS_NONE,     /* never held, or moved away */
    INS_HELD,     /* takes parts while the lease lasts */
    INS_DRAINING, /* finishes what runs */
    INS_RELEASED, /* the agent was told that nothing runs any more */
};

/* One instance and its contract as this relay sees it. */
struct ins {
    struct rly *rly;
    char *service;
    char *name;
    enum ins_state state;
    uint64_t epoch;
    uint64_t released_epoch; /* this one and older ones are never used again */
    int64_t released_us;     /* when RELEASED was sent last */
    uint32_t released_count;
    struct msg_warm *released_warm; /* for RELEASED, which may be repeated */
    size_t released_warm_count;
    int64_t usable_at_us;
    int64_t deadline_max_us;
    GPtrArray *searchers; /* struct sch */
    /* Of the holder before, until ins_configure(); not owned. */
    const struct msg_warm *warm;
    size_t warm_count;
    struct que queue;   /* struct job */
    GPtrArray *running; /* struct att, oldest first */
    struct hdg hedge;
    uint32_t hedge_permille;
    struct bgt retry;
};

/* The voters' silence before a takeover covers this much of the time that
 * requests of the previous holder may still run: LEASE - BOUND. */
#define INS_TAKEOVER_COVERED_MS 800

struct ins *ins_new(struct rly *rly, const char *service, const char *name);

/* Frees the instance; nothing may be queued or running. */
void ins_free(struct ins *ins);

/* Takes over declarations; `service` or `instance` is NULL when they are no
 * longer declared. Returns true if what is offered changed. */
bool ins_configure(struct ins *ins, const struct cfg *cfg,
                   const struct cfg_service *service,
                   const struct cfg_instance *instance, int64_t now_us);

/*
 * The contract names this machine. `deadline_max_us` belongs to the service:
 * requests of a lost holder may run that long. The list of warm searchers in
 * `holder` must last until ins_configure(), which applies it.
 */
void ins_hold(struct ins *ins, const struct msg_holder *holder,
              int64_t deadline_max_us, int64_t now_us);

/* The contract is to go, or has gone, elsewhere. */
void ins_drain(struct ins *ins, int64_t now_us);

/* Another machine's contract has been seen after the release. */
void ins_note_moved(struct ins *ins, uint64_t epoch);

/* Closes all links and sends RELEASED when the last request of a draining
 * instance has ended; sends it again while the agent does not react. */
void ins_release_if_done(struct ins *ins, int64_t now_us);

/* Opens, probes and closes links. */
void ins_tick(struct ins *ins, int64_t now_us);

/* Whether the contract may be used: held, and the lease lasts. */
bool ins_is_active(const struct ins *ins, int64_t now_us);

/* Usual time of one request on the fastest searcher in service. */
int64_t ins_service_us(const struct ins *ins);

/* What the queue needs to know of the searchers in service. */
struct que_pace ins_pace(const struct ins *ins, int64_t now_us);

const char *ins_state_name(enum ins_state state);

#endif
