#ifndef CH_RELAY_DEDUP_H
#define CH_RELAY_DEDUP_H

#include <glib.h>
#include <stdint.h>

/* Ids of orders that this relay has taken. */
struct ddp {
    GHashTable *by_id;
    GQueue *by_age;
    uint32_t max;
    int64_t keep_us;
};

/* `keep_us` must exceed the life of an id at its entry. */
void ddp_init(struct ddp *dedup, uint32_t max, int64_t keep_us);

void ddp_clear(struct ddp *dedup);

/*
 * Takes an id. Returns RC_OK; RC_RUNNING or RC_OUTCOME_UNKNOWN when it was
 * taken before (still running, or ended after it may have run);
 * RC_QUEUE_FULL when no more ids can be remembered.
 */
int ddp_begin(struct ddp *dedup, const char *id, int64_t now_us);

/* Ends an order that may have run; the id stays taken. */
void ddp_end(struct ddp *dedup, const char *id);

/* Gives the id back: the order certainly did not run. */
void ddp_forget(struct ddp *dedup, const char *id);

#endif
