#ifndef CH_AGENT_REVISION_H
#define CH_AGENT_REVISION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/config.h"
#include "common/counter.h"

/* The configuration in force: adopted whole or not at all, only newer. */

struct rev;

/* cfg_parse() or a substitute of a test. */
typedef int (*rev_parse_cb)(const char *json, size_t json_bytes,
                            struct cfg **out, char **error);

struct rev *rev_new(int64_t now_us, rev_parse_cb parse,
                    struct cnt_set *counters);

void rev_free(struct rev *revision);

/*
 * Offers a document. `number` is the revision its sender names and must be
 * the one inside; `digest` is 0 when the sender named none. Returns RC_OK when
 * the document is in force now, RC_STALE when it is not newer, RC_INVALID or
 * RC_BAD_JSON when it is refused; `*error` (may be NULL) then says why (free
 * with g_free).
 */
int rev_offer(struct rev *revision, uint64_t number, uint64_t digest,
              const char *json, size_t json_bytes, char **error);

/* 0 when no configuration is in force. */
uint64_t rev_number(const struct rev *revision);

uint64_t rev_digest(const struct rev *revision);

/* The document in force, "" when there is none; valid until the next offer. */
const char *rev_document(const struct rev *revision, size_t *bytes);

const struct cfg *rev_cfg(const struct rev *revision);

/* Notes that the store answered which revision it has. */
void rev_on_store(struct rev *revision);

/* Notes that a peer named its revision. */
void rev_on_peer(struct rev *revision, uint64_t number);

/*
 * True when entry and relay may be given the configuration: something is in
 * force, no peer named a newer one, and peers and store were asked (they get
 * 2 s to answer after the start).
 */
bool rev_is_ready(struct rev *revision, int64_t now_us);

/*
 * True when a PULL is to be sent to the peer that named `number`; for each
 * revision at most one per 200 ms, since a document may be as large as 1 MB.
 */
bool rev_should_pull(struct rev *revision, int64_t now_us, uint64_t number);

#endif
