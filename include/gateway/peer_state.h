#ifndef CH_GATEWAY_PEER_STATE_H
#define CH_GATEWAY_PEER_STATE_H

#include <glib.h>

#include "gateway/wire.h"

/*
 * News between VMs: what one knows of a kind of objects, as a list in JSON:
 * {"change": N, "objects": [{"name", "revision", "spec"}]}. With "removed":
 * [name] it is only what changed since a change that the other one knows.
 */

/* Path and query at which a VM is asked for what changed after `since` (0: for
 * all); free with g_free. */
char *peer_state_path(enum object_kind kind, int64_t since);

/* The kind that the path names, or OBJECT_KIND_COUNT. */
enum object_kind peer_state_kind(const char *path);

/* The body for a kind; free with g_free. */
char *peer_state_write(const struct sync *sync, enum object_kind kind,
                       int64_t since);

/* Reads a parsed body, which `out` takes over; NULL when there is none.
 * `out->reply.rc` is RC_OK or RC_BAD_REPLY. */
void peer_state_read(json_t *root, struct wire_objects *out);

#endif
