#ifndef CH_RELAY_SEARCHER_H
#define CH_RELAY_SEARCHER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/config.h"
#include "common/counter.h"
#include "common/msg.h"
#include "relay/cold.h"
#include "relay/link.h"

#define SCH_VERSIONS_MAX 64

/* What a searcher says about itself. */
struct sch_status {
    uint64_t start;
    bool is_draining;
    uint32_t version_count;
    struct msg_version versions[SCH_VERSIONS_MAX];
};

/* One searcher of an instance whose contract this machine holds. */
struct sch {
    char *name;
    char *zone;
    char *address;
    uint32_t slots;
    uint32_t in_flight; /* requests on links */
    bool is_zone_in;
    bool is_leaving;
    bool is_removed; /* no longer declared; freed when nothing runs */
    bool has_status;
    struct sch_status status;
    struct cold cold;
    struct lnk_pool pool;
    int64_t latency_us; /* moving average, 0 if unknown */
    int64_t latency_at_us;
    int64_t answered_us;       /* last answer of any kind, 0 for none */
    uint32_t unanswered_count; /* requests without an answer since then */
    uint64_t started_count;
    struct cnt_set *counters;
    void *owner;
};

/* How a request on a searcher ended. */
enum sch_end {
    SCH_ANSWERED,
    SCH_DECLINED,  /* does not serve the version any more */
    SCH_SHED,      /* refused as overloaded */
    SCH_ERROR,     /* failed, with an answer */
    SCH_CANCELLED, /* by us */
    SCH_FAILED,    /* the link was lost or silent */
    SCH_UNSENT,    /* no byte was sent */
};

/* A searcher without an answer for this long is not offered. */
#define SCH_LOST_US 3000000
/* From this many requests without an answer on, others are preferred. */
#define SCH_UNANSWERED_MAX 2
/* Assumed latency of a searcher that has not answered yet. */
#define SCH_LATENCY_GUESS_US 5000

struct sch *sch_new(const struct cfg_service *service,
                    const struct cfg_searcher *searcher,
                    const struct lnk_calls *calls, void *ctx, void *owner,
                    struct cnt_set *counters);

void sch_free(struct sch *sch);

/*
 * Takes over declarations. A searcher that returns to service starts on its
 * cold-start curve. Returns true if what it offers changed.
 */
bool sch_configure(struct sch *sch, const struct cfg_service *service,
                   const struct cfg_searcher *searcher, bool is_zone_in,
                   int64_t now_us);

/*
 * A new searcher that was warm with this start id when its contract was
 * released. Has no effect on one out of service, which returns cold.
 */
void sch_expect_warm(struct sch *sch, uint64_t start);

/* In service and on its full share of the slots: to be passed on. */
bool sch_is_warm(const struct sch *sch, int64_t now_us);

/* Notes a status answer. Returns true if what it offers changed. */
bool sch_note_status(struct sch *sch, const struct sch_status *status,
                     int64_t now_us);

/* Notes the start id of a search answer. */
void sch_note_start(struct sch *sch, uint64_t start, int64_t now_us);

/* The searcher said that it no longer has the version. */
void sch_forget_version(struct sch *sch, uint64_t version, uint64_t shard);

bool sch_serves(const struct sch *sch, uint64_t version, uint64_t shard);

/* In service: zone in, not leaving, not draining. */
bool sch_is_in(const struct sch *sch);

/* In service and answering. */
bool sch_is_offered(const struct sch *sch, int64_t now_us);

/* Slots in use, those of cancelled requests included whose link the searcher
 * has not closed yet: it may see the next request, on another link, first. */
uint32_t sch_used(const struct sch *sch);

/* Whether a request may start now: RC_OK, RC_LIMIT or RC_ZONE_OUT. */
int sch_may_start(struct sch *sch, int64_t now_us);

/* Expected time until one more request would be answered. */
int64_t sch_expected_us(const struct sch *sch, int64_t now_us);

/* Usual time of one request. */
int64_t sch_service_us(const struct sch *sch);

/* Notes a start; asserts the limits. */
void sch_on_start(struct sch *sch, int64_t now_us);

/* Notes the end of a request that started at `started_us`. */
void sch_on_end(struct sch *sch, enum sch_end end, int64_t started_us,
                int64_t now_us);

#endif
