#ifndef CH_GATEWAY_PEER_STATE_H
#define CH_GATEWAY_PEER_STATE_H

#include <glib.h>

#include "gateway/wire.h"

/*
 * Encodes and decodes the state of a kind of objects that one VM sends to
 * another, in JSON: {"era": E, "change": N, "objects": [{"era", "name",
 * "revision", "spec"}]} holds all objects as of revision N of the store's era
 * E. With "removed": [name] it holds only the changes since a position that
 * the receiver named. An object that outlived a return of the store also has
 * "kept" (the state in force), "missing", "withheld" or "presumed", see struct
 * cache_entry; "hold_us" says for how much longer the sender holds these.
 * Without an era it is 0. The module keeps no state of its own.
 */

/* Path and query to request the changes after position `since` from a VM, or
 * all objects if its revision is 0; free with g_free. */
char *peer_state_path(enum object_kind kind, struct position since);

/* The same for all objects that the VM holds since a return of the store. */
char *peer_state_held_path(enum object_kind kind);

/* The kind that the path names, or OBJECT_KIND_COUNT. */
enum object_kind peer_state_kind(const char *path);

/* Whether the changes after `since` are known, so that they are sent instead
 * of all objects. */
bool peer_state_is_delta(const struct cache *cache, struct position since);

/* Body with the changes of a kind after `since`, or with all objects if its
 * revision is 0, it is of another era or tombstones of that time were dropped;
 * free with g_free. */
char *peer_state_write(const struct sync *sync, enum object_kind kind,
                       struct position since, int64_t now_us);

/* Body with the objects of a kind that this VM holds since a return of the
 * store; free with g_free. */
char *peer_state_write_held(const struct sync *sync, enum object_kind kind,
                            int64_t now_us);

/* Decodes a parsed body, NULL if there is none; `out` takes the reference.
 * Sets `out->reply.rc` to RC_OK or, with a log line, to RC_BAD_REPLY. Free
 * with wire_objects_clear(). */
void peer_state_read(json_t *root, struct wire_objects *out);

/* The same for the response to a request for the state; `rc` is that of the
 * HTTP client. Any but a whole response with status 200 is RC_BAD_REPLY. */
void peer_state_read_response(int rc, int status, const char *body,
                              size_t body_bytes, struct wire_objects *out);

#endif
