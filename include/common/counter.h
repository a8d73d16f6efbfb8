#ifndef CH_COMMON_COUNTER_H
#define CH_COMMON_COUNTER_H

#include <glib.h>
#include <stdint.h>

/*
 * The counters and gauges of one process, or of one module under test, and
 * their output as Prometheus text. The set owns the values; it belongs to one
 * thread.
 */
struct counter_set;

struct counter_set *counter_set_new(void);

void counter_set_free(struct counter_set *set);

/*
 * Returns the counter `name` with the label `reason` (NULL for none), created
 * with 0 when it is new. The pointer stays valid until the set is freed.
 */
uint64_t *counter_get(struct counter_set *set, const char *name,
                      const char *reason);

/*
 * Adds 1 to the counter. Looks it up each time: code that counts often keeps
 * the pointer from counter_get() instead.
 */
void counter_add(struct counter_set *set, const char *name,
                 const char *reason);

/* Appends all counters, prefixed with "carobhatch_", sorted by name. */
void counter_render(const struct counter_set *set, GString *out);

#endif
