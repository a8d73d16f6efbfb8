#ifndef CH_GATEWAY_HEARTBEAT_H
#define CH_GATEWAY_HEARTBEAT_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/member.h"
#include "gateway/notice.h"

/*
 * Encodes and decodes the datagrams that VMs send each other: a heartbeat is a
 * msgpack array `[type, fields...]`. Fields that a newer sender appends are
 * ignored.
 */

/* A live and ready VM that the sender names in a reply. */
struct heartbeat_relayed {
    const char *name;
    const char *request_address;
};

/* A backend server that said that it is leaving, see struct notice_leaving. */
struct heartbeat_leaving {
    const char *id;
    int64_t started_unix_ms;
};

struct heartbeat {
    struct member_heartbeat heartbeat;
    struct heartbeat_relayed relayed[MEMBER_RELAYED_MAX];
    size_t relayed_count;
    struct heartbeat_leaving leaving[NOTICE_TOLD_MAX];
    size_t leaving_count;
    msgpack_zone zone; /* memory of the decoded fields */
};

/* Appends the heartbeat to `out`. */
void heartbeat_encode(const struct heartbeat *heartbeat, msgpack_sbuffer *out);

/*
 * Decodes a heartbeat. Returns RC_OK; its strings live until
 * heartbeat_clear(). Returns RC_INVALID for malformed data; there is nothing
 * to clear then.
 */
int heartbeat_decode(const void *data, size_t data_bytes,
                     struct heartbeat *out);

void heartbeat_clear(struct heartbeat *heartbeat);

#endif
