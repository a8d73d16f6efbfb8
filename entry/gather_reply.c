#include <string.h>

#include "common/invariant.h"
#include "common/rc.h"
#include "entry/gather_query.h"

/* A part whose reply was unusable is asked once more. */
#define GTH_MAX_BAD_REPLIES 2

static bool
gth_mark_part(struct gth_query *query, uint64_t shard, uint64_t qid,
              uint64_t mark)
{
    struct gth_part *part = gth_part_find(query, shard);
    if (part == NULL || part->state != GTH_SENT || part->qid != qid ||
        part->mark == mark) {
        return false;
    }
    part->mark = mark;
    return true;
}

/*
 * Why the reply must not be merged, or NULL. Hits are not marked with their
 * shard, so one wrong shard makes all hits of the reply unusable.
 */
static const char *
gth_reply_fault(struct gth *gth, struct gth_query *query,
                const struct msg_reply *reply)
{
    uint64_t mark = ++gth->mark;
    if (reply->version != query->version) {
        return "wrong_version";
    }
    for (size_t i = 0; i < reply->done_count; i++) {
        if (!gth_mark_part(query, reply->done[i].shard, reply->qid, mark)) {
            return "shard_not_asked";
        }
    }
    for (size_t i = 0; i < reply->missing_count; i++) {
        if (!gth_mark_part(query, reply->missing[i].shard, reply->qid, mark)) {
            return "shard_not_asked";
        }
    }
    if (reply->done_count == 0 && reply->hit_count > 0) {
        return "hits_without_shard";
    }
    return NULL;
}

/* Asks the part again after the retry time. */
static void
gth_part_retry(struct gth *gth, struct gth_query *query, struct gth_part *part,
               int64_t now_us)
{
    part->state = GTH_PENDING;
    if (query->retry_us == 0) {
        query->retry_us = now_us + GTH_RETRY_US;
    }
    cnt_add(gth->counters, "part_retry_total", rc_name(part->rc));
}

static void
gth_part_fail(struct gth *gth, struct gth_query *query, struct gth_part *part,
              int rc, int64_t now_us)
{
    part->rc = rc;
    switch (rc) {
    case RC_NOT_HOLDER:
    case RC_STOPPING:
    case RC_RELAY_LOST:
        gth_part_retry(gth, query, part, now_us);
        return;
    case RC_VERSION_GONE:
        part->state = GTH_GONE;
        query->gone_count += 1;
        return;
    case RC_BAD_REPLY:
        part->bad_replies += 1;
        if (part->bad_replies < GTH_MAX_BAD_REPLIES) {
            gth_part_retry(gth, query, part, now_us);
            return;
        }
        break;
    default:
        break;
    }
    part->state = GTH_FAILED;
    query->failed_count += 1;
}

void
gth_fail_sent(struct gth *gth, const struct gth_sent *sent, int rc,
              int64_t now_us)
{
    for (size_t i = 0; i < sent->index_count; i++) {
        struct gth_part *part = &sent->query->parts[sent->indexes[i]];
        if (part->state == GTH_SENT && part->qid == sent->qid) {
            gth_part_fail(gth, sent->query, part, rc, now_us);
        }
    }
}

static void
gth_merge(struct gth *gth, struct gth_query *query,
          const struct msg_reply *reply, int64_t now_us)
{
    for (size_t i = 0; i < reply->done_count; i++) {
        struct gth_part *part = gth_part_find(query, reply->done[i].shard);
        CH_INVARIANT(part->state == GTH_SENT);
        part->state = GTH_DONE;
        part->rc = RC_OK;
        query->done_count += 1;
    }
    for (size_t i = 0; i < reply->missing_count; i++) {
        int rc = (int)reply->missing[i].rc;
        bool is_known = rc != RC_OK && strcmp(rc_name(rc), "unknown") != 0;
        gth_part_fail(gth, query,
                      gth_part_find(query, reply->missing[i].shard),
                      is_known ? rc : RC_BAD_REPLY, now_us);
    }
    size_t hit_count = MIN(reply->hit_count, query->limit);
    for (size_t i = 0; i < hit_count; i++) {
        struct gth_hit hit = {
            .score = reply->hits[i].score,
            .id = g_strdup(reply->hits[i].id),
        };
        g_array_append_val(query->hits, hit);
    }
}

void
gth_reply(struct gth *gth, uint32_t relay, const struct msg_reply *reply,
          int64_t now_us)
{
    const struct gth_sent *sent = g_hash_table_lookup(gth->sent, &reply->qid);
    if (sent == NULL) {
        cnt_add(gth->counters, "reply_dropped_total", "unknown_qid");
        return;
    }
    if (sent->relay != relay) {
        cnt_add(gth->counters, "reply_dropped_total", "wrong_relay");
        return;
    }
    struct gth_query *query = sent->query;
    const char *fault = gth_reply_fault(gth, query, reply);
    if (fault != NULL) {
        cnt_add(gth->counters, "reply_dropped_total", fault);
    }
    else {
        gth_merge(gth, query, reply, now_us);
    }
    /* A relay replies once, so parts that it left out are asked again. */
    gth_fail_sent(gth, sent, RC_BAD_REPLY, now_us);
    g_hash_table_remove(gth->sent, &reply->qid);
    (void)gth_settle(gth, query, now_us);
}
