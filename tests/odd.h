#ifndef CH_TESTS_ODD_H
#define CH_TESTS_ODD_H

#include <glib.h>
#include <stdint.h>

/*
 * Generator of what another writer may leave in the place of an entry in the
 * platform's store. It knows only the published form of an entry and shares no
 * code with the gateway.
 */

/* Draws a number below `limit`. */
typedef uint32_t (*odd_draw_cb)(uint32_t limit, void *ctx);

/* Appends random pieces of JSON, of other encodings and of nothing. */
void odd_append_pieces(GString *out, odd_draw_cb draw, void *ctx);

/*
 * Appends an entry of a backend server of the service at the address that is
 * odd in one way: a field is missing, doubled or of another type or range, it
 * is cut off, its address is one that no process can have, or it is no entry
 * at all.
 */
void odd_append_entry(GString *out, const char *service, const char *address,
                      odd_draw_cb draw, void *ctx);

#endif
